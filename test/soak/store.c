#include "test/soak/store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/status.h"

#define OBJECTS_PATH "/eelgrasswood/objects/"
#define WATCH_POLL_MS 10
#define RESPONSE_DELAY_MS 2
/* In SOAK_STORE_LOST_REPLIES, one write in this many gets no response. */
#define LOST_REPLY_PERIOD 3

/** A request in progress; state of its connection. */
struct store_request
{
  struct soak_store *store;
  char kind[64];
  char name[64];          /**< Empty: all objects of the kind. */
  int64_t watch_revision; /**< Wait for changes after it; 0: plain read. */
  int64_t remaining_ms;   /**< Until a watch responds without events. */
};

static void
append_change (struct soak_store *self, const char *key, bool deleted)
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
  append_change (self, key, false);
}

void
soak_store_copy (const struct soak_store *self, struct soak_store_copy *copy)
{
  *copy = (struct soak_store_copy){json_copy (self->objects),
                                   json_copy (self->changes), self->revision};
}

void
soak_store_copy_finish (struct soak_store_copy *copy)
{
  json_decref (copy->objects);
  json_decref (copy->changes);
  *copy = (struct soak_store_copy){0};
}

void
soak_store_restore (struct soak_store *self, struct soak_store_copy *copy)
{
  json_decref (self->objects);
  json_decref (self->changes);
  self->objects = copy->objects;
  self->changes = copy->changes;
  self->revision = copy->revision;
  *copy = (struct soak_store_copy){0};
  self->era++;
  soak_http_server_reset (&self->server);
}

void
soak_store_delete (struct soak_store *self, const char *kind, const char *name)
{
  char key[160];

  snprintf (key, sizeof key, "%s/%s", kind, name);
  self->revision++;
  append_change (self, key, true);
}

static void
replace_all (struct eg_buffer *text, const char *searched, const char *inserted)
{
  struct eg_buffer replaced = {0};
  const char *from = eg_buffer_text (text);
  const char *at;

  while ((at = strstr (from, searched)))
    {
      eg_buffer_append (&replaced, (struct eg_str){from, (size_t) (at - from)});
      eg_buffer_append (&replaced, eg_str_from (inserted));
      from = at + strlen (searched);
    }
  eg_buffer_append (&replaced, eg_str_from (from));
  eg_buffer_finish (text);
  *text = replaced;
}

/* Replaces the addresses in an answer by those that its caller sees. */
static void
apply_aliases (const struct soak_store_view *view, struct eg_buffer *text)
{
  for (size_t i = 0; i < view->alias_count; i++)
    replace_all (text, view->aliases[i].address, view->aliases[i].seen_as);
}

/* With the closing quote, so that no address begins another one. */
static void
write_quoted (struct eg_endpoint endpoint, char *text, size_t capacity)
{
  char address[32];

  soak_format_address (endpoint, address, sizeof address);
  snprintf (text, capacity, "%s\"", address);
}

void
soak_store_add_alias (struct soak_store_view *view,
                      struct eg_endpoint endpoint,
                      struct eg_endpoint seen_as)
{
  struct soak_store_alias *alias = &view->aliases[view->alias_count++];

  EG_INVARIANT (view->alias_count <= SOAK_STORE_ALIASES_MAX);
  write_quoted (endpoint, alias->address, sizeof alias->address);
  write_quoted (seen_as, alias->seen_as, sizeof alias->seen_as);
}

static void
respond_json (struct soak_http_connection *connection,
              unsigned status,
              json_t *value)
{
  const struct store_request *request = connection->state;
  const struct soak_store *self = request->store;
  char *dumped = json_dumps (value, JSON_COMPACT);
  struct eg_buffer text = {0};
  char fields[160] = "Content-Type: application/json\r\n";
  size_t len = strlen (fields);

  json_decref (value);
  eg_buffer_append (&text, eg_str_from (dumped));
  free (dumped);
  if (self->undecodable)
    replace_all (&text, "\"undecodable\"", self->undecodable);
  if (connection->server != &self->server)
    apply_aliases (
        EG_CONTAINER_OF (connection->server, struct soak_store_view, server),
        &text);
  if (!self->era_text)
    snprintf (fields + len, sizeof fields - len, "Store-Era: %" PRId64 "\r\n",
              self->era);
  else if (*self->era_text)
    snprintf (fields + len, sizeof fields - len, "Store-Era: %s\r\n",
              self->era_text);
  soak_http_respond (connection, status, eg_str_from (fields),
                     eg_buffer_view (&text));
  eg_buffer_finish (&text);
}

static bool
has_kind (const char *key, const char *kind)
{
  size_t len = strlen (kind);

  return strncmp (key, kind, len) == 0 && key[len] == '/';
}

/* Tells whether the last change of a key is its deletion, or there is none. */
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
                       object) if (has_kind (key, kind)
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
        && has_kind (key, kind))
      json_array_append_new (
          events, json_pack ("{s:O, s:O}", "object",
                             json_object_get (self->objects, key), "deleted",
                             json_object_get (change, "deleted")));
  }
  return events;
}

