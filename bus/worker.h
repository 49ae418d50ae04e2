/**
 * @file
 * The thread that exchanges messages between entry VMs over ZeroMQ. CURVE
 * authentication admits only peers that have the shared key pair.
 */
#ifndef EG_BUS_WORKER_H
#define EG_BUS_WORKER_H

#include "base/decls.h"
#include "base/status.h"
#include "policy/peer_message.h"

EG_BEGIN_DECLS

/** Buffer size of a Z85-encoded key, including the terminating zero. */
#define EG_BUS_KEY_BYTES 41

/** Configuration of a bus worker. */
struct eg_bus_config
{
  const char *address;    /**< `IP:PORT` to listen on; identifies the node. */
  const char *public_key; /**< Z85; all nodes share one key pair. */
  const char *secret_key;
};

/** Receiver of messages, called on the worker thread. */
struct eg_bus_sink
{
  /** Takes ownership of @p message; release with free(). */
  void (*push) (void *context, struct eg_peer_message *message);
  void *context;
};

/** Counters since the start, and the number of open connections. */
struct eg_bus_counts
{
  uint64_t sent;
  uint64_t sent_bytes; /**< Message bytes, without framing. */
  uint64_t received;
  uint64_t received_bytes;
  uint64_t malformed; /**< Malformed messages, or with a wrong sender. */
  uint64_t rejected;  /**< Connections that failed the handshake. */
  uint64_t dropped;   /**< Not sent: ring full, or peer slow or unreachable. */
  uint64_t connections; /**< Now open, opened by this node. */
};

struct eg_bus_worker;

/**
 * Checks that two Z85 keys form a key pair.
 * @return EG_OK; EG_INVALID with a message.
 */
enum eg_status eg_bus_check_keys (const char *public_key,
                                  const char *secret_key,
                                  struct eg_error *error);

/** Starts the thread; on failure returns NULL and sets @p error. */
struct eg_bus_worker *eg_bus_worker_new (const struct eg_bus_config *config,
                                         const struct eg_bus_sink *sink,
                                         struct eg_error *error);

/** Stops the thread; queued messages get 300 ms to be sent. */
void eg_bus_worker_free (struct eg_bus_worker *self);

/**
 * Queues a message, which is encoded at once. Messages that can't be sent are
 * dropped and counted.
 * @param address `IP:PORT` that the receiver listens on.
 */
void eg_bus_worker_send (struct eg_bus_worker *self,
                         const char *address,
                         const struct eg_peer_message *message);

/** Returns the counters. Safe from any thread. */
struct eg_bus_counts eg_bus_worker_counts (const struct eg_bus_worker *self);

EG_END_DECLS

#endif
