/**
 * @file
 * The soak: real entry daemons as processes, stand-ins for all around them, and
 * faults drawn from a seed.
 */
#ifndef EG_SOAK_SOAK_H
#define EG_SOAK_SOAK_H

#include <jansson.h>

#include "base/random.h"
#include "net/exchange.h"
#include "policy/event_relay.h"
#include "test/soak/http_server.h"
#include "test/soak/store.h"

#define SOAK_NODES 3
#define SOAK_BACKENDS 4
#define SOAK_CLIENTS 12
/* Events of each stream. */
#define SOAK_EVENTS 25

/** What a request is, and what became of it. */
enum soak_kind
{
  SOAK_READ,   /**< Idempotent. */
  SOAK_WRITE,  /**< Not idempotent. */
  SOAK_STREAM, /**< Resumable. */
  SOAK_KINDS,
};

struct soak;

/** A backend server: plain requests and streams. */
struct soak_backend
{
  struct soak *soak;
  struct soak_server server;
  char id[32];
  unsigned number;
  unsigned starts;
  bool up;
  bool cuts;     /**< Some answers are broken off. */
  int64_t up_us; /**< When a crashed one starts again. */
  int64_t cuts_until_us;
};

/** A TCP proxy between a daemon and the store, or callers and a daemon. */
struct soak_proxy
{
  struct soak *soak;
  uv_tcp_t listener;
  struct eg_endpoint endpoint;
  struct eg_endpoint target;
  struct eg_list pairs;
  bool mute;         /**< Bytes of one direction vanish. */
  uint64_t delay_ms; /**< Of each piece. */
  int64_t until_us;  /**< End of both. */
};

/** A daemon. */
struct soak_node
{
  struct soak *soak;
  uv_process_t process;
  unsigned number;
  char settings_path[256];
  uint16_t callers_port;
  struct soak_proxy to_store;
  bool running;
  bool expected_exit;
  bool frozen;
  int64_t thaw_us;
  int64_t term_us; /**< When it was asked to stop; 0: it was not. */
  int64_t started_us;
  int64_t harmed_us; /**< When something else last befell it. */
  uv_timer_t restart;
};

/** A caller with one request at a time. */
struct soak_client
{
  struct soak *soak;
  struct eg_exchange exchange;
  struct eg_event_relay relay;
  struct eg_buffer body;
  struct soak_node *node;
  enum soak_kind kind;
  char id[32];
  unsigned status;
  bool sealed;
  bool misframed;
  int64_t sent_us;
  uv_timer_t timer;
};

/** Everything; memory of main. */
struct soak
{
  uv_loop_t loop;
  struct eg_random random;
  struct eg_exchange_pool pool;
  struct soak_store store;
  struct soak_backend backends[SOAK_BACKENDS];
  struct soak_node nodes[SOAK_NODES];
  struct soak_client clients[SOAK_CLIENTS];
  json_t *runs; /**< How often each request has run, by id. */
  uv_timer_t faults;
  uv_timer_t beats;
  uv_timer_t ends;
  const char *daemon;
  const char *folder;
  uint64_t next_id;
  int64_t begun_us;
  int64_t calm_us; /**< From when on no fault is begun. */
  int64_t store_until_us;
  int64_t servers_harmed_us; /**< When a server last crashed or cut. */
  int64_t version;           /**< Of the configuration. */
  json_t *promised;          /**< Requests that were said not to have run. */
  bool over;
  unsigned faults_begun;
  unsigned sent;
  unsigned good;
  unsigned calm_sent;
  unsigned calm_good;
  unsigned violations;
};

/** Reports a broken promise. */
void soak_violation (struct soak *self, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Starts the backend servers. */
void soak_backends_init (struct soak *self);

/** Starts or ends one backend server. */
void soak_backend_up (struct soak_backend *self);
void soak_backend_down (struct soak_backend *self);

/** Writes the entries of the servers that are up. */
void soak_backends_beat (struct soak *self);

/** Writes the body that answers request @p id. */
void soak_expected_body (const char *id, char *text, size_t capacity);

/** Starts the daemons. */
void soak_nodes_init (struct soak *self);

/** Starts one daemon. */
void soak_node_start (struct soak_node *self);

/** Sends a signal to a daemon that runs. */
void soak_node_signal (struct soak_node *self, int number);

/** Opens a proxy before @p target. */
void soak_proxy_open (struct soak_proxy *self,
                      struct soak *soak,
                      struct eg_endpoint target);

/** Resets all connections of a proxy. */
void soak_proxy_reset (struct soak_proxy *self);

/** Stops listening and resets all connections. */
void soak_proxy_close (struct soak_proxy *self);

/** Starts the clients. */
void soak_clients_init (struct soak *self);

/** Ends the requests under way. */
void soak_clients_finish (struct soak *self);

/** Writes the next version of the configuration. */
void soak_configure (struct soak *self);

/** Begins one fault drawn at random. */
void soak_fault (struct soak *self);

/** Ends the faults whose time is over, or all. */
void soak_faults_check (struct soak *self, bool all);

#endif
