#include "entry/call_state.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"

/* Peers that refuse, or cannot be reached, per request. */
#define HOPS_MAX EG_CALL_PEERS_MAX
/* The peer itself replaces a stream's silent server within 1.3 s; clients give
 * up after 2 s. */
#define STREAM_TIMEOUT_US (1600 * EG_US_PER_MS)
/* A repeatable request that has run for this multiple of its latency goal is
 * sent through another peer. The peer replaces a slow server before. */
#define SLOW_LATENCY_GOALS 6
/* After a peer could not serve a request either, this VM tries no other one for
 * the same service, as long as it reaches servers itself. */
#define PEERS_REFUSED_US (500 * EG_US_PER_MS)

unsigned
eg_call_count_servers_left (const struct eg_call *self, int64_t now_us)
{
  const struct eg_attempt *attempt = &self->attempt;
  size_t used =
      eg_call_count_first_servers (self, now_us) + self->servers_used_by_peers;

  if (attempt->active && attempt->by_peer
      && eg_exchange_is_connected (&attempt->exchange))
    used += attempt->peer_servers_max;
  return used < self->servers_max ? self->servers_max - (unsigned) used : 0;
}

/* Returns whether a server of the service is suspect, so that a peer may reach
 * what this VM does not. */
static bool
has_suspect_server (const struct eg_call *self, int64_t now_us)
{
  const struct eg_list *all = &self->entry->fleet.all;

  for (const struct eg_list *at = all->next; at != all; at = at->next)
    {
      const struct eg_backend *backend =
          EG_CONTAINER_OF (at, struct eg_backend, all);

      if (backend->listed && !eg_backend_is_leaving (backend)
          && eg_backend_is_suspect (backend, now_us)
          && eg_str_equal (backend->record.service, self->service))
        return true;
    }
  return false;
}

const struct eg_member *
eg_call_choose_peer (struct eg_call *self, int64_t now_us)
{
  const struct eg_service_state *service =
      eg_entry_service (self->entry, self->service);
  bool reaches = self->entry->fleet.reach.state == EG_REACH_OK;

  if (self->is_from_peer || self->tried_peer_count == HOPS_MAX
      || eg_call_count_servers_left (self, now_us) == 0)
    return NULL;
  if (reaches
      && (!has_suspect_server (self, now_us)
          || now_us - service->peers_refused_us < PEERS_REFUSED_US))
    return NULL;
  return eg_peer_paths_choose (&self->entry->peer_paths, self->tried_peers,
                               self->tried_peer_count, now_us);
}

/* Moves the credit that a request gives to the retry budget to the peer, unless
 * this VM has sent the request to a server itself. */
static bool
pass_credit (struct eg_call *self)
{
  if (!self->is_credited || self->sends > 0)
    return false;
  self->is_credited = false;
  eg_retry_window_forget (
      &eg_entry_service (self->entry, self->service)->retries,
      self->arrived_us);
  return true;
}

void
eg_call_undo_hop (struct eg_call *self)
{
  struct eg_attempt *attempt = &self->attempt;

  if (attempt->credit_passed)
    {
      eg_retry_window_request (
          &eg_entry_service (self->entry, self->service)->retries,
          eg_clock_now_us ());
      self->is_credited = true;
    }
  attempt->credit_passed = false;
  if (attempt->lent)
    eg_server_rate_refund (&attempt->lent->rate);
}

static void
fail_peer (struct eg_call *self, int64_t now_us)
{
  eg_peer_paths_failed (&self->entry->peer_paths, self->attempt.peer, now_us);
}

/* The request has not run. A peer that has tried to serve it has counted its
 * credit, and may serve others. */
