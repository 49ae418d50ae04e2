#include "router/gossip.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/map.h"
#include "base/random.h"
#include "bus/worker.h"
#include "policy/ownership.h"
#include "policy/peers.h"
#include "policy/share.h"
#include "router/gossip_loads.h"
#include "router/metrics.h"

#define PORT_MAX 65535
#define SERVER_RUMOUR_LIFETIME_MS (INT64_C (3600) * 1000)
/* A rumour about a server is not revoked for this long, as a load report may
   predate the refusal that another node announced. */
#define SERVER_RUMOUR_HOLD_MS 3000
#define SHARE_REQUESTS_PER_TICK 2
/* Replaces a rate share of 0 by the limit divided by this. */
#define ZERO_SHARE_DIVISOR 65535
/* Slots for the nodes of a failure domain that watch the store; one node may
   own several slots. */
#define RULES_WATCHERS_PER_DOMAIN 2

struct eg_gossip
{
  struct eg_gossip_deps deps;
  struct eg_bus_worker *bus;
  struct eg_peers *peers;
  struct eg_shares *shares;
  uint64_t sender; /* Sender of the message being handled. */
  struct eg_gossip_loads loads;
  struct eg_map limits; /* Limit rules in force, by hash of the organisation. */
  int64_t next_tick_us;
  size_t next_link;
};

static int64_t
wall_ms (void)
{
  return eg_clock_wall_us () / EG_US_PER_MS;
}

/* Settings. */

/* Writes the bus address of the entry VM whose listener for clients is
   at @p callers; false if the port is out of range. */
static bool
derive_address (const char *callers, int64_t offset, char *address)
{
  struct eg_str rest = eg_str_from (callers);
  struct eg_str ip = eg_str_cut (&rest, ':');
  int64_t port;

  if (!eg_str_to_int64 (rest, &port) || port + offset < 1
      || port + offset > PORT_MAX)
    return false;
  snprintf (address, EG_ADDRESS_BYTES, "%.*s:%u", EG_STR_ARGS (ip),
            (unsigned) (port + offset) & PORT_MAX);
  return true;
}

bool
eg_gossip_is_enabled (const struct eg_router_settings *settings)
{
  return *settings->bus_listen != '\0';
}

enum eg_status
eg_gossip_check (const struct eg_router_settings *settings,
                 struct eg_error *error)
{
  char derived[EG_ADDRESS_BYTES];

  if (!eg_settings_is_address (settings->bus_listen))
    return eg_error_set (error, EG_INVALID,
                         "bus.listen must be an IP address and a port");
  if (!derive_address (settings->listen_callers, settings->bus_port_offset,
                       derived)
      || strcmp (strrchr (derived, ':'), strrchr (settings->bus_listen, ':'))
             != 0)
    return eg_error_set (error, EG_INVALID,
                         "the port of bus.listen must be that of "
                         "listen.callers plus bus.port_offset");
  return eg_bus_check_keys (settings->bus_public_key, settings->bus_secret_key,
                            error);
}

/* Rumours from peers. */

static void
apply_quarantine_rumour (struct eg_gossip *self, const struct eg_rumour *rumour)
{
  struct eg_quarantine *quarantine =
      eg_lifecycle_quarantine (self->deps.lifecycle);
  int64_t left_ms = rumour->expires_ms - wall_ms ();

  if (rumour->state == EG_RUMOUR_ON)
    eg_quarantine_add (quarantine, rumour->subject,
                       eg_clock_now_us () + left_ms * EG_US_PER_MS);
  else
    eg_quarantine_remove (quarantine, rumour->subject);
  eg_log (EG_LOG_WARNING, "gossip",
          "event=quarantine-heard fingerprint=%016" PRIx64 " state=%s",
          rumour->subject, rumour->state == EG_RUMOUR_ON ? "begun" : "ended");
}

static void
apply_rules_rumour (struct eg_gossip *self, const struct eg_rumour *rumour)
{
  self->deps.rules_announced (self->deps.context, self->sender, rumour->number);
}

static void
apply_drain_rumour (struct eg_gossip *self, const struct eg_rumour *rumour)
{
  struct eg_servers *servers = self->deps.fleet->servers;
  uint32_t server = eg_servers_find (servers, eg_str_from (rumour->address));
  bool on = rumour->state == EG_RUMOUR_ON;

  eg_servers_set_blocked (servers, server, EG_SERVER_LEAVING_ANSWER, on);
  if (!on)
    eg_servers_set_blocked (servers, server, EG_SERVER_LEAVING_REPORT, false);
  self->deps.servers_changed (self->deps.context);
}

