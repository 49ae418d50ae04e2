/**
 * @file
 * Exchange of messages between entry VMs. A message is a UDP datagram with a
 * JSON object whose member `kind` is its type. Each module registers the types
 * that it sends or receives; the exchange knows none of them.
 *
 * Messages of senders that are not in the list of entry VMs, and of types that
 * are not registered, are counted and dropped. A lost message is not repeated.
 */
#ifndef EG_ENTRY_VM_MESSAGES_H
#define EG_ENTRY_VM_MESSAGES_H

#include <jansson.h>
#include <uv.h>

#include "base/log.h"
#include "net/socket.h"

struct eg_members;

/** Maximum number of message types. */
#define EG_VM_MESSAGE_TYPES_MAX 16

/** A message type, with callbacks of the module that it belongs to. */
struct eg_vm_message_type
{
  struct eg_str name; /**< As in `kind`; valid as long as the exchange. */
  /** Handles a message of another VM. */
  void (*receive) (void *context,
                   struct eg_endpoint from,
                   const json_t *message,
                   int64_t now_us);
  /**
   * Sends messages that are due. NULL: the module sends on events only.
   * @return whether the period starts anew; otherwise it is called again on the
   *         next tick.
   */
  bool (*send) (void *context, int64_t now_us);
  int64_t period_us; /**< Shortest time between two periods of @c send. */
  void *context;
};

/** A registered type. */
struct eg_vm_message_slot
{
  struct eg_vm_message_type type;
  int64_t sent_us; /**< Start of the present period; 0: none yet. */
};

/** State of the exchange; allocated by the caller. */
struct eg_vm_messages
{
  struct eg_members *members;
  uv_udp_t socket;
  bool open;
  struct eg_vm_message_slot types[EG_VM_MESSAGE_TYPES_MAX];
  size_t type_count;
  uint64_t undecodable;              /**< Values that were left out. */
  struct eg_log_rate partly_decoded; /**< Messages with such values. */
  struct eg_log_rate unknown;        /**< Messages without a registered type. */
};

/** Initialises without types and without a socket. */
void eg_vm_messages_init (struct eg_vm_messages *self,
                          struct eg_members *members);

/**
 * Registers a message type, which is copied.
 * @return false if it has no name or no @c receive, if its name is already
 *         registered, or if there are EG_VM_MESSAGE_TYPES_MAX types.
 */
bool eg_vm_messages_register (struct eg_vm_messages *self,
                              const struct eg_vm_message_type *type);

/**
 * Binds the UDP socket to the address of the peers' listener.
 * @return false if that fails.
 */
bool eg_vm_messages_open (struct eg_vm_messages *self,
                          uv_loop_t *loop,
                          struct eg_endpoint endpoint);

/**
 * Closes the socket. Run the event loop once more before freeing the memory.
 */
void eg_vm_messages_finish (struct eg_vm_messages *self);

/** Returns whether the socket is open and the list of VMs known. */
bool eg_vm_messages_may_send (const struct eg_vm_messages *self);

/** Sends a message to another VM; drops it if that would block. */
void eg_vm_messages_send (struct eg_vm_messages *self,
                          struct eg_endpoint to,
                          struct eg_str text);

/** Sends a message to the readers of all failure domains. */
void eg_vm_messages_send_to_readers (struct eg_vm_messages *self,
                                     struct eg_str text);

/** Handles a datagram. */
void eg_vm_messages_receive (struct eg_vm_messages *self,
                             struct eg_endpoint from,
                             struct eg_str text,
                             int64_t now_us);

/** Sends what is due by the periods of the types; call it on every tick. */
void eg_vm_messages_check (struct eg_vm_messages *self, int64_t now_us);

#endif