static void
handle_refusal (struct eg_call *self, int64_t now_us)
{
  struct eg_attempt *attempt = &self->attempt;
  bool was_tried = attempt->headers.has_servers_used;

  eg_metrics_count (&self->entry->metrics, EG_COUNT_HOPS_REFUSED);
  eg_log (EG_LOG_INFO, "call",
          "event=hop-refused request=%.*s peer=%s status=%u tried=%d "
          "took_ms=%" PRId64,
          EG_STR_ARGS (self->headers.id), self->peer_name, attempt->status,
          was_tried, (now_us - attempt->started_us) / EG_US_PER_MS);
  if (!was_tried)
    eg_peer_paths_refused (&self->entry->peer_paths, attempt->peer, now_us);
  else
    {
      attempt->credit_passed = false;
      if (self->entry->fleet.reach.state == EG_REACH_OK)
        eg_entry_service (self->entry, self->service)->peers_refused_us =
            now_us;
    }
  self->peer_retry_after_us = attempt->headers.retry_after_us;
  self->refusals_in_row++;
  if (attempt->headers.servers_used == 0)
    eg_call_undo_send (self);
  else
    {
      eg_call_undo_trial (self);
      self->may_have_run = attempt->earlier_may_have_run;
      self->refusals++;
    }
  eg_call_attempt_failed (self, "peer-refused");
}

/* The request may have run through the peer: on as many servers as it says, or
 * as it was allowed. */
static void
handle_loss (struct eg_call *self, const char *cause, int64_t now_us)
{
  const struct eg_attempt *attempt = &self->attempt;

  eg_metrics_count (&self->entry->metrics, EG_COUNT_HOPS_LOST);
  if (attempt->status > 0 && attempt->headers.has_servers_used)
    self->servers_used_by_peers += attempt->headers.servers_used;
  else
    {
      self->servers_used_by_peers += attempt->peer_servers_max;
      fail_peer (self, now_us);
    }
  eg_call_attempt_failed (self, cause);
}

static bool
is_server_response (const struct eg_attempt *attempt)
{
  return attempt->headers.has_signature && attempt->headers.has_request_id;
}

/* Builds before the field Eelgrasswood-Hop-Refused only say in the body that
 * the request has not run. While a stream is resumed, the body is not kept, and
 * it makes no difference whether the request has run. */
static bool
is_refusal_of_older_build (struct eg_call *self)
{
  const struct eg_attempt *attempt = &self->attempt;
  const char *body = eg_buffer_text (&self->response_body);

  if (self->head_sent)
    return attempt->status == 503;
  return attempt->headers.is_problem && strstr (body, "\"ran\":\"no\"}");
}

/* Returns whether the peer itself says that the request has not run. A failure
 * of a server that it passes on says nothing of the kind. */
static bool
is_refusal (struct eg_call *self)
{
  const struct eg_attempt *attempt = &self->attempt;

  if (is_server_response (attempt) || attempt->status == 502
      || attempt->status == 504)
    return false;
  return attempt->headers.hop_refused || attempt->headers.has_servers_used
         || (attempt->status == 403
             && strcmp (eg_buffer_text (&self->response_body),
                        EG_HOP_FORBIDDEN_TEXT)
                    == 0)
         || is_refusal_of_older_build (self);
}

/* The peer passes on a response without signature, as this VM would do with
 * that of a server. The request may have run; the peer has not failed. */
static void
handle_unsigned_response (struct eg_call *self)
{
  unsigned status = self->attempt.status;

  self->servers_used_by_peers += self->attempt.peer_servers_max;
  if (self->head_sent || status < 300)
    eg_call_attempt_failed (self, "answer-unsigned");
  else if (status >= 500 && eg_call_is_repeatable (self))
    eg_call_attempt_failed (self, "server-error");
  else if (eg_call_implies_not_executed (status))
    eg_call_reject (self, 502, "server-error");
  else
    eg_call_send_buffered_response (self);
}

static void
on_done (void *context)
{
  struct eg_call *self = context;
  struct eg_attempt *attempt = &self->attempt;
  int64_t now_us = eg_clock_now_us ();
  const char *fault;

  if (attempt->mode == EG_RESPONSE_EVENTS)
    {
      fault = eg_call_find_stream_fault (self);
      if (fault)
        handle_loss (self, fault, now_us);
      else
        eg_call_end_response (self);
    }
  else if (attempt->mode == EG_RESPONSE_FORWARDED)
    eg_call_end_response (self);
  else if (is_server_response (attempt) && !self->head_sent)
    eg_call_send_buffered_response (self);
  else if (attempt->status == 502 || attempt->status == 504
           || is_server_response (attempt))
    handle_loss (self, "peer-failed", now_us);
  else if (is_refusal (self))
    handle_refusal (self, now_us);
  else
    handle_unsigned_response (self);
}

