/**
 * @file
 * Deletes expired claim objects from the store: advances the ticks, lists one
 * bucket at a time, and deletes the objects that have expired.
 *
 * All entry VMs sweep buckets chosen at random, at a rate that lists each
 * bucket about once per tick period. They need no coordination: it is harmless
 * if two of them list the same bucket, as deletes are conditional.
 */
#ifndef EG_POLICY_CLAIM_SWEEPER_H
#define EG_POLICY_CLAIM_SWEEPER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/random.h"
#include "policy/claim_record.h"
#include "policy/claim_expiry.h"

EG_BEGIN_DECLS

/** Maximum number of deletes after one listing. */
#define EG_CLAIM_SWEEPER_DELETES_MAX 16

/** Types of store requests. */
enum eg_claim_sweeper_action_type
{
  EG_CLAIM_SWEEPER_WAIT,        /**< None before eg_claim_sweeper_wake_us(). */
  EG_CLAIM_SWEEPER_READ_TICKS,  /**< Read EG_CLAIM_TICKS_KEY. */
  EG_CLAIM_SWEEPER_WRITE_TICKS, /**< Write it, with the condition @c version. */
  EG_CLAIM_SWEEPER_LIST,        /**< List the objects under @c key. */
  EG_CLAIM_SWEEPER_DELETE, /**< Delete @c key, with the condition @c version. */
};

/** One request to the store; at most one is outstanding. */
struct eg_claim_sweeper_action
{
  enum eg_claim_sweeper_action_type type;
  uint64_t version; /**< `If-Match`; 0 stands for `If-None-Match: *`. */
  struct eg_claim_ticks ticks;           /**< WRITE_TICKS. */
  char key[EG_CLAIM_OBJECT_KEY_MAX + 1]; /**< LIST (a prefix) and DELETE. */
};

/** An object to be deleted. */
struct eg_claim_sweeper_delete
{
  uint64_t version;
  char key[EG_CLAIM_OBJECT_KEY_MAX + 1];
};

/** Sweeper of one entry VM; allocated by the owner, fields are private. */
struct eg_claim_sweeper
{
  struct eg_claim_expiry expiry;
  enum eg_claim_sweeper_action_type outstanding;
  int64_t wake_us;
  uint32_t entry_vms;
  size_t delete_count;
  struct eg_claim_sweeper_delete deletes[EG_CLAIM_SWEEPER_DELETES_MAX];
};

/** Initialises; a claim lives at least @p lifetime_us after its last write. */
void eg_claim_sweeper_init (struct eg_claim_sweeper *self, int64_t lifetime_us);

/** Sets the number of entry VMs that share the work; 0 counts as 1. */
void eg_claim_sweeper_set_entry_vms (struct eg_claim_sweeper *self,
                                     uint32_t entry_vms);

/** Returns when eg_claim_sweeper_wake() is due; INT64_MAX while a request is
 *  outstanding. */
int64_t eg_claim_sweeper_wake_us (const struct eg_claim_sweeper *self);

/** Begins a sweep if it is due. */
void eg_claim_sweeper_wake (struct eg_claim_sweeper *self,
                            int64_t now_us,
                            struct eg_claim_sweeper_action *action);

/** Processes the reply to READ_TICKS; @p version is 0 if there is no object. */
void eg_claim_sweeper_ticks_read (struct eg_claim_sweeper *self,
                                  uint64_t version,
                                  const struct eg_claim_ticks *ticks,
                                  int64_t now_us,
                                  struct eg_random *random,
                                  struct eg_claim_sweeper_action *action);

/** Processes one object of a listing; call before eg_claim_sweeper_done(). */
void eg_claim_sweeper_listed (struct eg_claim_sweeper *self,
                              struct eg_str key,
                              uint64_t version);

/**
 * Reports the end of a write, a listing or a delete.
 * @param ok true if the store carried it out or the condition of a delete
 *        failed; any other failure, or a missing reply, ends the sweep.
 */
void eg_claim_sweeper_done (struct eg_claim_sweeper *self,
                            bool ok,
                            int64_t now_us,
                            struct eg_random *random,
                            struct eg_claim_sweeper_action *action);

EG_END_DECLS

#endif
