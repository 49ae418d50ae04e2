#include "entry/call_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"
#include "net/response_writer.h"

/* Refused requests come back after this: the time to load a lost server's
 * layers onto another, and to see it. */
#define RETRY_AFTER_PATH_MS 1500

static const char *
route_name (const struct eg_call *self)
{
  return *self->route.name ? self->route.name : "-";
}

/* One line for each request, at its end. */
void
eg_call_log_end (const struct eg_call *self,
                 const char *outcome,
                 unsigned status)
{
  const struct eg_entry *entry = self->entry;
  const struct eg_configuration *configuration = entry->configuration.now;
  int64_t now_us = eg_clock_now_us ();

  eg_log (EG_LOG_INFO, "call",
          "event=request-ended request=%.*s route=%s service=%s "
          "organisation=%s outcome=%s status=%u sends=%u moves=%u server=%s "
          "events=%" PRIu64 " first_event_ms=%" PRId64 " gap_ms=%" PRId64
          " total_ms=%" PRId64 " config=%" PRId64 " config_age_ms=%" PRId64,
          EG_STR_ARGS (self->facts.id), route_name (self), self->service,
          self->organisation, outcome, status, self->sends, self->moves,
          self->head_count ? self->heads[self->head_count - 1]->entry.id : "-",
          self->relay.events,
          self->first_event_us
              ? (self->first_event_us - self->arrived_us) / EG_US_PER_MS
              : -1,
          self->longest_gap_us / EG_US_PER_MS,
          (now_us - self->arrived_us) / EG_US_PER_MS,
          configuration ? configuration->version : -1,
          (now_us - entry->configuration.as_of_us) / EG_US_PER_MS);
}

/* Answers in place of a server. */
static void
answer_own (struct eg_call *self,
            unsigned status,
            const char *outcome,
            const char *cause,
            int64_t retry_after_ms)
{
  struct eg_connection *caller = self->caller;
  struct eg_buffer out = {0};
  char body[256];
  int len = snprintf (body, sizeof body,
                      "{\"status\":%u,\"cause\":\"%s\",\"ran\":\"%s\"}\n",
                      status, cause, self->may_have_run ? "unknown" : "no");

  eg_response_begin (&out, status);
  eg_response_write_request_id (&out, self->facts.id);
  eg_buffer_printf (&out,
                    "Content-Type: application/problem+json\r\n"
                    "Content-Length: %d\r\n",
                    len);
  if (retry_after_ms > 0)
    eg_buffer_printf (&out, "Retry-After: %g\r\n",
                      (double) retry_after_ms / 1000);
  if (eg_connection_will_close (caller))
    eg_buffer_append (&out, EG_STR ("Connection: close\r\n"));
  eg_buffer_append (&out, EG_STR ("\r\n"));
  eg_buffer_append (&out, (struct eg_str){body, (size_t) len});
  eg_call_log_end (self, outcome, status);
  eg_call_close (self);
  eg_connection_send (caller, eg_buffer_view (&out));
  eg_buffer_finish (&out);
  eg_connection_response_done (caller);
}

void
eg_call_refuse (struct eg_call *self, const char *cause, int64_t retry_after_ms)
{
  eg_metrics_count (&self->entry->metrics, EG_COUNT_REFUSED);
  answer_own (self, 503, cause, cause, retry_after_ms);
}

void
eg_call_reject (struct eg_call *self, unsigned status, const char *cause)
{
  eg_metrics_count (&self->entry->metrics, EG_COUNT_FAILED);
  answer_own (self, status, cause, cause, 0);
}

void
eg_call_abort_response (struct eg_call *self, const char *cause)
{
  struct eg_connection *caller = self->caller;

  eg_metrics_count (&self->entry->metrics, EG_COUNT_STREAMS_ABORTED);
  eg_call_log_end (self, cause, 0);
  eg_call_close (self);
  eg_connection_abort (caller);
}

