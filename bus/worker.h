/**
 * @file
 * The thread that carries messages between entry VMs: ZeroMQ sockets, with
 * CURVE so that only those with the shared key get in.
 */
#ifndef EG_BUS_WORKER_H
#define EG_BUS_WORKER_H

#include "base/decls.h"
#include "base/status.h"
#include "policy/peer_message.h"

EG_BEGIN_DECLS

/** Length of a key as text in Z85, with its final zero. */
#define EG_BUS_KEY_BYTES 41

/** Settings of the thread. */
struct eg_bus_config
{
  const char *address;    /**< `IP:PORT` to listen on, and the node's name. */
  const char *public_key; /**< Z85; the pair that all nodes share. */
  const char *secret_key;
};

/** Where messages go; called on the worker's thread. */
struct eg_bus_sink
{
  /** @p message is the receiver's, to be freed with free(). */
  void (*push) (void *context, struct eg_peer_message *message);
  void *context;
};

/** What has passed since the start. */
struct eg_bus_counts
{
  uint64_t sent;
  uint64_t sent_bytes; /**< Of messages, without framing. */
  uint64_t received;
  uint64_t received_bytes;
  uint64_t malformed; /**< Messages that were not understood. */
  uint64_t rejected;  /**< Connections that were not admitted. */
  uint64_t dropped;   /**< Not sent: a full ring or a slow peer. */
  uint64_t connections;
};

struct eg_bus_worker;

/**
 * Checks that two keys are a pair.
 * @return EG_OK; EG_INVALID with a message.
 */
enum eg_status eg_bus_check_keys (const char *public_key,
                                  const char *secret_key,
                                  struct eg_error *error);

/** Starts the thread; NULL with a message if the system refuses. */
struct eg_bus_worker *eg_bus_worker_new (const struct eg_bus_config *config,
                                         const struct eg_bus_sink *sink,
                                         struct eg_error *error);

/** Sends what is queued, for a short time, and ends the thread. */
void eg_bus_worker_free (struct eg_bus_worker *self);

/**
 * Sends a message, which is copied; one that cannot be sent is dropped and
 * counted.
 * @param address `IP:PORT` of the receiver's bus.
 */
void eg_bus_worker_send (struct eg_bus_worker *self,
                         const char *address,
                         const struct eg_peer_message *message);

/** Reads the counts; for any thread. */
struct eg_bus_counts eg_bus_worker_counts (const struct eg_bus_worker *self);

EG_END_DECLS

#endif
