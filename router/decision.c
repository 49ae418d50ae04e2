#include "router/decision.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "router/dispatcher.h"
#include "router/gossip.h"
#include "router/message.h"
#include "router/capacity_controller.h"
#include "router/rules_sync.h"
#include "router/ruleset.h"
#include "router/sweeper.h"

#define RING_SLOTS 32768
#define TICK_US (10 * EG_US_PER_MS)
#define IDLE_TICK_US (50 * EG_US_PER_MS)
#define MESSAGES_PER_PASS 512
#define FULL_RING_WAIT_NS 200000
#define VMS_TIMEOUT_US (2 * EG_US_PER_S)
#define READY_WITHOUT_POLL_US (5 * EG_US_PER_S)

struct eg_decision
{
  const struct eg_router_settings *settings;
  struct eg_ring ring;
  pthread_t thread;
  bool started;
  unsigned stopping; /* Asks the thread to exit. */
  unsigned busy;
  unsigned ready;
  unsigned stop_requested; /* Not ready again, whatever the thread finds. */
  int64_t started_us;
  struct eg_backend_worker *backend;
  struct eg_platform_worker *platform;

  /* All members below are owned by the decision thread. */
  struct eg_fleet fleet;
  struct eg_dispatcher *dispatcher;
  struct eg_ruleset *ruleset;
  struct eg_rules_sync *rules_sync;
  struct eg_sweeper sweeper;
  struct eg_capacity_controller *capacity_controller;
  struct eg_gossip *gossip; /* NULL if the bus is disabled. */
  int64_t next_tick_us;
  int64_t next_vms_us;
  bool vms_read_pending;
  enum eg_status vms_status; /* Result of the last read. */
};

/* Submitting messages. */

static bool
push_message (struct eg_decision *self, const struct eg_message *message)
{
  struct eg_message *copy = malloc (sizeof *copy);

  EG_INVARIANT (copy != NULL);
  *copy = *message;
  if (eg_ring_push (&self->ring, copy))
    return true;
  free (copy);
  return false;
}

/* Releases what a message that will not be handled owns. */
static void
release_message (const struct eg_message *message)
{
  switch (message->kind)
    {
    case EG_MESSAGE_CALL:
    case EG_MESSAGE_ABANDON:
      eg_call_unref (message->call);
      break;
    case EG_MESSAGE_BACKEND:
      eg_backend_event_free (message->backend);
      break;
    case EG_MESSAGE_PLATFORM:
      eg_platform_reply_free (message->platform);
      break;
    case EG_MESSAGE_QUERY:
      sem_post (&message->query->answered);
      break;
    case EG_MESSAGE_EDIT:
      message->edit->result.action = EG_RULE_EDIT_REFUSED;
      sem_post (&message->edit->answered);
      break;
    case EG_MESSAGE_PEER:
      free (message->peer);
      break;
    case EG_MESSAGE_STOP:
    case EG_MESSAGE_COUNT:
      break;
    }
}

/* Reports must not be lost, so the calling thread blocks while the ring is
   full; this applies back pressure to its sockets. */
static void
push_message_waiting (struct eg_decision *self,
                      const struct eg_message *message)
{
  const struct timespec pause = {.tv_nsec = FULL_RING_WAIT_NS};

  while (!push_message (self, message))
    {
      if (ck_pr_load_uint (&self->stopping))
        {
          release_message (message);
          return;
        }
      nanosleep (&pause, NULL);
    }
}

static void
on_backend_event (void *context, struct eg_backend_event *event)
{
  const struct eg_message message = {.kind = EG_MESSAGE_BACKEND,
                                     .backend = event};

  push_message_waiting (context, &message);
}

static void
on_platform_reply (void *context, struct eg_platform_reply *reply)
{
  const struct eg_message message = {.kind = EG_MESSAGE_PLATFORM,
                                     .platform = reply};

  push_message_waiting (context, &message);
}

