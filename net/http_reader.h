/**
 * @file
 * Strict incremental parser for HTTP/1.1 messages. Ambiguous framing, as used
 * in request smuggling, is an error.
 */
#ifndef EG_NET_HTTP_READER_H
#define EG_NET_HTTP_READER_H

#include <http_parser.h>

#include "net/http_head.h"

/** A chunk of one byte has five bytes of framing, or some more with leading
 *  zeros; more is a flood of chunk extensions. */
#define EG_HTTP_FRAMING_RATIO 16

/** Kinds of HTTP messages. */
enum eg_http_kind
{
  EG_HTTP_REQUEST,
  EG_HTTP_RESPONSE,
};

/** Parse errors. */
enum eg_http_fault
{
  EG_HTTP_NO_FAULT,       /**< No error. */
  EG_HTTP_MALFORMED,      /**< Invalid HTTP or status, or ambiguous framing. */
  EG_HTTP_HEAD_TOO_LARGE, /**< Too many bytes or fields. */
};

/** Callbacks, called from eg_http_reader_feed() and eg_http_reader_end(). */
struct eg_http_reader_events
{
  /** The head is complete. */
  void (*head) (void *context);
  /** Bytes of the body, with chunked encoding removed. */
  void (*body) (void *context, struct eg_str bytes);
};

/** A parser, allocated by the caller. */
struct eg_http_reader
{
  http_parser parser;
  const struct eg_http_reader_events *events;
  void *context;
  struct eg_http_head head;
  size_t head_max;    /**< Limit for a head, in bytes. */
  size_t head_bytes;  /**< Bytes read of the current head. */
  uint64_t read;      /**< Bytes of the message before @c slice. */
  uint64_t body_read; /**< Bytes of the body. */
  const char *slice;  /**< Bytes being parsed. */
  enum eg_http_fault fault;
  bool in_value;        /**< Whether the parser is inside a field value. */
  bool too_many_fields; /**< More fields than a head may have. */
  bool begun;           /**< Whether the current message has started. */
  bool head_done;       /**< Whether the head is complete. */
  bool complete;        /**< Whether the message is complete. */
  bool no_body;         /**< Whether the response is to a HEAD request. */
};

/** Initialises a parser at the start of a message. */
void eg_http_reader_init (struct eg_http_reader *self,
                          enum eg_http_kind kind,
                          size_t head_max,
                          const struct eg_http_reader_events *events,
                          void *context);

/** Frees the memory of the parser. */
void eg_http_reader_finish (struct eg_http_reader *self);

/**
 * Parses bytes until the message is complete, the bytes end or an error occurs.
 * Sets @c fault on an error. How the message is split does not matter. Trailers
 * are not kept. Chunk headers of a request may take EG_HTTP_FRAMING_RATIO times
 * the bytes of its body, and twice @c head_max.
 * @return the number of bytes consumed.
 */
size_t eg_http_reader_feed (struct eg_http_reader *self, struct eg_str bytes);

/**
 * Signals that the connection was closed without an error.
 * @return whether that completes the message, as for a response without length.
 */
bool eg_http_reader_end (struct eg_http_reader *self);

/** Prepares for the next message after a complete one. */
void eg_http_reader_next (struct eg_http_reader *self);

#endif
