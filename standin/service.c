#include "standin/service.h"

#include <string.h>

#include "base/clock.h"
#include "standin/timed_wait.h"

/* Threads beyond slots and queue: health checks, control calls, refusals. */
#define EXTRA_THREADS 32
#define POLL_US (20 * EG_US_PER_MS)

/* A call in progress. */
struct call
{
  struct eg_service *service;
  struct eg_server_exchange *exchange;
  uint64_t generation;
};

static bool
is_interrupted (void *context)
{
  struct call *call = context;

  return call->generation != call->service->generation
         || eg_server_exchange_is_disconnected (call->exchange);
}

/* Sleeps with the lock released. */
static void
sleep_unlocked (struct eg_service *self, int64_t duration_us)
{
  pthread_mutex_unlock (&self->lock);
  eg_sleep_until (eg_clock_now_us () + duration_us);
  pthread_mutex_lock (&self->lock);
}

/* Waits, locked, for the simulated latency and for a hang to end. Returns false
   if the service crashed or the client disconnected during the hang. */
static bool
simulate_work (struct call *call)
{
  struct eg_service *self = call->service;
  int64_t due = eg_clock_now_us ()
                + (int64_t) ((double) (self->config->latency_ms * EG_US_PER_MS)
                             * self->slow);

  for (;;)
    {
      int64_t left = due - eg_clock_now_us ();

      if (call->generation != self->generation)
        return false;
      if (left <= 0 && !self->is_hung)
        return true;
      if (self->is_hung && eg_server_exchange_is_disconnected (call->exchange))
        return false;
      if (left <= 0 || left > POLL_US)
        left = POLL_US;
      sleep_unlocked (self, left);
    }
}

static void
set_header (json_t *run,
            const char *name,
            const struct eg_server_exchange *exchange,
            const char *header)
{
  const char *value = eg_server_exchange_get_header (exchange, header);

  json_object_set_new (run, name, value ? json_string (value) : json_null ());
}

static void
record_run (struct eg_service *self, const struct eg_server_exchange *exchange)
{
  json_t *run;

  if ((int64_t) json_array_size (self->runs) >= self->config->record_max)
    {
      self->dropped++;
      return;
    }
  run = json_pack ("{s:s,s:s}", "method", exchange->method, "path",
                   exchange->path);
  set_header (run, "key", exchange, "Idempotency-Key");
  set_header (run, "request_id", exchange, "X-Request-Id");
  set_header (run, "organisation", exchange, "X-Organisation");
  json_array_append_new (self->runs, run);
}

/* Runs a call in a slot, locked; returns whether it was completed. */
static bool
run_call (struct call *call, bool *drops_reply)
{
  struct eg_service *self = call->service;
  struct eg_slot_rank rank = eg_slot_rank (&self->slot_pool, 0);
  bool has_run = false;
  bool has_slot;

  self->queued++;
  has_slot =
      eg_slot_pool_acquire (&self->slot_pool, rank, is_interrupted, call);
  if (call->generation == self->generation)
    self->queued--;
  if (!has_slot)
    return false;
  if (call->generation == self->generation)
    self->running++;
  has_run = simulate_work (call);
  if (has_run)
    {
      record_run (self, call->exchange);
      *drops_reply = self->replies_to_drop > 0;
      if (*drops_reply)
        self->replies_to_drop--;
    }
  if (call->generation == self->generation)
    self->running--;
  eg_slot_pool_release (&self->slot_pool);
  return has_run;
}

static void
echo (const struct eg_service *self, struct eg_server_exchange *exchange)
{
  const char *type = eg_server_exchange_get_header (exchange, "Content-Type");

  if (exchange->body.len > 0)
    eg_server_exchange_respond (exchange, 200,
                                type ? type : "application/octet-stream",
                                eg_buffer_view (&exchange->body), "");
  else
    eg_server_exchange_respond_json (
        exchange, 200,
        json_pack ("{s:s,s:s,s:s}", "service", self->config->service, "method",
                   exchange->method, "path", exchange->path));
}

static void
handle_call (struct eg_service *self, struct eg_server_exchange *exchange)
{
  struct call call = {.service = self, .exchange = exchange};
  bool is_refused;
  bool drops_reply = false;
  bool has_run = false;

  pthread_mutex_lock (&self->lock);
  self->calls++;
  call.generation = self->generation;
  is_refused = self->is_draining
               || (self->slot_pool.busy >= self->slot_pool.slots
                   && self->queued >= self->config->queue_max);
  if (is_refused)
    self->refused++;
  else if (!self->is_crashed)
    has_run = run_call (&call, &drops_reply);
  pthread_mutex_unlock (&self->lock);
  if (is_refused)
    eg_server_exchange_respond_json (
        exchange, 503,
        json_pack ("{s:s,s:s}", "ran", "no", "error", "draining or full"));
  else if (has_run && !drops_reply)
    echo (self, exchange);
  else
    eg_server_exchange_abort (exchange);
}

