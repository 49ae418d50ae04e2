/**
 * @file
 * Builds the backend commands that start, cancel and forward attempts.
 */
#ifndef EG_ROUTER_COMMANDS_H
#define EG_ROUTER_COMMANDS_H

#include "backend/worker.h"
#include "router/call.h"

/** Capacity for the text of an incarnation, including the terminating NUL. */
#define EG_INCARNATION_BYTES 24

/** State shared by all commands of this entry VM. */
struct eg_command_context
{
  char incarnation[EG_INCARNATION_BYTES]; /**< Makes request ids unique. */
  const struct eg_servers *servers;
};

/** Creates the command that starts an attempt; never NULL. */
struct eg_backend_command *
eg_command_start (const struct eg_command_context *context,
                  const struct eg_call *call,
                  const struct eg_action *action,
                  int64_t now_us);

/** Creates the command that cancels an attempt; never NULL. */
struct eg_backend_command *
eg_command_cancel (const struct eg_command_context *context,
                   const struct eg_action *action);

/**
 * Creates the command that forwards a request to another entry VM, sent at
 * most once; never NULL.
 */
struct eg_backend_command *eg_command_forward (const struct eg_call *call,
                                               const char *address,
                                               int64_t now_us);

#endif
