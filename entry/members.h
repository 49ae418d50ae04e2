/**
 * @file
 * Membership of entry VMs. Each keeps an object in the store, and all of them
 * list these objects periodically. The list determines each VM's share of
 * system-wide limits, and the readers: the one or two VMs of a failure domain
 * that read the configuration and the server records from the store, and mirror
 * them for the other VMs of the domain.
 *
 * A VM that is counted after it has gone only reduces the shares of the others,
 * which is safe. Objects are therefore refreshed rarely and expire late.
 */
#ifndef EG_ENTRY_MEMBERS_H
#define EG_ENTRY_MEMBERS_H

#include "base/list.h"
#include "base/log.h"
#include "base/map.h"
#include "platform/store.h"
#include "policy/server_rate.h"

struct eg_entry;

/** Maximum number of readers over all failure domains. */
#define EG_READERS_MAX 32

/** Maximum number of senders outside the list that are remembered. */
#define EG_STRANGERS_MAX 8

/** A sender that the list lacks; it may have joined since the last read. */
struct eg_stranger
{
  uint64_t endpoint;    /**< Key; 0: none. */
  int64_t next_read_us; /**< When the list may be read for it again. */
  int64_t interval_us;  /**< Between reads; doubled with each one. */
};

/** What is not accepted from senders that are no members. */
enum eg_foreign_input
{
  EG_FOREIGN_MESSAGE, /**< A datagram, which is dropped. */
  EG_FOREIGN_READ,    /**< A read by another VM, which is refused. */
  EG_FOREIGN_INPUTS,
};

/** One entry VM, as described by its object. */
struct eg_member
{
  struct eg_list all;
  char name[64];
  char domain[64];
  int64_t revision;
  int64_t seen_us;             /**< When this revision was first seen. */
  struct eg_endpoint endpoint; /**< Address of its peer listener. */
  /** Link bandwidth times CPU share; readers are ranked by it. */
  int64_t capacity;
  int64_t failed_until_us; /**< Not used as a reader until then. */
  unsigned failures;       /**< Consecutive failures. */
  bool is_proven;          /**< It answered the last call to it. */
  bool marked;
};

/** All entry VMs; allocated by the caller. */
struct eg_members
{
  struct eg_entry *entry;
  struct eg_list all;
  struct eg_map by_endpoint; /**< All members, by eg_endpoint_key(). */
  struct eg_store_call list_call;
  struct eg_store_call own_call;
  char after[EG_STORE_AFTER_BYTES];
  int64_t revision; /**< Revision of this VM's object; 0: not written yet. */
  int64_t list_due_us;
  int64_t write_due_us;
  unsigned lists_read; /**< Number of lists completed. */
  /** When the first page of the list being read was asked for. */
  int64_t list_sent_us;
  int64_t as_of_us;   /**< The same of the last list completed. */
  bool is_written;    /**< This VM's object is known to exist. */
  int64_t joined_us;  /**< When it was created; 0: it existed before. */
  unsigned count;     /**< Result of eg_members_count(). */
  unsigned in_domain; /**< Result of eg_members_in_domain(). */
  unsigned own_rank;  /**< Rank within the failure domain, from 0. */
  /** The two best ranked VMs of this failure domain, or NULL. */
  struct eg_member *readers[2];
  struct eg_endpoint own_endpoint;
  struct eg_stranger strangers[EG_STRANGERS_MAX];
  size_t next_stranger; /**< Position of the next one to be replaced. */
  struct eg_log_rate foreign[EG_FOREIGN_INPUTS];
  /** Peer addresses of the readers of all failure domains. */
  struct eg_endpoint all_readers[EG_READERS_MAX];
  size_t all_reader_count;
};

/** Starts with estimates that hold until the first list is read. */
void eg_members_init (struct eg_members *self, struct eg_entry *entry);

/** Cancels pending calls and frees the members. */
void eg_members_finish (struct eg_members *self);

/** Writes this VM's object anew, and reads the list soon after. */
void eg_members_store_restored (struct eg_members *self, int64_t now_us);

/** Starts due reads and writes; call it on every tick. */
void eg_members_check (struct eg_members *self, int64_t now_us);

/** Returns the number of entry VMs that share system-wide limits. */
unsigned eg_members_count (const struct eg_members *self);

/** Describes the VMs that share limits, but for this VM's rank. */
struct eg_rate_sharers eg_members_sharers (const struct eg_members *self,
                                           int64_t now_us);

/**
 * Returns the number of members before this VM in an order that depends on
 * @p subject, a hash of what they share.
 */
uint32_t eg_members_rank_for (const struct eg_members *self, uint64_t subject);

/** Returns the number of entry VMs in this failure domain. */
unsigned eg_members_in_domain (const struct eg_members *self);

/** Returns how many VMs of this failure domain read the store directly. */
unsigned eg_members_reader_count (const struct eg_members *self);

/**
 * Returns a reader of this failure domain without a recent failure, or NULL.
 */
struct eg_member *eg_members_choose_reader (struct eg_members *self,
                                            int64_t now_us);

/**
 * Returns the best ranked reader of this failure domain if it responds, though
 * maybe without data; else NULL.
 */
struct eg_member *eg_members_responding_reader (struct eg_members *self);

/** Returns the member with the endpoint of the given key, or NULL. */
const struct eg_member *eg_members_find_endpoint (const struct eg_members *self,
                                                  uint64_t key);

/**
 * Returns whether a message is from a member. Otherwise the list is read soon,
 * in case the sender has just joined; less often for one that stays unknown.
 */
bool eg_members_admit (struct eg_members *self,
                       struct eg_endpoint sender,
                       int64_t now_us);

/** Counts and logs what was not accepted, as its sender is no member. */
void eg_members_count_foreign (struct eg_members *self,
                               enum eg_foreign_input input,
                               struct eg_endpoint sender,
                               int64_t now_us);

/** Returns the member whose peers' listener has the given IP address, or NULL.
 */
const struct eg_member *eg_members_find_host (const struct eg_members *self,
                                              struct eg_endpoint endpoint);

/** Returns whether this VM reads the store for its failure domain. */
bool eg_members_is_reader (const struct eg_members *self);

/** Returns whether @p endpoint is that of this VM's own peers' listener. */
bool eg_members_is_own (const struct eg_members *self,
                        struct eg_endpoint endpoint);

/** Returns whether a member is in this VM's own failure domain. */
bool eg_members_is_local (const struct eg_members *self,
                          const struct eg_member *member);

/** Records the outcome of a call to a reader. */
void eg_members_record_peer_outcome (struct eg_members *self,
                                     struct eg_endpoint endpoint,
                                     enum eg_store_outcome outcome,
                                     int64_t now_us);

#endif
