#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/soak/soak.h"

#define EVENT_GAP_MS 15
#define WORK_MS_MAX 30
/* A server that cuts does so for one answer in so many. */
#define CUT_ONE_IN 5

/** A request that a server works on. */
struct work
{
  struct soak_backend *backend;
  char id[32];
  int64_t next_event;
};

void
soak_expected_body (const char *id, char *text, size_t capacity)
{
  snprintf (text, capacity, "answer to %s\n", id);
}

static void
note_run (struct soak *self, const char *id)
{
  json_int_t before = json_integer_value (json_object_get (self->runs, id));

  json_object_set_new (self->runs, id, json_integer (before + 1));
}

static bool
cuts_now (const struct soak_backend *self)
{
  return self->cuts && eg_random_below (&self->soak->random, CUT_ONE_IN) == 0;
}

static void
finish_plain (struct soak_connection *connection)
{
  struct work *work = connection->state;
  char fields[160];
  char body[64];

  if (cuts_now (work->backend))
    {
      soak_cut (connection);
      return;
    }
  snprintf (fields, sizeof fields, "X-Attempt-Id: %s\r\nX-Server-Seal: s\r\n",
            work->id);
  soak_expected_body (work->id, body, sizeof body);
  soak_answer (connection, 200, eg_str_from (fields), eg_str_from (body));
}

static void
next_event (struct soak_connection *connection)
{
  struct work *work = connection->state;
  char event[96];
  char chunk[128];

  if (cuts_now (work->backend))
    {
      eg_socket_write (&connection->socket, EG_STR ("9\r\nid: 9"));
      soak_cut (connection);
      return;
    }
  if (work->next_event > SOAK_EVENTS)
    {
      eg_socket_write (&connection->socket, EG_STR ("0\r\n\r\n"));
      soak_done (connection);
      return;
    }
  snprintf (event, sizeof event, "id: %" PRId64 "\ndata: %s\n\n",
            work->next_event++, work->id);
  snprintf (chunk, sizeof chunk, "%zx\r\n%s\r\n", strlen (event), event);
  eg_socket_write (&connection->socket, eg_str_from (chunk));
  soak_later (connection, EVENT_GAP_MS, next_event);
}

static void
begin_stream (struct soak_connection *connection)
{
  struct work *work = connection->state;
  char head[256];

  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\nX-Attempt-Id: %s\r\n"
            "X-Server-Seal: s\r\n\r\n",
            work->id);
  eg_socket_write (&connection->socket, eg_str_from (head));
  next_event (connection);
}

static void
on_request (void *context, struct soak_connection *connection)
{
  struct soak_backend *self = context;
  const struct eg_http_head *head = &connection->reader.head;
  struct eg_str expected = eg_http_head_find (head, "x-expect-instance");
  struct work *work = calloc (1, sizeof *work);
  bool stream =
      eg_str_starts_with (eg_http_head_target (head), EG_STR ("/stream/"));

  connection->state = work;
  work->backend = self;
  eg_str_copy (eg_http_head_find (head, "x-attempt-id"), work->id,
               sizeof work->id);
  if (!eg_str_equal (expected, eg_str_from (self->id)))
    {
      soak_answer (connection, 421, EG_STR (""), EG_STR (""));
      return;
    }
  if (eg_http_head_find (head, "api-key").data)
    soak_violation (self->soak, "a key reached a server with request %s",
                    work->id);
  if (!eg_str_equal (eg_http_head_find (head, "x-tenant"), EG_STR ("temple")))
    soak_violation (self->soak, "request %s came for no organisation",
                    work->id);
  note_run (self->soak, work->id);
  work->next_event = 1;
  eg_str_to_int64 (eg_http_head_find (head, "last-event-id"),
                   &work->next_event);
  if (eg_http_head_find (head, "last-event-id").data)
    work->next_event++;
  soak_later (connection, eg_random_below (&self->soak->random, WORK_MS_MAX),
              stream ? begin_stream : finish_plain);
}

void
soak_backend_up (struct soak_backend *self)
{
  if (self->up)
    return;
  snprintf (self->id, sizeof self->id, "i-%u-%u", self->number, ++self->starts);
  soak_server_open (&self->server);
  self->up = true;
}

void
soak_backend_down (struct soak_backend *self)
{
  if (!self->up)
    return;
  soak_server_crash (&self->server);
  soak_store_delete (&self->soak->store, "servers", self->id);
  self->up = false;
}

void
soak_backends_beat (struct soak *self)
{
  for (unsigned i = 0; i < SOAK_BACKENDS; i++)
    {
      struct soak_backend *backend = &self->backends[i];
      char address[32];

      if (!backend->up)
        continue;
      soak_address (backend->server.endpoint, address, sizeof address);
      soak_store_put (&self->store, "servers", backend->id,
                      json_pack ("{s:s, s:s, s:s, s:i, s:s, s:I}", "service",
                                 "app", "address", address, "zone", "room",
                                 "slots", 64, "state", "ready", "sequence",
                                 (json_int_t) self->store.revision));
    }
}

void
soak_backends_init (struct soak *self)
{
  for (unsigned i = 0; i < SOAK_BACKENDS; i++)
    {
      struct soak_backend *backend = &self->backends[i];

      backend->soak = self;
      backend->number = i;
      soak_server_init (&backend->server, &self->loop, 0, on_request, backend);
      soak_backend_up (backend);
    }
}
