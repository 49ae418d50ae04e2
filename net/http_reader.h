/**
 * @file
 * Reads HTTP/1.1 messages from bytes, one after another, strictly: framing that
 * two readers could take differently is an error.
 */
#ifndef EG_NET_HTTP_READER_H
#define EG_NET_HTTP_READER_H

#include <http_parser.h>

#include "net/http_head.h"

/** What is read. */
enum eg_http_kind
{
  EG_HTTP_REQUEST,
  EG_HTTP_RESPONSE,
};

/** Why reading stopped. */
enum eg_http_fault
{
  EG_HTTP_NO_FAULT,
  EG_HTTP_MALFORMED,      /**< Not HTTP, or ambiguous framing. */
  EG_HTTP_HEAD_TOO_LARGE, /**< Over the limit of the head. */
};

/** Called while bytes are fed. */
struct eg_http_reader_events
{
  /** The head is complete. */
  void (*head) (void *context);
  /** More bytes of the body, decoded. */
  void (*body) (void *context, struct eg_str bytes);
};

/** A reader; memory of the caller. */
struct eg_http_reader
{
  http_parser parser;
  const struct eg_http_reader_events *events;
  void *context;
  struct eg_http_head head;
  size_t head_max;   /**< Bytes of a head. */
  size_t head_bytes; /**< Read of the present head. */
  enum eg_http_fault fault;
  bool in_value; /**< Whether the last callback was for a value. */
  bool begun;    /**< Whether a byte of the present message was read. */
  bool head_done;
  bool complete; /**< The message is whole; see eg_http_reader_next(). */
  bool no_body;  /**< The response answers a HEAD request. */
};

/** Prepares a reader at the start of a message. */
void eg_http_reader_init (struct eg_http_reader *self,
                          enum eg_http_kind kind,
                          size_t head_max,
                          const struct eg_http_reader_events *events,
                          void *context);

/** Frees what the reader holds. */
void eg_http_reader_finish (struct eg_http_reader *self);

/**
 * Reads until the message is complete, the bytes end or a fault is found.
 * @return how many bytes were taken.
 */
size_t eg_http_reader_feed (struct eg_http_reader *self, struct eg_str bytes);

/**
 * Tells the reader that the connection has ended in order.
 * @return whether that completes the message.
 */
bool eg_http_reader_end (struct eg_http_reader *self);

/** Goes on to the next message after a complete one. */
void eg_http_reader_next (struct eg_http_reader *self);

#endif
