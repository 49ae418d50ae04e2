/**
 * @file
 * Parts of the scripts of the third review: an HTTP server and client, the
 * platform's store, servers that register there, and the processes of the entry
 * daemon. All use threads, loopback addresses and free ports.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_US_PER_S INT64_C (1000000)
#define RIG_US_PER_MS INT64_C (1000)
#define RIG_HEARTBEAT_US (1200 * RIG_US_PER_MS)
#define RIG_DRAIN_US (2000 * RIG_US_PER_MS)
#define RIG_NODES_MAX 4

/** Exit codes of a script. */
enum rig_verdict
{
  RIG_HELD = 0,
  RIG_BROKEN = 1,
  RIG_NOT_RUN = 2,
};

/** Opens the record, and the folder for settings and logs. */
void rig_begin (int argc, char **argv);

/** Returns whether the disruption is to be made. */
bool rig_has_trouble (void);

/** Appends a line to the record. */
void rig_note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/** Ends the processes that were started, and the script. */
_Noreturn void rig_end (enum rig_verdict verdict);

/** Lets rig_end() end a process, too. */
void rig_adopt (pid_t process);

/** Returns the time since the start of the script. */
int64_t rig_now_us (void);

void rig_sleep_us (int64_t us);

/** Sleeps until a time of rig_now_us(). */
void rig_sleep_until (int64_t at_us);

/** Returns a port that is free at an address. */
uint16_t rig_free_port (const char *ip);

/** A request or a response. */
struct rig_message
{
  char head[16384]; /**< First line and fields, each with its CRLF. */
  char method[16];
  char target[1024];
  unsigned status;
  char *body;
  size_t body_len;
  bool complete; /**< A response has ended as its framing says. */
};

void rig_message_finish (struct rig_message *self);

/** Copies the value of a field; returns false if there is none. */
bool rig_field (const struct rig_message *self,
                const char *name,
                char *value,
                size_t capacity);

struct rig_server;

/** Handles a request; returns false if the connection is to be closed. */
typedef bool (*rig_handler) (void *context,
                             const struct rig_message *request,
                             int socket);

/** A listener. */
struct rig_server
{
  char ip[16];
  uint16_t port;
  int listener;
  rig_handler handle;
  void *context;
  pthread_mutex_t lock;
  int sockets[512]; /**< Of open connections; -1: free. */
};

/** Listens at an address; with port 0 at a free one. */
void rig_server_start (struct rig_server *self,
                       const char *ip,
                       uint16_t port,
                       rig_handler handle,
                       void *context);

/** Stops listening and resets all connections. */
void rig_server_stop (struct rig_server *self);

/** Resets all connections. */
void rig_server_reset (struct rig_server *self);

bool rig_send (int socket, const char *bytes, size_t len);

/** Sends a whole response; @p fields are lines, each with its CRLF. */
bool
rig_respond (int socket, unsigned status, const char *fields, const char *body);

/** Sends a request on a new connection and reads the response; false if there
 *  is none. */
bool rig_call (const char *ip,
               uint16_t port,
               const char *head,
               const char *body,
               int64_t timeout_us,
               struct rig_message *response);

/** The platform's store. */
struct rig_store
{
  struct rig_server server;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  json_t *objects; /**< By "KIND/NAME": revision, deleted, spec. */
  int64_t revision;
  int64_t era;
  size_t page;       /**< Most objects of a list. */
  bool away;         /**< Closes connections on each call. */
  int64_t expire_us; /**< Expiry of servers' entries begins then. */
};

void rig_store_start (struct rig_store *self);

/** Writes an object; takes over the reference to @p spec. */
void rig_store_put (struct rig_store *self,
                    const char *kind,
                    const char *name,
                    json_t *spec);

void
rig_store_delete (struct rig_store *self, const char *kind, const char *name);

/** Returns whether an object exists. */
bool rig_store_has (struct rig_store *self, const char *kind, const char *name);

/** State of a store at some time. */
struct rig_store_copy
{
  json_t *objects;
  int64_t revision;
};

struct rig_store_copy rig_store_copy (struct rig_store *self);

/** The store is away for a moment and comes back from a copy. */
void rig_store_restore (struct rig_store *self,
                        struct rig_store_copy *copy,
                        int64_t away_us);

/** A server that is registered in the store. */
struct rig_backend
{
  struct rig_store *store;
  struct rig_server server;
  char id[32];
  char service[32];
  char zone[32];
  const char *state; /**< NULL: it does not write any more. */
  bool cut;          /**< It does not reach the store. */
  int64_t born_ms;
  int64_t beat_us;
  int64_t sequence;
  unsigned slots;
};

void rig_backend_start (struct rig_backend *self,
                        struct rig_store *store,
                        const char *id,
                        const char *service,
                        const char *zone,
                        const char *ip,
                        rig_handler handle,
                        void *context);

/** Writes the entry of a server that runs elsewhere. */
void rig_backend_register (struct rig_backend *self,
                           struct rig_store *store,
                           const char *id,
                           const char *service,
                           const char *zone,
                           const char *ip,
                           uint16_t port);

/** Removes the entry: the server leaves without a word before. */
void rig_backend_withdraw (struct rig_backend *self);

/** Writes the entry of a server now. */
void rig_backend_beat (struct rig_backend *self);

/** Starts the heartbeats, and the expiry of entries after three that are
 *  missed. */
void rig_beats_start (struct rig_backend **backends, size_t count);

/** A process of the entry daemon. */
struct rig_node
{
  char name[32];
  char zone[32];
  char ip[16];
  uint16_t callers_port;
  uint16_t ready_port;
  uint16_t peers_port;
  uint16_t store_port;
  char store_ip[16];
  bool was_started;
  pid_t pid;
};

/** Starts the daemon with the command of the deploy file. */
void rig_node_start (struct rig_node *self);

/** Sets the addresses of a daemon. */
void rig_node_init (struct rig_node *self,
                    const char *name,
                    const char *zone,
                    const char *ip,
                    const struct rig_store *store);

void rig_node_signal (struct rig_node *self, int number);

/** Kills the process and waits for its end. */
void rig_node_kill (struct rig_node *self);

/** Waits until all daemons say that they are ready; false: one did not. */
bool rig_nodes_wait (struct rig_node *nodes, size_t count, int64_t timeout_us);

/** Returns a route of a configuration. */
json_t *rig_route (const char *prefix, const char *kind, const char *service);

/** Returns a configuration with the given routes and one service. */
json_t *rig_configuration (int64_t version, json_t *routes, json_t *services);

#endif
