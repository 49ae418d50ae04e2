#include "rig.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define OBJECTS "/eelgrasswood/objects/"
#define BEAT_TICK_US (50 * RIG_US_PER_MS)
#define ANSWER_US (4 * RIG_US_PER_MS)

/** A call to the store. */
struct store_call
{
  char kind[64];
  char name[128];
  char after[256];
  int64_t watch;
  int64_t wait_ms;
};

static json_int_t
revision_of (const json_t *object)
{
  return json_integer_value (json_object_get (object, "revision"));
}

static bool
is_deleted (const json_t *object)
{
  return json_is_true (json_object_get (object, "deleted"));
}

static bool
is_of_kind (const char *key, const char *kind)
{
  size_t len = strlen (kind);

  return strncmp (key, kind, len) == 0 && key[len] == '/';
}

/* Returns an object as the store sends it. */
static json_t *
write_object (const char *key, json_t *object)
{
  return json_pack ("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:n}", "metadata",
                    "name", strchr (key, '/') + 1, "revision",
                    revision_of (object), "created", (json_int_t) 1,
                    "finalizers", "deletionPending", 0, "spec",
                    json_object_get (object, "spec"), "status");
}

static void
set_object (struct rig_store *self, const char *key, json_t *spec, bool deleted)
{
  json_t *before = json_object_get (self->objects, key);

  if (before && !deleted && !is_deleted (before)
      && json_equal (json_object_get (before, "spec"), spec))
    {
      json_decref (spec);
      return;
    }
  if (deleted && (!before || is_deleted (before)))
    {
      json_decref (spec);
      return;
    }
  self->revision++;
  json_object_set_new (self->objects, key,
                       json_pack ("{s:I, s:b, s:o}", "revision",
                                  (json_int_t) self->revision, "deleted",
                                  deleted, "spec", spec));
  pthread_cond_broadcast (&self->changed);
}

void
rig_store_put (struct rig_store *self,
               const char *kind,
               const char *name,
               json_t *spec)
{
  char key[256];

  snprintf (key, sizeof key, "%s/%s", kind, name);
  pthread_mutex_lock (&self->lock);
  set_object (self, key, spec, false);
  pthread_mutex_unlock (&self->lock);
}

void
rig_store_delete (struct rig_store *self, const char *kind, const char *name)
{
  char key[256];
  json_t *object;

  snprintf (key, sizeof key, "%s/%s", kind, name);
  pthread_mutex_lock (&self->lock);
  object = json_object_get (self->objects, key);
  if (object)
    set_object (self, key, json_incref (json_object_get (object, "spec")),
                true);
  pthread_mutex_unlock (&self->lock);
}

bool
rig_store_has (struct rig_store *self, const char *kind, const char *name)
{
  char key[256];
  const json_t *object;
  bool found;

  snprintf (key, sizeof key, "%s/%s", kind, name);
  pthread_mutex_lock (&self->lock);
  object = json_object_get (self->objects, key);
  found = object && !is_deleted (object);
  pthread_mutex_unlock (&self->lock);
  return found;
}

struct rig_store_copy
rig_store_copy (struct rig_store *self)
{
  struct rig_store_copy copy;

  pthread_mutex_lock (&self->lock);
  copy =
      (struct rig_store_copy){json_deep_copy (self->objects), self->revision};
  pthread_mutex_unlock (&self->lock);
  return copy;
}

void
rig_store_restore (struct rig_store *self,
                   struct rig_store_copy *copy,
                   int64_t away_us)
{
  pthread_mutex_lock (&self->lock);
  self->away = true;
  pthread_cond_broadcast (&self->changed);
  pthread_mutex_unlock (&self->lock);
  rig_server_reset (&self->server);
  rig_sleep_us (away_us);
  pthread_mutex_lock (&self->lock);
  json_decref (self->objects);
  self->objects = copy->objects;
  self->revision = copy->revision;
  copy->objects = NULL;
  self->era++;
  self->away = false;
  self->expire_us = rig_now_us () + 3 * RIG_HEARTBEAT_US;
  pthread_mutex_unlock (&self->lock);
}

static bool
answer (struct rig_store *self, int socket, unsigned status, json_t *document)
{
  char *text = json_dumps (document, JSON_COMPACT);
  char fields[128];
  bool sent;

  snprintf (fields, sizeof fields,
            "Content-Type: application/json\r\nStore-Era: %" PRId64 "\r\n",
            self->era);
  sent = rig_respond (socket, status, fields, text);
  free (text);
  json_decref (document);
  return sent;
}

