#include "test/soak/store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PREFIX "/eelgrasswood/objects/"
#define WATCH_POLL_MS 10
#define ANSWER_MS 2
/* One in so many writes is not answered in SOAK_STORE_LOSSY. */
#define LOST_ONE_IN 3

/** What a call asks for. */
struct call
{
  struct soak_store *store;
  char kind[64];
  char name[64];
  int64_t watch;
  int64_t left_ms;
};

static void
note_change (struct soak_store *self, const char *key, bool deleted)
{
  json_array_append_new (self->changes,
                         json_pack ("{s:I, s:s, s:b}", "revision",
                                    (json_int_t) self->revision, "key", key,
                                    "deleted", deleted));
}

void
soak_store_put (struct soak_store *self,
                const char *kind,
                const char *name,
                json_t *spec)
{
  char key[160];

  snprintf (key, sizeof key, "%s/%s", kind, name);
  self->revision++;
  json_object_set_new (self->objects, key,
                       json_pack ("{s:{s:s, s:I}, s:o}", "metadata", "name",
                                  name, "revision", (json_int_t) self->revision,
                                  "spec", spec));
  note_change (self, key, false);
}

void
soak_store_delete (struct soak_store *self, const char *kind, const char *name)
{
  char key[160];

  snprintf (key, sizeof key, "%s/%s", kind, name);
  self->revision++;
  note_change (self, key, true);
}

static void
answer_json (struct soak_connection *connection, unsigned status, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);

  json_decref (value);
  soak_answer (connection, status,
               EG_STR ("Content-Type: application/json\r\n"),
               eg_str_from (text));
  free (text);
}

static bool
is_of_kind (const char *key, const char *kind)
{
  size_t len = strlen (kind);

  return strncmp (key, kind, len) == 0 && key[len] == '/';
}

/* Tells whether the last change of a key is its end. */
static bool
is_deleted (const struct soak_store *self, const char *key)
{
  for (size_t i = json_array_size (self->changes); i > 0; i--)
    {
      const json_t *change = json_array_get (self->changes, i - 1);

      if (strcmp (json_string_value (json_object_get (change, "key")), key)
          == 0)
        return json_is_true (json_object_get (change, "deleted"));
    }
  return true;
}

static json_t *
list_items (const struct soak_store *self, const char *kind)
{
  json_t *items = json_array ();
  const char *key;
  json_t *object;

  json_object_foreach (self->objects, key,
                       object) if (is_of_kind (key, kind)
                                   && !is_deleted (self, key))
      json_array_append (items, object);
  return items;
}

static json_t *
list_events (const struct soak_store *self, const char *kind, int64_t from)
{
  json_t *events = json_array ();
  json_t *change;
  size_t index;

  json_array_foreach (self->changes, index, change)
  {
    const char *key = json_string_value (json_object_get (change, "key"));

    if (json_integer_value (json_object_get (change, "revision")) > from
        && is_of_kind (key, kind))
      json_array_append_new (
          events, json_pack ("{s:O, s:O}", "object",
                             json_object_get (self->objects, key), "deleted",
                             json_object_get (change, "deleted")));
  }
  return events;
}

static void
answer_watch (struct soak_connection *connection)
{
  struct call *call = connection->state;
  struct soak_store *self = call->store;
  json_t *events = list_events (self, call->kind, call->watch);

  if (self->mode != SOAK_STORE_SOUND && self->mode != SOAK_STORE_LOSSY)
    {
      json_decref (events);
      soak_cut (connection);
      return;
    }
  call->left_ms -= WATCH_POLL_MS;
  if (json_array_size (events) == 0 && call->left_ms > 0)
    {
      json_decref (events);
      soak_later (connection, WATCH_POLL_MS, answer_watch);
      return;
    }
  answer_json (connection, 200,
               json_pack ("{s:o, s:I}", "events", events, "at",
                          (json_int_t) self->revision));
}

