/**
 * @file
 * Callers that send plain requests to each daemon at a steady rate, and servers
 * of a plain service that record what reaches them.
 */
#ifndef REVIEW_TRAFFIC_H
#define REVIEW_TRAFFIC_H

#include "rig.h"

#define TRAFFIC_REQUESTS_MAX 20000
#define TRAFFIC_ARRIVALS_MAX 20000

/** A request of a caller. */
struct traffic_request
{
  unsigned node;
  bool is_write; /**< It must not run twice. */
  int64_t sent_us;
  int64_t ended_us; /**< 0: not yet. */
  unsigned status;  /**< 0: no answer. */
  bool leaving;     /**< The answer said that its server leaves. */
  char server[32];  /**< That answered. */
};

/** A request at a server. */
struct traffic_arrival
{
  unsigned request;
  int64_t at_us;
  unsigned status; /**< That the server has answered. */
};

/** A server of the plain service. */
struct traffic_server
{
  struct rig_backend backend;
  int64_t work_us;
  bool leaving; /**< Says so in all its answers. */
  bool ended;   /**< It has exited. */
  /** It asks each daemon once for a pause of so many seconds; 0: never. */
  unsigned pause_s;
  int64_t paused_us[RIG_NODES_MAX]; /**< When it did; 0: not yet. */
  pthread_mutex_t lock;
  struct traffic_arrival arrivals[TRAFFIC_ARRIVALS_MAX];
  size_t arrival_count;
};

extern struct traffic_request traffic_requests[TRAFFIC_REQUESTS_MAX];

/** Returns the number of requests that were sent. */
size_t traffic_count (void);

/** Starts a server of the service "app". */
void traffic_server_start (struct traffic_server *self,
                           struct rig_store *store,
                           const char *id,
                           const char *zone,
                           const char *ip,
                           int64_t work_us);

/** Writes a configuration with the routes /read/ and /write/ to the service
 * "app". */
void traffic_configure (struct rig_store *store);

/** Every other request is a write. */
void traffic_with_writes (void);

/** The server exits: what it works on is lost. */
void traffic_server_exit (struct traffic_server *self);

/** Sends to each daemon a request in each interval. */
void
traffic_start (struct rig_node *nodes, unsigned count, int64_t interval_us);

/** Sends no more, and waits for the answers. */
void traffic_stop (void);

/**
 * Counts the requests of a daemon that reached a server though they were sent
 * later than the drain time after the daemon had passed on an answer with
 * Server-Leaving of that server. Notes each of them.
 */
unsigned traffic_count_late (struct traffic_server *left, unsigned node);

/** Writes all requests and arrivals to the record, and counts. */
void traffic_note (struct traffic_server *servers, size_t count);

#endif
