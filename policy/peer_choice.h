/**
 * @file
 * Chooses the VM through which a request is sent that this VM cannot send to a
 * backend server itself.
 *
 * It answers the load of VMs that have lost their path to servers, from one VM
 * to most of a failure domain or of the fleet, while others still serve. Who
 * needs a peer asks a few at a time, and what they answer holds for a second,
 * so that nothing is exchanged otherwise. The peer with most room is chosen,
 * rather one of the same failure domain, with some noise: VMs that lost their
 * path together do not all choose the same one.
 */
#ifndef EG_POLICY_PEER_CHOICE_H
#define EG_POLICY_PEER_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/random.h"

EG_BEGIN_DECLS

/** Most peers remembered; the least recent answer is dropped for a new one. */
#define EG_PEER_OPTIONS_MAX 32
/** Peers asked at a time. */
#define EG_PEERS_ASKED 6

/** A peer as it answered last. */
struct eg_peer_option
{
  uint64_t peer; /**< Any key that identifies it. */
  bool same_domain;
  bool serves; /**< It reaches servers and has room. */
  /** Requests in progress, relative to what the VM can process. */
  double load;
  double load_per_request; /**< What one more request adds. */
  unsigned sent;           /**< By this VM since the answer. */
  int64_t answered_us;
  int64_t failed_us; /**< When a request last failed there; 0: never. */
};

/** What a VM knows of its peers; zeroed: nothing. */
struct eg_peer_choice
{
  struct eg_peer_option options[EG_PEER_OPTIONS_MAX];
  size_t count;
  int64_t needed_us;       /**< When a peer was last needed; 0: never. */
  int64_t needed_since_us; /**< When that began. */
  int64_t asked_us;
};

/** Takes note that requests need a peer. */
void eg_peer_choice_need (struct eg_peer_choice *self, int64_t now_us);

/**
 * Returns how many random peers to ask now, half of them from this VM's own
 * failure domain; call it on every tick.
 */
size_t eg_peer_choice_check (struct eg_peer_choice *self, int64_t now_us);

/** Takes note of a peer's answer; only its description is read. */
void eg_peer_choice_answered (struct eg_peer_choice *self,
                              const struct eg_peer_option *answer,
                              int64_t now_us);

/** Takes note that a peer does not serve, as it has refused a request. */
void eg_peer_choice_refused (struct eg_peer_choice *self,
                             uint64_t peer,
                             int64_t now_us);

/** Takes note that a peer was not reached, or lost a request before it
 *  responded. */
void eg_peer_choice_failed (struct eg_peer_choice *self,
                            uint64_t peer,
                            int64_t now_us);

/** Returns whether a peer is known to serve. */
bool eg_peer_choice_has_server (const struct eg_peer_choice *self,
                                int64_t now_us);

/**
 * Returns whether peers have only just been asked, so that a request that finds
 * none may wait a moment for their answers.
 */
bool eg_peer_choice_may_learn (const struct eg_peer_choice *self,
                               int64_t now_us);

/**
 * Chooses a peer for a request, and counts the request there.
 * @param tried peers that the request was already sent through.
 * @return the peer; 0: none that is known to serve.
 */
uint64_t eg_peer_choice_take (struct eg_peer_choice *self,
                              const uint64_t *tried,
                              size_t tried_count,
                              struct eg_random *random,
                              int64_t now_us);

/**
 * Returns whether a peer may be tried without an answer from it: peers have
 * only just been asked, and this one has neither failed nor said that it does
 * not serve.
 */
bool eg_peer_choice_may_guess (const struct eg_peer_choice *self,
                               uint64_t peer,
                               int64_t now_us);

EG_END_DECLS

#endif