static void
on_failed (void *context, enum eg_exchange_fault fault)
{
  struct eg_call *self = context;
  int64_t now_us = eg_clock_now_us ();

  eg_log (EG_LOG_NOTICE, "call",
          "event=hop-lost request=%.*s peer=%s cause=%s sent_ms=%" PRId64,
          EG_STR_ARGS (self->headers.id), self->peer_name,
          eg_exchange_fault_name (fault),
          (now_us - self->attempt.started_us) / EG_US_PER_MS);
  if (fault != EG_EXCHANGE_UNREACHABLE)
    {
      handle_loss (self, "peer-lost", now_us);
      return;
    }
  eg_call_undo_send (self);
  fail_peer (self, now_us);
  eg_call_attempt_failed (self, "peer-unreachable");
}

static const struct eg_exchange_events hop_events = {
    eg_call_on_head, eg_call_on_body, on_done, on_failed};

void
eg_call_start_hop (struct eg_call *self,
                   const struct eg_member *peer,
                   int64_t now_us)
{
  struct eg_attempt *attempt = &self->attempt;
  enum eg_reach_state reach = self->entry->fleet.reach.state;
  struct eg_exchange_request request = {
      .endpoint = peer->endpoint, .body = self->body, .body_is_held = true};
  struct eg_hop_headers headers = {
      .timeout_ms = eg_call_timeout_ms (self, now_us),
      .last_event_id = eg_str_from (self->relay.last_id),
      .servers_max = eg_call_count_servers_left (self, now_us),
      .configuration = self->entry->configuration.current->version,
      .body_len = self->body.len,
      .has_body = self->head->has_body || self->body.len > 0,
  };
  struct eg_buffer text = {0};

  headers.is_credited = pass_credit (self);
  eg_call_prepare_attempt (self, &hop_events, now_us);
  attempt->by_peer = true;
  attempt->lent = eg_server_limits_lend (self->entry, self->service, now_us);
  if (attempt->lent)
    {
      eg_backend_ref (attempt->lent);
      headers.lent_server = eg_str_from (attempt->lent->record.id);
    }
  attempt->peer = peer->endpoint;
  attempt->peer_servers_max = headers.servers_max;
  attempt->credit_passed = headers.is_credited;
  attempt->placement.count = 0;
  attempt->placement.stages[0] = NULL;
  self->tried_peers[self->tried_peer_count++] =
      eg_endpoint_key (peer->endpoint);
  eg_str_copy (eg_str_from (peer->name), self->peer_name,
               sizeof self->peer_name);
  eg_request_write_hop (&text, self->head, &headers);
  request.head = eg_buffer_view (&text);
  request.no_body = strcmp (self->head->method, "HEAD") == 0;
  request.fresh = !eg_call_is_repeatable (self) || self->tries > 1;
  self->entry->metrics.hops[reach]++;
  eg_log (EG_LOG_INFO, "call",
          "event=request-hopped request=%.*s peer=%s reach=%s servers_max=%u "
          "lent=%s try=%u left_ms=%" PRId64,
          EG_STR_ARGS (self->headers.id), self->peer_name,
          eg_reach_state_name (reach), headers.servers_max,
          attempt->lent ? attempt->lent->record.id : "-", self->tries,
          headers.timeout_ms);
  if (!eg_exchange_start (&attempt->exchange, &self->entry->pool, &request))
    on_failed (self, EG_EXCHANGE_UNREACHABLE);
  eg_buffer_finish (&text);
}

void
eg_call_check_hop (struct eg_call *self, int64_t now_us)
{
  const struct eg_attempt *attempt = &self->attempt;
  int64_t slow_us = self->route.latency_goal_us * SLOW_LATENCY_GOALS;
  int64_t half_us = (self->deadline_us - self->arrived_us) / 2;

  if (self->route.kind == EG_ROUTE_STREAM)
    {
      if (!eg_exchange_is_paused (&attempt->exchange)
          && now_us - attempt->received_us >= STREAM_TIMEOUT_US)
        eg_call_replace_attempt (self, "peer-silent");
      return;
    }
  if (eg_call_is_repeatable (self) && !self->head_sent
      && now_us - attempt->started_us
             >= (slow_us < half_us ? slow_us : half_us))
    eg_call_replace_attempt (self, "peer-slow");
}

void
eg_call_hop_not_connected (struct eg_call *self)
{
  on_failed (self, EG_EXCHANGE_UNREACHABLE);
}