/* Gossip is redundant, so messages are dropped while the ring is full. */
static void
on_peer_message (void *context, struct eg_peer_message *peer)
{
  const struct eg_message message = {.kind = EG_MESSAGE_PEER, .peer = peer};

  if (!push_message (context, &message))
    free (peer);
}

bool
eg_decision_submit (struct eg_decision *self, struct eg_call *call)
{
  const struct eg_message message = {.kind = EG_MESSAGE_CALL,
                                     .call = eg_call_ref (call)};

  if (push_message (self, &message))
    return true;
  eg_call_unref (call);
  return false;
}

void
eg_decision_abandon (struct eg_decision *self, struct eg_call *call)
{
  const struct eg_message message = {.kind = EG_MESSAGE_ABANDON,
                                     .call = eg_call_ref (call)};

  push_message_waiting (self, &message);
}

void
eg_decision_stop (struct eg_decision *self)
{
  const struct eg_message message = {.kind = EG_MESSAGE_STOP};

  ck_pr_store_uint (&self->stop_requested, 1);
  push_message_waiting (self, &message);
}

bool
eg_decision_query (struct eg_decision *self,
                   void (*callback) (void *context,
                                     const struct eg_decision_view *view),
                   void *context)
{
  struct eg_query query = {.callback = callback, .context = context};
  const struct eg_message message = {.kind = EG_MESSAGE_QUERY, .query = &query};
  bool submitted;

  sem_init (&query.answered, 0, 0);
  submitted = push_message (self, &message);
  while (submitted && sem_wait (&query.answered) != 0)
    ;
  sem_destroy (&query.answered);
  return submitted;
}

static void
on_edit_done (void *context, const struct eg_ruleset_result *result)
{
  struct eg_edit_request *request = context;

  request->result = *result;
  sem_post (&request->answered);
}

enum eg_status
eg_decision_edit_rules (struct eg_decision *self,
                        const struct eg_ruleset_edit *edit,
                        struct eg_ruleset_result *result)
{
  struct eg_edit_request request = {.edit = *edit};
  const struct eg_message message = {.kind = EG_MESSAGE_EDIT, .edit = &request};
  bool submitted;

  request.edit.done = on_edit_done;
  request.edit.context = &request;
  sem_init (&request.answered, 0, 0);
  submitted = push_message (self, &message);
  while (submitted && sem_wait (&request.answered) != 0)
    ;
  sem_destroy (&request.answered);
  *result = request.result;
  return submitted ? EG_OK : EG_FULL;
}

bool
eg_decision_is_busy (struct eg_decision *self)
{
  return ck_pr_load_uint (&self->busy) != 0 || eg_ring_count (&self->ring) != 0;
}

bool
eg_decision_is_ready (struct eg_decision *self)
{
  return ck_pr_load_uint (&self->ready) != 0
         && ck_pr_load_uint (&self->stop_requested) == 0;
}

/* Message handlers. */

static void
handle_call (struct eg_decision *self, struct eg_message *message)
{
  eg_gossip_count_request (self->gossip,
                           eg_str_from (message->call->organisation));
  eg_dispatcher_submit (self->dispatcher, message->call);
}

static void
handle_abandon (struct eg_decision *self, struct eg_message *message)
{
  eg_dispatcher_abandon (self->dispatcher, message->call);
  eg_call_unref (message->call);
}

static bool
is_poll (const struct eg_backend_event *event)
{
  return event->kind == EG_BACKEND_LOAD
         || event->kind == EG_BACKEND_POLL_FAILED;
}

static void
handle_poll (struct eg_decision *self, const struct eg_backend_event *event)
{
  uint32_t silent =
      eg_fleet_poll_done (&self->fleet, event, eg_clock_now_us ());

  eg_dispatcher_servers_changed (self->dispatcher, silent);
  if (event->kind == EG_BACKEND_LOAD)
    ck_pr_store_uint (&self->ready, 1);
}

