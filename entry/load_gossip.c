#include "entry/load_gossip.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"
#include "http/json.h"

/* Interval between messages. */
#define MESSAGE_INTERVAL_US (200 * EG_US_PER_MS)
/* A sender expires if nothing was received from it for this long. */
#define PEER_EXPIRY_US (1000 * EG_US_PER_MS)
/* A failure domain whose readers are silent for this long (three messages)
 * is considered partitioned. */
#define DOMAIN_TIMEOUT_US (700 * EG_US_PER_MS)
/* Maximum message size; larger datagrams are not delivered on every network. */
#define MESSAGE_BYTES_MAX 8192
/* Kinds of message: the load of one VM, of a reader's group, of all VMs. */
#define KIND_OWN "own"
#define KIND_GROUP "group"
#define KIND_SUM "sum"
#define KIND_ALERT "alert" /* Contains suspects only. */
/* Maximum age of a report whose slowdown is passed on. */
#define REPORT_AGE_MAX_US (4000 * EG_US_PER_MS)
/* Minimum slowdown to pass on; smaller values are within the normal
 * variation of forward passes. */
#define SLOWNESS_MIN 1.2
/* Minimum interval between alerts about new suspects. */
#define ALERT_INTERVAL_US (20 * EG_US_PER_MS)
/* Maximum number of suspects in a message; a larger number points to a fault
 * of this VM's own link. */
#define SUSPECTS_PER_MESSAGE_MAX 8
/* Depth of messages down to which a value that cannot be decoded is left out:
 * its members, and the elements of these. */
#define MESSAGE_LEVELS 2
/* Minimum interval between log lines about such values; the counter has all. */
#define UNDECODABLE_LOG_INTERVAL_US (1 * EG_US_PER_S)
/* Largest load, in tokens times layers, that a VM can have caused. A larger
 * one cannot be added up in integers. */
#define LOAD_MAX 1e15
/* Maximum number of leaving servers in a message: a release takes one at a
 * time, and a record in the store replaces the news soon. */
#define LEAVING_PER_MESSAGE_MAX 32

static bool
has_room (const json_t *list,
          const char *capacity,
          size_t limit,
          struct eg_log_rate *rate)
{
  if (json_array_size (list) < limit)
    return true;
  eg_log_capacity (rate, "loads", capacity, limit);
  return false;
}

/* A VM that may not reach servers itself has no suspects to tell. */
static json_t *
list_suspects (const struct eg_fleet *fleet)
{
  static struct eg_log_rate rate;
  json_t *list = json_array ();
  int64_t now_us = eg_clock_now_us ();

  if (fleet->reach.state != EG_REACH_OK)
    return list;

  for (const struct eg_list *at = fleet->all.next; at != &fleet->all;
       at = at->next)
    {
      const struct eg_backend *backend =
          EG_CONTAINER_OF (at, struct eg_backend, all);

      if (backend->listed && backend->record.has_engine
          && eg_backend_is_suspect (backend, now_us)
          && has_room (list, "suspects", SUSPECTS_PER_MESSAGE_MAX, &rate))
        json_array_append_new (list, json_string (backend->record.id));
    }
  return list;
}

/* Lists the servers that have said they are leaving, by id and start: a record
 * may say so much later, or not at all while the store is down. */
static json_t *
list_leaving (const struct eg_fleet *fleet)
{
  static struct eg_log_rate rate;
  json_t *list = json_array ();

  for (const struct eg_list *at = fleet->all.next; at != &fleet->all;
       at = at->next)
    {
      const struct eg_backend *backend =
          EG_CONTAINER_OF (at, struct eg_backend, all);

      if (backend->listed && backend->said_leaving && !backend->record.draining
          && has_room (list, "leaving", LEAVING_PER_MESSAGE_MAX, &rate))
        json_array_append_new (
            list, json_pack ("[s, I]", backend->record.id,
                             (json_int_t) backend->record.start_ms));
    }
  return list;
}

static void
apply_leaving (struct eg_fleet *fleet, const json_t *list, int64_t now_us)
{
  json_t *server;
  size_t index;

  json_array_foreach (list, index, server) eg_fleet_leaving_reported (
      fleet, eg_str_from (json_string_value (json_array_get (server, 0))),
      json_integer_value (json_array_get (server, 1)), now_us);
}

