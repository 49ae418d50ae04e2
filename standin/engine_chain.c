#include "standin/engine_chain.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define URL_BYTES 64
#define CLOSE_TIMEOUT_MS 200L

void
eg_stage_chain_init (struct eg_stage_chain *self,
                     struct eg_engine *head,
                     struct eg_server_exchange *exchange,
                     size_t count)
{
  *self = (struct eg_stage_chain){
      .head = head, .exchange = exchange, .count = count};
  self->stages = calloc (count, sizeof *self->stages);
  EG_INVARIANT (self->stages != NULL);
}

void
eg_stage_chain_set_entry (struct eg_stage_chain *self,
                          size_t index,
                          const char *address,
                          struct eg_layers layers)
{
  struct eg_stage_chain_entry *stage = &self->stages[index];

  stage->address = address;
  stage->layers = layers;
  stage->local = index == 0
                     ? self->head
                     : self->head->find (self->head->find_context, address);
}

static bool
is_head_ended (void *context)
{
  struct eg_stage_chain *self = context;

  return eg_server_exchange_is_disconnected (self->exchange)
         || eg_stage_check_ended (&self->stages[0].run) != EG_STEP_DONE;
}

static bool
is_client_disconnected (void *context)
{
  struct eg_stage_chain *self = context;

  return eg_server_exchange_is_disconnected (self->exchange);
}

static enum eg_step
open_local (struct eg_stage_chain *self, struct eg_stage_chain_entry *stage)
{
  struct eg_stage_params params = self->params;
  bool is_head = stage == self->stages;
  enum eg_step step;

  params.layers = stage->layers;
  params.is_head = is_head;
  params.keeps_slot = self->count == 1;
  params.is_disconnected = is_head ? is_client_disconnected : is_head_ended;
  params.context = self;
  if (!is_head)
    params.hang_timeout_us =
        self->head->config->stage_timeout_ms * EG_US_PER_MS;
  step = eg_stage_open (&stage->run, stage->local, &params);
  stage->is_open = step == EG_STEP_DONE;
  return step;
}

enum eg_step
eg_stage_chain_open_head (struct eg_stage_chain *self)
{
  return open_local (self, &self->stages[0]);
}

static size_t
append_response (char *data, size_t size, size_t count, void *context)
{
  eg_buffer_append (context, (struct eg_str){data, size * count});
  return size * count;
}

/* Posts @p body and takes ownership of it; returns the HTTP status or 0. */
static long
post (struct eg_stage_chain_entry *stage,
      const char *path,
      json_t *body,
      long timeout_ms,
      CURLcode *outcome)
{
  char *text = json_dumps (body, JSON_COMPACT);
  char url[URL_BYTES];
  long status = 0;

  snprintf (url, sizeof url, "http://%s%s", stage->address, path);
  eg_buffer_clear (&stage->response);
  curl_easy_setopt (stage->client, CURLOPT_URL, url);
  curl_easy_setopt (stage->client, CURLOPT_POSTFIELDS, text);
  curl_easy_setopt (stage->client, CURLOPT_TIMEOUT_MS, timeout_ms);
  *outcome = curl_easy_perform (stage->client);
  if (*outcome == CURLE_OK)
    curl_easy_getinfo (stage->client, CURLINFO_RESPONSE_CODE, &status);
  free (text);
  json_decref (body);
  return status;
}

static enum eg_step
step_from_response (struct eg_stage_chain_entry *stage,
                    long status,
                    CURLcode outcome)
{
  enum eg_step step;
  json_t *response;

  /* libcurl reconnects when a reused connection breaks: if an open stage
     refuses connections, it has crashed. */
  if (outcome == CURLE_COULDNT_CONNECT)
    return stage->is_open ? EG_STEP_DIED : EG_STEP_UNREACHABLE;
  if (outcome == CURLE_OPERATION_TIMEDOUT)
    return EG_STEP_TIMEOUT;
  if (outcome != CURLE_OK)
    return EG_STEP_DIED;
  if (status == 200)
    return EG_STEP_DONE;
  response = json_loadb (stage->response.data ? stage->response.data : "",
                         stage->response.len, 0, NULL);
  step = eg_step_from_cause (
      json_string_value (json_object_get (response, "cause")));
  json_decref (response);
  return step == EG_STEP_COUNT ? EG_STEP_REFUSED : step;
}

