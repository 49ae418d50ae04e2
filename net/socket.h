/**
 * @file
 * A TCP connection on the event loop, with a write queue.
 */
#ifndef EG_NET_SOCKET_H
#define EG_NET_SOCKET_H

#include <stdbool.h>
#include <uv.h>

#include "base/str.h"

/** An IPv4 address and port, both in network byte order. */
struct eg_endpoint
{
  uint32_t ip;
  uint16_t port;
};

/** Parses `1.2.3.4:80`; returns false if @p text is malformed. */
bool eg_endpoint_parse (struct eg_str text, struct eg_endpoint *endpoint);

/** Packs an endpoint into an integer, for use as a map key. */
uint64_t eg_endpoint_key (struct eg_endpoint endpoint);

/** Callbacks, called from the event loop. */
struct eg_socket_events
{
  /** eg_socket_connect() succeeded. */
  void (*connected) (void *context);
  /** Bytes were received; valid during the call. */
  void (*bytes) (void *context, struct eg_str bytes);
  /** The peer closed the connection (UV_EOF), or it failed. */
  void (*ended) (void *context, int uv_error);
  /** The write queue, which was not empty, was fully written. */
  void (*drained) (void *context);
  /** Last callback: the memory of the socket may be freed. */
  void (*closed) (void *context);
};

/** A connection, allocated by the caller; in use until @c closed is called. */
struct eg_socket
{
  uv_tcp_t tcp;
  uv_connect_t connecting;
  const struct eg_socket_events *events;
  void *context;
  size_t queued;        /**< Bytes in the write queue. */
  size_t queued_writes; /**< Their pieces. */
  uint64_t written;     /**< Bytes passed to eg_socket_write(). */
  bool closing;
};

/** Initialises an unconnected socket. @return 0 or a libuv error. */
int eg_socket_init (struct eg_socket *self,
                    uv_loop_t *loop,
                    const struct eg_socket_events *events,
                    void *context);

/** Accepts a connection from @p listener. @return 0 or a libuv error. */
int eg_socket_accept (struct eg_socket *self, uv_stream_t *listener);

/**
 * Starts to connect; if that succeeds, @c connected or @c ended follows.
 * @return 0 or a libuv error.
 */
int eg_socket_connect (struct eg_socket *self, struct eg_endpoint endpoint);

/** Gets the address of the other end; false if the socket has none. */
bool eg_socket_peer (const struct eg_socket *self,
                     struct eg_endpoint *endpoint);

/** Starts or resumes reading. @return 0 or a libuv error. */
int eg_socket_read (struct eg_socket *self);

/**
 * Bounds the bytes that the kernel holds for a connection, in place of its own
 * adjustment; larger bounds than those in force change nothing.
 */
void eg_socket_bound_kernel_buffers (struct eg_socket *self,
                                     size_t receive_bytes,
                                     size_t send_bytes);

/**
 * Sets the bytes that the kernel receives for connections of a listener from
 * now on. A bound that is set only after the connection has been established
 * makes its sender wait for a window as large as the first one.
 */
void eg_listener_set_receive_buffer (uv_tcp_t *listener, size_t bytes);

/** Pauses reading, so that TCP flow control slows the sender down. */
void eg_socket_pause (struct eg_socket *self);

/** Writes @p bytes; what can't be written at once is copied and queued. */
void eg_socket_write (struct eg_socket *self, struct eg_str bytes);

/** Returns the number of bytes in the write queue. */
size_t eg_socket_queued (const struct eg_socket *self);

/** Returns the memory that the write queue takes, including its pieces. */
size_t eg_socket_queue_memory (const struct eg_socket *self);

/**
 * Returns the number of bytes that the other end has not acknowledged: those of
 * the write queue and those in the kernel. The end of sending counts as one.
 */
size_t eg_socket_undelivered (const struct eg_socket *self);

/** Closes the socket and discards the write queue; idempotent. */
void eg_socket_close (struct eg_socket *self);

/**
 * Ends the sending direction after the write queue has been sent; nothing may
 * be written afterwards. Reading goes on, because the kernel discards what it
 * has not sent yet if a socket is closed with unread bytes.
 */
void eg_socket_end_sending (struct eg_socket *self);

/** Closes the socket after the write queue has been sent. */
void eg_socket_close_after_writes (struct eg_socket *self);

#endif