static void
record_contact (struct eg_load_gossip *self, const char *domain, int64_t now_us)
{
  struct eg_domain_contact *contact = NULL;

  if (!domain || strlen (domain) >= sizeof contact->domain)
    return;
  for (size_t i = 0; i < self->contact_count; i++)
    if (strcmp (self->contacts[i].domain, domain) == 0)
      contact = &self->contacts[i];
  if (!contact && self->contact_count < EG_LOAD_DOMAINS_MAX)
    {
      contact = &self->contacts[self->contact_count++];
      eg_str_copy (eg_str_from (domain), contact->domain,
                   sizeof contact->domain);
    }
  if (contact)
    contact->received_us = now_us;
  else
    {
      static struct eg_log_rate rate;

      eg_log_capacity (&rate, "loads", "load-domains", EG_LOAD_DOMAINS_MAX);
    }
}

/* Lists the failure domains whose readers are heard from. */
static json_t *
list_contacts (const struct eg_load_gossip *self, int64_t now_us)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < self->contact_count; i++)
    if (now_us - self->contacts[i].received_us < DOMAIN_TIMEOUT_US)
      json_array_append_new (list, json_string (self->contacts[i].domain));
  return list;
}

/* Formats a message, which can be sent to several peers; to be freed with
 * free(). */
static char *
format_message (const struct eg_load_gossip *self,
                const char *kind,
                json_t *loads)
{
  const struct eg_entry *entry = self->entry;
  json_t *message = json_pack (
      "{s:s, s:s, s:b, s:o, s:o, s:o, s:O}", "kind", kind, "domain",
      entry->settings->domain, "reads", entry->servers_feed.mirror->is_direct,
      "down", list_suspects (&entry->fleet), "leaving",
      list_leaving (&entry->fleet), "heard",
      list_contacts (self, eg_clock_now_us ()), "loads", loads);
  char *text = json_dumps (message, JSON_COMPACT | JSON_REAL_PRECISION (4));

  json_decref (message);
  return text;
}

void
eg_load_gossip_send (struct eg_load_gossip *self,
                     struct eg_endpoint endpoint,
                     const char *text)
{
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_port = endpoint.port,
                                .sin_addr.s_addr = endpoint.ip};
  uv_buf_t part;

  if (!self->open)
    return;
  if (!text || strlen (text) > MESSAGE_BYTES_MAX)
    {
      eg_log (EG_LOG_WARNING, "loads", "event=message-not-sent bytes=%zu",
              text ? strlen (text) : 0);
      return;
    }
  part = uv_buf_init ((char *) text, (unsigned) strlen (text));
  uv_udp_try_send (&self->socket, &part, 1, (const struct sockaddr *) &address);
}

/** Load of one server. */
struct server_load
{
  double tokens;   /**< Tokens times layers. */
  double first;    /**< Requests of which it is the first server. */
  double slowness; /**< From its report; 0: unknown. */
};

static double
read_figure (const json_t *figures, size_t position)
{
  return fmin (fmax (json_number_value (json_array_get (figures, position)), 0),
               LOAD_MAX);
}

static struct server_load
read_load (const json_t *figures)
{
  return (struct server_load){read_figure (figures, 0),
                              read_figure (figures, 1),
                              read_figure (figures, 2)};
}

static void
add_load (json_t *loads, const char *id, struct server_load load)
{
  struct server_load before = read_load (json_object_get (loads, id));

  json_object_set_new (loads, id,
                       json_pack ("[I, I, f]",
                                  (json_int_t) (before.tokens + load.tokens),
                                  (json_int_t) (before.first + load.first),
                                  fmax (before.slowness, load.slowness)));
}

static void
add_own_loads (const struct eg_load_gossip *self, json_t *loads)
{
  const struct eg_list *all = &self->entry->fleet.all;
  int64_t now_us = eg_clock_now_us ();

  for (const struct eg_list *at = all->next; at != all; at = at->next)
    {
      const struct eg_backend *backend =
          EG_CONTAINER_OF (at, struct eg_backend, all);

      struct server_load load = {backend->kv_running, backend->first_running,
                                 0};

      if (now_us - backend->report_us < REPORT_AGE_MAX_US
          && backend->slowness > SLOWNESS_MIN)
        load.slowness = backend->slowness;
      if (load.tokens >= 1 || load.slowness > 0)
        add_load (loads, backend->record.id, load);
    }
}

