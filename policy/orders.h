/**
 * @file
 * Which orders the engines of one service in one failure domain get, so that
 * they come to hold the models that rules ask for.
 *
 * An order names a target state of one server, so that giving it twice, or to
 * a server that is already there, changes nothing. Servers with models or
 * layers that no rule speaks of are left alone.
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

/** Most rules that one service has in one failure domain. */
#define EG_ORDERS_TARGETS_MAX 64

/** Times and bounds. */
struct eg_orders_config
{
  uint32_t loads_max;       /**< Loads under way at once. */
  int64_t load_interval_us; /**< From one load to the next. */
  int64_t settle_us;        /**< How far the time of a report may be off. */
  int64_t timeout_us;       /**< For a report to show that an order worked. */
  int64_t backoff_min_us;   /**< After a server's first failure. */
  int64_t backoff_max_us;   /**< After any further one. */
  int64_t surplus_wait_us;  /**< How long there must be too many. */
  int64_t idle_wait_us;     /**< How long a load waits for an idle server. */
  unsigned failures_tolerated; /**< Polls in a row that a server may miss. */
};

/** A model, its version and a range of layers, wanted on some servers. */
struct eg_orders_target
{
  char model[EG_NAME_BYTES];
  char version[EG_NAME_BYTES];
  uint32_t first_layer;
  uint32_t last_layer;
  uint32_t count;
};

/** What a server is to do. */
enum eg_order_kind
{
  EG_ORDER_LOAD,   /**< Hold this and nothing else. */
  EG_ORDER_UNLOAD, /**< Hold nothing. */
};

/** One order. */
struct eg_order
{
  enum eg_order_kind kind;
  char address[EG_ADDRESS_BYTES];
  char model[EG_NAME_BYTES];
  char version[EG_NAME_BYTES];
  uint32_t first_layer;
  uint32_t last_layer;
};

/** How an order ended. */
enum eg_order_result
{
  EG_ORDER_ACCEPTED,  /**< The server answered that it does it. */
  EG_ORDER_NOT_SENT,  /**< No byte left: it cannot be reached. */
  EG_ORDER_WITHDRAWN, /**< The orderer did not give it; no byte left. */
  EG_ORDER_REFUSED,   /**< The server answered that it does not. */
  EG_ORDER_UNKNOWN,   /**< No answer; it may have taken effect. */
};

/** Why capacity is not as wanted, for operators. */
enum eg_orders_shortage
{
  EG_ORDERS_NO_SHORTAGE,
  EG_ORDERS_IN_PROGRESS, /**< Orders are under way, or about to be given. */
  EG_ORDERS_NO_SERVER,   /**< No server may be taken for it. */
};

struct eg_orders;

/** Makes the orders of one service and failure domain; never NULL. */
struct eg_orders *eg_orders_new (const struct eg_orders_config *config,
                                 struct eg_str service,
                                 struct eg_str failure_domain);

/** Frees the orders. */
void eg_orders_free (struct eg_orders *self);

/**
 * Sets what is wanted; copied.
 * @param count at most EG_ORDERS_TARGETS_MAX; 0 ends all orders.
 */
void eg_orders_set_targets (struct eg_orders *self,
                            const struct eg_orders_target *wanted,
                            size_t count);

/**
 * Forgets what was ordered, as one who was not the orderer for a while does:
 * another may have ordered since. Failures are kept.
 */
void eg_orders_reset (struct eg_orders *self);

/**
 * Takes in reports and time, and chooses the next order.
 * @return false if there is none now.
 */
bool eg_orders_next (struct eg_orders *self,
                     const struct eg_servers *servers,
                     int64_t now_us,
                     struct eg_order *order);

/** Takes in how the order under way at @p address ended. */
void eg_orders_complete (struct eg_orders *self,
                         struct eg_str address,
                         enum eg_order_result result,
                         int64_t now_us);

/** Says how the last eg_orders_next() found capacity. */
enum eg_orders_shortage eg_orders_shortage (const struct eg_orders *self);

EG_END_DECLS

#endif
