/**
 * @file
 * Messages of the model engine protocol; all code that depends on it is here.
 */
#ifndef EG_BACKEND_ENGINE_H
#define EG_BACKEND_ENGINE_H

#include "base/buffer.h"
#include "base/decls.h"
#include "base/status.h"
#include "policy/orders.h"
#include "policy/placement.h"

EG_BEGIN_DECLS

/** Buffer size of an engine request ID, including the terminating zero. */
#define EG_ENGINE_REQUEST_BYTES 64

/** Parameters of a generation request. */
struct eg_engine_generate
{
  const char *request; /**< Request ID, unique among all entry VMs. */
  uint32_t attempt;
  int64_t priority; /**< Higher values are served first. */
  struct eg_str prompt;
  struct eg_str tokens; /**< Delivered tokens: elements of a JSON array. */
  int64_t max_tokens;
  const struct eg_chain *chain;
  const struct eg_servers *servers;
};

/** Kinds of events in an engine's stream. */
enum eg_engine_event_kind
{
  EG_ENGINE_TOKEN,        /**< A token. */
  EG_ENGINE_DONE,         /**< The stream is complete. */
  EG_ENGINE_STAGE_FAILED, /**< A stage of the chain failed. */
  EG_ENGINE_INVALID,      /**< Malformed event. */
};

/** A decoded event of an engine's stream. */
struct eg_engine_event
{
  enum eg_engine_event_kind kind;
  int64_t position;               /**< Position of a token, from 1. */
  char address[EG_ADDRESS_BYTES]; /**< Of the failed stage. */
  bool unreachable; /**< The failed stage was not reached: it did not start. */
  struct eg_buffer token; /**< Token text; memory is reused between events. */
};

/** Appends the body of `POST /v1/generate`. */
void eg_engine_write_generate (struct eg_buffer *body,
                               const struct eg_engine_generate *generate);

/** Appends the body of `POST /v1/cancel`. */
void eg_engine_write_cancel (struct eg_buffer *body,
                             const char *request,
                             uint32_t attempt);

/**
 * Appends the body of `POST /v1/orders`.
 * @param fencing fencing token: version of the lease under which it is sent.
 */
void eg_engine_write_order (struct eg_buffer *body,
                            const struct eg_order *order,
                            uint64_t fencing);

/**
 * Decodes an event of a stream.
 * @param name event name; empty for a token or the end of the stream.
 */
void eg_engine_read_event (struct eg_str name,
                           struct eg_str data,
                           struct eg_engine_event *event);

/** Returns whether the body of a 503 response states that nothing was run. */
bool eg_engine_refusal_not_executed (struct eg_str body);

/**
 * Parses the response to `GET /v1/load`.
 * @param now_us monotonic time at which it was received.
 * @param wall_us wall-clock time at @p now_us; `as_of_ms` is wall-clock time.
 * @return EG_OK, or EG_INVALID with a message.
 */
enum eg_status eg_engine_read_load (struct eg_str body,
                                    int64_t now_us,
                                    int64_t wall_us,
                                    struct eg_server_report *report,
                                    struct eg_error *error);

EG_END_DECLS

#endif