static void
handle_backend (struct eg_decision *self, struct eg_message *message)
{
  if (is_poll (message->backend))
    handle_poll (self, message->backend);
  else if (message->backend->kind == EG_BACKEND_ORDER_DONE)
    eg_capacity_controller_order_done (self->capacity_controller,
                                       message->backend, eg_clock_now_us ());
  else
    eg_dispatcher_attempt_event (self->dispatcher, message->backend);
  eg_backend_event_free (message->backend);
}

static void
handle_vm_list (struct eg_decision *self, struct eg_platform_reply *reply)
{
  self->vms_read_pending = false;
  if (reply->status == EG_OK)
    {
      eg_fleet_apply_vm_list (&self->fleet, &reply->vms);
      eg_claim_sweeper_set_entry_vms (&self->sweeper.claims,
                                      eg_fleet_count_entry_vms (&self->fleet));
      eg_dispatcher_vm_list_changed (self->dispatcher);
      eg_gossip_vm_list_changed (self->gossip);
    }
  if (reply->status != self->vms_status)
    eg_log (reply->status == EG_OK ? EG_LOG_NOTICE : EG_LOG_WARNING, "platform",
            "event=vm-list status=%s", eg_status_name (reply->status));
  self->vms_status = reply->status;
}

static void
handle_platform (struct eg_decision *self, struct eg_message *message)
{
  int64_t now_us = eg_clock_now_us ();

  if (message->platform->call == EG_PLATFORM_VMS)
    handle_vm_list (self, message->platform);
  else if (!eg_ruleset_reply (self->ruleset, message->platform, now_us)
           && !eg_sweeper_reply (&self->sweeper, message->platform, now_us)
           && !eg_capacity_controller_store_reply (self->capacity_controller,
                                                   message->platform, now_us))
    eg_dispatcher_store_reply (self->dispatcher, message->platform);
  eg_platform_reply_free (message->platform);
}

static void
handle_peer (struct eg_decision *self, struct eg_message *message)
{
  eg_gossip_receive (self->gossip, message->peer);
}

static void
handle_query (struct eg_decision *self, struct eg_message *message)
{
  const struct eg_decision_view view = {
      .lifecycle = eg_dispatcher_lifecycle (self->dispatcher),
      .servers = self->fleet.servers,
      .metrics = eg_dispatcher_metrics (self->dispatcher),
      .ruleset = self->ruleset,
      .vms = &self->fleet.vms,
      .gossip = self->gossip,
      .now_us = eg_clock_now_us (),
  };

  message->query->callback (message->query->context, &view);
  sem_post (&message->query->answered);
}

static void
handle_edit (struct eg_decision *self, struct eg_message *message)
{
  eg_ruleset_begin_edit (self->ruleset, &message->edit->edit,
                         eg_clock_now_us ());
}

static void
handle_stop (struct eg_decision *self, struct eg_message *message)
{
  (void) message;
  eg_dispatcher_stop (self->dispatcher);
  eg_capacity_controller_stop (self->capacity_controller);
  eg_gossip_leave (self->gossip);
}

static void (*const message_handlers[EG_MESSAGE_COUNT]) (
    struct eg_decision *self,
    struct eg_message *message) = {
    [EG_MESSAGE_CALL] = handle_call,
    [EG_MESSAGE_ABANDON] = handle_abandon,
    [EG_MESSAGE_BACKEND] = handle_backend,
    [EG_MESSAGE_PLATFORM] = handle_platform,
    [EG_MESSAGE_QUERY] = handle_query,
    [EG_MESSAGE_EDIT] = handle_edit,
    [EG_MESSAGE_PEER] = handle_peer,
    [EG_MESSAGE_STOP] = handle_stop,
};

/* Periodic work. */

static void
read_vm_list (struct eg_decision *self, int64_t now_us)
{
  struct eg_platform_command *command;

  if (self->vms_read_pending || now_us < self->next_vms_us)
    return;
  self->next_vms_us = now_us + self->settings->vms_interval_ms * EG_US_PER_MS;
  command = eg_platform_command_new (EG_PLATFORM_VMS, 0);
  command->timeout_us = VMS_TIMEOUT_US;
  self->vms_read_pending = eg_platform_worker_push (self->platform, command);
  if (!self->vms_read_pending)
    eg_platform_command_free (command);
}

