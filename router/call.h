/**
 * @file
 * One caller's request, shared by the thread that holds the caller's
 * connection and the decision thread.
 */
#ifndef EG_ROUTER_CALL_H
#define EG_ROUTER_CALL_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "base/ring.h"
#include "policy/lifecycle.h"

/** Longest text of a request id, key or ticket, with its final zero. */
#define EG_CALL_TEXT_BYTES 128

struct eg_metrics_series;

/** What a request asks for. */
enum eg_call_kind
{
  EG_CALL_COMPLETION,
  EG_CALL_SERVICE,
  EG_CALL_TICKET, /**< A ticket for one non-idempotent request. */
};

/** The kinds of reply to the caller's thread. */
enum eg_reply_kind
{
  EG_REPLY_TOKENS,  /**< Some tokens, in order. */
  EG_REPLY_DONE,    /**< A completion is whole. */
  EG_REPLY_ANSWER,  /**< A plain service's answer, whole. */
  EG_REPLY_REFUSAL, /**< There is no whole answer. */
};

/** One reply; the caller's thread frees it. */
struct eg_reply
{
  enum eg_reply_kind kind;
  struct eg_buffer events; /**< Of TOKENS: the server-sent events. */
  struct eg_buffer text;   /**< Of TOKENS: bare texts; of ANSWER: the body. */
  uint32_t token_count;
  int http_status;
  char content_type[EG_CALL_TEXT_BYTES];
  enum eg_refusal refusal;
  enum eg_ran ran;
  int64_t retry_after_us;
  char detail[256];
};

/** One request. */
struct eg_call
{
  atomic_uint references;
  struct eg_ring replies; /**< To the caller's thread. */

  /* Set by the caller's thread before the request is handed over. */
  enum eg_call_kind kind;
  uint64_t id;
  char request_id[EG_CALL_TEXT_BYTES];
  char organisation[EG_NAME_BYTES];
  char class_name[EG_NAME_BYTES]; /**< As asked for, then as given. */
  char target[EG_NAME_BYTES];     /**< Model or plain service. */
  char key[EG_CALL_TEXT_BYTES];
  char ticket[EG_CALL_TEXT_BYTES];
  char method[16];
  char content_type[EG_CALL_TEXT_BYTES];
  struct eg_buffer path; /**< Path and query towards a plain service. */
  struct eg_buffer body;
  struct eg_buffer prompt;
  int64_t max_tokens;
  bool stream;
  bool idempotent;
  int64_t arrived_us;
  int64_t budget_us; /**< 0 where the caller names none. */

  /* The decision thread's own. */
  unsigned class_index;
  int64_t priority;                 /**< Towards engines; higher goes first. */
  struct eg_metrics_series *series; /**< Of organisation and class. */
  struct eg_outcome outcome;
  int64_t send_by_us; /**< No attempt begins later; INT64_MAX for no bound. */
  struct eg_reply *gathered; /**< Tokens that wait for room in the ring. */
  struct eg_buffer answer;   /**< Kept for repeats of a request with a key. */
  struct eg_buffer tokens;   /**< Committed, as the inside of a JSON array. */
  int64_t last_token_us;
  int64_t token_count;
  bool forwarded; /**< Whether another entry VM runs it, by its ticket. */
};

/** Makes a call with one reference; NULL if the system refuses. */
struct eg_call *eg_call_new (uint64_t id);

/** Takes another reference. */
struct eg_call *eg_call_ref (struct eg_call *self);

/** Gives a reference back; the last one frees the call. */
void eg_call_unref (struct eg_call *self);

/** Appends the answer of a completion that is not streamed. */
void eg_call_write_completion (const struct eg_call *self,
                               struct eg_str text,
                               int64_t token_count,
                               struct eg_buffer *json);

/** Makes a reply; never NULL. */
struct eg_reply *eg_reply_new (enum eg_reply_kind kind);

/** Frees a reply. */
void eg_reply_free (struct eg_reply *self);

/**
 * Sends the gathered tokens, unless a slow caller has left the ring full; then
 * they wait for the next call.
 */
void eg_call_send_tokens (struct eg_call *self);

/** Sends the gathered tokens and the last reply, for which there is room. */
void eg_call_end (struct eg_call *self, struct eg_reply *reply);

#endif
