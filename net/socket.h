/**
 * @file
 * One TCP connection on the event loop: reads, a write queue, one close.
 */
#ifndef EG_NET_SOCKET_H
#define EG_NET_SOCKET_H

#include <stdbool.h>
#include <uv.h>

#include "base/str.h"

/** An IPv4 number and a port, in network byte order; the key of tables. */
struct eg_endpoint
{
  uint32_t ip;
  uint16_t port;
};

/** Reads `1.2.3.4:80`; false if it is none. */
bool eg_endpoint_parse (struct eg_str text, struct eg_endpoint *endpoint);

/** Packs an endpoint into one number. */
uint64_t eg_endpoint_key (struct eg_endpoint endpoint);

/** Called from the loop. */
struct eg_socket_events
{
  /** The connection stands; only after eg_socket_connect(). */
  void (*connected) (void *context);
  /** Bytes came in. */
  void (*bytes) (void *context, struct eg_str bytes);
  /** The other side has ended (UV_EOF), or the connection failed. */
  void (*ended) (void *context, int uv_error);
  /** The write queue is empty again after eg_socket_queued() was above 0. */
  void (*drained) (void *context);
  /** The last call: the memory of the socket may be freed. */
  void (*closed) (void *context);
};

/** A connection; memory of the caller until @c closed was called. */
struct eg_socket
{
  uv_tcp_t tcp;
  uv_connect_t connecting;
  const struct eg_socket_events *events;
  void *context;
  size_t queued; /**< Bytes that the kernel has not taken yet. */
  bool closing;
};

/** Prepares a socket without a connection. */
int eg_socket_init (struct eg_socket *self,
                    uv_loop_t *loop,
                    const struct eg_socket_events *events,
                    void *context);

/** Takes a connection from @p listener. @return 0 or an error of libuv. */
int eg_socket_accept (struct eg_socket *self, uv_stream_t *listener);

/** Begins to connect; @c connected or @c ended follows. */
int eg_socket_connect (struct eg_socket *self, struct eg_endpoint endpoint);

/** Begins to read. */
int eg_socket_read (struct eg_socket *self);

/** Stops reading, which holds the sender up. */
void eg_socket_pause (struct eg_socket *self);

/** Writes @p bytes, which are copied if the kernel does not take them. */
void eg_socket_write (struct eg_socket *self, struct eg_str bytes);

/** Returns how many bytes wait to be written. */
size_t eg_socket_queued (const struct eg_socket *self);

/** Closes; what is queued is lost. Has no effect the second time. */
void eg_socket_close (struct eg_socket *self);

/** Sends what is queued, then closes. */
void eg_socket_close_after_writes (struct eg_socket *self);

#endif
