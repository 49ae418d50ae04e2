#include "standin/engine_stage.h"

#include <string.h>

#include "base/clock.h"
#include "standin/timed_wait.h"

/* Longest single sleep, which limits the delay of an interruption. */
#define SLEEP_SLICE_US (20 * EG_US_PER_MS)

/* Oversleeping by less than this is compensated by the next sleep. */
#define MAX_OVERSLEEP_US 1000
#define HANG_POLL_US (50 * EG_US_PER_MS)

static const char *const causes[EG_STEP_COUNT] = {
    [EG_STEP_DONE] = "done",
    [EG_STEP_WAITING] = "waiting",
    [EG_STEP_REFUSED] = "refused",
    [EG_STEP_SUPERSEDED] = "superseded",
    [EG_STEP_CANCELLED] = "cancelled",
    [EG_STEP_BUSY] = "busy",
    [EG_STEP_DRAINING] = "draining",
    [EG_STEP_UNLOADED] = "unloaded",
    [EG_STEP_UNREACHABLE] = "unreachable",
    [EG_STEP_DIED] = "died",
    [EG_STEP_TIMEOUT] = "timeout",
    [EG_STEP_GONE] = "gone",
};

const char *
eg_step_cause (enum eg_step step)
{
  return causes[step];
}

enum eg_step
eg_step_from_cause (const char *cause)
{
  for (int i = 0; cause && i < EG_STEP_COUNT; i++)
    if (strcmp (causes[i], cause) == 0)
      return (enum eg_step) i;
  return EG_STEP_COUNT;
}

int64_t
eg_stage_prompt_tokens (struct eg_str prompt)
{
  return ((int64_t) prompt.len + EG_PROMPT_TOKEN_BYTES - 1)
         / EG_PROMPT_TOKEN_BYTES;
}

static enum eg_step
check_admission (const struct eg_engine *engine,
                 const struct eg_stage_params *params,
                 const struct eg_engine_request *known)
{
  int64_t need = eg_stage_prompt_tokens (params->prompt) + params->max_tokens;
  bool holds_kv = known && known->kv_prompt > 0;

  if (engine->faults.is_crashed)
    return EG_STEP_UNREACHABLE;
  if (known
      && (params->attempt < known->attempt
          || params->attempt <= known->cancelled))
    return EG_STEP_REFUSED;
  if (known && params->attempt == known->attempt
      && (known->active_runs > 0 || known->last_position != params->committed))
    return EG_STEP_REFUSED;
  if (!engine->loaded.model
      || params->layers.first < engine->loaded.layers.first
      || params->layers.last > engine->loaded.layers.last)
    return EG_STEP_UNLOADED;
  if (engine->faults.is_draining && !holds_kv)
    return EG_STEP_DRAINING;
  if (params->is_head && engine->slot_pool.busy >= engine->slot_pool.slots
      && engine->queued >= engine->config->queue_max)
    return EG_STEP_BUSY;
  if (!eg_engine_requests_fits (&engine->requests, need))
    return EG_STEP_BUSY;
  return EG_STEP_DONE;
}

static void
start_attempt (struct eg_stage_run *self)
{
  struct eg_engine_request *request = self->request;
  struct eg_engine *engine = self->engine;
  int64_t upto = request->kv_upto;

  request->attempt = self->params.attempt;
  request->last_position = self->params.committed;
  /* Positions beyond the committed ones are computed again. */
  if (upto > self->params.committed)
    upto = self->params.committed;
  eg_engine_requests_set_kv (&engine->requests, request, request->kv_prompt,
                             upto);
  eg_slot_pool_wake (&engine->slot_pool);
}

enum eg_step
eg_stage_open (struct eg_stage_run *self,
               struct eg_engine *engine,
               const struct eg_stage_params *params)
{
  enum eg_step step;

  *self = (struct eg_stage_run){.params = *params};
  pthread_mutex_lock (&engine->lock);
  step = check_admission (
      engine, params,
      eg_engine_requests_find (&engine->requests, params->request));
  if (step == EG_STEP_DONE)
    {
      self->engine = engine;
      self->generation = engine->generation;
      self->request =
          eg_engine_requests_acquire (&engine->requests, params->request);
      self->rank = eg_slot_rank (&engine->slot_pool, params->priority);
      self->prompt_tokens = eg_stage_prompt_tokens (params->prompt);
      self->crashes_on_prompt =
          engine->faults.crash_prompt
          && eg_str_equal (eg_str_from (engine->faults.crash_prompt),
                           params->prompt);
      self->cached_tokens = eg_engine_cache_use (&engine->cache, params->prompt,
                                                 eg_clock_now_us ());
      start_attempt (self);
      engine->queued++;
      eg_engine_sample_load (engine);
    }
  pthread_mutex_unlock (&engine->lock);
  return step;
}

