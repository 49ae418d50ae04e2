#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/status.h"
#include "review/standin/parts.h"

#define OBJECTS_PATH "/eelgrasswood/objects/"
#define ANSWER_MS 4
#define WATCH_POLL_MS 5

/** A call in progress; state of its connection. */
struct store_call
{
  struct stand *stand;
  char kind[64];
  char name[64];
  int64_t from;
  int64_t left_ms;
};

static struct stand_object *
find_object (struct stand_store *self, const char *kind, const char *name)
{
  for (size_t i = 0; i < self->object_count; i++)
    if (strcmp (self->objects[i].kind, kind) == 0
        && strcmp (self->objects[i].name, name) == 0)
      return &self->objects[i];
  return NULL;
}

static void
add_change (struct stand_store *self, struct stand_object *object, bool deleted)
{
  EG_INVARIANT (self->change_count < STAND_CHANGES_MAX);
  object->revision = ++self->revision;
  object->present = !deleted;
  self->changes[self->change_count++] = (struct stand_change){
      (size_t) (object - self->objects), object->revision, deleted};
}

void
stand_put (struct stand *self,
           const char *kind,
           const char *name,
           const char *spec)
{
  struct stand_store *store = &self->store;
  struct stand_object *object = find_object (store, kind, name);

  if (object && object->present && strcmp (object->spec, spec) == 0)
    return;
  if (!object)
    {
      EG_INVARIANT (store->object_count < STAND_OBJECTS_MAX);
      object = &store->objects[store->object_count++];
      snprintf (object->kind, sizeof object->kind, "%s", kind);
      snprintf (object->name, sizeof object->name, "%s", name);
    }
  free (object->spec);
  object->spec = strdup (spec);
  add_change (store, object, false);
}

void
stand_configure (struct stand *self,
                 unsigned version,
                 const char *routes,
                 const char *services,
                 const char *tenants,
                 const char *limits)
{
  struct eg_buffer spec = {0};

  eg_buffer_printf (&spec, "{\"version\":%u,\"routes\":[%s],\"services\":[%s]",
                    version, routes, services);
  if (tenants)
    eg_buffer_printf (&spec, ",\"tenants\":[%s]", tenants);
  if (limits)
    eg_buffer_printf (&spec, ",\"limits\":{%s}", limits);
  eg_buffer_append (&spec, EG_STR ("}"));
  stand_put (self, "config", "main", eg_buffer_text (&spec));
  stand_note (self, "store acknowledges configuration %u: %s", version,
              eg_buffer_text (&spec));
  eg_buffer_finish (&spec);
}

void
stand_delete (struct stand *self, const char *kind, const char *name)
{
  struct stand_object *object = find_object (&self->store, kind, name);

  if (object && object->present)
    add_change (&self->store, object, true);
}

static void
append_object (struct eg_buffer *out, const struct stand_object *object)
{
  eg_buffer_printf (out,
                    "{\"metadata\":{\"name\":\"%s\",\"revision\":%" PRId64
                    ",\"created\":1,\"finalizers\":[],\"deletionPending\":"
                    "false},\"spec\":%s,\"status\":null}",
                    object->name, object->revision, object->spec);
}

static void
respond (struct soak_http_connection *connection,
         unsigned status,
         struct eg_buffer *body)
{
  soak_http_respond (
      connection, status,
      EG_STR ("Content-Type: application/json\r\nStore-Era: 1\r\n"),
      body->len > 0 ? eg_buffer_view (body) : EG_STR ("{}"));
  eg_buffer_finish (body);
}

static void
respond_object (struct soak_http_connection *connection,
                unsigned status,
                const struct stand_object *object)
{
  struct eg_buffer body = {0};

  if (object)
    append_object (&body, object);
  respond (connection, status, &body);
}

static void
handle_list (struct soak_http_connection *connection)
{
  struct store_call *call = connection->state;
  struct stand_store *self = &call->stand->store;
  struct eg_buffer body = {0};
  bool first = true;

  eg_buffer_append (&body, EG_STR ("{\"items\":["));
  for (size_t i = 0; i < self->object_count; i++)
    if (self->objects[i].present
        && strcmp (self->objects[i].kind, call->kind) == 0)
      {
        if (!first)
          eg_buffer_append (&body, EG_STR (","));
        append_object (&body, &self->objects[i]);
        first = false;
      }
  eg_buffer_printf (&body, "],\"hasMore\":false,\"at\":%" PRId64 "}",
                    self->revision);
  respond (connection, 200, &body);
}

