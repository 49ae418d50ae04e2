/**
 * @file
 * The thread that performs all I/O with backend servers.
 */
#ifndef EG_BACKEND_WORKER_H
#define EG_BACKEND_WORKER_H

#include "backend/event.h"
#include "base/decls.h"

EG_BEGIN_DECLS

/** Kinds of commands. */
enum eg_backend_command_kind
{
  EG_BACKEND_GENERATE,     /**< Stream tokens from an engine. */
  EG_BACKEND_CALL,         /**< Call a plain service. */
  EG_BACKEND_CANCEL,       /**< Stop an attempt; no more events for it. */
  EG_BACKEND_POLL_ENGINE,  /**< Poll the load of an engine. */
  EG_BACKEND_POLL_SERVICE, /**< Poll the health of a plain service. */
  EG_BACKEND_ORDER,        /**< Order an engine to load or unload layers. */
};

/** A command, owned by the worker once pushed. */
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
  int64_t send_by_us; /**< Nothing is sent after this time; 0 for no limit. */
};

/** Timeouts and limits of the backend I/O. */
struct eg_backend_config
{
  int64_t connect_timeout_us;
  int64_t poll_timeout_us;
  size_t answer_max; /**< Longest response of a plain service, in bytes. */
};

/** Receiver of events, called on the worker thread; owns them. */
struct eg_backend_sink
{
  void (*push) (void *context, struct eg_backend_event *event);
  void *context;
};

struct eg_backend_worker;

/** Creates a command; never returns NULL. */
struct eg_backend_command *
eg_backend_command_new (enum eg_backend_command_kind kind);

/** Frees a command that was not pushed. */
void eg_backend_command_free (struct eg_backend_command *self);

/** Starts the thread; returns NULL on failure. */
struct eg_backend_worker *
eg_backend_worker_new (const struct eg_backend_config *config,
                       const struct eg_backend_sink *sink);

/** Stops the thread and aborts all transfers. */
void eg_backend_worker_free (struct eg_backend_worker *self);

/**
 * Queues a command.
 * @return false if the ring is full; the caller keeps the command.
 */
bool eg_backend_worker_push (struct eg_backend_worker *self,
                             struct eg_backend_command *command);

EG_END_DECLS

#endif