/* A peer's report alone fails no request: this node polls the server itself
   first. */
static void
apply_unreachable_rumour (struct eg_gossip *self,
                          const struct eg_rumour *rumour)
{
  uint32_t server = eg_servers_find (self->deps.fleet->servers,
                                     eg_str_from (rumour->address));

  if (server != EG_SERVER_NONE && rumour->state == EG_RUMOUR_ON)
    eg_gossip_loads_mark_stale (&self->loads, server);
}

static void
apply_member_rumour (struct eg_gossip *self, const struct eg_rumour *rumour)
{
  static const char *const state_names[] = {
      [EG_MEMBER_LIVE] = "live",
      [EG_MEMBER_DEAD] = "dead",
      [EG_MEMBER_LEFT] = "left",
  };

  (void) self;
  eg_log (rumour->state == EG_MEMBER_DEAD ? EG_LOG_WARNING : EG_LOG_NOTICE,
          "gossip", "event=member address=%s failure_domain=%s state=%s",
          rumour->address, rumour->failure_domain, state_names[rumour->state]);
}

static void (*const rumour_handlers[EG_RUMOUR_KINDS]) (
    struct eg_gossip *self,
    const struct eg_rumour *rumour) = {
    [EG_RUMOUR_MEMBER] = apply_member_rumour,
    [EG_RUMOUR_QUARANTINE] = apply_quarantine_rumour,
    [EG_RUMOUR_RULES] = apply_rules_rumour,
    [EG_RUMOUR_DRAIN] = apply_drain_rumour,
    [EG_RUMOUR_UNREACHABLE] = apply_unreachable_rumour,
};

static void
on_rumour (void *context, const struct eg_rumour *rumour)
{
  rumour_handlers[rumour->kind](context, rumour);
}

static void
on_load (void *context, const struct eg_load_entry *entry)
{
  struct eg_gossip *self = context;

  eg_gossip_loads_apply (&self->loads, entry, eg_clock_now_us ());
}

static void
on_send (void *context,
         const struct eg_member *to,
         const struct eg_peer_message *message)
{
  struct eg_gossip *self = context;

  eg_bus_worker_send (self->bus, to->address, message);
}

static void
on_peer_message (void *context,
                 const struct eg_member *from,
                 const struct eg_peer_message *message)
{
  struct eg_gossip *self = context;
  struct eg_peer_message grant;
  int64_t now_us = eg_clock_now_us ();

  if (message->kind == EG_PEER_RULES_REQUEST
      || message->kind == EG_PEER_RULES_PART)
    self->deps.rules_message (self->deps.context, message);
  else if (message->kind == EG_PEER_SHARE_GRANT)
    eg_shares_borrow (self->shares, message, now_us);
  else if (eg_shares_lend (self->shares, message, now_us, &grant))
    eg_peers_send (self->peers, from->id, &grant);
}

void
eg_gossip_send (struct eg_gossip *self,
                uint64_t to,
                struct eg_peer_message *message)
{
  if (self)
    eg_peers_send (self->peers, to, message);
}

bool
eg_gossip_watches_rules (const struct eg_gossip *self)
{
  struct eg_str domain;

  if (!self)
    return true;
  domain = eg_str_from (self->deps.settings->failure_domain);
  for (uint64_t slot = 0; slot < RULES_WATCHERS_PER_DOMAIN; slot++)
    if (eg_ownership_find (eg_peers_membership (self->peers), domain,
                           eg_hash_mix (slot))
        == eg_peers_own_id (self->peers))
      return true;
  return false;
}

/* Rumours of this node. */

static void
broadcast_server (struct eg_gossip *self,
                  enum eg_rumour_kind kind,
                  const struct eg_server *server,
                  enum eg_rumour_state state)
{
  int64_t now_ms = wall_ms ();
  struct eg_rumour rumour = {
      .kind = kind,
      .state = state,
      .subject = eg_hash_str (eg_str_from (server->address)),
      .number = (uint64_t) now_ms,
      .expires_ms = now_ms + SERVER_RUMOUR_LIFETIME_MS,
  };

  memcpy (rumour.address, server->address, sizeof rumour.address);
  eg_peers_broadcast (self->peers, &rumour, now_ms);
}

