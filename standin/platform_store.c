#include "standin/platform_store.h"

#include <stdlib.h>
#include <string.h>

/* Limits of the change log; of older changes, only the latest of each key is
   known. */
#define MAX_LOG_CHANGES 20000
#define MAX_LOG_BYTES (INT64_C (64) << 20)
#define MIN_CAPACITY 64

/* Reference-counted value, shared by an object and the change log. */
struct value
{
  int references;
  size_t len;
  char text[];
};

/* An object; stays as a tombstone when it is deleted. */
struct object
{
  char *key;
  int64_t version;
  struct value *value; /* NULL: deleted */
};

struct change
{
  struct object *object;
  int64_t version;
  struct value *value;
};

struct eg_object_store
{
  int64_t version;
  int64_t live_count;
  struct object **objects; /* sorted by key */
  size_t count;
  size_t capacity;
  struct change change_log[MAX_LOG_CHANGES]; /* ring buffer */
  size_t log_first;
  size_t log_count;
  int64_t log_bytes;
};

struct eg_object_store *
eg_object_store_new (void)
{
  struct eg_object_store *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  return self;
}

static void
unref_value (struct value *value)
{
  if (value && --value->references == 0)
    free (value);
}

static void
evict_oldest_change (struct eg_object_store *self)
{
  struct change *change = &self->change_log[self->log_first];

  self->log_bytes -= change->value ? (int64_t) change->value->len : 0;
  unref_value (change->value);
  self->log_first = (self->log_first + 1) % MAX_LOG_CHANGES;
  self->log_count--;
}

void
eg_object_store_free (struct eg_object_store *self)
{
  while (self->log_count > 0)
    evict_oldest_change (self);
  for (size_t i = 0; i < self->count; i++)
    {
      unref_value (self->objects[i]->value);
      free (self->objects[i]->key);
      free (self->objects[i]);
    }
  free (self->objects);
  free (self);
}

int64_t
eg_object_store_version (const struct eg_object_store *self)
{
  return self->version;
}

int64_t
eg_object_store_count (const struct eg_object_store *self)
{
  return self->live_count;
}

