#include "traffic.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEADLINE_MS 4000
#define STACK_BYTES (512U << 10)

struct traffic_request traffic_requests[TRAFFIC_REQUESTS_MAX];
static size_t request_count;
static size_t ended_count;
static volatile bool stopped;
static bool writes;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/** Callers of a daemon. */
struct callers
{
  struct rig_node *node;
  unsigned number;
  int64_t interval_us;
};

/** A request on its way. */
struct call
{
  const struct rig_node *node;
  unsigned request;
};

static struct callers all_callers[RIG_NODES_MAX];

size_t
traffic_count (void)
{
  size_t count;

  pthread_mutex_lock (&lock);
  count = request_count;
  pthread_mutex_unlock (&lock);
  return count;
}

static void
start_thread (void *(*run) (void *context), void *context)
{
  pthread_t thread;
  pthread_attr_t attributes;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, STACK_BYTES);
  if (pthread_create (&thread, &attributes, run, context) != 0)
    rig_end (RIG_NOT_RUN);
  pthread_attr_destroy (&attributes);
}

static void *
run_call (void *context)
{
  struct call *self = context;
  struct traffic_request *request = &traffic_requests[self->request];
  struct rig_message response;
  char value[32];
  char head[512];
  bool answered;

  snprintf (head, sizeof head,
            "%s/%u HTTP/1.1\r\nHost: review.example\r\n"
            "X-Attempt-Id: r%u\r\nX-Deadline-Ms: %d\r\nApi-Key: k1\r\n"
            "Connection: close\r\n\r\n",
            request->is_write ? "POST /write" : "GET /read", self->request,
            self->request, DEADLINE_MS);
  request->sent_us = rig_now_us ();
  answered = rig_call (self->node->ip, self->node->callers_port, head, "",
                       DEADLINE_MS * RIG_US_PER_MS, &response);
  if (answered && response.complete)
    {
      request->status = response.status;
      request->leaving =
          rig_field (&response, "Server-Leaving", value, sizeof value);
      rig_field (&response, "X-Instance-Id", request->server,
                 sizeof request->server);
    }
  rig_message_finish (&response);
  request->ended_us = rig_now_us ();
  pthread_mutex_lock (&lock);
  ended_count++;
  pthread_mutex_unlock (&lock);
  free (self);
  return NULL;
}

static void *
run_callers (void *context)
{
  struct callers *self = context;
  int64_t next_us = rig_now_us ();
  bool odd = false;

  while (!stopped)
    {
      struct call *call = calloc (1, sizeof *call);

      call->node = self->node;
      pthread_mutex_lock (&lock);
      call->request = (unsigned) request_count++;
      pthread_mutex_unlock (&lock);
      if (call->request >= TRAFFIC_REQUESTS_MAX)
        rig_end (RIG_NOT_RUN);
      traffic_requests[call->request].node = self->number;
      traffic_requests[call->request].is_write = writes && odd;
      odd = !odd;
      start_thread (run_call, call);
      next_us += self->interval_us;
      rig_sleep_until (next_us);
    }
  return NULL;
}

void
traffic_with_writes (void)
{
  writes = true;
}

void
traffic_start (struct rig_node *nodes, unsigned count, int64_t interval_us)
{
  for (unsigned i = 0; i < count; i++)
    {
      all_callers[i] = (struct callers){&nodes[i], i, interval_us};
      start_thread (run_callers, &all_callers[i]);
    }
}

void
traffic_stop (void)
{
  int64_t end_us = rig_now_us () + (DEADLINE_MS + 1000) * RIG_US_PER_MS;
  bool ended = false;

  stopped = true;
  while (!ended && rig_now_us () < end_us)
    {
      rig_sleep_us (50 * RIG_US_PER_MS);
      pthread_mutex_lock (&lock);
      ended = ended_count == request_count;
      pthread_mutex_unlock (&lock);
    }
}

/* Returns whether the server asks the daemon of this request for a pause. */
static bool
asks_for_pause (struct traffic_server *self, unsigned node)
{
  if (self->pause_s == 0 || self->paused_us[node] > 0)
    return false;
  self->paused_us[node] = rig_now_us ();
  rig_note ("%s asks daemon %u for a pause of %u s", self->backend.id, node,
            self->pause_s);
  return true;
}

