/**
 * @file
 * Forwards server-sent events whole and exactly once, over one or more attempts
 * at the same stream.
 *
 * An event that is cut off when an attempt fails is discarded; the next attempt
 * resumes after the last event that was forwarded.
 */
#ifndef EG_POLICY_EVENT_RELAY_H
#define EG_POLICY_EVENT_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "base/decls.h"

EG_BEGIN_DECLS

/** Maximum size of an event in bytes; a longer one is a server error. */
#define EG_EVENT_BYTES_MAX 262144
/** Maximum size of an event id, with its NUL. */
#define EG_EVENT_ID_BYTES 64

/** Relay of one stream; allocated by the caller. */
struct eg_event_relay
{
  struct eg_buffer partial;        /**< Bytes of the incomplete event. */
  char last_id[EG_EVENT_ID_BYTES]; /**< Last forwarded; empty at first. */
  uint64_t events;                 /**< Number forwarded. */
  bool id_received; /**< @c last_id is that of an event, not of the client. */
  bool run_begun;   /**< The current attempt delivered an event. */
};

/** Result of eg_event_relay_feed(). */
enum eg_relay_result
{
  EG_RELAY_OK,
  EG_RELAY_TOO_LONG,     /**< An event or its id is too long. */
  EG_RELAY_OUT_OF_ORDER, /**< A number that is not higher than the last one,
                              another id that is equal to it, or a change
                              between the two kinds. */
};

/** Initialises to resume after @p last_id; empty for a new stream. */
void eg_event_relay_init (struct eg_event_relay *self, struct eg_str last_id);

/** Frees the buffer. */
void eg_event_relay_finish (struct eg_event_relay *self);

/** Discards the incomplete event before another attempt at the stream. */
void eg_event_relay_restart (struct eg_event_relay *self);

/**
 * Adds bytes of the current attempt, and appends the events that they complete
 * to @p out.
 */
enum eg_relay_result eg_event_relay_feed (struct eg_event_relay *self,
                                          struct eg_str bytes,
                                          struct eg_buffer *out);

/** Tells whether an incomplete event is buffered. */
bool eg_event_relay_is_partial (const struct eg_event_relay *self);

EG_END_DECLS

#endif