static int
compare_keys (const void *a, const void *b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

static json_t *
list (struct rig_store *self, const struct store_call *call)
{
  size_t room = json_object_size (self->objects) + 1;
  const char **keys = calloc (room, sizeof *keys);
  json_t *items = json_array ();
  size_t count = 0;
  bool more = false;
  const char *key;
  json_t *object;

  json_object_foreach (self->objects, key, object)
  {
    if (is_of_kind (key, call->kind) && !is_deleted (object)
        && strcmp (strchr (key, '/') + 1, call->after) > 0)
      keys[count++] = key;
  }
  qsort (keys, count, sizeof *keys, compare_keys);
  for (size_t i = 0; i < count && !more; i++)
    {
      json_array_append_new (
          items,
          write_object (keys[i], json_object_get (self->objects, keys[i])));
      more = json_array_size (items) == self->page && i + 1 < count;
    }
  free (keys);
  return json_pack ("{s:o, s:b, s:I}", "items", items, "hasMore", more, "at",
                    (json_int_t) self->revision);
}

static json_t *
find_events (struct rig_store *self, const struct store_call *call)
{
  json_t *events = json_array ();
  const char *key;
  json_t *object;

  json_object_foreach (self->objects, key, object)
  {
    if (is_of_kind (key, call->kind) && revision_of (object) > call->watch)
      json_array_append_new (
          events, json_pack ("{s:o, s:b}", "object", write_object (key, object),
                             "deleted", is_deleted (object)));
  }
  return events;
}

static bool
watch (struct rig_store *self, const struct store_call *call, int socket)
{
  struct timespec until;
  int64_t era = self->era;
  json_t *events;

  if (call->watch > self->revision)
    return answer (self, socket, 410, json_object ());
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += call->wait_ms / 1000;
  until.tv_nsec += call->wait_ms % 1000 * 1000000;
  until.tv_sec += until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  while (json_array_size (events = find_events (self, call)) == 0)
    {
      if (pthread_cond_timedwait (&self->changed, &self->lock, &until) != 0)
        break;
      json_decref (events);
    }
  if (self->away || self->era != era)
    {
      json_decref (events);
      return false;
    }
  return answer (self, socket, 200,
                 json_pack ("{s:o, s:I}", "events", events, "at",
                            (json_int_t) self->revision));
}

static bool
change (struct rig_store *self,
        const struct store_call *call,
        const struct rig_message *request,
        int socket)
{
  json_t *document = json_loadb (request->body, request->body_len, 0, NULL);
  const json_t *metadata = json_object_get (document, "metadata");
  const char *name = json_string_value (json_object_get (metadata, "name"));
  const json_t *expected = json_object_get (metadata, "revision");
  bool creates = strcmp (request->method, "POST") == 0;
  char key[256];
  json_t *object;
  bool exists;
  bool sent;

  snprintf (key, sizeof key, "%s/%s", call->kind, name ? name : call->name);
  object = json_object_get (self->objects, key);
  exists = object && !is_deleted (object);
  if (!creates && !exists)
    sent = answer (self, socket, 404, json_object ());
  else if ((creates && exists)
           || (expected
               && json_integer_value (expected) != revision_of (object)))
    sent = answer (self, socket, 409, write_object (key, object));
  else
    {
      set_object (self, key, json_incref (json_object_get (document, "spec")),
                  false);
      sent = answer (self, socket, 200,
                     write_object (key, json_object_get (self->objects, key)));
    }
  json_decref (document);
  return sent;
}

static bool
read_one (struct rig_store *self, const struct store_call *call, int socket)
{
  char key[256];
  json_t *object;

  snprintf (key, sizeof key, "%s/%s", call->kind, call->name);
  object = json_object_get (self->objects, key);
  if (!object || is_deleted (object))
    return answer (self, socket, 404, json_object ());
  return answer (self, socket, 200, write_object (key, object));
}

static void
read_call (const char *target, struct store_call *call)
{
  const char *watch_at = strstr (target, "watch=");
  const char *wait_at = strstr (target, "waitMs=");
  const char *after_at = strstr (target, "after=");
  char path[512];

  memset (call, 0, sizeof *call);
  if (watch_at)
    call->watch = strtoll (watch_at + strlen ("watch="), NULL, 10);
  if (wait_at)
    call->wait_ms = strtoll (wait_at + strlen ("waitMs="), NULL, 10);
  if (after_at)
    sscanf (after_at, "after=%255[^&]", call->after);
  snprintf (path, sizeof path, "%.*s", (int) strcspn (target, "?"), target);
  sscanf (path, OBJECTS "%63[^/]/%127s", call->kind, call->name);
}

static bool
handle (void *context, const struct rig_message *request, int socket)
{
  struct rig_store *self = context;
  struct store_call call;
  bool goes_on;

  read_call (request->target, &call);
  rig_sleep_us (ANSWER_US);
  pthread_mutex_lock (&self->lock);
  if (self->away)
    goes_on = false;
  else if (strcmp (request->method, "GET") != 0)
    goes_on = change (self, &call, request, socket);
  else if (call.watch > 0)
    goes_on = watch (self, &call, socket);
  else if (*call.name)
    goes_on = read_one (self, &call, socket);
  else
    goes_on = answer (self, socket, 200, list (self, &call));
  pthread_mutex_unlock (&self->lock);
  return goes_on;
}

void
rig_store_start (struct rig_store *self)
{
  memset (self, 0, sizeof *self);
  pthread_mutex_init (&self->lock, NULL);
  pthread_cond_init (&self->changed, NULL);
  self->objects = json_object ();
  self->revision = 100;
  self->era = 1;
  self->page = 500;
  rig_server_start (&self->server, "127.0.9.1", 0, handle, self);
}

void
rig_backend_beat (struct rig_backend *self)
{
  char address[32];

  snprintf (address, sizeof address, "%s:%u", self->server.ip,
            self->server.port);
  self->beat_us = rig_now_us ();
  rig_store_put (self->store, "servers", self->id,
                 json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:I}",
                            "service", self->service, "address", address,
                            "zone", self->zone, "version", "v1", "slots",
                            (int) self->slots, "state", self->state,
                            "coldRemainingMs", 0, "sequence",
                            (json_int_t) ++self->sequence, "born",
                            (json_int_t) self->born_ms));
}

