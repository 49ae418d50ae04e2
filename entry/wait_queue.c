#include "entry/wait_queue.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "entry/call_state.h"
#include "entry/entry.h"

/* Time between two attempts to send the same request, unless it is the first of
 * its queue, as for streams that have begun: each search for a path takes some
 * of the VM's processor time. */
#define WAIT_INTERVAL_US (50 * EG_US_PER_MS)
/* Requests of a service that are tried without success in one tick. */
#define FAILURES_PER_TICK 4
/* A refused request is remembered for this long; callers come back within 6 s
 * (see policy/shortage.c). */
#define REFUSED_US (15 * EG_US_PER_S)
/* Refusals beyond this number do not raise the rank any more. */
#define REJECTIONS_MAX 8
/* Work of a prompt token if the service states no speeds. */
#define PROMPT_WEIGHT_DEFAULT 0.1
/* The sizes of two routes differ if their mean works do by this factor, after
 * so many requests of each. */
#define SIZE_RATIO 2.0
#define SIZE_REQUESTS_MIN 20
/* Weight of a request in the mean work of its route. */
#define SIZE_WEIGHT (1.0 / 32)

static const char *const event_names[EG_WAIT_EVENTS] = {
    [EG_WAIT_QUEUED] = "queued",       [EG_WAIT_SERVED] = "served",
    [EG_WAIT_LATE] = "late",           [EG_WAIT_FULL] = "full",
    [EG_WAIT_DISPLACED] = "displaced", [EG_WAIT_EXPIRED] = "expired",
    [EG_WAIT_LEFT] = "left",
};

/** The work of the requests of a route. */
struct route_size
{
  uint64_t route;
  unsigned count;
  double mean;
};

/** The queue of a service, and what decides whether it is used. */
struct eg_service_wait
{
  struct eg_list all; /**< See struct eg_wait_queues. */
  struct eg_wait_queue queue;
  struct eg_wait_slot slots[EG_WAIT_QUEUE_MAX];
  struct route_size sizes[EG_SHED_ROUTES_MAX];
  size_t size_count;
  int64_t version; /**< Of the configuration that @c routes_differ is from. */
  bool routes_differ;
};

void
eg_wait_queues_init (struct eg_wait_queues *self)
{
  memset (self, 0, sizeof *self);
  eg_list_init (&self->waiting);
  eg_list_init (&self->services);
}

static struct eg_service_wait *
new_service_wait (void)
{
  struct eg_service_wait *self = calloc (1, sizeof *self);

  EG_INVARIANT (self);
  self->version = -1;
  eg_wait_queue_init (&self->queue, self->slots, EG_WAIT_QUEUE_MAX);
  return self;
}

/* Returns the queue of a call's service. Memory is taken for services that get
 * requests, unless shedding is off; a new configuration may have dropped a
 * service that calls still refer to. */
static struct eg_service_wait *
service_wait (const struct eg_call *call)
{
  struct eg_service_state *state =
      eg_entry_service (call->entry, call->service);

  if (state->wait)
    return state->wait;
  state->wait = new_service_wait ();
  eg_list_append (&call->entry->wait_queues.services, &state->wait->all);
  return state->wait;
}

bool
eg_service_wait_drop (struct eg_service_wait *self)
{
  if (!self)
    return true;
  if (self->queue.count > 0)
    return false;
  eg_list_remove (&self->all);
  free (self);
  return true;
}

static bool
has_target (const struct eg_route *route, size_t service)
{
  for (uint32_t i = 0; i < route->target_count; i++)
    if (route->targets[i].service == service)
      return true;
  return false;
}

/* Returns whether routes of a service differ in priority or goal. */
static bool
do_routes_differ (const struct eg_configuration *configuration, size_t service)
{
  const struct eg_route *first = NULL;

  for (size_t i = 0; i < configuration->route_count; i++)
    {
      const struct eg_route *route = &configuration->routes[i];

      if (!has_target (route, service))
        continue;
      if (!first)
        first = route;
      if (route->priority != first->priority
          || route->latency_goal_us != first->latency_goal_us)
        return true;
    }
  return false;
}

/* Returns whether the requests of routes differ in size. A configuration does
 * not state sizes, so that they are taken from the requests. */
