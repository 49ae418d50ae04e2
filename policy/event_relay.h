/**
 * @file
 * Passes server-sent events on whole and once, over one or more runs of the
 * same stream.
 *
 * A run that breaks off in the middle of an event leaves nothing of it; a later
 * run goes on behind the last event that was passed on.
 */
#ifndef EG_POLICY_EVENT_RELAY_H
#define EG_POLICY_EVENT_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "base/decls.h"

EG_BEGIN_DECLS

/** Longest event, in bytes; a longer one is an error of the server. */
#define EG_EVENT_BYTES_MAX 262144
/** Longest id of an event, with its final zero. */
#define EG_EVENT_ID_BYTES 64

/** The relay of one stream; memory of the caller. */
struct eg_event_relay
{
  struct eg_buffer partial;        /**< Of the event that is coming in. */
  char last_id[EG_EVENT_ID_BYTES]; /**< Passed on last; empty at first. */
  uint64_t events;                 /**< Passed on so far. */
  bool run_begun;                  /**< An event of the present run came. */
};

/** What a feed found. */
enum eg_relay_result
{
  EG_RELAY_OK,
  EG_RELAY_TOO_LONG,     /**< An event is over EG_EVENT_BYTES_MAX. */
  EG_RELAY_OUT_OF_ORDER, /**< Ids go back, or leave one out. */
};

/** Starts behind @p last_id, which is empty for a stream from its start. */
void eg_event_relay_init (struct eg_event_relay *self, struct eg_str last_id);

/** Frees what the relay holds. */
void eg_event_relay_finish (struct eg_event_relay *self);

/** Forgets the unfinished event: another run goes on. */
void eg_event_relay_restart (struct eg_event_relay *self);

/**
 * Takes bytes of the present run and appends the events that they complete
 * to @p out.
 */
enum eg_relay_result eg_event_relay_feed (struct eg_event_relay *self,
                                          struct eg_str bytes,
                                          struct eg_buffer *out);

/** Tells whether a part of an event is held back. */
bool eg_event_relay_is_partial (const struct eg_event_relay *self);

EG_END_DECLS

#endif
