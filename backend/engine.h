/**
 * @file
 * The protocol of model engines; the one place that knows it.
 */
#ifndef EG_BACKEND_ENGINE_H
#define EG_BACKEND_ENGINE_H

#include "base/buffer.h"
#include "base/decls.h"
#include "base/status.h"
#include "policy/orders.h"
#include "policy/placement.h"

EG_BEGIN_DECLS

/** Longest identifier of a request towards engines, with its final zero. */
#define EG_ENGINE_REQUEST_BYTES 64

/** What an engine is asked to generate. */
struct eg_engine_generate
{
  const char *request; /**< Unique among all entry VMs. */
  uint32_t attempt;
  int64_t priority; /**< Higher goes first. */
  struct eg_str prompt;
  struct eg_str tokens; /**< Committed ones, as the inside of a JSON array. */
  int64_t max_tokens;
  const struct eg_chain *chain;
  const struct eg_servers *servers;
};

/** What one event of an engine's stream says. */
enum eg_engine_event_kind
{
  EG_ENGINE_TOKEN,
  EG_ENGINE_DONE,
  EG_ENGINE_STAGE_FAILED,
  EG_ENGINE_INVALID,
};

/** One event of an engine's stream. */
struct eg_engine_event
{
  enum eg_engine_event_kind kind;
  int64_t position;
  char address[EG_ADDRESS_BYTES]; /**< Of the stage that failed. */
  bool away; /**< Whether that stage had not begun: it was not reached. */
  struct eg_buffer token; /**< Kept between events. */
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
 * @param fencing version of the orderer's lease.
 */
void eg_engine_write_order (struct eg_buffer *body,
                            const struct eg_order *order,
                            uint64_t fencing);

/**
 * Reads one event of a stream.
 * @param name of the event; empty for a token or the end.
 */
void eg_engine_read_event (struct eg_str name,
                           struct eg_str data,
                           struct eg_engine_event *event);

/** Tells whether a refusal's body promises that nothing ran. */
bool eg_engine_refusal_not_executed (struct eg_str body);

/**
 * Reads the answer of `GET /v1/load`.
 * @param now_us monotonic time of its arrival.
 * @param wall_us wall time at @p now_us, as `as_of_ms` is wall time.
 */
enum eg_status eg_engine_read_load (struct eg_str body,
                                    int64_t now_us,
                                    int64_t wall_us,
                                    struct eg_server_report *report,
                                    struct eg_error *error);

EG_END_DECLS

#endif
