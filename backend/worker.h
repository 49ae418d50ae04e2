/**
 * @file
 * The thread that does all I/O with backend servers.
 */
#ifndef EG_BACKEND_WORKER_H
#define EG_BACKEND_WORKER_H

#include "backend/event.h"
#include "base/decls.h"

EG_BEGIN_DECLS

/** The kinds of command. */
enum eg_backend_command_kind
{
  EG_BACKEND_GENERATE,     /**< Stream tokens from an engine. */
  EG_BACKEND_CALL,         /**< Call a plain service. */
  EG_BACKEND_CANCEL,       /**< Stop an attempt; its reports end. */
  EG_BACKEND_POLL_ENGINE,  /**< Ask an engine for its load. */
  EG_BACKEND_POLL_SERVICE, /**< Ask a plain service for its health. */
  EG_BACKEND_ORDER,        /**< Order an engine to load or unload. */
};

/** One command; the worker frees it. */
struct eg_backend_command
{
  enum eg_backend_command_kind kind;
  uint64_t request;
  uint32_t attempt;
  char address[EG_ADDRESS_BYTES];
  char method[16];
  struct eg_buffer target; /**< Path and query of a call. */
  struct eg_buffer body;
  bool has_body;
  char content_type[EG_NAME_BYTES * 2];
  char request_id[EG_NAME_BYTES * 2];
  char organisation[EG_NAME_BYTES];
  char key[EG_NAME_BYTES * 2];    /**< Idempotency key, or empty. */
  char ticket[EG_NAME_BYTES * 2]; /**< Ticket, or empty. */
  bool at_most_once;
  int64_t timeout_us;
  int64_t send_by_us; /**< No byte leaves later; 0 for no bound. */
};

/** Times and bounds of the back-end I/O. */
struct eg_backend_config
{
  int64_t connect_timeout_us;
  int64_t poll_timeout_us;
  size_t answer_max; /**< Longest answer of a plain service, in bytes. */
};

/** Where reports go; called on the worker's thread, and owns the event. */
struct eg_backend_sink
{
  void (*push) (void *context, struct eg_backend_event *event);
  void *context;
};

struct eg_backend_worker;

/** Makes a command; never NULL. */
struct eg_backend_command *
eg_backend_command_new (enum eg_backend_command_kind kind);

/** Frees a command that was not pushed. */
void eg_backend_command_free (struct eg_backend_command *self);

/** Starts the thread; NULL if the system refuses. */
struct eg_backend_worker *
eg_backend_worker_new (const struct eg_backend_config *config,
                       const struct eg_backend_sink *sink);

/** Ends the thread, and with it all that it still does. */
void eg_backend_worker_free (struct eg_backend_worker *self);

/** Hands a command over; false if the ring is full. */
bool eg_backend_worker_push (struct eg_backend_worker *self,
                             struct eg_backend_command *command);

EG_END_DECLS

#endif
