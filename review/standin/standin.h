/**
 * @file
 * Stand-ins for the cases of the review: the platform's store, backend servers
 * and clients, in one process, around entry VMs that run as processes of their
 * own. A case runs the event loop for as long as it wants to wait.
 */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <jansson.h>

#include "base/clock.h"
#include "net/http_reader.h"
#include "net/socket.h"
#include "test/soak/http_server.h"

#define STAND_VMS_MAX 4
#define STAND_SERVERS_MAX 16
#define STAND_OBJECTS_MAX 512
#define STAND_CHANGES_MAX 8192
#define STAND_CLIENTS_MAX 1024
#define STAND_HEARTBEAT_MS 1200
/** Layers of the model: it is one piece, which each engine has room for. */
#define STAND_LAYERS 1
/** Time to load them all. */
#define STAND_LOAD_MS 3000

struct stand;

/** An object of the store. Its spec is kept as text, byte by byte. */
struct stand_object
{
  char kind[64];
  char name[64];
  char *spec;
  int64_t revision;
  bool present;
};

/** A change of an object, for watches. */
struct stand_change
{
  size_t object;
  int64_t revision;
  bool deleted;
};

/** The platform's store. */
struct stand_store
{
  struct soak_http_server server;
  struct stand_object objects[STAND_OBJECTS_MAX];
  size_t object_count;
  struct stand_change changes[STAND_CHANGES_MAX];
  size_t change_count;
  int64_t revision;
};

/** A backend server. */
struct stand_server
{
  struct stand *stand;
  struct soak_http_server http;
  unsigned number;
  unsigned starts;
  char id[32];
  const char *service;
  const char *zone;
  bool engine;
  bool running;
  bool listed;
  bool draining;   /**< Its entry says so. */
  bool leaving;    /**< All its answers say so. */
  int64_t born_ms; /**< Time of day of its start. */
  int64_t restart_us;
  int64_t unlist_us;   /**< When the entry of its last start expires. */
  char expiring[32];   /**< Id of that entry. */
  unsigned work_ms;    /**< Until it answers. */
  size_t body_bytes;   /**< Length of a plain answer. */
  unsigned events;     /**< Of a stream. */
  unsigned event_ms;   /**< Between two of them. */
  const char *deadly;  /**< It crashes when it begins to write an answer on a
                          prompt with this part; NULL: never. */
  unsigned down_ms;    /**< Until it is back. */
  bool loaded;         /**< An engine that holds all layers. */
  int64_t loading_us;  /**< When the layers that it loads are there; or 0. */
  unsigned orders;     /**< Begun since its start. */
  unsigned runs;       /**< Requests that it began to run. */
  unsigned status;     /**< Of its plain answers; 0: 200. */
  bool seals_failures; /**< They have a signature, too. */
};

/** An entry VM. */
struct stand_vm
{
  struct stand *stand;
  uv_process_t process;
  unsigned number;
  char zone[32];
  char address[32]; /**< Of the loopback network, its own. */
  char settings[300];
  bool running;
  bool started_before;
  bool restarts; /**< It is started again when it ends. */
  bool ended_itself;
  int exit_status;
  int exit_signal;
  int64_t started_us;
  uv_timer_t restart_timer;
};

/** What a client asks for. */
struct stand_request
{
  unsigned vm;
  const char *method;
  const char *path;
  const char *fields; /**< Further lines, each with its CRLF, or NULL. */
  unsigned deadline_ms;
  size_t body_bytes;
  unsigned bytes_per_s; /**< At which it reads; 0: as fast as it comes. */
  bool keep;            /**< The connection is kept for stand_send_next(). */
};

/** A client with one connection. */
struct stand_client
{
  struct stand *stand;
  struct eg_socket socket;
  struct eg_http_reader reader;
  struct stand_request request;
  uv_timer_t timer;
  char id[24];
  int64_t sent_us;
  int64_t ended_us;
  unsigned status;
  size_t body_len;
  unsigned events;
  bool sealed;
  bool connected;
  bool closing;
  bool done;   /**< The answer is whole. */
  bool failed; /**< The connection ended before. */
  size_t may_read;
  char retry_after[24]; /**< From the answer; empty: none. */
};

/** All stand-ins of a case. */
struct stand
{
  uv_loop_t loop;
  FILE *record;
  bool trouble; /**< False if TROUBLE=0. */
  int64_t start_us;
  char folder[256];
  struct stand_store store;
  struct stand_server servers[STAND_SERVERS_MAX];
  size_t server_count;
  struct stand_vm vms[STAND_VMS_MAX];
  size_t vm_count;
  struct stand_client *clients[STAND_CLIENTS_MAX];
  size_t client_count;
  unsigned request_count;
  uv_timer_t heartbeat;
  bool stopping;
  bool had_requests; /**< Loads before the first one take a tenth. */
  /** Called when a request arrives at a server, before it is run; may be NULL.
   */
  void (*arrived) (struct stand_server *server,
                   const struct eg_http_head *head,
                   struct eg_str id);
};

/** Opens the store; exits with 2 on failure. @p record is the file's path. */
void stand_open (struct stand *self, const char *record);

/** Ends all processes and removes the folder of the settings. */
void stand_close (struct stand *self);

/** Appends a line with the time to the record. */
void stand_note (struct stand *self, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Runs the event loop for @p ms. */
void stand_wait (struct stand *self, unsigned ms);

/** Writes an object, as the operator or another writer does. */
void stand_put (struct stand *self,
                const char *kind,
                const char *name,
                const char *spec);

/**
 * Writes a configuration, as the operator does. @p tenants is the text of their
 * array, or NULL; @p limits that of the limits' object, or NULL.
 */
void stand_configure (struct stand *self,
                      unsigned version,
                      const char *routes,
                      const char *services,
                      const char *tenants,
                      const char *limits);

/** Deletes an object. */
void stand_delete (struct stand *self, const char *kind, const char *name);

/** Adds a server of @p service and starts it. */
struct stand_server *stand_add_server (struct stand *self,
                                       const char *service,
                                       const char *zone,
                                       bool engine);

/** Writes the entry of a server. */
void stand_list_server (struct stand_server *self);

/** Starts a server under a new id. */
void stand_server_start (struct stand_server *self);

/** Ends a server without a word; it is back after its @c down_ms. */
void stand_server_crash (struct stand_server *self);

/** Adds an entry VM in @p zone; it is not started yet. */
struct stand_vm *stand_add_vm (struct stand *self, const char *zone);

/** Starts an entry VM with the command of the deploy file. */
void stand_vm_start (struct stand_vm *self);

/** Sends a signal to the process of a VM. */
void stand_vm_signal (struct stand_vm *self, int number);

/** Returns the value of a field of /proc/PID/status in kB, such as VmHWM. */
long stand_vm_memory_kb (const struct stand_vm *self, const char *field);

/** Asks a VM as the platform's balancer does; true after a 200. */
bool stand_vm_is_ready (struct stand_vm *self);

/** Waits until all VMs are ready, @p ms at most; false if they are not. */
bool stand_wait_ready (struct stand *self, unsigned ms);

/** Sends a request on a new connection. */
struct stand_client *stand_send (struct stand *self,
                                 const struct stand_request *request);

/** Sends the next request on the connection of a client whose answer is whole.
 */
void stand_send_next (struct stand_client *self,
                      const struct stand_request *request);

/** Closes the connection of a client. */
void stand_client_close (struct stand_client *self);

#endif
