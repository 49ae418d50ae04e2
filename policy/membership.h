/**
 * @file
 * Table of the entry VMs that a node knows from the platform's list or from
 * other nodes, with the time when each one that it watches was last heard.
 */
#ifndef EG_POLICY_MEMBERSHIP_H
#define EG_POLICY_MEMBERSHIP_H

#include "policy/peer_message.h"

EG_BEGIN_DECLS

/** One entry VM. */
struct eg_member
{
  uint64_t id;
  uint64_t domain; /**< Hash of the failure domain's name. */
  uint64_t incarnation;
  enum eg_member_state state;
  bool listed;       /**< Whether it is in the platform's list. */
  bool watched;      /**< Whether this node expects its heartbeats. */
  bool suspect;      /**< Missed heartbeats; being probed. */
  int64_t heard_us;  /**< When it was last known alive, while watched. */
  int64_t probed_us; /**< Last probe, while suspect. */
  char address[EG_ADDRESS_BYTES];
  char failure_domain[EG_NAME_BYTES];
};

/** Number of members by state. */
struct eg_membership_counts
{
  size_t live; /**< Not suspect. */
  size_t suspect;
  size_t dead;
  size_t listed; /**< In the platform's list, in any state. */
};

/** An entry VM in the platform's list. */
struct eg_listed_member
{
  struct eg_str address; /**< Of its bus. */
  struct eg_str failure_domain;
};

/** Members, sorted by failure domain and id; zero-initialised is empty. */
struct eg_membership
{
  struct eg_member **members;
  size_t count;
  size_t capacity;
};

/** Returns the id of the entry VM with bus address @p address; never 0. */
uint64_t eg_member_id (struct eg_str address);

/** Frees the members. */
void eg_membership_finish (struct eg_membership *self);

/** Returns the member with an id, or NULL. */
struct eg_member *eg_membership_find (const struct eg_membership *self,
                                      uint64_t id);

/**
 * Returns the member with an address. A new one is added as live with
 * incarnation 0.
 * @return NULL if a string is too long or when out of memory.
 */
struct eg_member *eg_membership_add (struct eg_membership *self,
                                     struct eg_str address,
                                     struct eg_str failure_domain);

/**
 * Applies the platform's list. Of the members that are not in it, live ones are
 * kept, and dead ones and those that left are removed.
 * @param own id of this node, which is never removed.
 * @return true if members were added or removed.
 */
bool eg_membership_apply_list (struct eg_membership *self,
                               const struct eg_listed_member *list,
                               size_t count,
                               uint64_t own);

/**
 * Updates a member, adding it if need be, from a rumour that is newer than its
 * present state.
 * @return true if its state changed or it is new.
 */
bool eg_membership_apply (struct eg_membership *self,
                          const struct eg_rumour *rumour);

/** Writes the state of a member as a rumour. */
void eg_member_to_rumour (const struct eg_member *member,
                          struct eg_rumour *rumour);

/** Counts members by state. */
struct eg_membership_counts
eg_membership_counts (const struct eg_membership *self);

EG_END_DECLS

#endif