static bool
handle (void *context, const struct rig_message *request, int socket)
{
  struct traffic_server *self = context;
  struct traffic_arrival *arrival;
  char value[64] = "";
  char fields[512];
  unsigned number;
  bool refuses;

  rig_field (request, "X-Expect-Instance", value, sizeof value);
  if (*value && strcmp (value, self->backend.id) != 0)
    return rig_respond (socket, 421, "X-Not-Executed: 1\r\n", "");
  if (!rig_field (request, "X-Attempt-Id", value, sizeof value)
      || sscanf (value, "r%u", &number) != 1 || number >= TRAFFIC_REQUESTS_MAX)
    return rig_respond (socket, 200, "", "");
  pthread_mutex_lock (&self->lock);
  refuses = asks_for_pause (self, traffic_requests[number].node);
  if (self->arrival_count == TRAFFIC_ARRIVALS_MAX)
    rig_end (RIG_NOT_RUN);
  arrival = &self->arrivals[self->arrival_count++];
  *arrival =
      (struct traffic_arrival){number, rig_now_us (), refuses ? 503U : 200U};
  pthread_mutex_unlock (&self->lock);
  if (!refuses)
    rig_sleep_us (self->work_us);
  if (self->ended)
    return false;
  snprintf (fields, sizeof fields,
            "X-Attempt-Id: r%u\r\nX-Instance-Id: %s\r\n%s%s", number,
            self->backend.id,
            refuses ? "X-Not-Executed: 1\r\n" : "X-Server-Seal: review\r\n",
            self->leaving ? "Server-Leaving: 1\r\n" : "");
  if (refuses)
    {
      size_t len = strlen (fields);

      snprintf (fields + len, sizeof fields - len, "Retry-After: %u\r\n",
                self->pause_s);
    }
  return rig_respond (socket, refuses ? 503 : 200, fields,
                      refuses ? "" : "looked up\n");
}

void
traffic_server_start (struct traffic_server *self,
                      struct rig_store *store,
                      const char *id,
                      const char *zone,
                      const char *ip,
                      int64_t work_us)
{
  pthread_mutex_init (&self->lock, NULL);
  self->work_us = work_us;
  rig_backend_start (&self->backend, store, id, "app", zone, ip, handle, self);
}

void
traffic_server_exit (struct traffic_server *self)
{
  self->ended = true;
  rig_server_stop (&self->backend.server);
}

void
traffic_configure (struct rig_store *store)
{
  json_t *routes = json_array ();
  json_t *services =
      json_pack ("[{s:s, s:s, s:i}]", "name", "app", "healthPath", "/healthz",
                 "maxConnections", 400);

  json_array_append_new (routes, rig_route ("/read/", "idempotent", "app"));
  json_array_append_new (routes,
                         rig_route ("/write/", "non_idempotent", "app"));
  rig_store_put (store, "config", "main",
                 rig_configuration (7, routes, services));
}

void
traffic_note (struct traffic_server *servers, size_t count)
{
  size_t requests = traffic_count ();
  size_t served = 0;

  for (size_t i = 0; i < requests; i++)
    {
      const struct traffic_request *request = &traffic_requests[i];

      rig_note ("%s r%zu daemon=%u sent=%.3f ended=%.3f status=%u "
                "server=%s leaving=%d",
                request->is_write ? "write" : "read", i, request->node,
                (double) request->sent_us / RIG_US_PER_S,
                (double) request->ended_us / RIG_US_PER_S, request->status,
                request->server, request->leaving);
      served += request->status == 200;
    }
  for (size_t i = 0; i < count; i++)
    {
      for (size_t k = 0; k < servers[i].arrival_count; k++)
        rig_note ("arrival at %s request=r%u at=%.3f status=%u",
                  servers[i].backend.id, servers[i].arrivals[k].request,
                  (double) servers[i].arrivals[k].at_us / RIG_US_PER_S,
                  servers[i].arrivals[k].status);
      rig_note ("%s has got %zu requests", servers[i].backend.id,
                servers[i].arrival_count);
    }
  rig_note ("%zu requests, %zu served", requests, served);
}

/* Returns when a daemon passed on the first answer with Server-Leaving; 0: it
 * did not. */
static int64_t
find_told (unsigned node)
{
  int64_t told_us = 0;

  for (size_t i = 0; i < traffic_count (); i++)
    {
      const struct traffic_request *request = &traffic_requests[i];

      if (request->node == node && request->leaving
          && (told_us == 0 || request->ended_us < told_us))
        told_us = request->ended_us;
    }
  return told_us;
}

/* Returns whether a write was begun and its caller has no answer of its
 * server. */
static bool
is_lost (const struct traffic_request *request)
{
  return request->is_write && request->status != 200;
}

unsigned
traffic_count_late (struct traffic_server *left, unsigned node)
{
  int64_t told_us = find_told (node);
  unsigned late = 0;
  unsigned lost = 0;

  if (told_us == 0)
    {
      rig_note ("daemon %u has passed on no answer with Server-Leaving", node);
      return 0;
    }
  for (size_t i = 0; i < left->arrival_count; i++)
    {
      unsigned number = left->arrivals[i].request;
      const struct traffic_request *request = &traffic_requests[number];

      if (request->node != node || request->sent_us <= told_us + RIG_DRAIN_US)
        continue;
      late++;
      lost += is_lost (request);
      rig_note ("late: %s r%u sent %.3f s after daemon %u was told, reaches "
                "%s%s",
                request->is_write ? "write" : "read", number,
                (double) (request->sent_us - told_us) / RIG_US_PER_S, node,
                left->backend.id, is_lost (request) ? ", and is lost" : "");
    }
  rig_note ("daemon %u was told at %.3f and has sent %u late requests; %u "
            "writes among them are lost",
            node, (double) told_us / RIG_US_PER_S, late, lost);
  return late;
}
