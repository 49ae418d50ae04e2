/**
 * @file
 * Interface shared by the parts of a call: attempts (call.c), attempts through
 * peers (call_hop.c), responses (call_answer.c) and moves to other paths
 * (call_move.c).
 */
#ifndef EG_ENTRY_CALL_STATE_H
#define EG_ENTRY_CALL_STATE_H

#include "entry/call.h"
#include "policy/shortage.h"

struct eg_member;
struct eg_peer_paths;

/**
 * Retry-After sent for requests to plain servers, which recover quickly or not
 * at all.
 */
#define EG_RETRY_AFTER_SERVER_MS 250

/**
 * Retry-After sent until a configuration has arrived and other VMs have been
 * asked for a newer one.
 */
#define EG_RETRY_AFTER_CONFIGURATION_MS 500

/** Where a request is sent next. */
struct eg_call_target
{
  struct eg_placement placement;
  const struct eg_member *peer; /**< NULL: @c placement. */
};

/** What is to be done with a request that no attempt runs for. */
enum eg_call_action
{
  EG_CALL_SENDS,
  EG_CALL_HOLDS,      /**< Until the outcome of another one is known. */
  EG_CALL_ASKS_PEERS, /**< Waits a moment for the answers of peers. */
  EG_CALL_GIVES_UP,   /**< See eg_call_give_up() and eg_call_wait_hold(). */
};

/** The next step of a request. */
struct eg_call_step
{
  enum eg_call_action action;
  struct eg_call_target target; /**< Of EG_CALL_SENDS. */
  const char *cause;            /**< Of the other actions. */
  enum eg_resend_limit limit;   /**< Of EG_CALL_GIVES_UP. */
};

/**
 * Decides on the next attempt. Nothing of the call is changed, and of the
 * daemon only its random numbers and @p peers.
 */
struct eg_call_step eg_call_decide (struct eg_call *self,
                                    struct eg_peer_paths *peers,
                                    int64_t now_us);

/** Decides what the caller is told if @p limit rules out a send. */
enum eg_resend_decision eg_call_give_up (const struct eg_call *self,
                                         enum eg_resend_limit limit,
                                         int64_t now_us);

/** Returns the route of the request in its configuration, or NULL. */
const struct eg_route *eg_call_find_route (const struct eg_call *self);

/** Sets the route, and what follows from it alone. */
void eg_call_set_route (struct eg_call *self, const struct eg_route *route);

/**
 * Checks the key of a request against a configuration.
 * @param[out] organisation that owns the key.
 * @return false if the request was answered with an error.
 */
bool eg_call_check_key (struct eg_call *self,
                        const struct eg_configuration *configuration,
                        const struct eg_organisation **organisation);

/** Sets the organisation of a request whose route needs one. */
void eg_call_set_organisation (struct eg_call *self,
                               const struct eg_organisation *organisation);

/** Returns whether the route needs no API key, or keys may be used now. */
bool eg_call_may_use_key (const struct eg_call *self, int64_t now_us);

/** Sets the rest of what the first attempt needs; chooses the service. */
void eg_call_prepare (struct eg_call *self);

/**
 * Returns when the client of a refused request is to come back.
 * @param shortage of its service; takes note of the refusal.
 * @param wait the queue of its service, or a copy; see
 *   eg_call_wait_return_us().
 */
int64_t eg_call_find_retry_after_ms (const struct eg_call *self,
                                     struct eg_shortage *shortage,
                                     struct eg_service_wait *wait,
                                     int64_t now_us);

/**
 * Returns the service of the request in the current configuration, or NULL if
 * it was removed.
 */
const struct eg_service_config *eg_call_service (const struct eg_call *self);

/**
 * Releases everything the call holds. The response must be handled by whoever
 * calls this function.
 */
void eg_call_close (struct eg_call *self);

/** Returns whether the request may be executed more than once. */
bool eg_call_is_repeatable (const struct eg_call *self);

/** Returns the first server of the current attempt. */
struct eg_backend *eg_call_first_server (const struct eg_call *self);

/** Handles the failure of the current attempt: retries it, or ends the call. */
void eg_call_attempt_failed (struct eg_call *self, const char *cause);

/**
 * Replaces the active attempt, which might still succeed, by a new one.
 * @return false if no better server is available; the attempt then continues.
 */
bool eg_call_replace_attempt (struct eg_call *self, const char *cause);

/**
 * Adds the request to the load of every server of a placement and takes
 * references.
 */
