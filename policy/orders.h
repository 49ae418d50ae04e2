/**
 * @file
 * Chooses the load and unload orders for the backend servers of one service in
 * one failure domain, until they hold the models that the capacity rules ask
 * for.
 *
 * An order states the target state of one server, so it is idempotent. Servers
 * that hold models or layers that no rule names are not touched.
 */
#ifndef EG_POLICY_ORDERS_H
#define EG_POLICY_ORDERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/request.h"
#include "policy/servers.h"

EG_BEGIN_DECLS

/** Maximum number of targets of one service in one failure domain. */
#define EG_ORDERS_TARGETS_MAX 64

/** Times and limits. */
struct eg_orders_config
{
  uint32_t loads_max;       /**< Concurrent loads. */
  int64_t load_interval_us; /**< Shortest time between loads. */
  int64_t settle_us;        /**< Maximum error of a report's as_of_us. */
  int64_t timeout_us;       /**< Until a report must show the ordered state. */
  int64_t backoff_min_us;   /**< Delay after a server's first failure. */
  int64_t backoff_max_us;   /**< Longest delay after a failure. */
  int64_t surplus_wait_us; /**< Surplus must last this long before an unload. */
  int64_t idle_wait_us;    /**< Longest wait of a load for an idle server. */
  unsigned failures_tolerated; /**< Consecutive failed polls of a server
                                    before it counts as unavailable. */
};

/** Target state: @c count servers with these layers of this model version. */
struct eg_orders_target
{
  char model[EG_NAME_BYTES];
  char version[EG_NAME_BYTES];
  uint32_t first_layer;
  uint32_t last_layer;
  uint32_t count;
};

/** Kinds of orders. */
enum eg_order_kind
{
  EG_ORDER_LOAD,   /**< Load these layers and drop all others. */
  EG_ORDER_UNLOAD, /**< Drop all layers. */
};

/** An order to one server. */
struct eg_order
{
  enum eg_order_kind kind;
  char address[EG_ADDRESS_BYTES];
  char model[EG_NAME_BYTES];
  char version[EG_NAME_BYTES];
  uint32_t first_layer;
  uint32_t last_layer;
};

/** Results of an order. */
enum eg_order_result
{
  EG_ORDER_ACCEPTED,  /**< The server accepted it. */
  EG_ORDER_NOT_SENT,  /**< Unreachable; no byte was sent. */
  EG_ORDER_WITHDRAWN, /**< Cancelled here; no byte was sent. */
  EG_ORDER_REFUSED,   /**< The server refused it. */
  EG_ORDER_UNKNOWN,   /**< No answer; it may take effect. */
};

/** Why the targets are not met; for operators. */
enum eg_orders_shortage
{
  EG_ORDERS_NO_SHORTAGE,
  EG_ORDERS_IN_PROGRESS, /**< Orders are outstanding or about to be sent. */
  EG_ORDERS_NO_SERVER,   /**< No server is available for a target. */
};

struct eg_orders;

/** Creates the state for one service and failure domain; never NULL. */
struct eg_orders *eg_orders_new (const struct eg_orders_config *config,
                                 struct eg_str service,
                                 struct eg_str failure_domain);

/** Frees the state; NULL is allowed. */
void eg_orders_free (struct eg_orders *self);

/**
 * Sets the targets, which are copied.
 * @param count at most EG_ORDERS_TARGETS_MAX; 0 stops all orders.
 */
void eg_orders_set_targets (struct eg_orders *self,
                            const struct eg_orders_target *targets,
                            size_t count);

/**
 * Forgets outstanding orders. To be called when this entry VM has acquired the
 * lease for sending orders, as another one may have sent orders since. The
 * failures of servers are kept.
 */
void eg_orders_reset (struct eg_orders *self);

/**
 * Evaluates the reports of the servers and chooses the next order.
 * @return false if no order is due.
 */
bool eg_orders_next (struct eg_orders *self,
                     const struct eg_servers *servers,
                     int64_t now_us,
                     struct eg_order *order);

/** Records the result of the outstanding order to @p address. */
void eg_orders_complete (struct eg_orders *self,
                         struct eg_str address,
                         enum eg_order_result result,
                         int64_t now_us);

/** Returns the shortage found by the last eg_orders_next(). */
enum eg_orders_shortage eg_orders_shortage (const struct eg_orders *self);

EG_END_DECLS

#endif