static void
handle_watch (struct soak_http_connection *connection)
{
  struct store_request *request = connection->state;
  struct soak_store *self = request->store;
  json_t *events = list_events (self, request->kind, request->watch_revision);

  if (self->mode != SOAK_STORE_HEALTHY && self->mode != SOAK_STORE_LOST_REPLIES)
    {
      json_decref (events);
      soak_http_abort (connection);
      return;
    }
  if (request->watch_revision > self->revision)
    {
      json_decref (events);
      respond_json (connection, 410, json_object ());
      return;
    }
  request->remaining_ms -= WATCH_POLL_MS;
  if (json_array_size (events) == 0 && request->remaining_ms > 0)
    {
      json_decref (events);
      soak_http_schedule (connection, WATCH_POLL_MS, handle_watch);
      return;
    }
  respond_json (connection, 200,
                json_pack ("{s:o, s:I}", "events", events, "at",
                           (json_int_t) self->revision));
}

static void
handle_write (struct soak_http_connection *connection)
{
  struct store_request *request = connection->state;
  struct soak_store *self = request->store;
  bool create = strcmp (connection->reader.head.method, "POST") == 0;
  json_t *object =
      json_loadb (connection->body.data, connection->body.len, 0, NULL);
  const json_t *metadata = json_object_get (object, "metadata");
  const char *name = json_string_value (json_object_get (metadata, "name"));
  const json_t *expected = json_object_get (metadata, "revision");
  char key[160];
  json_t *present;

  snprintf (key, sizeof key, "%s/%s", request->kind, name ? name : "");
  present = json_object_get (self->objects, key);
  if (!name || (!create && !present))
    {
      respond_json (connection, name ? 404 : 400, json_object ());
      goto out;
    }
  if ((create && present)
      || (expected
          && json_integer_value (expected)
                 != json_integer_value (json_object_get (
                     json_object_get (present, "metadata"), "revision"))))
    {
      respond_json (connection, 409, json_incref (present));
      goto out;
    }
  soak_store_put (self, request->kind, name,
                  json_incref (json_object_get (object, "spec")));
  if (self->mode == SOAK_STORE_LOST_REPLIES
      && eg_random_below (self->random, LOST_REPLY_PERIOD) == 0)
    soak_http_abort (connection);
  else
    respond_json (connection, 200,
                  json_incref (json_object_get (self->objects, key)));
out:
  json_decref (object);
}

static void
handle_read (struct soak_http_connection *connection)
{
  struct store_request *request = connection->state;
  struct soak_store *self = request->store;
  char key[160];
  json_t *object;

  if (!*request->name)
    {
      respond_json (connection, 200,
                    json_pack ("{s:o, s:b, s:I}", "items",
                               list_items (self, request->kind), "hasMore", 0,
                               "at", (json_int_t) self->revision));
      return;
    }
  snprintf (key, sizeof key, "%s/%s", request->kind, request->name);
  object = json_object_get (self->objects, key);
  if (object)
    respond_json (connection, 200, json_incref (object));
  else
    respond_json (connection, 404, json_object ());
}

static void
handle_delete (struct soak_http_connection *connection)
{
  struct store_request *request = connection->state;

  soak_store_delete (request->store, request->kind, request->name);
  respond_json (connection, 200, json_object ());
}

static void
handle_request (struct soak_http_connection *connection)
{
  struct store_request *request = connection->state;

  if (strcmp (connection->reader.head.method, "DELETE") == 0)
    handle_delete (connection);
  else if (strcmp (connection->reader.head.method, "GET") != 0)
    handle_write (connection);
  else if (request->watch_revision > 0)
    handle_watch (connection);
  else
    handle_read (connection);
}

static int64_t
query_int64 (const char *target, const char *name)
{
  const char *at = strstr (target, name);

  return at ? strtoll (at + strlen (name), NULL, 10) : 0;
}

static void
on_request (void *context, struct soak_http_connection *connection)
{
  struct soak_store *self = context;
  struct store_request *request = calloc (1, sizeof *request);
  char target[512];

  connection->state = request;
  request->store = self;
  eg_str_copy (eg_http_head_target (&connection->reader.head), target,
               sizeof target);
  request->watch_revision = query_int64 (target, "watch=");
  request->remaining_ms = query_int64 (target, "waitMs=");
  target[strcspn (target, "?")] = '\0';
  sscanf (target, OBJECTS_PATH "%63[^/]/%63s", request->kind, request->name);
  if (self->mode == SOAK_STORE_RESET)
    soak_http_abort (connection);
  else if (self->mode == SOAK_STORE_UNAVAILABLE
           || (self->turns_away_second
               && connection->server == &self->second.server))
    respond_json (connection, 503, json_object ());
  else if (self->mode != SOAK_STORE_UNRESPONSIVE)
    soak_http_schedule (connection, RESPONSE_DELAY_MS, handle_request);
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
  self->era = 1;
  soak_http_server_init (&self->server, loop, 0, on_request, self);
  soak_http_server_start (&self->server);
  soak_store_open_view (self, &self->second);
}

void
soak_store_open_view (struct soak_store *self, struct soak_store_view *view)
{
  memset (view, 0, sizeof *view);
  soak_http_server_init (&view->server, self->server.loop, 0, on_request, self);
  soak_http_server_start (&view->server);
}

void
soak_store_close_view (struct soak_store_view *view)
{
  soak_http_server_stop (&view->server);
}

void
soak_store_stop (struct soak_store *self)
{
  soak_http_server_stop (&self->server);
  soak_store_close_view (&self->second);
}

void
soak_store_close (struct soak_store *self)
{
  soak_store_stop (self);
  json_decref (self->objects);
  json_decref (self->changes);
}