static void
add_received_loads (const struct eg_load_gossip *self,
                    json_t *loads,
                    bool readers)
{
  for (size_t i = 0; i < self->peer_count; i++)
    {
      const char *id;
      json_t *load;

      if (self->peers[i].is_reader != readers)
        continue;
      json_object_foreach (self->peers[i].loads, id, load)
          add_load (loads, id, read_load (load));
    }
}

/* Applies the totals of all VMs, less this VM's own load. */
static void
apply_totals (struct eg_load_gossip *self, json_t *loads, int64_t now_us)
{
  struct eg_fleet *fleet = &self->entry->fleet;

  for (struct eg_list *at = fleet->all.next; at != &fleet->all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);
      struct server_load load =
          read_load (json_object_get (loads, backend->record.id));

      backend->kv_others = fmax (0, load.tokens - backend->kv_running);
      backend->first_others = fmax (0, load.first - backend->first_running);
      backend->others_us = now_us;
      if (load.slowness > 0)
        {
          backend->peer_slowness = load.slowness;
          backend->peer_slowness_us = now_us;
        }
    }
}

static struct eg_load_peer *
find_peer (struct eg_load_gossip *self, struct eg_endpoint endpoint)
{
  struct eg_load_peer *peer;

  for (size_t i = 0; i < self->peer_count; i++)
    if (eg_endpoint_key (self->peers[i].endpoint) == eg_endpoint_key (endpoint))
      return &self->peers[i];
  if (self->peer_count == EG_LOAD_PEERS_MAX)
    {
      static struct eg_log_rate rate;

      eg_log_capacity (&rate, "loads", "load-peers", EG_LOAD_PEERS_MAX);
      return NULL;
    }
  peer = &self->peers[self->peer_count++];
  *peer = (struct eg_load_peer){.endpoint = endpoint};
  return peer;
}

static void
receive_crashes (struct eg_entry *entry,
                 struct eg_endpoint from,
                 const json_t *message,
                 int64_t now_us)
{
  (void) from;
  eg_crash_watch_receive (&entry->crash_watch, message, now_us);
}

static void
receive_version (struct eg_entry *entry,
                 struct eg_endpoint from,
                 const json_t *message,
                 int64_t now_us)
{
  eg_configuration_spread_receive (&entry->configuration_spread, from, message,
                                   now_us);
}

static void
receive_path (struct eg_entry *entry,
              struct eg_endpoint from,
              const json_t *message,
              int64_t now_us)
{
  eg_peer_paths_receive (&entry->peer_paths, from, message, now_us);
}

static void
receive_release (struct eg_entry *entry,
                 struct eg_endpoint from,
                 const json_t *message,
                 int64_t now_us)
{
  (void) from;
  (void) message;
  eg_planner_lease_released (&entry->planner, now_us);
}

/* Passes a message on to the module that it is for; returns whether there is
 * one. */
static bool
pass_on (struct eg_entry *entry,
         const char *kind,
         struct eg_endpoint from,
         const json_t *message,
         int64_t now_us)
{
  static const struct
  {
    const char *kind;
    void (*receive) (struct eg_entry *entry,
                     struct eg_endpoint from,
                     const json_t *message,
                     int64_t now_us);
  } receivers[] = {
      {EG_CRASH_MESSAGE_KIND, receive_crashes},
      {EG_VERSION_MESSAGE_KIND, receive_version},
      {EG_PEER_PATHS_MESSAGE_KIND, receive_path},
      {EG_LEASE_MESSAGE_KIND, receive_release},
  };

  for (size_t i = 0; i < sizeof receivers / sizeof receivers[0]; i++)
    if (strcmp (kind, receivers[i].kind) == 0)
      {
        receivers[i].receive (entry, from, message, now_us);
        return true;
      }
  return false;
}

