/**
 * @file
 * TCP proxy on the loopback address that stands for the path between two hosts.
 */
#ifndef EG_SOAK_PROXY_H
#define EG_SOAK_PROXY_H

#include "base/list.h"
#include "net/socket.h"

/** How a path is cut. */
enum soak_cut
{
  SOAK_CUT_NONE,
  /** Nothing arrives any more; new connections are not established. */
  SOAK_CUT_HANG,
  SOAK_CUT_RESET,  /**< Connections are reset and new ones refused. */
  SOAK_CUT_REFUSE, /**< Connections live on; new ones are refused. */
  SOAK_CUT_COUNT,
};

/** A proxy; its memory belongs to the caller. */
struct soak_proxy
{
  uv_loop_t *loop;
  uv_tcp_t *listener; /**< NULL: not listening. */
  struct eg_endpoint endpoint;
  struct eg_endpoint target;
  struct eg_list connections;
  enum soak_cut cut;
  bool target_refuses;    /**< See soak_proxy_set_target(). */
  int blocked_fds[3];     /**< Keep the port from accepting; -1: unused. */
  bool drop_responses;    /**< Bytes from the target are discarded. */
  uint64_t delay_ms;      /**< Added to each received chunk; 0: none. */
  int64_t fault_until_us; /**< Of these three; kept by the caller. */
};

/** Listens on a port that is reserved until soak_release_ports(), also during
 *  cuts, and forwards connections to @p target. */
void soak_proxy_open (struct soak_proxy *self,
                      uv_loop_t *loop,
                      struct eg_endpoint target);

/** Cuts the path, or heals it. */
void soak_proxy_cut (struct soak_proxy *self, enum soak_cut cut);

/** Lets new connections be refused while the target itself refuses them. */
void soak_proxy_set_target (struct soak_proxy *self, bool listening);

/** Resets all connections of a proxy. */
void soak_proxy_reset (struct soak_proxy *self);

/** Stops listening and resets all connections. */
void soak_proxy_close (struct soak_proxy *self);

#endif
