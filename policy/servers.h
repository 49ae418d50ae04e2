/**
 * @file
 * The table of backend servers: what they last reported, what this entry VM
 * has in flight on them, and which are leaving or failing.
 */
#ifndef EG_POLICY_SERVERS_H
#define EG_POLICY_SERVERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** No server; never the index of one. */
#define EG_SERVER_NONE UINT32_MAX
/** Most layers of a model. */
#define EG_MODEL_LAYERS_MAX 1024

/** Reasons for which a server gets no new work, as bits. */
enum eg_server_block_reason
{
  EG_SERVER_LEAVING_LIST = 1 << 0,   /**< The platform's list says leaving. */
  EG_SERVER_LEAVING_REPORT = 1 << 1, /**< Its report says draining. */
  EG_SERVER_LEAVING_ANSWER = 1 << 2, /**< It answered 503 as it stops. */
  EG_SERVER_DRAINED_BY_RULE = 1 << 3,
  EG_SERVER_GONE = 1 << 4,     /**< No longer in the platform's list. */
  EG_SERVER_UNLOADED = 1 << 5, /**< An engine whose report names no model. */
};

/** A load report, late by design. */
struct eg_server_report
{
  char service[EG_NAME_BYTES];
  char model[EG_NAME_BYTES]; /**< Empty for a plain service. */
  char version[EG_NAME_BYTES];
  char accelerator[EG_NAME_BYTES];
  uint32_t first_layer; /**< From 1; 0 for a plain service. */
  uint32_t last_layer;
  uint32_t model_layers;
  uint32_t running;
  uint32_t queued;
  uint32_t slots; /**< Streams it can run at once; 0 if it does not say. */
  uint64_t kv_free;
  uint64_t kv_total;
  bool draining;
  bool unloaded;    /**< An engine without a model; its layers are all 0. */
  int64_t as_of_us; /**< When the report was true, on this node's clock. */
};

/** What is known of one server; read by placement. */
struct eg_server
{
  char address[EG_ADDRESS_BYTES];
  char failure_domain[EG_NAME_BYTES];
  struct eg_server_report report;
  bool reported;          /**< Whether @c report holds anything yet. */
  int64_t reported_us;    /**< When it came in. */
  uint32_t in_flight;     /**< Attempts of this node that run on it. */
  uint32_t sent_since;    /**< Attempts begun after @c report.as_of_us. */
  uint32_t ended_since;   /**< Attempts ended after @c report.as_of_us. */
  unsigned block_reasons; /**< enum eg_server_block_reason bits. */
  unsigned failures;      /**< In a row. */
  int64_t retry_at_us;    /**< After failures: no new work before this time. */
  double latency_us;      /**< Smoothed time for one token or call. */
};

struct eg_servers;

/** Makes an empty table; NULL if memory could not be had. */
struct eg_servers *eg_servers_new (void);

/** Frees the table. */
void eg_servers_free (struct eg_servers *self);

/**
 * Returns the index of the server at @p address, adding it if need be.
 * A known server takes the failure domain given; its stops stay as they are.
 * @return EG_SERVER_NONE if the address is too long or memory ran out.
 */
uint32_t eg_servers_add (struct eg_servers *self,
                         struct eg_str address,
                         struct eg_str failure_domain);

/** Finds a server by address; EG_SERVER_NONE if it is not in the table. */
uint32_t eg_servers_find (const struct eg_servers *self, struct eg_str address);

/** Returns how many indexes there are; some may stand for gone servers. */
uint32_t eg_servers_count (const struct eg_servers *self);

/**
 * Returns one server, valid until the next eg_servers_add(). An index that
 * stands for none gives one with an empty address.
 */
const struct eg_server *eg_servers_get (const struct eg_servers *self,
                                        uint32_t index);

/**
 * Takes in a load report, and sets or clears EG_SERVER_LEAVING_REPORT and
 * EG_SERVER_UNLOADED by it.
 * A report that is newer than the last failure ends the back-off.
 * @return false if it was dropped: older than the last, or its layers are not
 *         within 1 to model_layers (all 0 for a plain service).
 */
bool eg_servers_report (struct eg_servers *self,
                        uint32_t index,
                        const struct eg_server_report *report,
                        int64_t now_us);

/**
 * Sets or clears one reason to send no new work; only the caller clears it
 * again, but for what reports say. EG_SERVER_NONE is ignored, so that
 * what eg_servers_add() returned can be passed on.
 */
void eg_servers_set_blocked (struct eg_servers *self,
                             uint32_t index,
                             enum eg_server_block_reason reason,
                             bool on);

/** Counts an attempt that begins on the server. */
void eg_servers_begin_attempt (struct eg_servers *self,
                               uint32_t index,
                               int64_t now_us);

/**
 * Counts the end of an attempt; @p failed backs the server off, and a success
 * ends its back-off.
 */
void eg_servers_end_attempt (struct eg_servers *self,
                             uint32_t index,
                             bool failed,
                             int64_t now_us);

/** Reports that a poll got no answer, or that a connection was refused. */
void eg_servers_record_failure (struct eg_servers *self,
                                uint32_t index,
                                int64_t now_us);

/** Reports the time that one token or call took. */
void eg_servers_observe_latency (struct eg_servers *self,
                                 uint32_t index,
                                 int64_t took_us);

/**
 * Tells whether the server may get new work now. After a back-off it is a
 * single attempt at a time, until one succeeds or a good report comes.
 */
bool eg_servers_usable (const struct eg_servers *self,
                        uint32_t index,
                        int64_t now_us);

/**
 * Returns the load to expect: the report corrected by what this node has sent
 * and seen end since, in streams.
 */
uint32_t eg_servers_load (const struct eg_servers *self, uint32_t index);

/**
 * Forgets servers that are gone and have nothing in flight; their indexes
 * are given to later servers, the longest free first.
 */
void eg_servers_sweep (struct eg_servers *self, int64_t now_us);

EG_END_DECLS

#endif