void
eg_stage_close (struct eg_stage_run *self)
{
  struct eg_engine *engine = self->engine;

  if (!engine)
    return;
  pthread_mutex_lock (&engine->lock);
  if (self->has_slot)
    eg_slot_pool_release (&engine->slot_pool);
  if (self->generation == engine->generation)
    {
      if (self->has_started)
        engine->running--;
      else
        engine->queued--;
      eg_engine_sample_load (engine);
    }
  eg_engine_requests_release (&engine->requests, self->request);
  pthread_mutex_unlock (&engine->lock);
  self->engine = NULL;
}

enum eg_step
eg_stage_check_ended (const struct eg_stage_run *self)
{
  if (self->generation != self->engine->generation)
    return EG_STEP_DIED;
  if (self->request->attempt > self->params.attempt)
    return EG_STEP_SUPERSEDED;
  if (self->request->cancelled >= self->params.attempt)
    return EG_STEP_CANCELLED;
  return EG_STEP_DONE;
}

/* Returns whether the run must end, regardless of the deadline of the step. */
static bool
is_ended (struct eg_stage_run *self)
{
  enum eg_step step = eg_stage_check_ended (self);

  if (step != EG_STEP_DONE)
    self->interruption = step;
  return self->interruption != EG_STEP_DONE;
}

static bool
is_interrupted (void *context)
{
  struct eg_stage_run *self = context;

  if (is_ended (self))
    return true;
  if (eg_clock_now_us () >= self->deadline_us)
    self->interruption = EG_STEP_WAITING;
  else if (self->params.is_disconnected
           && self->params.is_disconnected (self->params.context))
    self->interruption = EG_STEP_GONE;
  return self->interruption != EG_STEP_DONE;
}

static void
sleep_unlocked (struct eg_engine *engine, int64_t until_us)
{
  pthread_mutex_unlock (&engine->lock);
  eg_sleep_until (until_us);
  pthread_mutex_lock (&engine->lock);
}

/*
 * Sleeps for @p duration_us. With keeps_slot, the time counts from the
 * scheduled end of the last sleep, so that delays of wake-ups do not add up.
 */
static void
simulate_work (struct eg_stage_run *self, int64_t duration_us)
{
  int64_t now = eg_clock_now_us ();
  bool follows =
      self->params.keeps_slot && now - self->due_us < MAX_OVERSLEEP_US;
  int64_t start = follows ? self->due_us : now;
  int64_t due = start + duration_us;

  self->due_us = due;
  while (self->interruption == EG_STEP_DONE && (now = eg_clock_now_us ()) < due)
    {
      int64_t part = due - now < SLEEP_SLICE_US ? due - now : SLEEP_SLICE_US;

      sleep_unlocked (self->engine, now + part);
      is_ended (self);
    }
}

static int64_t
scale_duration (const struct eg_engine *engine, int64_t duration_us)
{
  return (int64_t) ((double) duration_us * engine->faults.slow);
}

/* Computes the KV cache entries that are missing before @p position. */
static void
prefill (struct eg_stage_run *self, int64_t position)
{
  struct eg_engine *engine = self->engine;
  struct eg_engine_request *request = self->request;
  int64_t each = scale_duration (engine, engine->config->prefill_us);
  int64_t batch = each > 0 ? SLEEP_SLICE_US / each + 1 : INT64_MAX;

  if (request->kv_prompt < self->cached_tokens)
    eg_engine_requests_set_kv (&engine->requests, request, self->cached_tokens,
                               request->kv_upto);
  while (self->interruption == EG_STEP_DONE)
    {
      int64_t prompt_left = self->prompt_tokens - request->kv_prompt;
      int64_t left =
          prompt_left > 0 ? prompt_left : position - 1 - request->kv_upto;
      int64_t count = left < batch ? left : batch;

      if (left <= 0)
        return;
      simulate_work (self, count * each);
      if (self->interruption != EG_STEP_DONE)
        return;
      eg_engine_requests_set_kv (
          &engine->requests, request,
          request->kv_prompt + (prompt_left > 0 ? count : 0),
          request->kv_upto + (prompt_left > 0 ? 0 : count));
      is_interrupted (self);
    }
}

