/**
 * @file
 * One request of a caller: where it goes, how often it is sent, and the one
 * answer that it gets.
 */
#ifndef EG_ENTRY_CALL_H
#define EG_ENTRY_CALL_H

#include "entry/fleet.h"
#include "entry/placement.h"
#include "platform/headers.h"
#include "policy/configuration.h"
#include "policy/event_relay.h"
#include "policy/resend.h"

struct eg_entry;
struct eg_connection;

/** Most first servers of one request. */
#define EG_CALL_FIRST_SERVERS_MAX 8

/** How the answer of the present send is handled. */
enum eg_response_mode
{
  EG_RESPONSE_PENDING,   /**< No head yet. */
  EG_RESPONSE_BUFFERED,  /**< Kept until it is whole. */
  EG_RESPONSE_FORWARDED, /**< Too long to keep: passed on as it comes. */
  EG_RESPONSE_EVENTS,    /**< A stream, passed on event by event. */
};

/** One send of the request. */
struct eg_attempt
{
  struct eg_exchange exchange;
  struct eg_placement place; /**< Held while the send is under way. */
  double kv_tokens;          /**< Counted on each server of the path. */
  bool active;
  bool ran_before; /**< An earlier send may have run. */
  int64_t begun_us;
  int64_t heard_us; /**< Of the last byte, or of the start. */
  enum eg_response_mode mode;
  struct eg_response_headers facts;
  unsigned status;
  struct eg_exchange move;  /**< An order to go on by another path. */
  struct eg_placement next; /**< That path; held while @c moving. */
  bool moving;
  unsigned move_status;
  unsigned move_refusals; /**< Of orders of this send. */
  struct eg_buffer move_body;
  int64_t move_us;
};

/** A request; memory of its caller's connection. */
struct eg_call
{
  struct eg_entry *entry;
  struct eg_connection *caller;
  const struct eg_http_head *head;
  struct eg_str body;
  struct eg_request_headers facts;
  struct eg_route route;
  char service[EG_CONFIG_NAME_BYTES];
  char organisation[EG_CONFIG_NAME_BYTES];
  bool keyed;
  unsigned priority;
  int64_t arrived_us;
  int64_t deadline_us;
  int64_t first_event_us; /**< 0: none yet. */
  int64_t last_event_us;
  int64_t longest_gap_us; /**< Between two events. */
  unsigned sends;
  unsigned tries;
  unsigned moves; /**< To other paths, within one run. */
  bool may_have_run;
  bool head_sent; /**< The caller has the answer's head. */
  bool active;
  struct eg_backend *heads[EG_CALL_FIRST_SERVERS_MAX]; /**< Held. */
  size_t head_count;
  struct eg_attempt send;
  struct eg_buffer answer_head;
  struct eg_buffer answer_body;
  unsigned answer_status;
  struct eg_event_relay relay;
};

/** Prepares a call that is not under way. */
void eg_call_init (struct eg_call *self,
                   struct eg_entry *entry,
                   struct eg_connection *caller);

/** Frees what the call holds. */
void eg_call_finish (struct eg_call *self);

/**
 * Begins to serve a request that was read whole. It ends with
 * eg_connection_response_done() or eg_connection_abort(), perhaps before this
 * returns.
 * @param head stays unchanged until the end.
 */
void eg_call_start (struct eg_call *self,
                    const struct eg_http_head *head,
                    struct eg_str body);

/** The caller has left: stops the work at once. */
void eg_call_cancel (struct eg_call *self);

/** A stop cannot wait any longer. */
void eg_call_abort (struct eg_call *self);

/** Does what is due. */
void eg_call_check (struct eg_call *self, int64_t now_us);

/** The caller's connection takes bytes again. */
void eg_call_resume_reading (struct eg_call *self);

/** A server came under suspicion, or is leaving: moves the request if it is
    concerned. */
void eg_call_servers_changed (struct eg_call *self, int64_t now_us);

/** An engine says that it cannot go on with this stream. */
void eg_call_stream_stalled (struct eg_call *self,
                             const struct eg_stalled_stream *stalled,
                             int64_t now_us);

#endif
