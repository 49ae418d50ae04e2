/* Requests under which backend servers crash: the same one again and again, or
 * different ones with one part of their prompts in common. Once enough servers
 * have crashed, no calm daemon may send them on. */
#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "test/soak/soak.h"

#define DEADLY_TARGET "/read/deadly"
#define DEADLY_PART "dead"
#define FIRST_REQUEST_MS 3000
#define REQUEST_GAP_MIN_MS 200
#define REQUEST_GAP_JITTER_MS 500
#define DEADLINE_MS 4000
/* A server ends within this time after it has begun to run the request. */
#define CRASH_MS_MIN 30
#define CRASH_MS_JITTER 90
#define RESTART_MS_MIN 400
#define RESTART_MS_JITTER 1200
/* Crashes after which the request or the part must be known. */
#define REQUEST_CRASHES 3
#define PART_CRASHES 5
/* Time for all daemons to learn it, and for one to be calm after a fault. */
#define STABLE_US (3 * EG_US_PER_S)
/* Requests that may still be sent on after that. */
#define ARRIVALS_MAX 3

static void send_next (uv_timer_t *timer);

static enum eg_exchange_verdict
on_head (void *context, const struct eg_http_head *head)
{
  (void) context;
  (void) head;
  return EG_EXCHANGE_ACCEPT;
}

static void
schedule_next (struct soak_deadly *self)
{
  if (!self->soak->stopping)
    uv_timer_start (
        &self->timer, send_next,
        REQUEST_GAP_MIN_MS
            + eg_random_below (&self->soak->random, REQUEST_GAP_JITTER_MS),
        0);
}

static void
on_done (void *context)
{
  schedule_next (context);
}

static void
on_failed (void *context, enum eg_exchange_fault fault)
{
  (void) fault;
  schedule_next (context);
}

static const struct eg_exchange_events events = {on_head, NULL, on_done,
                                                 on_failed};

static void
on_timeout (uv_timer_t *timer)
{
  struct soak_deadly *self = timer->data;

  eg_exchange_cancel (&self->exchange);
  schedule_next (self);
}

static void
write_head (const struct soak_deadly *self, char *head, size_t capacity)
{
  uint64_t id = ++self->soak->next_id;

  if (self->by_part)
    snprintf (head, capacity,
              "POST /stream/25 HTTP/1.1\r\nHost: soak.example\r\n"
              "X-Attempt-Id: %06" PRIu64 "\r\nX-Deadline-Ms: %d\r\n"
              "X-Prefix-Hash: aa:40," DEADLY_PART ":100,%" PRIx64 ":200\r\n"
              "Api-Key: secret\r\nContent-Length: 6\r\n\r\n%06" PRIu64,
              id, DEADLINE_MS, id, id);
  else
    snprintf (head, capacity,
              "GET " DEADLY_TARGET " HTTP/1.1\r\nHost: soak.example\r\n"
              "X-Attempt-Id: %06" PRIu64 "\r\nX-Deadline-Ms: %d\r\n"
              "Api-Key: secret\r\n\r\n",
              id, DEADLINE_MS);
}

static void
send_next (uv_timer_t *timer)
{
  struct soak_deadly *self = timer->data;
  const struct soak_node *node =
      &self->soak->nodes[eg_random_below (&self->soak->random, SOAK_NODES)];
  char head[384];
  struct eg_exchange_request request = {
      .endpoint = {htonl (INADDR_LOOPBACK), htons (node->callers_port)},
      .fresh = true};

  write_head (self, head, sizeof head);
  request.head = eg_str_from (head);
  eg_exchange_init (&self->exchange, &events, self);
  if (!eg_exchange_start (&self->exchange, &self->soak->pool, &request))
    soak_violation (self->soak, "a deadly request could not be sent");
  uv_timer_start (timer, on_timeout, DEADLINE_MS, 0);
}

bool
soak_is_deadly (const struct eg_http_head *head)
{
  struct eg_str parts = eg_http_head_find (head, "x-prefix-hash");

  return eg_str_equal (eg_http_head_target (head), EG_STR (DEADLY_TARGET))
         || eg_str_starts_with (parts, EG_STR ("aa:40," DEADLY_PART ":"));
}

/* Returns whether all daemons have been in touch with each other for a while.
 */
static bool
is_calm (const struct soak *self)
{
  int64_t quiet_since_us = eg_clock_now_us () - STABLE_US;

  for (int i = 0; i < SOAK_NODES; i++)
    if (!self->nodes[i].running || self->nodes[i].sigterm_us > 0
        || self->nodes[i].paused || self->nodes[i].started_us >= quiet_since_us
        || self->nodes[i].last_fault_us >= quiet_since_us)
      return false;
  return true;
}

void
soak_deadly_arrived (struct soak_backend *backend)
{
  struct soak *soak = backend->soak;
  struct soak_deadly *self = &soak->deadly;
  int64_t now_us = eg_clock_now_us ();

  if (backend->deadly_end_us == 0)
    backend->deadly_end_us =
        now_us
        + (int64_t) (CRASH_MS_MIN
                     + eg_random_below (&soak->random, CRASH_MS_JITTER))
              * EG_US_PER_MS;
  if (self->known_us == 0 || now_us < self->known_us + STABLE_US
      || !is_calm (soak))
    return;
  if (++self->late_arrivals == ARRIVALS_MAX + 1)
    soak_violation (soak,
                    "%u deadly requests reached servers more than %d s after "
                    "crash %u",
                    self->late_arrivals, (int) (STABLE_US / EG_US_PER_S),
                    self->by_part ? PART_CRASHES : REQUEST_CRASHES);
}

void
soak_deadly_check (struct soak_backend *backend, int64_t now_us)
{
  struct soak *soak = backend->soak;
  struct soak_deadly *self = &soak->deadly;

  if (backend->deadly_end_us == 0 || now_us < backend->deadly_end_us)
    return;
  backend->deadly_end_us = 0;
  if (!backend->running)
    return;
  soak_backend_crash (backend);
  backend->restart_us =
      now_us
      + (int64_t) (RESTART_MS_MIN
                   + eg_random_below (&soak->random, RESTART_MS_JITTER))
            * EG_US_PER_MS;
  soak->backend_fault_us = now_us;
  soak->unplanned_us = now_us;
  self->crashes++;
  if (self->crashes == (self->by_part ? PART_CRASHES : REQUEST_CRASHES))
    self->known_us = now_us;
}

void
soak_deadly_init (struct soak *self, bool by_part)
{
  struct soak_deadly *deadly = &self->deadly;

  deadly->soak = self;
  deadly->by_part = by_part;
  uv_timer_init (&self->loop, &deadly->timer);
  deadly->timer.data = deadly;
  eg_exchange_init (&deadly->exchange, &events, deadly);
  uv_timer_start (&deadly->timer, send_next, FIRST_REQUEST_MS, 0);
}

void
soak_deadly_finish (struct soak *self)
{
  eg_exchange_cancel (&self->deadly.exchange);
  uv_close ((uv_handle_t *) &self->deadly.timer, NULL);
}
