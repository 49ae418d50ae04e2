/**
 * @file
 * Builds the commands that carry an attempt to backend servers.
 */
#ifndef EG_ROUTER_COMMANDS_H
#define EG_ROUTER_COMMANDS_H

#include "backend/worker.h"
#include "router/call.h"

/** Longest name of an incarnation, with its final zero. */
#define EG_INCARNATION_BYTES 24

/** What all commands of one entry VM share. */
struct eg_command_maker
{
  char incarnation[EG_INCARNATION_BYTES]; /**< Makes request ids unique. */
  const struct eg_servers *servers;
};

/** Makes the command that starts an attempt; never NULL. */
struct eg_backend_command *
eg_command_start (const struct eg_command_maker *maker,
                  const struct eg_call *call,
                  const struct eg_action *action,
                  int64_t now_us);

/** Makes the command that cancels an attempt; never NULL. */
struct eg_backend_command *
eg_command_cancel (const struct eg_command_maker *maker,
                   const struct eg_action *action);

/**
 * Makes the command that passes a request on to another entry VM, at most
 * once; never NULL.
 */
struct eg_backend_command *eg_command_forward (const struct eg_call *call,
                                               const char *address,
                                               int64_t now_us);

#endif