static bool
do_sizes_differ (const struct eg_service_wait *self)
{
  double least = 0;
  double most = 0;

  for (size_t i = 0; i < self->size_count; i++)
    {
      const struct route_size *size = &self->sizes[i];

      if (size->count < SIZE_REQUESTS_MIN)
        continue;
      if (least <= 0 || size->mean < least)
        least = size->mean;
      if (size->mean > most)
        most = size->mean;
    }
  return most > SIZE_RATIO * least;
}

static void
note_size (struct eg_service_wait *self, const struct eg_shed_request *request)
{
  double work = eg_shed_work (request);
  size_t at = 0;

  while (at < self->size_count && self->sizes[at].route != request->route)
    at++;
  if (at == EG_SHED_ROUTES_MAX)
    return;
  if (at == self->size_count)
    self->sizes[self->size_count++] =
        (struct route_size){request->route, 0, work};
  self->sizes[at].count += self->sizes[at].count < SIZE_REQUESTS_MIN;
  self->sizes[at].mean += (work - self->sizes[at].mean) * SIZE_WEIGHT;
}

static bool
is_on (const struct eg_call *call, struct eg_service_wait *self)
{
  const struct eg_configuration *configuration =
      call->entry->configuration.current;
  const char *mode = call->entry->settings->shedding_mode;

  if (strcmp (mode, "auto") != 0)
    return strcmp (mode, "on") == 0;
  if (self->version != configuration->version)
    {
      self->version = configuration->version;
      self->routes_differ = do_routes_differ (
          configuration,
          eg_configuration_find_service (configuration, call->service));
    }
  return self->routes_differ || do_sizes_differ (self);
}

static struct eg_wait_refused *
refused_entry (const struct eg_call *call)
{
  return &call->entry->wait_queues
              .refused[call->subjects.request & (EG_WAIT_REFUSED_MAX - 1)];
}

static unsigned
count_rejections (const struct eg_call *call, int64_t now_us)
{
  const struct eg_wait_refused *entry = refused_entry (call);

  return entry->fingerprint == call->subjects.request
                 && now_us - entry->last_us < REFUSED_US
             ? entry->count
             : 0;
}

static void
note_refused (const struct eg_call *call, int64_t now_us)
{
  struct eg_wait_refused *entry = refused_entry (call);
  unsigned count = count_rejections (call, now_us);

  entry->fingerprint = call->subjects.request;
  entry->count = count < REJECTIONS_MAX ? count + 1 : count;
  entry->last_us = now_us;
}

static double
prompt_weight (const struct eg_engine_model *engine)
{
  if (engine->prefill_tokens_per_us <= 0 || engine->step_us <= 0)
    return PROMPT_WEIGHT_DEFAULT;
  return 1 / (engine->prefill_tokens_per_us * engine->step_us);
}

static void
set_request (struct eg_call *call,
             uint64_t id,
             const struct eg_service_config *service,
             int64_t now_us)
{
  struct eg_shed_request *request = &call->wait.request;

  *request = (struct eg_shed_request){
      .id = id,
      .route = eg_hash_str (call->route.name),
      .organisation = eg_hash_str (call->organisation),
      .priority = call->priority,
      .arrived_us = call->arrived_us,
      .goal_us = call->route.latency_goal_us,
      .deadline_us = call->deadline_us,
      .return_us = eg_call_shortest_return_us (call),
      .rejections = count_rejections (call, now_us),
      .repeatable = eg_call_is_repeatable (call),
      .idempotent = call->route.kind != EG_ROUTE_NON_IDEMPOTENT,
  };
  if (service->has_engine)
    {
      request->prompt_tokens = call->headers.prompt_tokens;
      request->answer_tokens =
          eg_call_placement_request (call, service).answer_tokens;
      request->prompt_weight = prompt_weight (&service->engine);
    }
}

static void
count_event (const struct eg_call *call, enum eg_wait_event event)
{
  unsigned priority = call->priority < EG_SHED_PRIORITIES
                          ? call->priority
                          : EG_SHED_PRIORITIES - 1;

  call->entry->wait_queues.counts[priority][event]++;
}

/* Takes note of a verdict; the last one of a request is logged. */
static void
note_event (struct eg_call *call, enum eg_wait_event event, int64_t now_us)
{
  call->wait.verdict = event_names[event];
  count_event (call, event);
  if (event == EG_WAIT_LATE || event == EG_WAIT_FULL
      || event == EG_WAIT_DISPLACED || event == EG_WAIT_EXPIRED)
    note_refused (call, now_us);
}

