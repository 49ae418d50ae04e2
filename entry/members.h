/**
 * @file
 * The other entry VMs: each keeps an object in the store, and all read the list
 * now and then. Shares of what the fleet may do together follow from it.
 *
 * A VM that is counted though it is gone makes the shares of the others
 * smaller, which does no harm; so a VM writes seldom and is dropped late.
 */
#ifndef EG_ENTRY_MEMBERS_H
#define EG_ENTRY_MEMBERS_H

#include "base/list.h"
#include "platform/store.h"

struct eg_entry;

/** Most readers of all failure domains that are known. */
#define EG_READERS_MAX 32

/** One entry VM, as its object tells. */
struct eg_member
{
  struct eg_list all;
  char name[64];
  char domain[64];
  int64_t revision;
  int64_t seen_us;             /**< When the revision was first seen. */
  struct eg_endpoint endpoint; /**< For its peers. */
  int64_t capacity;            /**< Of its link and processor; rank by this. */
  int64_t failed_until_us;     /**< As a reader for others. */
  unsigned failures;           /**< In a row. */
  bool marked;
};

/** All entry VMs; memory of the caller. */
struct eg_members
{
  struct eg_entry *entry;
  struct eg_list all;
  struct eg_store_call list_call;
  struct eg_store_call own_call;
  char after[64];
  int64_t revision; /**< Of the own object; 0: not written. */
  int64_t list_due_us;
  int64_t write_due_us;
  unsigned lists;               /**< Read so far. */
  unsigned count;               /**< As eg_members_count() tells. */
  unsigned in_domain;           /**< As eg_members_in_domain() tells. */
  unsigned own_rank;            /**< Within the failure domain, from 0. */
  struct eg_member *readers[2]; /**< First of the failure domain, or NULL. */
  struct eg_endpoint own_endpoint;
  struct eg_endpoint all_readers[EG_READERS_MAX]; /**< Of all domains. */
  size_t all_reader_count;
};

/** Prepares a list with this VM alone. */
void eg_members_init (struct eg_members *self, struct eg_entry *entry);

/** Frees the list. */
void eg_members_finish (struct eg_members *self);

/** Does what is due. */
void eg_members_check (struct eg_members *self, int64_t now_us);

/** Returns how many entry VMs share what the whole system may do. */
unsigned eg_members_count (const struct eg_members *self);

/** Returns how many entry VMs there are in this failure domain. */
unsigned eg_members_in_domain (const struct eg_members *self);

/** Returns how many VMs of a failure domain read the store themselves. */
unsigned eg_members_reader_count (const struct eg_members *self);

/** Returns a reader of this failure domain that has not failed lately, or
    NULL. */
struct eg_member *eg_members_choose_reader (struct eg_members *self,
                                            int64_t now_us);

/** Returns a reader of this failure domain, or NULL. */
struct eg_member *eg_members_any_reader (struct eg_members *self);

/** Tells how a call of a reader went. */
void eg_members_record_peer_outcome (struct eg_members *self,
                                     struct eg_endpoint endpoint,
                                     enum eg_store_outcome outcome,
                                     int64_t now_us);

#endif
