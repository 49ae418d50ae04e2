#include "standin/once_records.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/clock.h"

#define READ_TIMEOUT_US (5 * EG_US_PER_S)

struct record_reader
{
  struct eg_once_records *records;
  const char *url;
  struct eg_buffer body;
  size_t n_added; /* Executions already added to the history. */
  bool active;
  bool is_complete;
};

struct eg_once_records
{
  const char *run_name;
  struct eg_load_client *client;
  struct eg_once_history *history;
  int64_t start_us;
  struct record_reader *readers;
  size_t count;
};

struct eg_once_records *
eg_once_records_new (const struct eg_once_scenario *scenario,
                     const char *run_name,
                     struct eg_load_client *client,
                     struct eg_once_history *history,
                     int64_t start_us)
{
  struct eg_once_records *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->run_name = run_name;
  self->client = client;
  self->history = history;
  self->start_us = start_us;
  self->count = scenario->base.n_record_sources;
  self->readers = calloc (self->count + 1, sizeof *self->readers);
  EG_INVARIANT (self->readers != NULL);
  for (size_t i = 0; i < self->count; i++)
    {
      self->readers[i].records = self;
      self->readers[i].url = scenario->base.record_sources[i].url;
    }
  return self;
}

void
eg_once_records_free (struct eg_once_records *self)
{
  if (!self)
    return;
  for (size_t i = 0; i < self->count; i++)
    eg_buffer_finish (&self->readers[i].body);
  free (self->readers);
  free (self);
}

void
eg_once_records_format_request_id (const char *run_name,
                                   size_t attempt,
                                   char *id,
                                   size_t capacity)
{
  snprintf (id, capacity, "%s-%zu", run_name, attempt);
}

void
eg_once_records_format_path (const char *run_name,
                             size_t request,
                             char *path,
                             size_t capacity)
{
  snprintf (path, capacity, "/%s/%zu", run_name, request);
}

/* Parses the number that follows prefix and separator; SIZE_MAX if invalid. */
static size_t
parse_number_after (const char *text, const char *prefix, char separator)
{
  size_t prefix_len = strlen (prefix);
  int64_t number;

  if (!text || strncmp (text, prefix, prefix_len) != 0
      || text[prefix_len] != separator
      || !eg_str_to_int64 (eg_str_from (text + prefix_len + 1), &number)
      || number < 0)
    return SIZE_MAX;
  return (size_t) number;
}

static const char *
string_member (json_t *execution, const char *member)
{
  return json_string_value (json_object_get (execution, member));
}

/* All requests of the tool are POSTs. Other methods are skipped: entry VMs also
   poll the load of a server that they don't know. */
static void
add_execution (struct eg_once_records *self, json_t *execution)
{
  const char *method = string_member (execution, "method");
  const char *path = string_member (execution, "path");
  const char *id = string_member (execution, "request_id");
  size_t request =
      path ? parse_number_after (path + 1, self->run_name, '/') : SIZE_MAX;

  if (method && strcmp (method, "POST") != 0)
    return;
  eg_once_history_add_execution (self->history, request,
                                 parse_number_after (id, self->run_name, '-'),
                                 eg_clock_now_us () - self->start_us);
}

static void
process_record (struct record_reader *reader)
{
  json_t *record = json_loadb (reader->body.data, reader->body.len, 0, NULL);
  json_t *executions = json_object_get (record, "runs");
  json_t *dropped = json_object_get (record, "dropped");

  reader->is_complete = json_is_array (executions) && json_is_integer (dropped)
                        && json_integer_value (dropped) == 0
                        && json_array_size (executions) >= reader->n_added;
  for (; reader->n_added < json_array_size (executions); reader->n_added++)
    add_execution (reader->records,
                   json_array_get (executions, reader->n_added));
  json_decref (record);
}

static void
on_body (void *context, int http_status, struct eg_str bytes)
{
  struct record_reader *reader = context;

  (void) http_status;
  eg_buffer_append (&reader->body, bytes);
}

static void
on_end (void *context, const struct eg_load_exchange_result *result)
{
  struct record_reader *reader = context;

  reader->active = false;
  reader->is_complete = false;
  if (!result->transport_error && result->http_status == 200)
    process_record (reader);
}

void
eg_once_records_read (struct eg_once_records *self)
{
  for (size_t i = 0; i < self->count; i++)
    {
      struct record_reader *reader = &self->readers[i];
      struct eg_load_exchange exchange = {
          .method = "GET",
          .url = reader->url,
          .timeout_us = READ_TIMEOUT_US,
          .on_body = on_body,
          .on_end = on_end,
          .context = reader,
      };

      if (reader->active)
        continue;
      reader->active = true;
      eg_buffer_clear (&reader->body);
      eg_load_client_start (self->client, &exchange);
    }
}

size_t
eg_once_records_active (const struct eg_once_records *self)
{
  size_t active = 0;

  for (size_t i = 0; i < self->count; i++)
    active += self->readers[i].active;
  return active;
}

bool
eg_once_records_are_complete (const struct eg_once_records *self)
{
  for (size_t i = 0; i < self->count; i++)
    if (!self->readers[i].is_complete)
      return false;
  return true;
}
