/**
 * @file
 * A client's request, shared by the thread that serves the client's connection
 * (the connection thread) and the decision thread.
 */
#ifndef EG_ROUTER_CALL_H
#define EG_ROUTER_CALL_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "base/ring.h"
#include "policy/lifecycle.h"

/** Capacity for a request id, key or ticket, including the terminating NUL. */
#define EG_CALL_TEXT_BYTES 128

struct eg_metrics_series;

/** Type of a request. */
enum eg_call_kind
{
  EG_CALL_COMPLETION,
  EG_CALL_SERVICE,
  EG_CALL_TICKET, /**< Issue a ticket for one non-idempotent request. */
};

/** The kinds of reply to the connection thread. */
enum eg_reply_kind
{
  EG_REPLY_TOKENS, /**< Consecutive tokens of a completion. */
  EG_REPLY_DONE,   /**< The completion is complete. */
  /** The complete answer of a plain service or of another entry VM, a stored
      answer, or a ticket. */
  EG_REPLY_ANSWER,
  EG_REPLY_REFUSAL, /**< The request failed or was refused. */
};

/** A reply; freed by the connection thread. */
struct eg_reply
{
  enum eg_reply_kind kind;
  struct eg_buffer events; /**< TOKENS: encoded server-sent events. */
  struct eg_buffer text;   /**< TOKENS: token texts; ANSWER: the body. */
  uint32_t token_count;
  int http_status;
  char content_type[EG_CALL_TEXT_BYTES];
  enum eg_refusal refusal;
  enum eg_ran ran;
  int64_t retry_after_us;
  char detail[256];
};

/** A request. */
struct eg_call
{
  atomic_uint references;
  struct eg_ring replies; /**< Read by the connection thread. */

  /* Set by the connection thread before it submits the request. */
  enum eg_call_kind kind;
  uint64_t id;
  char request_id[EG_CALL_TEXT_BYTES];
  char organisation[EG_NAME_BYTES];
  char class_name[EG_NAME_BYTES]; /**< As requested, later as resolved. */
  char target[EG_NAME_BYTES];     /**< Name of the model or plain service. */
  char key[EG_CALL_TEXT_BYTES];
  char ticket[EG_CALL_TEXT_BYTES];
  char method[16];
  char content_type[EG_CALL_TEXT_BYTES];
  struct eg_buffer path; /**< Path and query sent to a plain service. */
  struct eg_buffer body;
  struct eg_buffer prompt;
  int64_t max_tokens;
  bool stream;
  bool idempotent;
  int64_t arrived_us;
  int64_t budget_us; /**< Time limit; 0 if the client sets none. */

  /* Owned by the decision thread. */
  unsigned class_index;
  int64_t priority; /**< Sent to engines; higher is served first. */
  struct eg_metrics_series *series; /**< For the organisation and class. */
  struct eg_outcome outcome;
  int64_t send_by_us; /**< No attempt starts later; INT64_MAX: no limit. */
  struct eg_reply *pending_tokens; /**< Tokens waiting for room in the ring. */
  struct eg_buffer answer; /**< Completion text, for repeated requests. */
  struct eg_buffer tokens; /**< Committed tokens, as JSON array elements. */
  int64_t last_token_us;
  int64_t token_count;
  bool forwarded; /**< Passed to the entry VM that issued its ticket. */
};

/** Creates a call with one reference; NULL if out of resources. */
struct eg_call *eg_call_new (uint64_t id);

/** Adds a reference and returns @p self. */
struct eg_call *eg_call_ref (struct eg_call *self);

/** Drops a reference; the last one frees the call. NULL is ignored. */
void eg_call_unref (struct eg_call *self);

/** Appends the JSON answer of a completion that is not streamed. */
void eg_call_write_completion (const struct eg_call *self,
                               struct eg_str text,
                               int64_t token_count,
                               struct eg_buffer *json);

/** Creates a reply; never NULL. */
struct eg_reply *eg_reply_new (enum eg_reply_kind kind);

void eg_reply_free (struct eg_reply *self);

/**
 * Sends the pending tokens. If a slow client has left the ring full, they stay
 * pending until the next call.
 */
void eg_call_flush_tokens (struct eg_call *self);

/** Sends the pending tokens and the last reply; slots are reserved for both. */
void eg_call_end (struct eg_call *self, struct eg_reply *reply);

#endif