/* Ends the wait of a call that the queue has handed out. */
static void
unlink_call (struct eg_call *call, int64_t now_us)
{
  eg_list_remove (&call->wait.link);
  call->wait.queued = false;
  call->wait.waited_us += now_us - call->wait.queued_us;
}

static struct eg_call *
find_call (const struct eg_entry *entry, uint64_t id)
{
  const struct eg_list *all = &entry->wait_queues.waiting;

  for (struct eg_list *at = all->next; at != all; at = at->next)
    {
      struct eg_call *call = EG_CONTAINER_OF (at, struct eg_call, wait.link);

      if (call->wait.request.id == id)
        return call;
    }
  return NULL;
}

/* Refuses a call that waits no longer. */
static void
refuse (struct eg_entry *entry,
        const struct eg_shed_request *request,
        enum eg_wait_event event,
        int64_t now_us)
{
  struct eg_call *call = find_call (entry, request->id);

  EG_INVARIANT (call);
  unlink_call (call, now_us);
  note_event (call, event, now_us);
  eg_call_fail (call, EG_RESEND_REFUSE, event_names[event]);
}

/* Returns whether the servers' own limits keep the request out until it is too
 * late for it. */
static bool
is_limited_too_long (const struct eg_call *call, int64_t now_us)
{
  bool limited;

  return eg_server_limits_wait_us (call->entry, call->service, now_us, &limited)
         > eg_shed_latest_us (&call->wait.request) - now_us;
}

static enum eg_shed_verdict
put_back (struct eg_call *call, struct eg_wait_queue *queue, int64_t now_us)
{
  if (eg_shed_latest_us (&call->wait.request) <= now_us)
    return EG_SHED_LATE;
  return eg_wait_queue_put_back (queue, &call->wait.request, now_us,
                                 now_us + WAIT_INTERVAL_US)
             ? EG_SHED_WAITS
             : EG_SHED_FULL;
}

static void
link_call (struct eg_call *call, int64_t now_us)
{
  eg_list_append (&call->entry->wait_queues.waiting, &call->wait.link);
  call->wait.queued = true;
  call->wait.queued_us = now_us;
  /* The queue decides when it is sent. */
  call->resume_us = INT64_MAX;
  call->tried_peer_count = 0;
}

static void
log_queued (const struct eg_call *call,
            const struct eg_wait_queue *queue,
            int64_t now_us)
{
  eg_log (EG_LOG_INFO, "call",
          "event=request-queued request=%.*s service=%.*s limit=%s "
          "priority=%u "
          "sends=%u work=%.0f queued=%zu wait_max_ms=%" PRId64,
          EG_STR_ARGS (call->headers.id), EG_STR_ARGS (call->service),
          eg_resend_limit_name (call->limit), call->priority, call->sends,
          eg_shed_work (&call->wait.request), queue->count,
          (eg_shed_latest_us (&call->wait.request) - now_us) / EG_US_PER_MS);
}

/* Adds a request to a queue, or not. */
static enum eg_shed_verdict
admit (struct eg_call *call,
       struct eg_service_wait *self,
       int64_t now_us,
       struct eg_shed_request *victim)
{
  self->queue.capacity = (size_t) call->entry->settings->shedding_requests;
  if (call->wait.offered)
    return put_back (call, &self->queue, now_us);
  if (is_limited_too_long (call, now_us))
    return EG_SHED_LATE;
  call->wait.offered = true;
  return eg_wait_queue_offer (&self->queue, &call->wait.request, now_us,
                              victim);
}

/* Offers a request to its queue; false if it is refused. */
static bool
offer (struct eg_call *call, struct eg_service_wait *self, int64_t now_us)
{
  struct eg_shed_request victim;
  bool first = !call->wait.offered;
  enum eg_shed_verdict verdict = admit (call, self, now_us, &victim);

  if (verdict == EG_SHED_LATE || verdict == EG_SHED_FULL)
    {
      note_event (call, verdict == EG_SHED_FULL ? EG_WAIT_FULL : EG_WAIT_LATE,
                  now_us);
      return false;
    }
  link_call (call, now_us);
  if (first)
    {
      note_event (call, EG_WAIT_QUEUED, now_us);
      log_queued (call, &self->queue, now_us);
    }
  if (verdict == EG_SHED_REPLACES)
    refuse (call->entry, &victim, EG_WAIT_DISPLACED, now_us);
  return true;
}

