/**
 * @file
 * What the parts of a call share: its answers (call_answer.c), its sends
 * (call.c) and its moves to other paths (call_move.c).
 */
#ifndef EG_ENTRY_CALL_STATE_H
#define EG_ENTRY_CALL_STATE_H

#include "entry/call.h"

/** Refused requests to plain servers come back after this: such servers are
   back soon, or not at all. */
#define EG_RETRY_AFTER_SERVER_MS 250

/** Returns the service of the request as it is configured now, or NULL. */
const struct eg_service_config *eg_call_service (const struct eg_call *self);

/** Ends a call; the caller of this settles its answer, or the lack of one. */
void eg_call_close (struct eg_call *self);

/** Tells whether the request may run more than once. */
bool eg_call_is_repeatable (const struct eg_call *self);

/** Returns the first server of the present send. */
struct eg_backend *eg_call_first_server (const struct eg_call *self);

/** The present send has come to nothing: another one, or the end. */
void eg_call_attempt_failed (struct eg_call *self, const char *cause);

/**
 * Leaves a send that may still come to something for another one.
 * @return false if there is no better way: the send goes on.
 */
bool eg_call_replace_attempt (struct eg_call *self, const char *cause);

/** Counts the request on the servers of a place. */
void eg_attempt_hold_placement (const struct eg_attempt *send,
                                const struct eg_placement *place);

/** Takes the request off the servers of a place. */
void eg_attempt_release_placement (const struct eg_attempt *send,
                                   struct eg_placement *place);

/** Writes a place as engines read a path. */
void eg_call_write_path (const struct eg_placement *place,
                         struct eg_buffer *path);

/** Returns what placement has to know of the request. */
struct eg_placement_request
eg_call_placement_request (const struct eg_call *self,
                           const struct eg_service_config *service);

/** Logs the end of a request. */
void eg_call_log_end (const struct eg_call *self,
                      const char *outcome,
                      unsigned status);

/** Says that the request has not run, and when to come back. */
void eg_call_refuse (struct eg_call *self,
                     const char *cause,
                     int64_t retry_after_ms);

/** Says that the request has failed, or is not allowed. */
void eg_call_reject (struct eg_call *self, unsigned status, const char *cause);

/** Breaks off an answer that has begun. */
void eg_call_abort_response (struct eg_call *self, const char *cause);

/** Ends the call as decided; not with EG_RESEND. */
void eg_call_fail (struct eg_call *self,
                   enum eg_resend_decision answer,
                   const char *cause);

/** Passes the answer that was gathered on as it is. */
void eg_call_send_buffered_response (struct eg_call *self);

/** Passes a part of an answer of unknown length on. */
void eg_call_forward_body (struct eg_call *self, struct eg_str bytes);

/** Ends an answer of unknown length. */
void eg_call_end_response (struct eg_call *self);

/** Ends an order to move that is under way. */
void eg_attempt_cancel_move (struct eg_attempt *send);

/** Looks after a stream that is silent. */
void eg_call_check_stream (struct eg_call *self, int64_t now_us);

#endif