static void
handle_message (struct eg_load_gossip *self,
                struct eg_endpoint from,
                const json_t *message,
                int64_t now_us)
{
  const char *kind = json_string_value (json_object_get (message, "kind"));
  json_t *loads = json_object_get (message, "loads");
  json_t *down = json_object_get (message, "down");
  struct eg_load_peer *peer;
  json_t *id;
  size_t index;

  if (kind && pass_on (self->entry, kind, from, message, now_us))
    return;
  json_array_foreach (down, index, id) eg_fleet_suspect_reported (
      &self->entry->fleet, eg_str_from (json_string_value (id)), now_us);
  apply_leaving (&self->entry->fleet, json_object_get (message, "leaving"),
                 now_us);
  eg_server_limits_apply (self->entry, json_object_get (message, "limits"),
                          now_us);
  if (kind && strcmp (kind, KIND_ALERT) == 0)
    return;
  if (!kind || !json_is_object (loads))
    {
      eg_log (EG_LOG_WARNING, "loads", "event=message-unreadable");
      return;
    }
  if (strcmp (kind, KIND_SUM) == 0)
    {
      json_array_foreach (json_object_get (message, "heard"), index, id)
          record_contact (self, json_string_value (id), now_us);
      apply_totals (self, loads, now_us);
      self->totals_received_us = now_us;
      return;
    }
  peer = find_peer (self, from);
  if (!peer)
    return;
  json_decref (peer->loads);
  peer->loads = json_incref (loads);
  peer->is_reader = strcmp (kind, KIND_GROUP) == 0;
  if (peer->is_reader)
    record_contact (
        self, json_string_value (json_object_get (message, "domain")), now_us);
  peer->store_reachable = json_is_true (json_object_get (message, "reads"));
  peer->received_us = now_us;
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *space)
{
  static char bytes[65536];

  (void) handle;
  (void) suggested;
  space->base = bytes;
  space->len = sizeof bytes;
}

static void
count_undecodable (struct eg_load_gossip *self,
                   struct eg_endpoint from,
                   size_t values,
                   int64_t now_us)
{
  struct in_addr ip = {from.ip};

  self->undecodable += values;
  if (values == 0
      || now_us - self->undecodable_logged_us < UNDECODABLE_LOG_INTERVAL_US)
    return;
  self->undecodable_logged_us = now_us;
  eg_log (EG_LOG_WARNING, "loads",
          "event=message-partly-undecodable from=%s:%u values=%zu",
          inet_ntoa (ip), ntohs (from.port), values);
}

static void
on_message (uv_udp_t *socket,
            ssize_t len,
            const uv_buf_t *space,
            const struct sockaddr *address,
            unsigned flags)
{
  const struct sockaddr_in *source = (const struct sockaddr_in *) address;
  struct eg_load_gossip *self = socket->data;
  struct eg_endpoint from;
  size_t undecodable = 0;
  json_t *message;

  (void) flags;
  if (len <= 0 || !address)
    return;
  from = (struct eg_endpoint){source->sin_addr.s_addr, source->sin_port};
  /* VMs send from the address in their objects. Senders may be VMs of another
   * system that have the address of a former VM of this one. */
  if (!eg_members_admit (&self->entry->members, from, eg_clock_now_us ()))
    {
      eg_members_count_foreign (&self->entry->members, EG_FOREIGN_MESSAGE, from,
                                eg_clock_now_us ());
      return;
    }
  message = eg_json_parse_decodable ((struct eg_str){space->base, (size_t) len},
                                     MESSAGE_LEVELS, &undecodable);
  count_undecodable (self, from, undecodable, eg_clock_now_us ());
  handle_message (self, from, message, eg_clock_now_us ());
  json_decref (message);
}

bool
eg_load_gossip_open (struct eg_load_gossip *self, struct eg_entry *entry)
{
  struct sockaddr_in bound = {.sin_family = AF_INET};
  struct eg_endpoint endpoint;

  memset (self, 0, sizeof *self);
  self->entry = entry;
  EG_INVARIANT (eg_endpoint_parse (eg_str_from (entry->settings->listen_peers),
                                   &endpoint));
  bound.sin_addr.s_addr = endpoint.ip;
  bound.sin_port = endpoint.port;
  self->open = uv_udp_init (&entry->loop, &self->socket) == 0;
  self->socket.data = self;
  return self->open
         && uv_udp_bind (&self->socket, (const struct sockaddr *) &bound, 0)
                == 0
         && uv_udp_recv_start (&self->socket, on_alloc, on_message) == 0;
}