static void
set_names (struct rig_backend *self,
           struct rig_store *store,
           const char *id,
           const char *service,
           const char *zone)
{
  memset (self, 0, sizeof *self);
  self->store = store;
  snprintf (self->id, sizeof self->id, "%s", id);
  snprintf (self->service, sizeof self->service, "%s", service);
  snprintf (self->zone, sizeof self->zone, "%s", zone);
  self->state = "ready";
  self->born_ms = (int64_t) time (NULL) * 1000;
  self->slots = 64;
}

void
rig_backend_start (struct rig_backend *self,
                   struct rig_store *store,
                   const char *id,
                   const char *service,
                   const char *zone,
                   const char *ip,
                   rig_handler handler,
                   void *context)
{
  set_names (self, store, id, service, zone);
  rig_server_start (&self->server, ip, 0, handler, context);
  rig_backend_beat (self);
}

void
rig_backend_register (struct rig_backend *self,
                      struct rig_store *store,
                      const char *id,
                      const char *service,
                      const char *zone,
                      const char *ip,
                      uint16_t port)
{
  set_names (self, store, id, service, zone);
  snprintf (self->server.ip, sizeof self->server.ip, "%s", ip);
  self->server.port = port;
  rig_backend_beat (self);
}

void
rig_backend_withdraw (struct rig_backend *self)
{
  self->state = NULL;
  rig_store_delete (self->store, "servers", self->id);
}

/** Servers that write their entries. */
struct beats
{
  struct rig_backend *backends[64];
  size_t count;
};

static void
check_backend (struct rig_backend *self, int64_t now_us)
{
  if (self->state && !self->cut && now_us - self->beat_us >= RIG_HEARTBEAT_US)
    rig_backend_beat (self);
  if (now_us - self->beat_us > 3 * RIG_HEARTBEAT_US
      && now_us > self->store->expire_us
      && rig_store_has (self->store, "servers", self->id))
    {
      rig_note ("the store removes the entry of %s", self->id);
      rig_store_delete (self->store, "servers", self->id);
    }
}

static void *
run_beats (void *context)
{
  struct beats *self = context;

  for (;;)
    {
      for (size_t i = 0; i < self->count; i++)
        if (!self->backends[i]->store->away)
          check_backend (self->backends[i], rig_now_us ());
      rig_sleep_us (BEAT_TICK_US);
    }
  return NULL;
}

void
rig_beats_start (struct rig_backend **backends, size_t count)
{
  static struct beats beats;
  pthread_t thread;

  beats.count = count;
  memcpy (beats.backends, backends, count * sizeof (struct rig_backend *));
  if (pthread_create (&thread, NULL, run_beats, &beats) != 0)
    rig_end (RIG_NOT_RUN);
  pthread_detach (thread);
}

json_t *
rig_route (const char *prefix, const char *kind, const char *service)
{
  bool streams = strcmp (kind, "streaming") == 0;

  return json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b, s:b, "
                    "s:b}",
                    "name", prefix, "host", "review.example", "pathPrefix",
                    prefix, "kind", kind, "timeoutMs", 20000, "goalLatencyMs",
                    500, "priority", 1, "service", service, "maxAttempts",
                    strcmp (kind, "non_idempotent") == 0 ? 1 : 2, "public", 0,
                    "sticky", 0, "resumable", streams);
}

json_t *
rig_configuration (int64_t version, json_t *routes, json_t *services)
{
  return json_pack ("{s:I, s:o, s:o, s:{s:i, s:i, s:i, s:i}, s:[{s:s, s:[s], "
                    "s:i}]}",
                    "version", (json_int_t) version, "routes", routes,
                    "services", services, "limits", "maxHeaderBytes", 16384,
                    "maxBodyBytes", 4194304, "headerTimeoutMs", 3000,
                    "idleTimeoutMs", 15000, "tenants", "name", "registry",
                    "apiKeys", "k1", "priority", 1);
}
