/**
 * @file
 * The entry VMs that a node knows of: named by the platform's list or by other
 * nodes, and how long ago each of those it watches was heard.
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
  bool listed;      /**< Whether the platform's list has it. */
  bool watched;     /**< Whether this node expects its heartbeats. */
  bool suspect;     /**< Silent; it is being asked. */
  int64_t heard_us; /**< When it last showed life, while watched. */
  int64_t asked_us; /**< When it was last asked, while suspect. */
  char address[EG_ADDRESS_BYTES];
  char failure_domain[EG_NAME_BYTES];
};

/** Numbers of members by state. */
struct eg_membership_counts
{
  size_t live; /**< Without the suspect. */
  size_t suspect;
  size_t dead;
  size_t listed; /**< In the platform's list, whatever their state. */
};

/** An entry VM as the platform's list names it. */
struct eg_listed_member
{
  struct eg_str address; /**< Of the bus. */
  struct eg_str failure_domain;
};

/** Members, sorted by failure domain and id; zero-initialised is empty. */
struct eg_membership
{
  struct eg_member **members;
  size_t count;
  size_t capacity;
};

/** Returns the id of the entry VM whose bus is at @p address; never 0. */
uint64_t eg_member_id (struct eg_str address);

/** Frees the members. */
void eg_membership_finish (struct eg_membership *self);

/** Finds a member by id, or returns NULL. */
struct eg_member *eg_membership_find (const struct eg_membership *self,
                                      uint64_t id);

/**
 * Returns the member at an address, adding it as live with incarnation 0.
 * @return NULL if the names are too long or memory ran out.
 */
struct eg_member *eg_membership_add (struct eg_membership *self,
                                     struct eg_str address,
                                     struct eg_str failure_domain);

/**
 * Takes over the platform's list. Members that it does not name stay as they
 * are, but for those that are dead or left, which are forgotten.
 * @param own id of this node, which is never forgotten.
 * @return true if members were added or forgotten.
 */
bool eg_membership_apply_list (struct eg_membership *self,
                               const struct eg_listed_member *names,
                               size_t count,
                               uint64_t own);

/**
 * Brings a member up to a rumour that is newer than what was known.
 * @return true if its state has changed, or it was not known.
 */
bool eg_membership_apply (struct eg_membership *self,
                          const struct eg_rumour *rumour);

/** Writes what is known of a member as a rumour. */
void eg_member_to_rumour (const struct eg_member *member,
                          struct eg_rumour *rumour);

/** Counts members by state. */
struct eg_membership_counts
eg_membership_counts (const struct eg_membership *self);

EG_END_DECLS

#endif
