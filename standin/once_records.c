#include "standin/once_records.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/clock.h"

#define READ_TIMEOUT_US (5 * EG_US_PER_S)

struct reading
{
  struct eg_once_records *records;
  const char *url;
  struct eg_buffer body;
  size_t noted; /* Executions already added to the history. */
  bool active;
  bool is_whole;
};

struct eg_once_records
{
  const char *run;
  struct eg_load_client *client;
  struct eg_once_book *book;
  int64_t start_us;
  struct reading *readings;
  size_t count;
};

struct eg_once_records *
eg_once_records_new (const struct eg_once_scenario *scenario,
                     const char *run,
                     struct eg_load_client *client,
                     struct eg_once_book *book,
                     int64_t start_us)
{
  struct eg_once_records *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->run = run;
  self->client = client;
  self->book = book;
  self->start_us = start_us;
  self->count = scenario->base.n_audited;
  self->readings = calloc (self->count + 1, sizeof *self->readings);
  EG_INVARIANT (self->readings != NULL);
  for (size_t i = 0; i < self->count; i++)
    {
      self->readings[i].records = self;
      self->readings[i].url = scenario->base.audited[i].url;
    }
  return self;
}

void
eg_once_records_free (struct eg_once_records *self)
{
  if (!self)
    return;
  for (size_t i = 0; i < self->count; i++)
    eg_buffer_finish (&self->readings[i].body);
  free (self->readings);
  free (self);
}

void
eg_once_records_write_id (const char *run,
                          size_t sending,
                          char *id,
                          size_t capacity)
{
  snprintf (id, capacity, "%s-%zu", run, sending);
}

void
eg_once_records_write_path (const char *run,
                            size_t request,
                            char *path,
                            size_t capacity)
{
  snprintf (path, capacity, "/%s/%zu", run, request);
}

/* Parses the number that follows prefix and separator; SIZE_MAX if invalid. */
static size_t
number_after (const char *text, const char *start, char separator)
{
  size_t len = strlen (start);
  int64_t number;

  if (!text || strncmp (text, start, len) != 0 || text[len] != separator
      || !eg_str_to_int64 (eg_str_from (text + len + 1), &number) || number < 0)
    return SIZE_MAX;
  return (size_t) number;
}

static const char *
text_of (json_t *run, const char *member)
{
  return json_string_value (json_object_get (run, member));
}

/* All requests of the tool are POSTs. Other methods are skipped: entry VMs also
   poll the load of a server that they don't know. */
static void
note_run (struct eg_once_records *self, json_t *run)
{
  const char *method = text_of (run, "method");
  const char *path = text_of (run, "path");
  const char *id = text_of (run, "request_id");
  size_t request = path ? number_after (path + 1, self->run, '/') : SIZE_MAX;

  if (method && strcmp (method, "POST") != 0)
    return;
  eg_once_book_run (self->book, request, number_after (id, self->run, '-'),
                    eg_clock_now_us () - self->start_us);
}

static void
note_record (struct reading *reading)
{
  json_t *record = json_loadb (reading->body.data, reading->body.len, 0, NULL);
  json_t *runs = json_object_get (record, "runs");
  json_t *dropped = json_object_get (record, "dropped");

  reading->is_whole = json_is_array (runs) && json_is_integer (dropped)
                      && json_integer_value (dropped) == 0
                      && json_array_size (runs) >= reading->noted;
  for (; reading->noted < json_array_size (runs); reading->noted++)
    note_run (reading->records, json_array_get (runs, reading->noted));
  json_decref (record);
}

static void
take_body (void *context, int http_status, struct eg_str bytes)
{
  struct reading *reading = context;

  (void) http_status;
  eg_buffer_append (&reading->body, bytes);
}

static void
take_end (void *context, const struct eg_load_end *end)
{
  struct reading *reading = context;

  reading->active = false;
  reading->is_whole = false;
  if (!end->transport && end->http_status == 200)
    note_record (reading);
}

void
eg_once_records_read (struct eg_once_records *self)
{
  for (size_t i = 0; i < self->count; i++)
    {
      struct reading *reading = &self->readings[i];
      struct eg_load_exchange exchange = {
          .method = "GET",
          .url = reading->url,
          .timeout_us = READ_TIMEOUT_US,
          .on_body = take_body,
          .on_end = take_end,
          .context = reading,
      };

      if (reading->active)
        continue;
      reading->active = true;
      eg_buffer_clear (&reading->body);
      eg_load_client_start (self->client, &exchange);
    }
}

size_t
eg_once_records_active (const struct eg_once_records *self)
{
  size_t active = 0;

  for (size_t i = 0; i < self->count; i++)
    active += self->readings[i].active;
  return active;
}

bool
eg_once_records_are_whole (const struct eg_once_records *self)
{
  for (size_t i = 0; i < self->count; i++)
    if (!self->readings[i].is_whole)
      return false;
  return true;
}