void
eg_load_gossip_finish (struct eg_load_gossip *self)
{
  if (self->open)
    uv_close ((uv_handle_t *) &self->socket, NULL);
  self->open = false;
  for (size_t i = 0; i < self->peer_count; i++)
    json_decref (self->peers[i].loads);
  self->peer_count = 0;
}

static void
drop_expired (struct eg_load_gossip *self, int64_t now_us)
{
  for (size_t i = 0; i < self->peer_count;)
    {
      if (now_us - self->peers[i].received_us <= PEER_EXPIRY_US)
        {
          i++;
          continue;
        }
      json_decref (self->peers[i].loads);
      self->peers[i] = self->peers[--self->peer_count];
    }
}

/* Sends one message to the other readers and another to the VMs that report
 * to this one. */
void
eg_load_gossip_send_to_readers (struct eg_load_gossip *self, const char *text)
{
  const struct eg_members *members = &self->entry->members;

  for (size_t i = 0; i < members->all_reader_count; i++)
    if (!eg_members_is_own (members, members->all_readers[i]))
      eg_load_gossip_send (self, members->all_readers[i], text);
}

static void
send_to_all (struct eg_load_gossip *self,
             const char *to_readers,
             const char *to_others)
{
  eg_load_gossip_send_to_readers (self, to_readers);
  for (size_t i = 0; i < self->peer_count; i++)
    if (!self->peers[i].is_reader)
      eg_load_gossip_send (self, self->peers[i].endpoint, to_others);
}

/* Sends the limits that servers name, in as many messages as they need. */
static void
send_limits (struct eg_load_gossip *self,
             void (*send) (struct eg_load_gossip *self, const char *text),
             int64_t now_us)
{
  size_t total = eg_server_limits_count (self->entry);

  for (size_t sent = 0; sent < total; sent += EG_LIMITS_PER_MESSAGE_MAX)
    {
      json_t *message =
          json_pack ("{s:s, s:o}", "kind", KIND_ALERT, "limits",
                     eg_server_limits_list (self->entry, sent, now_us));
      char *text = json_dumps (message, JSON_COMPACT | JSON_REAL_PRECISION (4));

      send (self, text);
      free (text);
      json_decref (message);
    }
}

static void
send_text_to_all (struct eg_load_gossip *self, const char *text)
{
  send_to_all (self, text, text);
}

/* Aggregates the loads received and sends the totals to the VMs and to the
 * other readers. */
static void
send_totals (struct eg_load_gossip *self, int64_t now_us)
{
  json_t *group = json_object ();
  char *group_text;
  char *sum_text;
  json_t *sum;

  add_own_loads (self, group);
  add_received_loads (self, group, false);
  sum = json_deep_copy (group);
  add_received_loads (self, sum, true);
  apply_totals (self, sum, now_us);
  group_text = format_message (self, KIND_GROUP, group);
  sum_text = format_message (self, KIND_SUM, sum);
  send_to_all (self, group_text, sum_text);
  send_limits (self, send_text_to_all, now_us);
  free (group_text);
  free (sum_text);
  json_decref (group);
  json_decref (sum);
}

/* Returns the reader to report to; switches to the other one if no totals
 * arrive. */
static const struct eg_member *
choose_reader (struct eg_load_gossip *self, int64_t now_us)
{
  const struct eg_members *members = &self->entry->members;

  if (now_us - self->totals_received_us > PEER_EXPIRY_US)
    {
      self->use_second_reader = !self->use_second_reader;
      self->totals_received_us = now_us;
    }
  return members->readers[(members->own_rank % eg_members_reader_count (members)
                           + self->use_second_reader)
                          % 2];
}

static void
send_to_reader (struct eg_load_gossip *self, const char *text)
{
  const struct eg_member *reader = choose_reader (self, eg_clock_now_us ());

  if (reader)
    eg_load_gossip_send (self, reader->endpoint, text);
}

