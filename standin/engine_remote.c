#include "standin/engine_calls.h"

#include <stdlib.h>

#include "base/clock.h"
#include "standin/engine_stage.h"
#include "standin/fields.h"

#define N_ELEMENTS(array) (sizeof (array) / sizeof *(array))

/* Body of `POST /standin/stage`: a step for a head in another process. */
struct step_body
{
  const char *request;
  int64_t attempt;
  int64_t position;
  int64_t wait_ms;
  json_t *open;
};

static const struct eg_field step_fields[] = {
    {"request", EG_FIELD_STRING, true, 1, EG_FIELD_NAME_MAX,
     offsetof (struct step_body, request)},
    {"attempt", EG_FIELD_INTEGER, true, 1, UINT32_MAX,
     offsetof (struct step_body, attempt)},
    {"position", EG_FIELD_INTEGER, true, 1, UINT32_MAX,
     offsetof (struct step_body, position)},
    {"wait_ms", EG_FIELD_INTEGER, true, 0, 600000,
     offsetof (struct step_body, wait_ms)},
    {"open", EG_FIELD_OBJECT, false, 0, 0, offsetof (struct step_body, open)},
};

static const struct eg_field close_fields[] = {
    {"request", EG_FIELD_STRING, true, 1, EG_FIELD_NAME_MAX,
     offsetof (struct step_body, request)},
    {"attempt", EG_FIELD_INTEGER, true, 1, UINT32_MAX,
     offsetof (struct step_body, attempt)},
};

/* Further parameters that open a run, sent with its first step. */
struct open_params
{
  int64_t priority;
  const char *prompt;
  int64_t committed;
  int64_t max_tokens;
  struct eg_layers layers;
};

static const struct eg_field open_params_fields[] = {
    {"priority", EG_FIELD_INTEGER, true, -1000000, 1000000,
     offsetof (struct open_params, priority)},
    {"prompt", EG_FIELD_STRING, true, 0, EG_FIELD_LONG_STRING_MAX,
     offsetof (struct open_params, prompt)},
    {"committed", EG_FIELD_INTEGER, true, 0, UINT32_MAX,
     offsetof (struct open_params, committed)},
    {"max_tokens", EG_FIELD_INTEGER, true, 0, UINT32_MAX,
     offsetof (struct open_params, max_tokens)},
    {"layers", EG_FIELD_LAYERS, true, 1, 10000,
     offsetof (struct open_params, layers)},
};

static void
close_run (struct eg_stage_run *run)
{
  if (!run)
    return;
  eg_stage_close (run);
  free (run);
}

/*
 * Removes the run of the request @name from the table and returns it. Returns
 * NULL if there is none or one of its steps is in progress.
 */
static struct eg_stage_run *
detach_run (struct eg_engine *self, const char *name, int64_t attempt)
{
  struct eg_engine_request *request =
      eg_engine_requests_find (&self->requests, name);
  struct eg_stage_run *run;

  if (!request || !request->remote_run
      || request->remote_run->params.attempt != attempt)
    return NULL;
  run = request->remote_run;
  request->remote_run = NULL;
  return run;
}

/*
 * Stores @run for its next step. Returns the run that the caller has to close:
 * the one that was replaced, @run itself if it has ended, or NULL.
 */
static struct eg_stage_run *
reattach_run (struct eg_stage_run *run)
{
  struct eg_engine_request *request = run->request;
  struct eg_stage_run *old = request->remote_run;

  if (eg_stage_check_ended (run) != EG_STEP_DONE)
    return run;
  request->remote_run = run;
  return old;
}

static enum eg_step
open_run (struct eg_engine *self,
          const struct step_body *body,
          const struct open_params *open_params,
          struct eg_stage_run **run)
{
  struct eg_stage_params params = {
      .request = body->request,
      .attempt = body->attempt,
      .priority = open_params->priority,
      .prompt = eg_str_from (open_params->prompt),
      .committed = open_params->committed,
      .max_tokens = open_params->max_tokens,
      .layers = open_params->layers,
  };
  enum eg_step step;

  *run = calloc (1, sizeof **run);
  EG_INVARIANT (*run != NULL);
  step = eg_stage_open (*run, self, &params);
  if (step != EG_STEP_DONE)
    {
      free (*run);
      *run = NULL;
    }
  return step;
}

static bool
is_disconnected (void *context)
{
  return eg_server_exchange_is_disconnected (context);
}

static void
respond_step (struct eg_server_exchange *exchange, enum eg_step step)
{
  int status = step == EG_STEP_DONE ? 200 : step == EG_STEP_WAITING ? 202 : 409;

  if (step == EG_STEP_DIED)
    eg_server_exchange_abort (exchange);
  else
    eg_server_exchange_respond_json (
        exchange, status, json_pack ("{s:s}", "cause", eg_step_cause (step)));
}

static bool
parse_bodies (struct eg_server_exchange *exchange,
              struct step_body *body,
              struct open_params *open_params)
{
  struct eg_error error = {0};

  if (!eg_server_exchange_parse_json (exchange))
    return false;
  if (eg_fields_read (step_fields, N_ELEMENTS (step_fields), exchange->json,
                      body, "body", &error)
          == EG_OK
      && (!body->open
          || eg_fields_read (open_params_fields,
                             N_ELEMENTS (open_params_fields), body->open,
                             open_params, "open", &error)
                 == EG_OK))
    return true;
  eg_server_exchange_respond_error (exchange, 400, "%s", error.message);
  return false;
}

void
eg_engine_handle_stage (struct eg_engine *self,
                        struct eg_server_exchange *exchange)
{
  struct step_body body = {0};
  struct open_params open_params = {0};
  struct eg_stage_run *run = NULL;
  struct eg_stage_run *ended;
  enum eg_step step = EG_STEP_REFUSED;

  if (!parse_bodies (exchange, &body, &open_params))
    return;
  pthread_mutex_lock (&self->lock);
  run = detach_run (self, body.request, body.attempt);
  pthread_mutex_unlock (&self->lock);
  if (!run && body.open)
    step = open_run (self, &body, &open_params, &run);
  if (run)
    {
      run->params.is_disconnected = is_disconnected;
      run->params.context = exchange;
      step = eg_stage_step (run, body.position,
                            eg_clock_now_us () + body.wait_ms * EG_US_PER_MS);
      pthread_mutex_lock (&self->lock);
      /* A head that disconnects during a step does not resume the run. */
      ended = step == EG_STEP_GONE ? run : reattach_run (run);
      pthread_mutex_unlock (&self->lock);
      close_run (ended);
    }
  respond_step (exchange, step);
}

void
eg_engine_handle_stage_close (struct eg_engine *self,
                              struct eg_server_exchange *exchange)
{
  struct step_body body = {0};
  struct eg_error error = {0};
  struct eg_stage_run *run;

  if (!eg_server_exchange_parse_json (exchange))
    return;
  if (eg_fields_read (close_fields, N_ELEMENTS (close_fields), exchange->json,
                      &body, "body", &error)
      != EG_OK)
    {
      eg_server_exchange_respond_error (exchange, 400, "%s", error.message);
      return;
    }
  pthread_mutex_lock (&self->lock);
  run = detach_run (self, body.request, body.attempt);
  pthread_mutex_unlock (&self->lock);
  close_run (run);
  eg_server_exchange_respond_json (exchange, 200, json_object ());
}