/* Broadcasts the state of a server if it differs from the last rumour. */
static void
broadcast_server_change (struct eg_gossip *self,
                         enum eg_rumour_kind kind,
                         const struct eg_server *server,
                         bool on)
{
  const struct eg_rumour *last_rumour = eg_peers_rumour (
      self->peers, kind, eg_hash_str (eg_str_from (server->address)));
  bool was_on = last_rumour && last_rumour->state == EG_RUMOUR_ON;

  if (on == was_on)
    return;
  if (!on && wall_ms () - (int64_t) last_rumour->number < SERVER_RUMOUR_HOLD_MS)
    return;
  broadcast_server (self, kind, server, on ? EG_RUMOUR_ON : EG_RUMOUR_OFF);
}

static void
on_polled (void *context,
           uint32_t index,
           const struct eg_backend_event *event,
           bool silent)
{
  struct eg_gossip *self = context;
  const struct eg_server *server =
      eg_servers_get (self->deps.fleet->servers, index);
  int64_t now_us = eg_clock_now_us ();
  bool failed = event->kind != EG_BACKEND_LOAD;
  struct eg_load_entry entry;

  if (!failed)
    {
      broadcast_server_change (self, EG_RUMOUR_DRAIN, server,
                               event->report.draining);
      broadcast_server_change (self, EG_RUMOUR_UNREACHABLE, server, false);
    }
  else if (silent)
    broadcast_server_change (self, EG_RUMOUR_UNREACHABLE, server, true);
  if (eg_gossip_loads_owns (&self->loads, index)
      && eg_gossip_loads_encode (&self->loads, index, failed, now_us, &entry))
    eg_peers_share_load (self->peers, &entry, now_us);
}

static void
on_refused (void *context, uint32_t index)
{
  struct eg_gossip *self = context;

  broadcast_server_change (self, EG_RUMOUR_DRAIN,
                           eg_servers_get (self->deps.fleet->servers, index),
                           true);
}

static int64_t
poll_interval (void *context, uint32_t server, int64_t now_us)
{
  struct eg_gossip *self = context;

  return eg_gossip_loads_poll_interval (&self->loads, server, now_us);
}

void
eg_gossip_announce_quarantine (struct eg_gossip *self,
                               uint64_t fingerprint,
                               int64_t until_us)
{
  int64_t now_ms = wall_ms ();
  const struct eg_rumour rumour = {
      .kind = EG_RUMOUR_QUARANTINE,
      .state = EG_RUMOUR_ON,
      .subject = fingerprint,
      .number = (uint64_t) now_ms,
      .expires_ms = now_ms + (until_us - eg_clock_now_us ()) / EG_US_PER_MS,
  };

  if (self)
    eg_peers_broadcast (self->peers, &rumour, now_ms);
}

void
eg_gossip_leave (struct eg_gossip *self)
{
  if (self)
    eg_peers_leave (self->peers, wall_ms ());
}

/* Messages and the list of VMs. */

void
eg_gossip_receive (struct eg_gossip *self, struct eg_peer_message *message)
{
  if (self)
    {
      self->sender = message->from;
      eg_peers_receive (self->peers, message, eg_clock_now_us (), wall_ms ());
    }
  free (message);
}

static void
update_node_counts (struct eg_gossip *self)
{
  struct eg_membership_counts counts =
      eg_membership_counts (eg_peers_membership (self->peers));

  eg_shares_set_nodes (self->shares, counts.listed,
                       counts.live + counts.suspect);
}

void
eg_gossip_vm_list_changed (struct eg_gossip *self)
{
  const struct eg_vm_list *vms;
  struct eg_listed_member *members;
  char (*addresses)[EG_ADDRESS_BYTES];
  size_t count = 0;

  if (!self)
    return;
  vms = &self->deps.fleet->vms;
  members = calloc (vms->count + 1, sizeof *members);
  addresses = calloc (vms->count + 1, sizeof *addresses);
  EG_INVARIANT (members != NULL && addresses != NULL);
  for (size_t i = 0; i < vms->count; i++)
    {
      const struct eg_vm *vm = &vms->vms[i];

      if (!vm->entry
          || !derive_address (vm->address, self->deps.settings->bus_port_offset,
                              addresses[count]))
        continue;
      members[count].address = eg_str_from (addresses[count]);
      members[count].failure_domain = eg_str_from (vm->failure_domain);
      count++;
    }
  eg_peers_apply_list (self->peers, members, count, eg_clock_now_us ());
  eg_gossip_loads_rebuild (&self->loads);
  update_node_counts (self);
  free (members);
  free (addresses);
}

