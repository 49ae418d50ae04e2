/**
 * @file
 * Versioned objects, with a log of recent changes.
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

/** Creates an empty store at version 0. */
struct eg_object_store *eg_object_store_new (void);

/** Frees a store. */
void eg_object_store_free (struct eg_object_store *self);

/** Returns the version of the last write. */
int64_t eg_object_store_version (const struct eg_object_store *self);

/** Returns the number of objects. */
int64_t eg_object_store_count (const struct eg_object_store *self);

/**
 * Looks up an object.
 * @param[out] version of its last write; 0 if there is no object.
 * @return the value as JSON text, valid until the next write.
 */
struct eg_str eg_object_store_get (const struct eg_object_store *self,
                                   const char *key,
                                   int64_t *version);

/**
 * Writes an object if its version is @p expected; 0: if it does not exist.
 * @return EG_OK, or EG_CONFLICT on a version mismatch.
 */
enum eg_status eg_object_store_put (struct eg_object_store *self,
                                    const char *key,
                                    struct eg_str value,
                                    int64_t expected);

/**
 * Deletes an object if its version is @p expected.
 * @return EG_OK, or EG_CONFLICT on a version mismatch.
 */
enum eg_status eg_object_store_delete (struct eg_object_store *self,
                                       const char *key,
                                       int64_t expected);

/**
 * Lists the changes of the keys with @p prefix after version @p after, in order
 * of version.
 *
 * If the log no longer reaches back that far, or @p after is 0, the list has
 * only the latest change of each key.
 * @return an array, or NULL if there are no changes.
 */
json_t *eg_object_store_changes (const struct eg_object_store *self,
                                 const char *prefix,
                                 int64_t after);

EG_END_DECLS

#endif
