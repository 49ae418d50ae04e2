#include "standin/load_faults.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

#define POST_TIMEOUT_US (5 * EG_US_PER_S)
#define PID_TEXT_BYTES 32

struct post
{
  struct eg_load_fault_result *result;
  const char *label;
};

struct eg_load_fault_injector
{
  const struct eg_load_scenario *scenario;
  struct eg_load_client *client;
  struct eg_load_results *results;
  struct post *posts;
  struct curl_slist *headers;
  size_t next;
};

struct eg_load_fault_injector *
eg_load_fault_injector_new (const struct eg_load_scenario *scenario,
                            struct eg_load_client *client,
                            struct eg_load_results *results)
{
  struct eg_load_fault_injector *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->scenario = scenario;
  self->client = client;
  self->results = results;
  self->headers = curl_slist_append (NULL, "Content-Type: application/json");
  self->posts = calloc (scenario->n_faults + 1, sizeof *self->posts);
  EG_INVARIANT (self->posts != NULL);
  return self;
}

void
eg_load_fault_injector_free (struct eg_load_fault_injector *self)
{
  if (!self)
    return;
  curl_slist_free_all (self->headers);
  free (self->posts);
  free (self);
}

enum eg_status
eg_load_fault_read_pid (const char *path, int64_t *pid, struct eg_error *error)
{
  char text[PID_TEXT_BYTES];
  FILE *file = fopen (path, "re");
  size_t len;

  if (!file)
    return eg_error_set (error, EG_NOT_FOUND, "%s: %s", path, strerror (errno));
  len = fread (text, 1, sizeof text, file);
  fclose (file);
  if (!eg_str_to_int64 (eg_str_trim ((struct eg_str){text, len}), pid)
      || *pid < 2 || *pid > INT32_MAX)
    return eg_error_set (error, EG_INVALID, "%s: invalid process id", path);
  return EG_OK;
}

static void
record_failure (struct eg_load_fault_result *result,
                const char *label,
                const char *cause)
{
  result->done = false;
  eg_str_copy (eg_str_from (cause), result->detail, sizeof result->detail);
  eg_log (EG_LOG_ERROR, "load", "event=fault-failed label=\"%s\" cause=\"%s\"",
          label, cause);
}

static void
send_signal (const struct eg_load_fault *fault,
             struct eg_load_fault_result *result)
{
  struct eg_error error = {0};
  int64_t pid = 0;

  if (eg_load_fault_read_pid (fault->pid_file, &pid, &error) != EG_OK)
    record_failure (result, fault->label, error.message);
  else if (kill ((pid_t) pid, fault->signal) != 0)
    record_failure (result, fault->label, strerror (errno));
}

static void
ignore_body (void *context, int http_status, struct eg_str bytes)
{
  (void) context;
  (void) http_status;
  (void) bytes;
}

/* A transport error is no failure of the fault: an engine that is told to crash
   may close the connection without a response. */
static void
on_post_end (void *context, const struct eg_load_exchange_result *result)
{
  struct post *post = context;

  if (result->refused || result->http_status >= 300)
    record_failure (post->result, post->label,
                    result->transport_error ? result->transport_error
                                            : "HTTP error response");
}

static void
send_post (struct eg_load_fault_injector *self, size_t index)
{
  const struct eg_load_fault *fault = &self->scenario->faults[index];
  struct post *post = &self->posts[index];
  struct eg_load_exchange exchange = {
      .method = fault->body ? "POST" : "DELETE",
      .url = fault->url,
      .headers = self->headers,
      .body = eg_str_from (fault->body),
      .timeout_us = POST_TIMEOUT_US,
      .on_body = ignore_body,
      .on_end = on_post_end,
      .context = post,
  };

  *post = (struct post){&self->results->faults[index], fault->label};
  eg_load_client_start (self->client, &exchange);
}

void
eg_load_fault_injector_run (struct eg_load_fault_injector *self, int64_t now_us)
{
  for (; eg_load_fault_injector_next_us (self) <= now_us; self->next++)
    {
      const struct eg_load_fault *fault = &self->scenario->faults[self->next];
      struct eg_load_fault_result *result = &self->results->faults[self->next];

      result->done = true;
      result->done_us = now_us;
      if (*fault->pid_file)
        send_signal (fault, result);
      else
        send_post (self, self->next);
    }
}

int64_t
eg_load_fault_injector_next_us (const struct eg_load_fault_injector *self)
{
  return self->next < self->scenario->n_faults
             ? self->scenario->faults[self->next].at_us
             : INT64_MAX;
}