/* Distributed limits. */

/* Returns whether a rule limits one organisation across all classes. */
static bool
is_organisation_limit (const struct eg_rule *rule)
{
  return rule->verb == EG_VERB_LIMIT && !rule->values[EG_LIMIT_CLASS].given
         && !eg_str_equal (rule->values[EG_LIMIT_ORGANISATION].text,
                           EG_STR ("*"));
}

static void
set_share (void *context,
           struct eg_str organisation,
           double limit_per_s,
           double rate_per_s)
{
  struct eg_gossip *self = context;
  const struct eg_rule *rule =
      eg_map_get (&self->limits, eg_hash_str (organisation));
  struct eg_limit_rule share = {.rate_per_s = rate_per_s};
  double fraction = rate_per_s / limit_per_s;
  double burst;

  if (!rule)
    return;
  burst = rule->values[EG_LIMIT_BURST].given
              ? (double) rule->values[EG_LIMIT_BURST].integer
              : limit_per_s;
  share.burst = burst * fraction > 1 ? burst * fraction : 1;
  share.in_flight_max = (uint32_t) rule->values[EG_LIMIT_IN_FLIGHT].integer;
  /* Neither value may become 0, which means no limit. */
  if (share.in_flight_max > 0)
    share.in_flight_max = (uint32_t) (share.in_flight_max * fraction) + 1;
  if (share.rate_per_s <= 0)
    share.rate_per_s = limit_per_s / ZERO_SHARE_DIVISOR;
  eg_limits_set (eg_lifecycle_limits (self->deps.lifecycle), organisation,
                 &share);
}

void
eg_gossip_apply_rules (struct eg_gossip *self,
                       const struct eg_rules *rules,
                       uint64_t version)
{
  const struct eg_rumour rumour = {
      .kind = EG_RUMOUR_RULES, .state = EG_RUMOUR_ON, .number = version};

  if (!self)
    return;
  eg_map_finish (&self->limits);
  for (size_t i = 0; rules && i < rules->count; i++)
    {
      const struct eg_rule *rule = &rules->rules[i];
      struct eg_str organisation = rule->values[EG_LIMIT_ORGANISATION].text;

      if (!is_organisation_limit (rule))
        continue;
      eg_map_put (&self->limits, eg_hash_str (organisation), (void *) rule);
      eg_shares_set_limit (self->shares, organisation,
                           rule->values[EG_LIMIT_RATE].number);
    }
  eg_shares_remove_unset (self->shares);
  eg_shares_visit (self->shares, eg_clock_now_us (), set_share, self);
  eg_peers_broadcast (self->peers, &rumour, wall_ms ());
}

void
eg_gossip_count_request (struct eg_gossip *self, struct eg_str organisation)
{
  if (self)
    eg_shares_count_request (self->shares, organisation);
}

/* Requests shares from the next overlay links, in turn. */
static void
request_shares (struct eg_gossip *self, int64_t now_us)
{
  const struct eg_overlay *overlay = eg_peers_overlay (self->peers);
  size_t links = overlay->finger_count + overlay->domain_link_count;

  for (size_t i = 0; i < SHARE_REQUESTS_PER_TICK && i < links; i++)
    {
      size_t link_index = self->next_link++ % links;
      uint64_t link =
          link_index < overlay->finger_count
              ? overlay->fingers[link_index]
              : overlay->domain_links[link_index - overlay->finger_count];
      struct eg_peer_message request;

      if (eg_shares_request (self->shares, link, now_us, &request))
        eg_peers_send (self->peers, link, &request);
    }
}

void
eg_gossip_tick (struct eg_gossip *self, int64_t now_us)
{
  if (!self || now_us < self->next_tick_us)
    return;
  self->next_tick_us = now_us + EG_PEERS_TICK_US;
  eg_peers_tick (self->peers, now_us, wall_ms ());
  if (!eg_shares_tick (self->shares, now_us))
    return;
  update_node_counts (self);
  request_shares (self, now_us);
  eg_shares_visit (self->shares, now_us, set_share, self);
}

/* Metrics. */

