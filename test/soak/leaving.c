/* Planned events: backend servers that leave, and full ones. None of them may
 * close a response that has begun. */
#include "base/clock.h"
#include "test/soak/soak.h"

/* A leaving server accepts requests for at least two seconds. */
#define ACCEPTING_MS_MIN 2100
#define ACCEPTING_MS_JITTER 1000
/* Longest time for the requests in progress afterwards. */
#define FINISHING_US (5 * EG_US_PER_S)
#define AWAY_MS_MIN 300
#define AWAY_MS_JITTER 700
/* As many servers must be in service for one of them to leave. */
#define SERVING_MIN 3
/* One leaving server in this many does not report that it drains. */
#define UNANNOUNCED_PERIOD 3
/* When one leaving server in this many stops listening, the others are full. */
#define OVERLOAD_PERIOD 2
#define FULL_MS_MIN 300
#define FULL_MS_MAX 1500
#define ALL_FULL_MS_MIN 700
#define ALL_FULL_MS_MAX 1000
/* From the end of one time in which all are full to the start of the next. */
#define ALL_FULL_GAP_US (2 * EG_US_PER_S)
/* Daemons may avoid a server for this long after it was full. */
#define FULL_MEMORY_US (300 * EG_US_PER_MS)
/* Daemons may keep to a limit for this long after it was last named. */
#define LIMIT_MEMORY_US (2 * EG_US_PER_S)
#define LIMIT_MIN 2
#define LIMIT_JITTER 12
#define LIMITED_MS_MIN 4000
#define LIMITED_MS_JITTER 5000
/* Daemons know a server this long after its start: they take over changes of
 * records in batches, which are longer after their own start. */
#define KNOWN_US (600 * EG_US_PER_MS)
/* From then on, no daemon may send a request to a leaving server: two seconds,
 * and a margin for its watch of the store. */
#define AWARENESS_US (2300 * EG_US_PER_MS)

static int64_t
random_time_us (struct soak *self, uint64_t min_ms, uint64_t jitter_ms)
{
  return eg_clock_now_us ()
         + (int64_t) (min_ms + eg_random_below (&self->random, jitter_ms))
               * EG_US_PER_MS;
}

/* Returns whether a server in service other than @p except, known to all
 * daemons, has taken requests since @p since_us. */
static bool
has_room (const struct soak *self,
          const struct soak_backend *except,
          int64_t since_us)
{
  int64_t known_us = eg_clock_now_us () - KNOWN_US;

  for (int i = 0; i < SOAK_BACKENDS; i++)
    {
      const struct soak_backend *backend = &self->backends[i];

      if (backend != except && backend->running
          && backend->phase == SOAK_BACKEND_SERVING
          && backend->started_us <= known_us
          && backend->full_until_us <= since_us
          && backend->limit_until_us <= since_us - LIMIT_MEMORY_US)
        return true;
    }
  return false;
}

bool
soak_has_room (const struct soak *self)
{
  return has_room (self, NULL, eg_clock_now_us () - FULL_MEMORY_US);
}

void
soak_leave_backend (struct soak *self)
{
  struct soak_backend *serving[SOAK_BACKENDS];
  unsigned count = 0;
  struct soak_backend *backend;

  for (int i = 0; i < SOAK_BACKENDS; i++)
    if (self->backends[i].running
        && self->backends[i].phase == SOAK_BACKEND_SERVING)
      serving[count++] = &self->backends[i];
  if (count < SERVING_MIN)
    return;
  backend = serving[eg_random_below (&self->random, count)];
  if (!has_room (self, backend, eg_clock_now_us ()))
    return;
  backend->phase = SOAK_BACKEND_LEAVING;
  backend->unannounced =
      eg_random_below (&self->random, UNANNOUNCED_PERIOD) == 0;
  backend->leaving_us = eg_clock_now_us ();
  backend->phase_end_us =
      random_time_us (self, ACCEPTING_MS_MIN, ACCEPTING_MS_JITTER);
  backend->server.closes_connections = true;
  if (backend->unannounced)
    soak_store_delete (&self->store, "servers", backend->id);
  else
    soak_backend_publish (backend);
}

