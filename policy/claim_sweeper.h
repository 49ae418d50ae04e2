/**
 * @file
 * Sweeps claim objects past their lifetime: advances the ticks, lists one
 * bucket at a time, and deletes what has expired.
 *
 * All entry VMs sweep buckets drawn at random, at a pace that lists each bucket
 * about once a period. Nothing is agreed: two that list the same bucket do no
 * harm.
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

/** Most deletes after one listing. */
#define EG_CLAIM_SWEEPER_DELETES_MAX 16

/** What a sweeper asks for. */
enum eg_claim_sweeper_action_type
{
  EG_CLAIM_SWEEPER_WAIT,        /**< Nothing; wake it in time. */
  EG_CLAIM_SWEEPER_READ_TICKS,  /**< Read EG_CLAIM_TICKS_KEY. */
  EG_CLAIM_SWEEPER_WRITE_TICKS, /**< Write it, on its version or if missing. */
  EG_CLAIM_SWEEPER_LIST,        /**< List the objects under @c key. */
  EG_CLAIM_SWEEPER_DELETE,      /**< Delete @c key, on its version. */
};

/** One request to the store; at most one is outstanding. */
struct eg_claim_sweeper_action
{
  enum eg_claim_sweeper_action_type type;
  uint64_t version; /**< For `If-Match`; 0 stands for `If-None-Match: *`. */
  struct eg_claim_ticks ticks;           /**< Of WRITE_TICKS. */
  char key[EG_CLAIM_OBJECT_KEY_MAX + 1]; /**< Of LIST and DELETE. */
};

/** An object that waits for its delete. */
struct eg_claim_sweeper_delete
{
  uint64_t version;
  char key[EG_CLAIM_OBJECT_KEY_MAX + 1];
};

/** One entry VM's sweeper; memory of the caller, fields of this module. */
struct eg_claim_sweeper
{
  struct eg_claim_expiry sweep;
  enum eg_claim_sweeper_action_type outstanding;
  int64_t wake_us;
  uint32_t entry_vms;
  size_t delete_count;
  struct eg_claim_sweeper_delete deletes[EG_CLAIM_SWEEPER_DELETES_MAX];
};

/** Starts; a claim lives at least @p lifetime_us from its last write. */
void eg_claim_sweeper_init (struct eg_claim_sweeper *self, int64_t lifetime_us);

/** Tells how many entry VMs share the work; at least 1. */
void eg_claim_sweeper_set_entry_vms (struct eg_claim_sweeper *self,
                                     uint32_t entry_vms);

/** Returns when eg_claim_sweeper_wake() is due, or INT64_MAX. */
int64_t eg_claim_sweeper_wake_us (const struct eg_claim_sweeper *self);

/** Begins a round if it is due. */
void eg_claim_sweeper_wake (struct eg_claim_sweeper *self,
                            int64_t now_us,
                            struct eg_claim_sweeper_action *action);

/** Takes in the ticks that were read; @p version 0 if there are none. */
void eg_claim_sweeper_ticks_read (struct eg_claim_sweeper *self,
                                  uint64_t version,
                                  const struct eg_claim_ticks *ticks,
                                  int64_t now_us,
                                  struct eg_random *random,
                                  struct eg_claim_sweeper_action *action);

/** Takes in one object of a listing; before eg_claim_sweeper_done(). */
void eg_claim_sweeper_listed (struct eg_claim_sweeper *self,
                              struct eg_str key,
                              uint64_t version);

/**
 * Reports that a write, a listing or a delete ended.
 * @param ok whether the store did it, or refused a delete's condition; any
 *        other failure, and a lost reply, end the round.
 */
void eg_claim_sweeper_done (struct eg_claim_sweeper *self,
                            bool ok,
                            int64_t now_us,
                            struct eg_random *random,
                            struct eg_claim_sweeper_action *action);

EG_END_DECLS

#endif