static json_t *
pack_open_params (const struct eg_stage_chain *self,
                  const struct eg_stage_chain_entry *stage)
{
  return json_pack (
      "{s:I,s:s#,s:I,s:I,s:[I,I]}", "priority", self->params.priority, "prompt",
      self->params.prompt.data, self->params.prompt.len, "committed",
      self->params.committed, "max_tokens", self->params.max_tokens, "layers",
      stage->layers.first, stage->layers.last);
}

static void
create_client (struct eg_stage_chain_entry *stage)
{
  stage->client = curl_easy_init ();
  EG_INVARIANT (stage->client != NULL);
  curl_easy_setopt (stage->client, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (stage->client, CURLOPT_WRITEFUNCTION, append_response);
  curl_easy_setopt (stage->client, CURLOPT_WRITEDATA, &stage->response);
}

static enum eg_step
run_remote_stage (struct eg_stage_chain *self,
                  struct eg_stage_chain_entry *stage,
                  int64_t position)
{
  long timeout_ms = (long) self->head->config->stage_timeout_ms;
  enum eg_step step;

  if (!stage->client)
    create_client (stage);
  do
    {
      json_t *body =
          json_pack ("{s:s,s:I,s:I,s:I}", "request", self->params.request,
                     "attempt", self->params.attempt, "position", position,
                     "wait_ms", (json_int_t) (timeout_ms / 2));
      CURLcode outcome;
      long status;

      if (!stage->is_open)
        json_object_set_new (body, "open", pack_open_params (self, stage));
      status = post (stage, "/standin/stage", body, timeout_ms, &outcome);
      step = step_from_response (stage, status, outcome);
      if (step == EG_STEP_DONE || step == EG_STEP_WAITING)
        stage->is_open = true;
      if (step == EG_STEP_WAITING && is_head_ended (self))
        step = EG_STEP_GONE;
    }
  while (step == EG_STEP_WAITING);
  return step;
}

static enum eg_step
run_stage (struct eg_stage_chain *self,
           struct eg_stage_chain_entry *stage,
           int64_t position)
{
  enum eg_step step = EG_STEP_DONE;

  if (!stage->local)
    return run_remote_stage (self, stage, position);
  if (!stage->is_open)
    step = open_local (self, stage);
  if (step == EG_STEP_DONE)
    step = eg_stage_step (&stage->run, position, INT64_MAX);
  return step;
}

bool
eg_stage_chain_run (struct eg_stage_chain *self, int64_t position)
{
  for (size_t i = 0; i < self->count; i++)
    {
      enum eg_step step = run_stage (self, &self->stages[i], position);

      if (step == EG_STEP_DONE)
        continue;
      self->failed_stage = i;
      self->failure = step;
      /* A later stage that stopped because the head's run ended did not fail
         itself; the head's reason is reported instead. */
      if (step == EG_STEP_GONE && i > 0)
        {
          step = eg_stage_check_ended (&self->stages[0].run);
          self->failed_stage = 0;
          self->failure = step != EG_STEP_DONE ? step : EG_STEP_GONE;
        }
      return false;
    }
  return true;
}

void
eg_stage_chain_finish (struct eg_stage_chain *self)
{
  for (size_t i = 0; i < self->count; i++)
    {
      struct eg_stage_chain_entry *stage = &self->stages[i];
      CURLcode outcome;

      if (stage->local && stage->is_open)
        eg_stage_close (&stage->run);
      if (stage->client)
        {
          post (stage, "/standin/stage/close",
                json_pack ("{s:s,s:I}", "request", self->params.request,
                           "attempt", self->params.attempt),
                CLOSE_TIMEOUT_MS, &outcome);
          curl_easy_cleanup (stage->client);
        }
      eg_buffer_finish (&stage->response);
    }
  free (self->stages);
  self->stages = NULL;
}