/* Returns whether a request may be queued at all. */
static bool
uses_queue (const struct eg_call *call)
{
  return !call->is_from_peer && eg_call_service (call)
         && strcmp (call->entry->settings->shedding_mode, "off") != 0;
}

/* Takes a request that has just arrived; returns whether others that wait go
 * before it. */
static bool
has_to_wait (struct eg_call *call,
             struct eg_service_wait *self,
             uint64_t id,
             int64_t now_us)
{
  set_request (call, id, eg_call_service (call), now_us);
  note_size (self, &call->wait.request);
  call->wait.known = is_on (call, self);
  return call->wait.known
         && eg_crash_watch_judge (&call->entry->crash_watch, &call->subjects,
                                  now_us)
                    .ruling
                <= EG_CRASH_TRY
         && !eg_wait_queue_goes_first (&self->queue, &call->wait.request,
                                       now_us);
}

bool
eg_call_wait_arrive (struct eg_call *call, int64_t now_us)
{
  struct eg_service_wait *self;

  if (!uses_queue (call))
    return false;
  self = service_wait (call);
  if (!has_to_wait (call, self, ++call->entry->wait_queues.next_id, now_us))
    return false;
  call->limit = EG_LIMIT_NO_SERVER;
  if (!offer (call, self, now_us))
    eg_call_fail (call, EG_RESEND_REFUSE, "no-server");
  return true;
}

/* Returns whether a request for which @p limit rules out a send may wait. */
static bool
may_hold (const struct eg_call *call, enum eg_resend_limit limit)
{
  bool may_pass = limit == EG_LIMIT_NO_SERVER || limit == EG_LIMIT_SERVER_LIMITS
                  || limit == EG_LIMIT_RETRY_BUDGET;

  return may_pass && call->wait.known && !call->may_have_run
         && !call->head_sent;
}

bool
eg_call_wait_hold (struct eg_call *call,
                   enum eg_resend_limit limit,
                   int64_t now_us)
{
  return may_hold (call, limit) && offer (call, service_wait (call), now_us);
}

void
eg_wait_preview_init (struct eg_wait_preview *self,
                      struct eg_call *call,
                      int64_t now_us)
{
  const struct eg_service_state *state =
      eg_entry_service (call->entry, call->service);
  uint64_t id = call->entry->wait_queues.next_id + 1;

  *self = (struct eg_wait_preview){0};
  if (!uses_queue (call))
    return;
  self->wait = new_service_wait ();
  if (state->wait)
    {
      *self->wait = *state->wait;
      self->wait->queue.slots = self->wait->slots;
    }
  self->queues = has_to_wait (call, self->wait, id, now_us);
  self->enabled = call->wait.known;
  self->waiting = self->wait->queue.count;
  self->capacity = (size_t) call->entry->settings->shedding_requests;
  self->ahead = eg_wait_queue_count_ahead (&self->wait->queue,
                                           &call->wait.request, now_us);
}

void
eg_wait_preview_finish (struct eg_wait_preview *self)
{
  free (self->wait);
  self->wait = NULL;
}

bool
eg_wait_preview_offer (struct eg_wait_preview *self,
                       struct eg_call *call,
                       enum eg_resend_limit limit,
                       int64_t now_us)
{
  struct eg_shed_request victim;
  enum eg_shed_verdict verdict;

  if (!self->wait || (limit != EG_LIMIT_NONE && !may_hold (call, limit)))
    return false;
  verdict = admit (call, self->wait, now_us, &victim);
  call->wait.verdict = eg_shed_verdict_name (verdict);
  return verdict == EG_SHED_WAITS || verdict == EG_SHED_REPLACES;
}

void
eg_call_wait_served (struct eg_call *call, int64_t now_us)
{
  if (!call->wait.known || call->wait.served)
    return;
  call->wait.served = true;
  eg_wait_queue_served (&service_wait (call)->queue, &call->wait.request,
                        call->wait.offered, now_us);
  if (call->wait.offered)
    note_event (call, EG_WAIT_SERVED, now_us);
}

