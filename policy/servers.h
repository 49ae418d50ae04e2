/**
 * @file
 * Table of backend servers: their last load reports, the attempts of this entry
 * VM in flight on them, and which are draining or failing.
 */
#ifndef EG_POLICY_SERVERS_H
#define EG_POLICY_SERVERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Invalid server index. */
#define EG_SERVER_NONE UINT32_MAX
/** Maximum number of layers of a model in a report. */
#define EG_REPORT_LAYERS_MAX 1024

/** Reasons why a server gets no new work; bit flags. */
enum eg_server_block_reason
{
  EG_SERVER_LEAVING_LIST = 1 << 0,   /**< The platform lists it as leaving. */
  EG_SERVER_LEAVING_REPORT = 1 << 1, /**< Its report says that it drains. */
  EG_SERVER_LEAVING_ANSWER = 1 << 2, /**< Answered 503 while stopping. */
  EG_SERVER_DRAINED_BY_RULE = 1 << 3,
  EG_SERVER_GONE = 1 << 4,     /**< No longer in the platform's list. */
  EG_SERVER_UNLOADED = 1 << 5, /**< An engine whose report names no model. */
};

/** A load report; always somewhat out of date. */
struct eg_server_report
{
  char service[EG_NAME_BYTES];
  char model[EG_NAME_BYTES]; /**< Empty for a plain service. */
  char version[EG_NAME_BYTES];
  char accelerator[EG_NAME_BYTES];
  uint32_t first_layer; /**< 1-based; 0 for a plain service. */
  uint32_t last_layer;
  uint32_t model_layers;
  uint32_t running;
  uint32_t queued;
  uint32_t slots; /**< Maximum concurrent streams; 0 if not stated. */
  uint64_t kv_free;
  uint64_t kv_total;
  bool draining;
  bool unloaded;    /**< An engine with no model; its layer fields are 0. */
  int64_t as_of_us; /**< Time of the values, on this node's clock. */
};

/** State of one server, as read by placement. */
struct eg_server
{
  char address[EG_ADDRESS_BYTES];
  char failure_domain[EG_NAME_BYTES];
  struct eg_server_report report;
  bool reported;          /**< Whether a report was received. */
  int64_t reported_us;    /**< Time of receipt. */
  uint32_t in_flight;     /**< Attempts of this node running on it. */
  uint32_t sent_since;    /**< Attempts started after @c report.as_of_us. */
  uint32_t ended_since;   /**< Attempts ended after @c report.as_of_us. */
  unsigned block_reasons; /**< enum eg_server_block_reason bits. */
  unsigned failures;      /**< Consecutive. */
  int64_t retry_at_us;    /**< End of the back-off after a failure. */
  double latency_us;      /**< Smoothed latency of one token or call. */
};

struct eg_servers;

/** Creates an empty table; NULL when out of memory. */
struct eg_servers *eg_servers_new (void);

/** Frees the table; NULL is allowed. */
void eg_servers_free (struct eg_servers *self);

/**
 * Returns the index of the server at @p address, adding it if it is new.
 * A known server is moved to the given failure domain; its other state is
 * kept.
 * @return EG_SERVER_NONE if the address is too long or when out of memory.
 */
uint32_t eg_servers_add (struct eg_servers *self,
                         struct eg_str address,
                         struct eg_str failure_domain);

/** Returns the index of the server at an address, or EG_SERVER_NONE. */
uint32_t eg_servers_find (const struct eg_servers *self, struct eg_str address);

/** Returns the number of indexes, including those of removed servers. */
uint32_t eg_servers_count (const struct eg_servers *self);

/**
 * Returns a server; the pointer is valid until the next eg_servers_add(). The
 * address is empty if the server at this index was removed.
 */
const struct eg_server *eg_servers_get (const struct eg_servers *self,
                                        uint32_t index);

/**
 * Stores a load report, and sets or clears EG_SERVER_LEAVING_REPORT and
 * EG_SERVER_UNLOADED accordingly.
 * A report that is newer than the last failure ends the back-off, unless
 * attempts keep failing.
 * @return false if the report was rejected: it is older than the last one, or
 *         its layers are not within 1 to model_layers (all 0 for a plain
 *         service).
 */
bool eg_servers_report (struct eg_servers *self,
                        uint32_t index,
                        const struct eg_server_report *report,
                        int64_t now_us);

/**
 * Sets or clears one reason to send no new work. Apart from those that reports
 * set, a reason stays until the caller clears it. EG_SERVER_NONE is ignored,
 * so that the result of eg_servers_add() can be passed unchecked.
 */
void eg_servers_set_blocked (struct eg_servers *self,
                             uint32_t index,
                             enum eg_server_block_reason reason,
                             bool on);

/** Counts the start of an attempt on the server. */
void eg_servers_begin_attempt (struct eg_servers *self,
                               uint32_t index,
                               int64_t now_us);

/**
 * Counts the end of an attempt. A failure starts or extends the back-off of the
 * server; a success ends it.
 */
void eg_servers_end_attempt (struct eg_servers *self,
                             uint32_t index,
                             bool failed,
                             int64_t now_us);

/**
 * Records that a poll was not answered or a connection was refused, and starts
 * or extends the back-off.
 */
void eg_servers_record_failure (struct eg_servers *self,
                                uint32_t index,
                                int64_t now_us);

/** Adds the latency of one token or call to the smoothed value. */
void eg_servers_observe_latency (struct eg_servers *self,
                                 uint32_t index,
                                 int64_t took_us);

/**
 * Tells whether the server may get new work now. After a back-off it gets one
 * attempt at a time until one succeeds or a newer report arrives.
 */
bool eg_servers_usable (const struct eg_servers *self,
                        uint32_t index,
                        int64_t now_us);

/**
 * Returns the expected load in streams: the reported load, corrected by the
 * attempts that this node has started and ended since.
 */
uint32_t eg_servers_load (const struct eg_servers *self, uint32_t index);

/**
 * Removes servers that are gone and have nothing in flight. Their indexes are
 * reused for new servers, the one free for longest first.
 */
void eg_servers_sweep (struct eg_servers *self, int64_t now_us);

EG_END_DECLS

#endif