/* Returns the index of the first key that is not less than @key. */
static size_t
lower_bound (const struct eg_object_store *self, const char *key)
{
  size_t low = 0;
  size_t high = self->count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (strcmp (self->objects[middle]->key, key) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static struct object *
find_object (const struct eg_object_store *self, const char *key)
{
  size_t i = lower_bound (self, key);

  if (i < self->count && strcmp (self->objects[i]->key, key) == 0)
    return self->objects[i];
  return NULL;
}

static struct object *
add_object (struct eg_object_store *self, const char *key)
{
  size_t i = lower_bound (self, key);
  struct object *object = calloc (1, sizeof *object);

  if (self->count == self->capacity)
    {
      self->capacity = self->capacity ? self->capacity * 2 : MIN_CAPACITY;
      self->objects = realloc ((void *) self->objects,
                               self->capacity * sizeof (struct object *));
    }
  EG_INVARIANT (object && self->objects);
  object->key = strdup (key);
  EG_INVARIANT (object->key != NULL);
  memmove ((void *) &self->objects[i + 1], (void *) &self->objects[i],
           (self->count - i) * sizeof (struct object *));
  self->objects[i] = object;
  self->count++;
  return object;
}

struct eg_str
eg_object_store_get (const struct eg_object_store *self,
                     const char *key,
                     int64_t *version)
{
  const struct object *object = find_object (self, key);

  *version = 0;
  if (!object || !object->value)
    return (struct eg_str){NULL, 0};
  *version = object->version;
  return (struct eg_str){object->value->text, object->value->len};
}

static void
log_change (struct eg_object_store *self, struct object *object)
{
  int64_t len = object->value ? (int64_t) object->value->len : 0;

  while (self->log_count == MAX_LOG_CHANGES
         || (self->log_count > 0 && self->log_bytes + len > MAX_LOG_BYTES))
    evict_oldest_change (self);
  if (object->value)
    object->value->references++;
  self->change_log[(self->log_first + self->log_count) % MAX_LOG_CHANGES] =
      (struct change){object, object->version, object->value};
  self->log_count++;
  self->log_bytes += len;
}

static void
set_value (struct eg_object_store *self,
           struct object *object,
           struct value *value)
{
  self->live_count += (value != NULL) - (object->value != NULL);
  unref_value (object->value);
  object->value = value;
  object->version = ++self->version;
  log_change (self, object);
}

enum eg_status
eg_object_store_put (struct eg_object_store *self,
                     const char *key,
                     struct eg_str value,
                     int64_t expected)
{
  struct object *object = find_object (self, key);
  int64_t version = object && object->value ? object->version : 0;
  struct value *copy;

  if (version != expected)
    return EG_CONFLICT;
  copy = malloc (sizeof *copy + value.len);
  EG_INVARIANT (copy != NULL);
  copy->references = 1;
  copy->len = value.len;
  memcpy (copy->text, value.data, value.len);
  set_value (self, object ? object : add_object (self, key), copy);
  return EG_OK;
}

enum eg_status
eg_object_store_delete (struct eg_object_store *self,
                        const char *key,
                        int64_t expected)
{
  struct object *object = find_object (self, key);

  if (!object || !object->value || object->version != expected)
    return EG_CONFLICT;
  set_value (self, object, NULL);
  return EG_OK;
}

static void
append_change (json_t *changes,
               const char *prefix,
               const struct object *object,
               int64_t version,
               const struct value *value)
{
  json_t *decoded;

  if (strncmp (object->key, prefix, strlen (prefix)) != 0)
    return;
  decoded = value ? json_loadb (value->text, value->len, JSON_DECODE_ANY, NULL)
                  : json_null ();
  json_array_append_new (changes,
                         json_pack ("{s:s,s:I,s:o}", "key", object->key,
                                    "version", version, "value", decoded));
}

static void
append_logged_changes (const struct eg_object_store *self,
                       const char *prefix,
                       int64_t after,
                       json_t *changes)
{
  /* Each write adds one entry, so the versions in the log are consecutive. */
  int64_t first = self->change_log[self->log_first].version;
  size_t skipped = after >= first ? (size_t) (after - first + 1) : 0;

  for (size_t i = skipped; i < self->log_count; i++)
    {
      const struct change *change =
          &self->change_log[(self->log_first + i) % MAX_LOG_CHANGES];

      append_change (changes, prefix, change->object, change->version,
                     change->value);
    }
}

static int
compare_versions (const void *a, const void *b)
{
  const struct object *left = *(const struct object *const *) a;
  const struct object *right = *(const struct object *const *) b;

  return (left->version > right->version) - (left->version < right->version);
}

static void
append_latest_changes (const struct eg_object_store *self,
                       const char *prefix,
                       int64_t after,
                       json_t *changes)
{
  size_t first = lower_bound (self, prefix);
  size_t count = 0;
  const struct object **found = (const struct object **) calloc (
      self->count + 1, sizeof (struct object *));

  EG_INVARIANT (found != NULL);
  for (size_t i = first; i < self->count; i++)
    {
      const struct object *object = self->objects[i];

      if (strncmp (object->key, prefix, strlen (prefix)) != 0)
        break;
      if (object->version > after && (after > 0 || object->value))
        found[count++] = object;
    }
  qsort ((void *) found, count, sizeof (struct object *), compare_versions);
  for (size_t i = 0; i < count; i++)
    append_change (changes, prefix, found[i], found[i]->version,
                   found[i]->value);
  free ((void *) found);
}

json_t *
eg_object_store_changes (const struct eg_object_store *self,
                         const char *prefix,
                         int64_t after)
{
  json_t *changes;

  if (after >= self->version)
    return NULL;
  changes = json_array ();
  if (after > 0 && self->log_count > 0
      && self->change_log[self->log_first].version <= after + 1)
    append_logged_changes (self, prefix, after, changes);
  else
    append_latest_changes (self, prefix, after, changes);
  if (json_array_size (changes) > 0)
    return changes;
  json_decref (changes);
  return NULL;
}