static void
handle_watch (struct soak_http_connection *connection)
{
  struct store_call *call = connection->state;
  struct stand_store *self = &call->stand->store;
  struct eg_buffer body = {0};
  bool first = true;

  eg_buffer_append (&body, EG_STR ("{\"events\":["));
  for (size_t i = 0; i < self->change_count; i++)
    {
      const struct stand_change *change = &self->changes[i];
      const struct stand_object *object = &self->objects[change->object];

      /* The last change of an object says all. */
      if (change->revision <= call->from
          || strcmp (object->kind, call->kind) != 0
          || object->revision != change->revision)
        continue;
      eg_buffer_printf (&body,
                        "%s{\"deleted\":%s,\"object\":", first ? "" : ",",
                        change->deleted ? "true" : "false");
      append_object (&body, object);
      eg_buffer_append (&body, EG_STR ("}"));
      first = false;
    }
  call->left_ms -= WATCH_POLL_MS;
  if (first && call->left_ms > 0)
    {
      eg_buffer_finish (&body);
      soak_http_schedule (connection, WATCH_POLL_MS, handle_watch);
      return;
    }
  eg_buffer_printf (&body, "],\"at\":%" PRId64 "}", self->revision);
  respond (connection, 200, &body);
}

static void
handle_write (struct soak_http_connection *connection, bool create)
{
  struct store_call *call = connection->state;
  struct stand *stand = call->stand;
  json_t *document =
      json_loadb (connection->body.data, connection->body.len, 0, NULL);
  const json_t *metadata = json_object_get (document, "metadata");
  const char *name = json_string_value (json_object_get (metadata, "name"));
  const json_t *expected = json_object_get (metadata, "revision");
  char *spec = json_dumps (json_object_get (document, "spec"),
                           JSON_COMPACT | JSON_ENCODE_ANY);
  struct stand_object *object =
      find_object (&stand->store, call->kind, name ? name : "");

  if (object && !object->present)
    object = NULL;
  if (!name || !spec)
    respond_object (connection, 400, NULL);
  else if (!create && !object)
    respond_object (connection, 404, NULL);
  else if ((create && object)
           || (expected && object
               && json_integer_value (expected) != object->revision))
    respond_object (connection, 409, object);
  else
    {
      stand_put (stand, call->kind, name, spec);
      respond_object (connection, create ? 201 : 200,
                      find_object (&stand->store, call->kind, name));
    }
  free (spec);
  json_decref (document);
}

static void
handle_call (struct soak_http_connection *connection)
{
  struct store_call *call = connection->state;
  const char *method = connection->reader.head.method;
  struct stand_object *object =
      find_object (&call->stand->store, call->kind, call->name);

  if (strcmp (method, "POST") == 0 || strcmp (method, "PUT") == 0)
    handle_write (connection, strcmp (method, "POST") == 0);
  else if (strcmp (method, "DELETE") == 0)
    {
      stand_delete (call->stand, call->kind, call->name);
      respond_object (connection, object ? 200 : 404, NULL);
    }
  else if (call->from > 0)
    handle_watch (connection);
  else if (*call->name)
    respond_object (connection, object && object->present ? 200 : 404, object);
  else
    handle_list (connection);
}

static int64_t
read_query (const char *target, const char *name)
{
  const char *at = strstr (target, name);

  return at ? strtoll (at + strlen (name), NULL, 10) : 0;
}

static void
on_call (void *context, struct soak_http_connection *connection)
{
  struct store_call *call = calloc (1, sizeof *call);
  char target[512];

  EG_INVARIANT (call);
  connection->state = call;
  call->stand = context;
  eg_str_copy (eg_http_head_target (&connection->reader.head), target,
               sizeof target);
  call->from = read_query (target, "watch=");
  call->left_ms = read_query (target, "waitMs=");
  target[strcspn (target, "?")] = '\0';
  sscanf (target, OBJECTS_PATH "%63[^/]/%63s", call->kind, call->name);
  soak_http_schedule (connection, ANSWER_MS, handle_call);
}

void
stand_store_open (struct stand *self)
{
  self->store.revision = 1;
  soak_http_server_init (&self->store.server, &self->loop, 0, on_call, self);
  soak_http_server_start (&self->store.server);
}

void
stand_store_close (struct stand *self)
{
  soak_http_server_stop (&self->store.server);
  for (size_t i = 0; i < self->store.object_count; i++)
    free (self->store.objects[i].spec);
}