void
eg_call_wait_leave (struct eg_call *call)
{
  int64_t now_us = eg_clock_now_us ();

  if (!call->wait.queued)
    return;
  eg_wait_queue_remove (&service_wait (call)->queue, call->wait.request.id,
                        now_us);
  unlink_call (call, now_us);
  count_event (call, EG_WAIT_LEFT);
}

int64_t
eg_call_wait_return_us (const struct eg_call *call,
                        struct eg_service_wait *self,
                        int64_t shortest_us,
                        int64_t now_us)
{
  int64_t wait_us;

  if (!call->wait.known)
    return shortest_us;
  /* A configuration that lacked the service may have dropped its queue. */
  if (!self)
    self = service_wait (call);
  wait_us =
      eg_wait_queue_retry_after_us (&self->queue, &call->wait.request, now_us);
  return wait_us > shortest_us ? wait_us : shortest_us;
}

void
eg_call_wait_write (const struct eg_call *call, struct eg_buffer *out)
{
  const struct eg_call_wait *wait = &call->wait;
  const struct eg_shed_request *request = &wait->request;
  int64_t now_us = eg_clock_now_us ();
  int64_t waited_us =
      wait->waited_us + (wait->queued ? now_us - wait->queued_us : 0);

  eg_buffer_printf (out, " priority=%u shedding=%s", call->priority,
                    !wait->known    ? "off"
                    : wait->verdict ? wait->verdict
                                    : "none");
  if (wait->known)
    eg_buffer_printf (out,
                      " queued_ms=%" PRId64 " goal_ms=%" PRId64
                      " work=%.0f rank=%.3g rejections=%u",
                      waited_us / EG_US_PER_MS, request->goal_us / EG_US_PER_MS,
                      eg_shed_work (request), eg_shed_rank (request, now_us),
                      request->rejections);
}

/* The configuration may have removed the key since the request arrived; false
 * if the request was answered with an error. */
static bool
check_key_again (struct eg_call *call)
{
  const struct eg_organisation *organisation;

  return !call->needs_key
         || eg_call_check_key (call, call->entry->configuration.current,
                               &organisation);
}

/* Tries to send a request that was taken from its queue; false if it waits
 * again. */
static bool
try_again (struct eg_call *call, int64_t now_us)
{
  unlink_call (call, now_us);
  if (!check_key_again (call))
    return true;
  call->resume_us = now_us;
  eg_call_check (call, now_us);
  return !call->wait.queued;
}

static void
check_service (struct eg_entry *entry,
               struct eg_service_wait *self,
               int64_t now_us)
{
  struct eg_shed_request request;
  unsigned failures = 0;

  while (eg_wait_queue_take_expired (&self->queue, now_us, &request))
    refuse (entry, &request, EG_WAIT_EXPIRED, now_us);
  while (failures < FAILURES_PER_TICK
         && eg_wait_queue_take (&self->queue, now_us, &request))
    {
      struct eg_call *call = find_call (entry, request.id);

      EG_INVARIANT (call);
      call->wait.request = request;
      failures += !try_again (call, now_us);
    }
}

void
eg_wait_queues_check (struct eg_entry *entry, int64_t now_us)
{
  const struct eg_list *all = &entry->wait_queues.services;

  for (struct eg_list *at = all->next; at != all; at = at->next)
    check_service (entry, EG_CONTAINER_OF (at, struct eg_service_wait, all),
                   now_us);
}

void
eg_wait_queues_print (const struct eg_entry *entry, struct eg_buffer *out)
{
  const struct eg_wait_queues *self = &entry->wait_queues;
  size_t waiting = 0;

  for (struct eg_list *at = self->services.next; at != &self->services;
       at = at->next)
    waiting += EG_CONTAINER_OF (at, struct eg_service_wait, all)->queue.count;
  eg_buffer_printf (out, "eelgrasswood_requests_waiting %zu\n", waiting);
  for (size_t priority = 0; priority < EG_SHED_PRIORITIES; priority++)
    for (size_t event = 0; event < EG_WAIT_EVENTS; event++)
      eg_buffer_printf (
          out,
          "eelgrasswood_requests_shed_total{priority=\"%zu\",event=\"%s\"}"
          " %" PRIu64 "\n",
          priority, event_names[event], self->counts[priority][event]);
}