static void
fill_backend (struct soak_backend *backend, uint64_t ms_min, uint64_t ms_max)
{
  backend->full_until_us =
      random_time_us (backend->soak, ms_min, ms_max - ms_min);
}

void
soak_fill_backend (struct soak *self)
{
  struct soak_backend *backend =
      &self->backends[eg_random_below (&self->random, SOAK_BACKENDS)];

  if (has_room (self, backend, eg_clock_now_us ()))
    fill_backend (backend, FULL_MS_MIN, FULL_MS_MAX);
}

void
soak_limit_backend (struct soak *self)
{
  struct soak_backend *backend =
      &self->backends[eg_random_below (&self->random, SOAK_BACKENDS)];

  if (!backend->running || eg_clock_now_us () < backend->limit_until_us
      || !has_room (self, backend, eg_clock_now_us ()))
    return;
  backend->limit_per_s =
      LIMIT_MIN + (unsigned) eg_random_below (&self->random, LIMIT_JITTER);
  backend->limited_us = eg_clock_now_us ();
  backend->limit_until_us =
      random_time_us (self, LIMITED_MS_MIN, LIMITED_MS_JITTER);
}

void
soak_fill_all_backends (struct soak *self)
{
  if (eg_clock_now_us () < self->all_full_allowed_us)
    return;
  self->all_full_allowed_us =
      eg_clock_now_us () + ALL_FULL_MS_MAX * EG_US_PER_MS + ALL_FULL_GAP_US;
  for (int i = 0; i < SOAK_BACKENDS; i++)
    fill_backend (&self->backends[i], ALL_FULL_MS_MIN, ALL_FULL_MS_MAX);
}

static void
check_leaving (struct soak_backend *self, int64_t now_us)
{
  switch (self->phase)
    {
    case SOAK_BACKEND_SERVING:
      break;
    case SOAK_BACKEND_LEAVING:
      if (now_us < self->phase_end_us)
        break;
      soak_http_server_drain (&self->server);
      if (eg_random_below (&self->soak->random, OVERLOAD_PERIOD) == 0)
        soak_fill_all_backends (self->soak);
      self->phase = SOAK_BACKEND_FINISHING;
      self->phase_end_us = now_us + FINISHING_US;
      break;
    case SOAK_BACKEND_FINISHING:
      if (now_us < self->phase_end_us
          && soak_http_server_is_busy (&self->server))
        break;
      soak_backend_crash (self);
      self->phase = SOAK_BACKEND_LEFT;
      self->phase_end_us =
          random_time_us (self->soak, AWAY_MS_MIN, AWAY_MS_JITTER);
      break;
    case SOAK_BACKEND_LEFT:
      if (now_us < self->phase_end_us)
        break;
      /* The successor gets a port of its own. */
      self->server.endpoint.port = 0;
      soak_backend_start (self);
      soak_backend_publish (self);
    }
}

void
soak_backends_check_leaving (struct soak *self, int64_t now_us)
{
  for (int i = 0; i < SOAK_BACKENDS; i++)
    check_leaving (&self->backends[i], now_us);
}

bool
soak_backend_is_avoidable (const struct soak_backend *self)
{
  const struct soak *soak = self->soak;
  int64_t quiet_since_us = self->leaving_us - SOAK_FAULT_QUIET_US;

  if (self->phase == SOAK_BACKEND_SERVING
      || eg_clock_now_us () - self->leaving_us < AWARENESS_US
      || soak->unplanned_us >= quiet_since_us)
    return false;
  /* A daemon may have its state from another one. */
  for (int i = 0; i < SOAK_NODES; i++)
    if (!soak->nodes[i].running || soak->nodes[i].sigterm_us > 0
        || soak->nodes[i].started_us >= quiet_since_us)
      return false;
  return true;
}