static void
tick (struct eg_decision *self, int64_t now_us)
{
  bool busy;

  eg_dispatcher_tick (self->dispatcher, now_us);
  eg_ruleset_set_watching (self->ruleset,
                           eg_gossip_watches_rules (self->gossip));
  eg_ruleset_tick (self->ruleset, now_us);
  eg_rules_sync_tick (self->rules_sync, now_us);
  eg_sweeper_tick (&self->sweeper, now_us);
  eg_capacity_controller_tick (self->capacity_controller, now_us);
  eg_gossip_tick (self->gossip, now_us);
  eg_fleet_send_polls (&self->fleet, self->backend, now_us);
  read_vm_list (self, now_us);
  /* The node becomes ready even if no poll has succeeded by now, for example
     for lack of a list of VMs: it can still refuse requests and give the
     reason. */
  if (now_us - self->started_us > READY_WITHOUT_POLL_US)
    ck_pr_store_uint (&self->ready, 1);
  busy = eg_dispatcher_is_busy (self->dispatcher);
  ck_pr_store_uint (&self->busy, busy);
  self->next_tick_us = now_us + (busy ? TICK_US : IDLE_TICK_US);
}

static void *
run (void *context)
{
  struct eg_decision *self = context;

  while (!ck_pr_load_uint (&self->stopping))
    {
      struct eg_message *message;
      int64_t now_us;

      for (int i = 0;
           i < MESSAGES_PER_PASS && (message = eg_ring_pop (&self->ring)); i++)
        {
          message_handlers[message->kind](self, message);
          free (message);
        }
      now_us = eg_clock_now_us ();
      if (now_us >= self->next_tick_us)
        tick (self, now_us);
      eg_ring_wait (&self->ring, self->next_tick_us - eg_clock_now_us ());
    }
  return NULL;
}

/* Construction. */

static bool
start_workers (struct eg_decision *self)
{
  const struct eg_router_settings *settings = self->settings;
  const struct eg_backend_config backend = {
      .connect_timeout_us = settings->connect_timeout_ms * EG_US_PER_MS,
      .poll_timeout_us = settings->poll_timeout_ms * EG_US_PER_MS,
      .answer_max = (size_t) settings->body_max,
  };
  const struct eg_backend_sink backend_sink = {on_backend_event, self};
  const struct eg_platform_sink platform_sink = {on_platform_reply, self};

  self->backend = eg_backend_worker_new (&backend, &backend_sink);
  self->platform =
      eg_platform_worker_new (settings->platform_address, &platform_sink);
  return self->backend && self->platform;
}

static void
on_rules_changed (void *context, const struct eg_rules *rules, uint64_t version)
{
  struct eg_decision *self = context;

  eg_dispatcher_apply_rules (self->dispatcher, rules);
  eg_capacity_controller_apply_rules (self->capacity_controller, rules);
  eg_gossip_apply_rules (self->gossip, rules, version);
}

static void
on_servers_changed (void *context)
{
  struct eg_decision *self = context;

  eg_dispatcher_servers_changed (self->dispatcher, EG_SERVER_NONE);
}

static void
on_rules_announced (void *context, uint64_t from, uint64_t version)
{
  struct eg_decision *self = context;

  eg_rules_sync_announced (self->rules_sync, from, version, eg_clock_now_us ());
}

static void
on_rules_message (void *context, const struct eg_peer_message *message)
{
  struct eg_decision *self = context;

  eg_rules_sync_receive (self->rules_sync, message, eg_clock_now_us ());
}

static void
send_rules (void *context, uint64_t to, struct eg_peer_message *message)
{
  struct eg_decision *self = context;

  eg_gossip_send (self->gossip, to, message);
}

