/**
 * @file
 * Spreads the newest version of an object among VMs that each also read it from
 * a store, which may be away, or come back from an older copy.
 *
 * VMs tell each other the version they use: some of the others at once when it
 * rises, and one of them from time to time. Who hears of a newer one fetches it
 * from that VM. A VM that has just started asks others first, and does not rely
 * on what it has read until they have answered or had their time to. Two
 * answers of VMs that rely on theirs are enough. Where all have just started,
 * as after a loss of power, the answers of all are, or of a sample of a larger
 * fleet; some of them may be gone for good, and are not waited for long.
 */
#ifndef EG_POLICY_VERSION_SPREAD_H
#define EG_POLICY_VERSION_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** VMs that a starting one has to hear from, if there are as many. */
#define EG_VERSION_ANSWERS 2
/** The same where those that answer have just started, too. */
#define EG_VERSION_ANSWERS_STARTING 16

/** A message between two VMs. */
struct eg_version_message
{
  int64_t version; /**< In use by the sender; 0: none. */
  bool asks;       /**< The sender wants an answer. */
  bool confirmed;  /**< The sender has heard from others since its start. */
};

/** What a VM knows of versions; allocated by the caller. */
struct eg_version_spread
{
  int64_t own; /**< Version in use; 0: none. */
  bool confirmed;
  bool has_news; /**< The version has risen since it was told to others. */
  int64_t started_us;
  int64_t peers_known_us; /**< When other VMs became known; 0: not yet. */
  int64_t asked_us;       /**< Time of the last questions. */
  bool asked_many;        /**< Questions went to more than a few VMs. */
  int64_t told_us;        /**< Time of the last regular message. */
  uint64_t answered_by[EG_VERSION_ANSWERS]; /**< VMs that are confirmed. */
  size_t answers;
  uint64_t heard_from[EG_VERSION_ANSWERS_STARTING]; /**< Any others. */
  size_t heard;
  int64_t offered; /**< Newest version heard of, above @c own; 0: none. */
  uint64_t offered_by;
  int64_t offered_us; /**< When @c offered was first heard of. */
  int64_t fetched_us; /**< Start of the last fetch. */
  bool fetching;
};

/** Messages that are due. */
struct eg_version_round
{
  size_t count; /**< Number of other VMs, chosen at random, to send to. */
  struct eg_version_message message;
};

/**
 * Initialises a VM without a version.
 * @param first_start the whole system starts, so that no VM knows more.
 */
void eg_version_spread_init (struct eg_version_spread *self,
                             bool first_start,
                             int64_t now_us);

/** Takes note of the version in use, which never falls. */
void eg_version_spread_set_own (struct eg_version_spread *self,
                                int64_t version);

/**
 * Returns the messages that are due.
 * @param peers number of other VMs; negative: not known yet.
 */
struct eg_version_round eg_version_spread_check (struct eg_version_spread *self,
                                                 int64_t peers,
                                                 int64_t now_us);

/**
 * Handles a message.
 * @param from identifies the sender; not 0.
 * @param[out] answer message to send back.
 * @return whether there is an answer.
 */
bool eg_version_spread_receive (struct eg_version_spread *self,
                                uint64_t from,
                                const struct eg_version_message *message,
                                int64_t now_us,
                                struct eg_version_message *answer);

/**
 * Starts a fetch that is due; it ends with eg_version_spread_fetch_ended().
 * @param[out] from VM that has the newer version.
 */
bool eg_version_spread_take_fetch (struct eg_version_spread *self,
                                   int64_t now_us,
                                   uint64_t *from);

/** Takes note that a fetch has ended, well or not. */
void eg_version_spread_fetch_ended (struct eg_version_spread *self);

/** Returns whether the version in use may be relied on. */
bool eg_version_spread_is_confirmed (const struct eg_version_spread *self);

EG_END_DECLS

#endif
