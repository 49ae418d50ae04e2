/**
 * @file
 * Objects with versions, and their latest changes.
 */
#ifndef EG_STANDIN_PLATFORM_STORE_H
#define EG_STANDIN_PLATFORM_STORE_H

#include <jansson.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/status.h"
#include "base/str.h"

EG_BEGIN_DECLS

struct eg_object_store;

/** Makes an empty store at version 0. */
struct eg_object_store *eg_object_store_new (void);

/** Frees a store. */
void eg_object_store_free (struct eg_object_store *self);

/** Returns the version of the last write. */
int64_t eg_object_store_version (const struct eg_object_store *self);

/** Tells how many objects there are. */
int64_t eg_object_store_count (const struct eg_object_store *self);

/**
 * Finds an object.
 * @param[out] version that of its last write; 0 if there is no object.
 * @return the value as JSON text, valid until the next write.
 */
struct eg_str eg_object_store_get (const struct eg_object_store *self,
                                   const char *key,
                                   int64_t *version);

/**
 * Writes an object if its version is @p expected; 0: if there is none.
 * @return EG_OK or EG_CONFLICT.
 */
enum eg_status eg_object_store_put (struct eg_object_store *self,
                                    const char *key,
                                    struct eg_str value,
                                    int64_t expected);

/** Deletes an object if its version is @p expected. */
enum eg_status eg_object_store_delete (struct eg_object_store *self,
                                       const char *key,
                                       int64_t expected);

/**
 * Lists changes in the order of versions: each one after @p after while the
 * store still has them, else, and for 0, the last one of each key.
 * @return an array, NULL if there are none.
 */
json_t *eg_object_store_changes (const struct eg_object_store *self,
                                 const char *prefix,
                                 int64_t after);

EG_END_DECLS

#endif