static void
on_quarantine (void *context, uint64_t fingerprint, int64_t until_us)
{
  struct eg_decision *self = context;

  eg_gossip_announce_quarantine (self->gossip, fingerprint, until_us);
}

static struct eg_capacity_controller *
start_capacity_controller (struct eg_decision *self, uint64_t incarnation)
{
  const struct eg_capacity_controller_deps deps = {
      .settings = self->settings,
      .fleet = &self->fleet,
      .backend = self->backend,
      .platform = self->platform,
      .incarnation = incarnation,
  };

  return eg_capacity_controller_new (&deps);
}

static bool
start_gossip (struct eg_decision *self, struct eg_error *error)
{
  const struct eg_gossip_deps deps = {
      .settings = self->settings,
      .fleet = &self->fleet,
      .lifecycle = eg_dispatcher_mutable_lifecycle (self->dispatcher),
      .push = on_peer_message,
      .servers_changed = on_servers_changed,
      .rules_announced = on_rules_announced,
      .rules_message = on_rules_message,
      .context = self,
  };

  if (!eg_gossip_is_enabled (self->settings))
    return true;
  self->gossip = eg_gossip_new (&deps, error);
  return self->gossip != NULL;
}

static bool
start (struct eg_decision *self, struct eg_error *error)
{
  struct eg_dispatcher_deps deps = {
      .settings = self->settings,
      .fleet = &self->fleet,
      .incarnation = eg_random_system_seed (),
      .on_quarantine = on_quarantine,
      .context = self,
  };

  const struct eg_rules_sync_sink rules_sync_sink = {send_rules, self};
  const struct eg_ruleset_callbacks ruleset_callbacks = {on_rules_changed,
                                                         self};

  if (!eg_ring_init (&self->ring, RING_SLOTS)
      || !eg_fleet_init (&self->fleet,
                         self->settings->poll_interval_ms * EG_US_PER_MS)
      || !start_workers (self))
    return false;
  deps.backend = self->backend;
  deps.platform = self->platform;
  eg_sweeper_init (&self->sweeper, self->platform,
                   eg_hash_mix (deps.incarnation));
  self->capacity_controller =
      start_capacity_controller (self, deps.incarnation);
  self->dispatcher = eg_dispatcher_new (&deps);
  self->ruleset =
      eg_ruleset_new (self->platform, ~deps.incarnation, &ruleset_callbacks);
  self->rules_sync = eg_rules_sync_new (self->ruleset, &rules_sync_sink);
  return self->dispatcher && start_gossip (self, error)
         && pthread_create (&self->thread, NULL, run, self) == 0;
}

struct eg_decision *
eg_decision_new (const struct eg_router_settings *settings,
                 struct eg_error *error)
{
  struct eg_decision *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->settings = settings;
  self->ring.event_fd = -1;
  self->started_us = eg_clock_now_us ();
  eg_error_set (error, EG_SYSTEM, "cannot start the worker threads");
  self->started = start (self, error);
  if (self->started)
    return self;
  eg_decision_free (self);
  return NULL;
}

void
eg_decision_free (struct eg_decision *self)
{
  struct eg_message *message;

  if (!self)
    return;
  ck_pr_store_uint (&self->stopping, 1);
  if (self->started)
    {
      eg_ring_wake (&self->ring);
      pthread_join (self->thread, NULL);
    }
  eg_backend_worker_free (self->backend);
  eg_platform_worker_free (self->platform);
  eg_gossip_free (self->gossip);
  while (self->ring.slots && (message = eg_ring_pop (&self->ring)))
    {
      release_message (message);
      free (message);
    }
  eg_dispatcher_free (self->dispatcher);
  eg_capacity_controller_free (self->capacity_controller);
  eg_rules_sync_free (self->rules_sync);
  eg_ruleset_free (self->ruleset);
  eg_fleet_finish (&self->fleet);
  eg_ring_finish (&self->ring);
  free (self);
}