void
eg_load_gossip_check (struct eg_load_gossip *self, int64_t now_us)
{
  struct eg_members *members = &self->entry->members;
  const struct eg_member *reader;
  json_t *own;
  char *text;

  if (!self->open || members->lists_read == 0
      || now_us - self->sent_us < MESSAGE_INTERVAL_US)
    return;
  self->sent_us = now_us;
  drop_expired (self, now_us);
  if (eg_members_is_reader (&self->entry->members) || self->peer_count > 0)
    send_totals (self, now_us);
  if (eg_members_is_reader (&self->entry->members))
    return;
  reader = choose_reader (self, now_us);
  if (!reader)
    return;
  own = json_object ();
  add_own_loads (self, own);
  text = format_message (self, KIND_OWN, own);
  eg_load_gossip_send (self, reader->endpoint, text);
  send_limits (self, send_to_reader, now_us);
  free (text);
  json_decref (own);
}

/* Suspects go to the reader, and from readers to everyone. Loads are left
 * out, because they would saturate a small VM's link if alerts follow each
 * other closely. */
void
eg_load_gossip_alert (struct eg_load_gossip *self, int64_t now_us)
{
  const struct eg_members *members = &self->entry->members;
  const struct eg_member *reader;
  json_t *message;
  char *text;

  if (!self->open || members->lists_read == 0
      || now_us - self->alert_sent_us < ALERT_INTERVAL_US)
    return;
  self->alert_sent_us = now_us;
  message = json_pack ("{s:s, s:o, s:o, s:o}", "kind", KIND_ALERT, "down",
                       list_suspects (&self->entry->fleet), "leaving",
                       list_leaving (&self->entry->fleet), "limits",
                       eg_server_limits_list (self->entry, 0, now_us));
  text = json_dumps (message, JSON_COMPACT);
  if (eg_members_is_reader (&self->entry->members) || self->peer_count > 0)
    send_to_all (self, text, text);
  else if ((reader = choose_reader (self, now_us)))
    eg_load_gossip_send (self, reader->endpoint, text);
  free (text);
  json_decref (message);
}

static bool
is_heard_reader (const struct eg_load_peer *peer, int64_t now_us)
{
  return peer->is_reader && now_us - peer->received_us <= PEER_EXPIRY_US;
}

bool
eg_load_gossip_find_store_reader (const struct eg_load_gossip *self,
                                  struct eg_endpoint *endpoint,
                                  int64_t now_us)
{
  for (size_t i = 0; i < self->peer_count; i++)
    if (is_heard_reader (&self->peers[i], now_us)
        && self->peers[i].store_reachable)
      {
        *endpoint = self->peers[i].endpoint;
        return true;
      }
  return false;
}

bool
eg_load_gossip_store_is_down (const struct eg_load_gossip *self, int64_t now_us)
{
  bool reader_heard = false;

  if (self->entry->servers_feed.mirror->is_direct)
    return false;
  for (size_t i = 0; i < self->peer_count; i++)
    {
      const struct eg_load_peer *peer = &self->peers[i];

      if (!is_heard_reader (peer, now_us))
        continue;
      if (peer->store_reachable)
        return false;
      reader_heard = true;
    }
  return reader_heard;
}

bool
eg_load_gossip_domain_is_reachable (const struct eg_load_gossip *self,
                                    const char *domain,
                                    int64_t now_us)
{
  bool any = false;
  bool found = false;

  if (strcmp (domain, self->entry->settings->domain) == 0)
    return true;
  for (size_t i = 0; i < self->contact_count; i++)
    {
      bool reachable =
          now_us - self->contacts[i].received_us < DOMAIN_TIMEOUT_US;

      found |= reachable && strcmp (self->contacts[i].domain, domain) == 0;
      any |= reachable;
    }
  return found || !any;
}

static bool
hears_domain (const struct eg_load_gossip *self,
              const char *domain,
              int64_t now_us)
{
  for (size_t i = 0; i < self->contact_count; i++)
    if (strcmp (self->contacts[i].domain, domain) == 0)
      return now_us - self->contacts[i].received_us < DOMAIN_TIMEOUT_US;
  return false;
}

bool
eg_load_gossip_hears_all_domains (const struct eg_load_gossip *self,
                                  int64_t now_us)
{
  const struct eg_list *all = &self->entry->members.all;

  for (const struct eg_list *at = all->next; at != all; at = at->next)
    {
      const char *domain = EG_CONTAINER_OF (at, struct eg_member, all)->domain;

      if (strcmp (domain, self->entry->settings->domain) != 0
          && !hears_domain (self, domain, now_us))
        return false;
    }
  return true;
}
