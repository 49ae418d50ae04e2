/* A client that asks for routes of recent configurations: what one daemon
 * serves is in force, and no daemon may answer as an older version says. */
#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>

#include "base/clock.h"
#include "test/soak/soak.h"

#define FIRST_REQUEST_MS 1500
#define INTERVAL_MS 60
#define REQUEST_TIMEOUT_US (2 * EG_US_PER_S)
/* A version that one daemon serves is in force on all within this time, unless
 * a daemon was paused meanwhile. */
#define IN_FORCE_US (2 * EG_US_PER_S)
/* A version in the store is in force within this time without any fault. */
#define READ_US (6 * EG_US_PER_S)

static void send_next (uv_timer_t *timer);

/* Returns whether another daemon could have told the newest version to the one
 * that was asked: it has it and was not paused since. */
static bool
has_teller (const struct soak_canary *self)
{
  const struct soak *soak = self->soak;
  int64_t since_us = self->newest_us;

  if (self->node_started_us < since_us)
    since_us = self->node_started_us;
  for (int i = 0; i < SOAK_NODES; i++)
    {
      const struct soak_node *node = &soak->nodes[i];

      if (node != self->node && node->running && !node->paused
          && node->seen_version >= self->version
          && node->started_us + SOAK_FAULT_QUIET_US < since_us
          && node->last_fault_us + SOAK_FAULT_QUIET_US < since_us
          && node->sigterm_us == 0)
        return true;
    }
  return false;
}

/* Returns whether the node must have the version that was asked for. */
static bool
must_have (const struct soak_canary *self)
{
  if (self->node->started_us != self->node_started_us)
    return false;
  if (self->node->seen_version >= self->version)
    return true;
  return self->sent_us - self->newest_us >= IN_FORCE_US
         && self->node->last_fault_us + SOAK_FAULT_QUIET_US < self->newest_us
         && has_teller (self);
}

static int64_t
later (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Returns whether the node has had the time to read the version that was asked
 * for from the store. */
static bool
must_have_read (const struct soak_canary *self)
{
  int64_t calm_us =
      later (self->soak->unplanned_us,
             later (self->node->started_us, self->node->last_fault_us));

  return self->node->started_us == self->node_started_us
         && self->node->sigterm_us == 0
         && self->sent_us - later (calm_us, self->published_us) >= READ_US;
}

static void
finish_request (struct soak_canary *self)
{
  struct soak *soak = self->soak;

  if (self->status == 200 && self->node->started_us == self->node_started_us)
    {
      if (self->version > self->node->seen_version)
        self->node->seen_version = self->version;
      if (self->version > self->newest)
        {
          self->newest = self->version;
          self->newest_us = eg_clock_now_us ();
        }
    }
  else if (self->status == 404 && self->version <= self->newest
           && must_have (self))
    soak_violation (soak,
                    "daemon %u does not know the route of version %" PRId64
                    ", %.2f s after a daemon served it and %.2f s after its "
                    "own start",
                    self->node->number, self->version,
                    (double) (self->sent_us - self->newest_us) / EG_US_PER_S,
                    (double) (self->sent_us - self->node_started_us)
                        / EG_US_PER_S);
  else if (self->status == 404 && must_have_read (self))
    soak_violation (soak,
                    "daemon %u does not know the route of version %" PRId64
                    ", %.2f s after it was written",
                    self->node->number, self->version,
                    (double) (self->sent_us - self->published_us)
                        / EG_US_PER_S);
  if (!soak->stopping)
    uv_timer_start (&self->timer, send_next, INTERVAL_MS, 0);
}

static enum eg_exchange_verdict
on_head (void *context, const struct eg_http_head *head)
{
  ((struct soak_canary *) context)->status = head->status;
  return EG_EXCHANGE_ACCEPT;
}

static void
on_body (void *context, struct eg_str bytes)
{
  (void) context;
  (void) bytes;
}

static void
on_done (void *context)
{
  finish_request (context);
}

static void
on_failed (void *context, enum eg_exchange_fault fault)
{
  struct soak_canary *self = context;

  (void) fault;
  self->status = 0;
  finish_request (self);
}

static const struct eg_exchange_events events = {on_head, on_body, on_done,
                                                 on_failed};

static void
on_timeout (uv_timer_t *timer)
{
  struct soak_canary *self = timer->data;

  eg_exchange_cancel (&self->exchange);
  self->status = 0;
  finish_request (self);
}

static void
send_next (uv_timer_t *timer)
{
  struct soak_canary *self = timer->data;
  struct soak *soak = self->soak;
  struct eg_exchange_request request;
  char head[200];

  self->node = &soak->nodes[eg_random_below (&soak->random, SOAK_NODES)];
  self->node_started_us = self->node->started_us;
  /* The present version, one before it, or one known to be in force. */
  self->version = soak->configuration_version;
  if (self->newest + SOAK_VERSION_ROUTES > soak->configuration_version
      && self->newest > 0 && eg_random_below (&soak->random, 2) == 0)
    self->version = self->newest;
  else if (soak->configuration_version >= SOAK_VERSION_ROUTES)
    self->version -=
        (int64_t) eg_random_below (&soak->random, SOAK_VERSION_ROUTES);
  self->published_us = soak->published_us[self->version % SOAK_VERSION_ROUTES];
  self->status = 0;
  self->sent_us = eg_clock_now_us ();
  snprintf (head, sizeof head,
            "GET /v%" PRId64 "/x HTTP/1.1\r\nHost: soak.example\r\n"
            "X-Attempt-Id: c%" PRIu64 "\r\nX-Deadline-Ms: 1500\r\n"
            "Api-Key: secret\r\n\r\n",
            self->version, ++soak->next_id);
  request = (struct eg_exchange_request){
      .endpoint = {htonl (INADDR_LOOPBACK), htons (self->node->callers_port)},
      .head = eg_str_from (head),
      .fresh = true};
  eg_exchange_init (&self->exchange, &events, self);
  if (!eg_exchange_start (&self->exchange, &soak->pool, &request))
    soak_violation (soak, "a request for a version could not be sent");
  uv_timer_start (&self->timer, on_timeout, REQUEST_TIMEOUT_US / EG_US_PER_MS,
                  0);
}

void
soak_canary_init (struct soak *self)
{
  struct soak_canary *canary = &self->canary;

  canary->soak = self;
  uv_timer_init (&self->loop, &canary->timer);
  canary->timer.data = canary;
  uv_timer_start (&canary->timer, send_next, FIRST_REQUEST_MS, 0);
}

void
soak_canary_finish (struct soak *self)
{
  eg_exchange_cancel (&self->canary.exchange);
  uv_close ((uv_handle_t *) &self->canary.timer, NULL);
}