void eg_attempt_hold_placement (const struct eg_attempt *attempt,
                                const struct eg_placement *placement);

/**
 * Removes the request from the load of every server of a placement and drops
 * the references.
 */
void eg_attempt_release_placement (const struct eg_attempt *attempt,
                                   struct eg_placement *placement);

/** Formats a placement as the layer path that engines expect. */
void eg_call_write_path (const struct eg_placement *placement,
                         struct eg_buffer *path);

/** Returns after which time the caller comes back at the earliest if the
 * request is refused for want of a server. */
int64_t eg_call_shortest_return_us (const struct eg_call *self);

/** Returns the time that is left for the next attempt. */
int64_t eg_call_timeout_ms (const struct eg_call *self, int64_t now_us);

/**
 * Returns the number of servers that the request was sent to first on a path.
 * Those that have left, ended or been cut off do not count.
 */
size_t eg_call_count_first_servers (const struct eg_call *self, int64_t now_us);

/**
 * Returns the number of further servers that the request may be sent to. An
 * attempt through a peer may use as many as it was allowed.
 */
unsigned eg_call_count_servers_left (const struct eg_call *self,
                                     int64_t now_us);

/** Initialises the next attempt, but for its target, and counts it. */
void eg_call_prepare_attempt (struct eg_call *self,
                              const struct eg_exchange_events *events,
                              int64_t now_us);

/** Takes back that the attempt is a trial of its parts: it has not run. */
void eg_call_undo_trial (struct eg_call *self);

/**
 * Takes back what was counted for an attempt whose connection was not
 * established: nothing was sent.
 */
void eg_call_undo_send (struct eg_call *self);

/** Handles the head of a response; see struct eg_exchange_events. */
enum eg_exchange_verdict eg_call_on_head (void *context,
                                          const struct eg_http_head *head);

/** Handles a part of the body of a response. */
void eg_call_on_body (void *context, struct eg_str bytes);

/** Returns whether clients conclude from a status that the request has not run.
 */
bool eg_call_implies_not_executed (unsigned status);

/** Returns why a stream whose response has ended is not whole, or NULL. */
const char *eg_call_find_stream_fault (const struct eg_call *self);

/**
 * Returns the peer to send the request through, or NULL if there is none or
 * this VM itself reaches as much. Counts the request in @p peers.
 */
const struct eg_member *eg_call_choose_peer (struct eg_call *self,
                                             struct eg_peer_paths *peers,
                                             int64_t now_us);

/** Starts an attempt through a peer. */
void eg_call_start_hop (struct eg_call *self,
                        const struct eg_member *peer,
                        int64_t now_us);

/** Takes back what eg_call_start_hop() alone has counted. */
void eg_call_undo_hop (struct eg_call *self);

/** Handles time-outs of an attempt through a peer. */
void eg_call_check_hop (struct eg_call *self, int64_t now_us);

/** Handles an attempt through a peer that was not connected to in time. */
void eg_call_hop_not_connected (struct eg_call *self);

/** Returns the placement constraints of the request. */
struct eg_placement_request
eg_call_placement_request (const struct eg_call *self,
                           const struct eg_service_config *service);

/** Logs the outcome of the request. */
void eg_call_log_end (const struct eg_call *self,
                      const char *outcome,
                      unsigned status);

/**
 * Sends a 503 response: the request was not executed and may be retried after
 * the given time.
 */
void eg_call_refuse (struct eg_call *self,
                     const char *cause,
                     int64_t retry_after_ms);

/**
 * Sends an error response without Retry-After: the client must not retry the
 * request automatically.
 */
void eg_call_reject (struct eg_call *self, unsigned status, const char *cause);

/** Closes the connection in the middle of a response. */
void eg_call_abort_response (struct eg_call *self, const char *cause);

/** Ends the call with the given failure, which must not be EG_RESEND. */
void eg_call_fail (struct eg_call *self,
                   enum eg_resend_decision decision,
                   const char *cause);

/** Sends the buffered response to the client unchanged. */
void eg_call_send_buffered_response (struct eg_call *self);

/** Forwards part of a response body of unknown length. */
void eg_call_forward_body (struct eg_call *self, struct eg_str bytes);

/** Completes a response body of unknown length. */
void eg_call_end_response (struct eg_call *self);

/** Cancels the pending move, if any. */
void eg_attempt_cancel_move (struct eg_attempt *attempt);

/** Handles a stream from which nothing was received for some time. */
void eg_call_check_stream (struct eg_call *self, int64_t now_us);

#endif
