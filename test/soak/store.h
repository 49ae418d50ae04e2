/**
 * @file
 * In-process stand-in for the platform's object store.
 */
#ifndef EG_SOAK_STORE_H
#define EG_SOAK_STORE_H

#include <jansson.h>

#include "base/random.h"
#include "test/soak/http_server.h"

/** Fault modes of the store. */
enum soak_store_mode
{
  SOAK_STORE_HEALTHY,
  SOAK_STORE_UNAVAILABLE,  /**< Responds 503 at once. */
  SOAK_STORE_RESET,        /**< Resets each connection on a request. */
  SOAK_STORE_UNRESPONSIVE, /**< Accepts requests and never responds. */
  SOAK_STORE_LOST_REPLIES, /**< Applies some writes without a response. */
  SOAK_STORE_MODE_COUNT,
};

/** Most addresses that a view gives out in place of others. */
#define SOAK_STORE_ALIASES_MAX 8

/** An address as some callers of the store see it. */
struct soak_store_alias
{
  char address[40];
  char seen_as[40]; /**< By callers of the view. */
};

/** A listener of a store that gives out other addresses than it holds, as if
 *  its callers were elsewhere; its memory belongs to the caller. */
struct soak_store_view
{
  struct soak_http_server server;
  struct soak_store_alias aliases[SOAK_STORE_ALIASES_MAX];
  size_t alias_count;
};

/** An object store; its memory belongs to the caller. */
struct soak_store
{
  struct soak_http_server server;
  struct soak_store_view second; /**< The same store at another address. */
  bool turns_away_second;        /**< Answers 503 there. */
  struct eg_random *random;
  json_t *objects; /**< By "KIND/NAME"; deleted objects stay. */
  json_t *changes; /**< In order: revision, key, deleted. */
  int64_t revision;
  int64_t era; /**< Rises with each soak_store_restore(). */
  /** Sent in place of the era; empty: no era is named; NULL: the era. */
  const char *era_text;
  /** Sent in place of each string "undecodable"; NULL: the string itself. */
  const char *undecodable;
  enum soak_store_mode mode;
};

/** State of a store at some time. */
struct soak_store_copy
{
  json_t *objects;
  json_t *changes;
  int64_t revision;
};

/** Creates an empty store and listens on a free loopback port. */
void soak_store_open (struct soak_store *self,
                      uv_loop_t *loop,
                      struct eg_random *random);

/** Listens on one more free loopback port. */
void soak_store_open_view (struct soak_store *self,
                           struct soak_store_view *view);

/** Closes the listener of a view. */
void soak_store_close_view (struct soak_store_view *view);

/** Lets a view give out another address for one. */
void soak_store_add_alias (struct soak_store_view *view,
                           struct eg_endpoint endpoint,
                           struct eg_endpoint seen_as);

/** Closes the listeners. */
void soak_store_stop (struct soak_store *self);

/** Does the same, and frees the objects. */
void soak_store_close (struct soak_store *self);

/** Copies the state of the store. */
void soak_store_copy (const struct soak_store *self,
                      struct soak_store_copy *copy);

/**
 * Takes the store back to the state of a copy, which is used up, and resets its
 * connections. What was written since is gone; its revisions are used again.
 */
void soak_store_restore (struct soak_store *self, struct soak_store_copy *copy);

/** Frees a copy; a zeroed one is allowed. */
void soak_store_copy_finish (struct soak_store_copy *copy);

/** Creates or replaces an object, without a check of its revision; takes over
 *  the reference to @p spec. */
void soak_store_put (struct soak_store *self,
                     const char *kind,
                     const char *name,
                     json_t *spec);

void
soak_store_delete (struct soak_store *self, const char *kind, const char *name);

#endif
