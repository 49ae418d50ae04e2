/**
 * @file
 * The soak's stand-in for the platform's object store.
 */
#ifndef EG_SOAK_STORE_H
#define EG_SOAK_STORE_H

#include <jansson.h>

#include "base/random.h"
#include "test/soak/http_server.h"

/** How the store misbehaves. */
enum soak_store_mode
{
  SOAK_STORE_SOUND,
  SOAK_STORE_BUSY,   /**< 503 at once. */
  SOAK_STORE_RESET,  /**< Connections are reset. */
  SOAK_STORE_SILENT, /**< No answer. */
  SOAK_STORE_LOSSY,  /**< Some writes are done and not answered. */
  SOAK_STORE_MODES,
};

/** The store; memory of the caller. */
struct soak_store
{
  struct soak_server server;
  struct eg_random *random;
  json_t *objects; /**< By "KIND/NAME". */
  json_t *changes; /**< In order: revision, key, whether deleted. */
  int64_t revision;
  enum soak_store_mode mode;
};

/** Makes an empty store and listens. */
void soak_store_open (struct soak_store *self,
                      uv_loop_t *loop,
                      struct eg_random *random);

/** Closes the listener and frees the objects. */
void soak_store_close (struct soak_store *self);

/** Writes an object as operators and servers do; steals @p spec. */
void soak_store_put (struct soak_store *self,
                     const char *kind,
                     const char *name,
                     json_t *spec);

/** Deletes an object. */
void
soak_store_delete (struct soak_store *self, const char *kind, const char *name);

#endif