static void
wait_while_hung (struct eg_stage_run *self)
{
  struct eg_engine *engine = self->engine;
  int64_t since = eg_clock_now_us ();

  while (engine->faults.is_hung && self->interruption == EG_STEP_DONE)
    {
      eg_cond_wait_for (&engine->changed, &engine->lock, HANG_POLL_US);
      if (is_ended (self))
        return;
      if (self->params.is_disconnected
          && self->params.is_disconnected (self->params.context))
        self->interruption = EG_STEP_GONE;
      else if (self->params.hang_timeout_us > 0
               && eg_clock_now_us () - since >= self->params.hang_timeout_us)
        self->interruption = EG_STEP_TIMEOUT;
    }
}

static void
record_step (struct eg_stage_run *self, int64_t position)
{
  struct eg_engine *engine = self->engine;
  struct eg_engine_request *request = self->request;
  struct eg_record_entry entry = {
      .attempt = (uint32_t) self->params.attempt,
      .position = (uint32_t) position,
      .first = (uint16_t) self->params.layers.first,
      .last = (uint16_t) self->params.layers.last,
  };

  if (!request->is_recorded && engine->record.count < engine->record.max)
    {
      request->record_index =
          eg_record_add_request (&engine->record, request->name);
      request->is_recorded = true;
    }
  entry.request = request->record_index;
  eg_record_append (&engine->record, entry);
  request->last_position = position;
  eg_engine_requests_set_kv (&engine->requests, request, request->kv_prompt,
                             position);
  if (engine->faults.crash_after_tokens > 0)
    engine->faults.crash_after_tokens--;
}

static bool
acquire_slot (struct eg_stage_run *self)
{
  struct eg_engine *engine = self->engine;

  if (!self->has_slot)
    self->has_slot = eg_slot_pool_acquire (&engine->slot_pool, self->rank,
                                           is_interrupted, self);
  if (self->has_slot && !self->has_started)
    {
      self->has_started = true;
      if (self->generation == engine->generation)
        {
          engine->queued--;
          engine->running++;
          eg_engine_sample_load (engine);
        }
    }
  return self->has_slot;
}

static void
yield_slot (struct eg_stage_run *self)
{
  struct eg_slot_pool *pool = &self->engine->slot_pool;

  if (!self->has_slot
      || (self->params.keeps_slot && self->interruption == EG_STEP_DONE
          && !eg_slot_pool_is_outranked (pool, self->rank)))
    return;
  eg_slot_pool_release (pool);
  self->has_slot = false;
}

static bool
must_crash (const struct eg_stage_run *self)
{
  return self->crashes_on_prompt
         || self->engine->faults.crash_after_tokens == 0;
}

/* Runs one position, with the lock held. */
static enum eg_step
run_position (struct eg_stage_run *self, int64_t position)
{
  struct eg_engine *engine = self->engine;

  if (is_ended (self))
    return self->interruption;
  if (position != self->request->last_position + 1)
    return EG_STEP_REFUSED;
  if (!acquire_slot (self))
    return self->interruption;
  prefill (self, position);
  if (self->interruption == EG_STEP_DONE && must_crash (self))
    eg_engine_crash (engine);
  if (self->interruption == EG_STEP_DONE && engine->config->token_us > 0)
    simulate_work (self, scale_duration (engine, engine->config->token_us));
  if (self->interruption == EG_STEP_DONE)
    wait_while_hung (self);
  if (self->interruption != EG_STEP_DONE || is_ended (self))
    return self->interruption;
  if (must_crash (self))
    {
      eg_engine_crash (engine);
      return EG_STEP_DIED;
    }
  record_step (self, position);
  return EG_STEP_DONE;
}

enum eg_step
eg_stage_step (struct eg_stage_run *self, int64_t position, int64_t deadline_us)
{
  enum eg_step step;

  pthread_mutex_lock (&self->engine->lock);
  self->deadline_us = deadline_us;
  self->interruption = EG_STEP_DONE;
  step = run_position (self, position);
  yield_slot (self);
  pthread_mutex_unlock (&self->engine->lock);
  return step;
}
