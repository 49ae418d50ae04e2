#include "fake_store.h"

#include <string.h>

#include "base/status.h"

uint64_t
fake_store_get (const struct fake_store *self,
                size_t index,
                void *value,
                size_t size)
{
  EG_INVARIANT (size <= FAKE_STORE_VALUE_BYTES);
  memcpy (value, self->objects[index].value, size);
  return self->objects[index].version;
}

uint64_t
fake_store_put (struct fake_store *self,
                size_t index,
                uint64_t expected,
                const void *value,
                size_t size)
{
  struct fake_store_object *object = &self->objects[index];

  EG_INVARIANT (size <= FAKE_STORE_VALUE_BYTES);
  if (object->version != expected)
    return 0;
  memcpy (object->value, value, size);
  object->version = ++self->last_version;
  return object->version;
}

bool
fake_store_delete (struct fake_store *self, size_t index, uint64_t expected)
{
  if (expected == 0 || self->objects[index].version != expected)
    return false;
  self->last_version++;
  self->objects[index].version = 0;
  return true;
}