static void
answer_write (struct soak_connection *connection)
{
  struct call *call = connection->state;
  struct soak_store *self = call->store;
  bool create = strcmp (connection->reader.head.method, "POST") == 0;
  json_t *object =
      json_loadb (connection->body.data, connection->body.len, 0, NULL);
  const json_t *metadata = json_object_get (object, "metadata");
  const char *name = json_string_value (json_object_get (metadata, "name"));
  const json_t *expected = json_object_get (metadata, "revision");
  char key[160];
  json_t *present;

  snprintf (key, sizeof key, "%s/%s", call->kind, name ? name : "");
  present = json_object_get (self->objects, key);
  if (!name || (!create && !present))
    {
      answer_json (connection, name ? 404 : 400, json_object ());
      goto out;
    }
  if ((create && present)
      || (expected
          && json_integer_value (expected)
                 != json_integer_value (json_object_get (
                     json_object_get (present, "metadata"), "revision"))))
    {
      answer_json (connection, 409, json_incref (present));
      goto out;
    }
  soak_store_put (self, call->kind, name,
                  json_incref (json_object_get (object, "spec")));
  if (self->mode == SOAK_STORE_LOSSY
      && eg_random_below (self->random, LOST_ONE_IN) == 0)
    soak_cut (connection);
  else
    answer_json (connection, 200,
                 json_incref (json_object_get (self->objects, key)));
out:
  json_decref (object);
}

static void
answer_read (struct soak_connection *connection)
{
  struct call *call = connection->state;
  struct soak_store *self = call->store;
  char key[160];
  json_t *object;

  if (!*call->name)
    {
      answer_json (connection, 200,
                   json_pack ("{s:o, s:b, s:I}", "items",
                              list_items (self, call->kind), "hasMore", 0, "at",
                              (json_int_t) self->revision));
      return;
    }
  snprintf (key, sizeof key, "%s/%s", call->kind, call->name);
  object = json_object_get (self->objects, key);
  if (object)
    answer_json (connection, 200, json_incref (object));
  else
    answer_json (connection, 404, json_object ());
}

static void
answer (struct soak_connection *connection)
{
  struct call *call = connection->state;

  if (strcmp (connection->reader.head.method, "GET") != 0)
    answer_write (connection);
  else if (call->watch > 0)
    answer_watch (connection);
  else
    answer_read (connection);
}

static int64_t
query_number (const char *target, const char *name)
{
  const char *at = strstr (target, name);

  return at ? strtoll (at + strlen (name), NULL, 10) : 0;
}

static void
on_call (void *context, struct soak_connection *connection)
{
  struct soak_store *self = context;
  struct call *call = calloc (1, sizeof *call);
  char target[512];

  connection->state = call;
  call->store = self;
  eg_str_copy (eg_http_head_target (&connection->reader.head), target,
               sizeof target);
  call->watch = query_number (target, "watch=");
  call->left_ms = query_number (target, "waitMs=");
  target[strcspn (target, "?")] = '\0';
  sscanf (target, PREFIX "%63[^/]/%63s", call->kind, call->name);
  if (self->mode == SOAK_STORE_RESET)
    soak_cut (connection);
  else if (self->mode == SOAK_STORE_BUSY)
    answer_json (connection, 503, json_object ());
  else if (self->mode != SOAK_STORE_SILENT)
    soak_later (connection, ANSWER_MS, answer);
}

void
soak_store_open (struct soak_store *self,
                 uv_loop_t *loop,
                 struct eg_random *random)
{
  memset (self, 0, sizeof *self);
  self->random = random;
  self->objects = json_object ();
  self->changes = json_array ();
  self->revision = 1;
  soak_server_init (&self->server, loop, 0, on_call, self);
  soak_server_open (&self->server);
}

void
soak_store_close (struct soak_store *self)
{
  soak_server_crash (&self->server);
  json_decref (self->objects);
  json_decref (self->changes);
}
