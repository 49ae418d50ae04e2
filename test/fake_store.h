/**
 * @file
 * In-memory fake of the platform's store: a few objects with versions that
 * increase with each write, and conditional updates.
 */
#ifndef EG_TEST_FAKE_STORE_H
#define EG_TEST_FAKE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

#define FAKE_STORE_OBJECTS 4
#define FAKE_STORE_VALUE_BYTES 256

/** One object; version 0 if it does not exist. */
struct fake_store_object
{
  uint64_t version;
  unsigned char value[FAKE_STORE_VALUE_BYTES];
};

/** A store; zero-initialised memory is an empty store. */
struct fake_store
{
  uint64_t last_version;
  struct fake_store_object objects[FAKE_STORE_OBJECTS];
};

/** Reads an object; returns its version, or 0 if it does not exist. */
uint64_t fake_store_get (const struct fake_store *self,
                         size_t index,
                         void *value,
                         size_t size);

/**
 * Writes an object if its version is @p expected; 0 means that it must not
 * exist.
 * @return the new version, or 0 on conflict.
 */
uint64_t fake_store_put (struct fake_store *self,
                         size_t index,
                         uint64_t expected,
                         const void *value,
                         size_t size);

/** Deletes an object if its version is @p expected, else returns false. */
bool
fake_store_delete (struct fake_store *self, size_t index, uint64_t expected);

EG_END_DECLS

#endif