static int64_t
retry_after_ms (const struct eg_call *self)
{
  return self->route.kind == EG_ROUTE_STREAM ? RETRY_AFTER_PATH_MS
                                             : EG_RETRY_AFTER_SERVER_MS;
}

void
eg_call_fail (struct eg_call *self,
              enum eg_resend_decision answer,
              const char *cause)
{
  switch (answer)
    {
    case EG_RESEND_ABORT:
      eg_call_abort_response (self, cause);
      return;
    case EG_RESEND_REFUSE:
      eg_call_refuse (self, cause, retry_after_ms (self));
      return;
    case EG_RESEND_TIMEOUT:
      eg_call_reject (self, 504, cause);
      return;
    default:
      eg_call_reject (self, 502, cause);
    }
}

/* Passes the answer that was gathered on as it is. */
void
eg_call_send_buffered_response (struct eg_call *self)
{
  struct eg_connection *caller = self->caller;
  struct eg_buffer out = {0};
  bool no_body = strcmp (self->head->method, "HEAD") == 0
                 || self->answer_status == 204 || self->answer_status == 304;

  eg_response_begin (&out, self->answer_status);
  eg_buffer_append (&out, eg_buffer_view (&self->answer_head));
  if (!no_body)
    eg_buffer_printf (&out, "Content-Length: %zu\r\n", self->answer_body.len);
  if (eg_connection_will_close (caller))
    eg_buffer_append (&out, EG_STR ("Connection: close\r\n"));
  eg_buffer_append (&out, EG_STR ("\r\n"));
  if (!no_body)
    eg_buffer_append (&out, eg_buffer_view (&self->answer_body));
  eg_metrics_count (&self->entry->metrics, EG_COUNT_ANSWERED);
  eg_metrics_observe (&self->entry->metrics, EG_TIME_ANSWER,
                      eg_clock_now_us () - self->arrived_us);
  eg_call_log_end (self, "answered", self->answer_status);
  eg_call_close (self);
  eg_connection_send (caller, eg_buffer_view (&out));
  eg_buffer_finish (&out);
  eg_connection_response_done (caller);
}

/* Begins an answer whose length is not known. */
static void
begin_open_answer (struct eg_call *self, struct eg_buffer *out)
{
  if (self->head_sent)
    return;
  self->head_sent = true;
  eg_response_begin (out, self->answer_status);
  eg_buffer_append (out, eg_buffer_view (&self->answer_head));
  if (self->head->minor_version > 0)
    eg_buffer_append (out, EG_STR ("Transfer-Encoding: chunked\r\n"));
  if (eg_connection_will_close (self->caller))
    eg_buffer_append (out, EG_STR ("Connection: close\r\n"));
  eg_buffer_append (out, EG_STR ("\r\n"));
}

static void
append_part (struct eg_call *self, struct eg_buffer *out, struct eg_str bytes)
{
  if (self->head->minor_version > 0)
    eg_response_chunk (out, bytes);
  else
    eg_buffer_append (out, bytes);
}

void
eg_call_end_response (struct eg_call *self)
{
  struct eg_connection *caller = self->caller;
  struct eg_buffer out = {0};

  begin_open_answer (self, &out);
  if (self->head->minor_version > 0)
    eg_response_last_chunk (&out);
  eg_metrics_count (&self->entry->metrics, EG_COUNT_ANSWERED);
  eg_call_log_end (self, "answered", self->answer_status);
  eg_call_close (self);
  eg_connection_send (caller, eg_buffer_view (&out));
  eg_buffer_finish (&out);
  eg_connection_response_done (caller);
}

void
eg_call_forward_body (struct eg_call *self, struct eg_str bytes)
{
  struct eg_buffer out = {0};

  begin_open_answer (self, &out);
  append_part (self, &out, bytes);
  eg_connection_send (self->caller, eg_buffer_view (&out));
  eg_buffer_finish (&out);
  if (eg_connection_is_congested (self->caller))
    eg_exchange_set_paused (&self->send.exchange, true);
}
