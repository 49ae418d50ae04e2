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

/** One entry VM, as its object tells. */
struct eg_member
{
  struct eg_list all;
  char name[64];
  char domain[64];
  int64_t revision;
  int64_t seen_us; /**< When the revision was first seen. */
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
  int64_t written_us;
  int64_t list_due_us;
  int64_t write_due_us;
  unsigned count;     /**< As eg_members_count() tells. */
  unsigned in_domain; /**< As eg_members_in_domain() tells. */
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

#endif