static void
handle_health (struct eg_service *self, struct eg_server_exchange *exchange)
{
  json_t *report;

  pthread_mutex_lock (&self->lock);
  self->health_calls++;
  while (self->is_hung && !eg_server_exchange_is_disconnected (exchange))
    sleep_unlocked (self, POLL_US);
  report = json_pack ("{s:s,s:I,s:I,s:b}", "service", self->config->service,
                      "running", self->running, "queued", self->queued,
                      "draining", self->is_draining);
  pthread_mutex_unlock (&self->lock);
  eg_server_exchange_respond_json (exchange, 200, report);
}

static void
handle_request (void *context, struct eg_server_exchange *exchange)
{
  struct eg_service *self = context;

  if (eg_server_exchange_matches (exchange, "GET", "/health"))
    handle_health (self, exchange);
  else
    handle_call (self, exchange);
}

static void
crash (struct eg_service *self)
{
  if (self->is_crashed)
    return;
  self->is_crashed = true;
  self->is_hung = false;
  self->generation++;
  self->running = 0;
  self->queued = 0;
  eg_slot_pool_wake (&self->slot_pool);
  eg_listener_abort (&self->standin.listener);
}

static enum eg_status
revive (struct eg_service *self, struct eg_error *error)
{
  pthread_mutex_lock (&self->lock);
  self->is_crashed = false;
  self->is_hung = false;
  pthread_mutex_unlock (&self->lock);
  return eg_listener_open (&self->standin.listener, error);
}

static enum eg_status
apply_fault (void *context,
             const struct eg_fault *fault,
             struct eg_error *error)
{
  struct eg_service *self = context;

  if (fault->kind == EG_FAULT_REVIVE)
    return revive (self, error);
  pthread_mutex_lock (&self->lock);
  if (fault->kind == EG_FAULT_DIE)
    crash (self);
  else if (fault->kind == EG_FAULT_HANG)
    self->is_hung = true;
  else if (fault->kind == EG_FAULT_SLOW)
    self->slow = fault->factor;
  else if (fault->kind == EG_FAULT_DRAIN)
    self->is_draining = true;
  else if (fault->kind == EG_FAULT_LOSE_REPLY)
    self->replies_to_drop = fault->count;
  pthread_mutex_unlock (&self->lock);
  return EG_OK;
}

static enum eg_status
clear_faults (void *context, struct eg_error *error)
{
  struct eg_service *self = context;

  pthread_mutex_lock (&self->lock);
  self->slow = 1;
  self->is_draining = false;
  self->replies_to_drop = 0;
  pthread_mutex_unlock (&self->lock);
  return revive (self, error);
}

static void
write_record (void *context, struct eg_server_exchange *exchange)
{
  struct eg_service *self = context;
  json_t *record;

  pthread_mutex_lock (&self->lock);
  record = json_pack ("{s:o,s:I}", "runs", json_deep_copy (self->runs),
                      "dropped", self->dropped);
  pthread_mutex_unlock (&self->lock);
  eg_server_exchange_respond_json (exchange, 200, record);
}

static void
clear_record (void *context)
{
  struct eg_service *self = context;

  pthread_mutex_lock (&self->lock);
  json_array_clear (self->runs);
  self->dropped = 0;
  pthread_mutex_unlock (&self->lock);
}

static json_t *
get_counts (void *context)
{
  struct eg_service *self = context;
  json_t *object;

  pthread_mutex_lock (&self->lock);
  object = json_pack ("{s:I,s:I,s:I}", "calls", self->calls, "health",
                      self->health_calls, "refused", self->refused);
  pthread_mutex_unlock (&self->lock);
  return object;
}

static const struct eg_standin_ops ops = {
    .kind = EG_STANDIN_SERVICE,
    .name = "service",
    .handle = handle_request,
    .apply_fault = apply_fault,
    .clear_faults = clear_faults,
    .write_record = write_record,
    .clear_record = clear_record,
    .counts = get_counts,
};

void
eg_service_init (struct eg_service *self,
                 const struct eg_service_config *config)
{
  int64_t threads = config->threads;

  memset (self, 0, sizeof *self);
  self->config = config;
  self->slow = 1;
  self->runs = json_array ();
  pthread_mutex_init (&self->lock, NULL);
  eg_slot_pool_init (&self->slot_pool, config->slots, &self->lock);
  if (threads == 0)
    threads = config->slots + config->queue_max + EXTRA_THREADS;
  eg_standin_init (&self->standin, &ops, self, config->listen, threads);
}

void
eg_service_finish (struct eg_service *self)
{
  pthread_mutex_lock (&self->lock);
  crash (self);
  pthread_mutex_unlock (&self->lock);
  eg_listener_finish (&self->standin.listener);
  json_decref (self->runs);
  pthread_mutex_destroy (&self->lock);
}