void
eg_gossip_write_metrics (const struct eg_gossip *self, struct eg_buffer *text)
{
  struct eg_membership_counts members;
  struct eg_bus_counts bus;

  if (!self)
    return;
  members = eg_membership_counts (eg_peers_membership (self->peers));
  bus = eg_bus_worker_counts (self->bus);
  const struct eg_metrics_gauge gauges[] = {
      {"eelgrass_bus_sent_total", "counter", "Messages sent to entry VMs",
       (double) bus.sent},
      {"eelgrass_bus_sent_bytes_total", "counter",
       "Bytes of messages sent to entry VMs", (double) bus.sent_bytes},
      {"eelgrass_bus_received_total", "counter",
       "Messages received from entry VMs", (double) bus.received},
      {"eelgrass_bus_received_bytes_total", "counter",
       "Bytes of messages received from entry VMs",
       (double) bus.received_bytes},
      {"eelgrass_bus_garbage_total", "counter",
       "Messages on the bus that were not understood", (double) bus.malformed},
      {"eelgrass_bus_strangers_total", "counter",
       "Connections to the bus that were not admitted", (double) bus.rejected},
      {"eelgrass_bus_dropped_total", "counter",
       "Messages to entry VMs that could not be sent", (double) bus.dropped},
      {"eelgrass_bus_connections", "gauge",
       "Connections that this node has made", (double) bus.connections},
      {"eelgrass_members_live", "gauge", "Entry VMs that live",
       (double) members.live},
      {"eelgrass_members_suspect", "gauge",
       "Entry VMs that are silent and being asked", (double) members.suspect},
      {"eelgrass_members_dead", "gauge", "Entry VMs that do not answer",
       (double) members.dead},
      {"eelgrass_members_named", "gauge", "Entry VMs in the platform's list",
       (double) members.listed},
  };

  for (size_t i = 0; i < sizeof gauges / sizeof gauges[0]; i++)
    eg_metrics_write_gauge (text, &gauges[i]);
}

/* Construction. */

static bool
start_peers (struct eg_gossip *self)
{
  const struct eg_peers_config config = {
      .address = eg_str_from (self->deps.settings->bus_listen),
      .failure_domain = eg_str_from (self->deps.settings->failure_domain),
      .incarnation = (uint64_t) wall_ms (),
      .seed = eg_random_system_seed (),
  };
  const struct eg_peers_sink sink = {
      .send = on_send,
      .rumour = on_rumour,
      .load = on_load,
      .share = on_peer_message,
      .context = self,
  };

  self->shares = eg_shares_new ();
  self->peers = eg_peers_new (&config, &sink, eg_clock_now_us ());
  return self->shares && self->peers;
}

static bool
start_bus (struct eg_gossip *self, struct eg_error *error)
{
  const struct eg_bus_config config = {
      .address = self->deps.settings->bus_listen,
      .public_key = self->deps.settings->bus_public_key,
      .secret_key = self->deps.settings->bus_secret_key,
  };
  const struct eg_bus_sink sink = {self->deps.push, self->deps.context};

  self->bus = eg_bus_worker_new (&config, &sink, error);
  return self->bus != NULL;
}

struct eg_gossip *
eg_gossip_new (const struct eg_gossip_deps *deps, struct eg_error *error)
{
  struct eg_gossip *self;

  if (eg_gossip_check (deps->settings, error) != EG_OK)
    return NULL;
  self = calloc (1, sizeof *self);
  EG_INVARIANT (self != NULL);
  self->deps = *deps;
  if (!start_peers (self) || !start_bus (self, error))
    {
      eg_gossip_free (self);
      return NULL;
    }
  self->loads = (struct eg_gossip_loads){
      .fleet = deps->fleet,
      .peers = self->peers,
      .failure_domain = deps->settings->failure_domain,
      .interval_min_us = deps->settings->poll_interval_ms * EG_US_PER_MS,
  };
  deps->fleet->poller.plan = (struct eg_poll_plan){poll_interval, self};
  deps->fleet->observer =
      (struct eg_fleet_observer){on_polled, on_refused, self};
  return self;
}

void
eg_gossip_free (struct eg_gossip *self)
{
  if (!self)
    return;
  eg_bus_worker_free (self->bus);
  eg_peers_free (self->peers);
  eg_shares_free (self->shares);
  eg_gossip_loads_finish (&self->loads);
  eg_map_finish (&self->limits);
  free (self);
}
