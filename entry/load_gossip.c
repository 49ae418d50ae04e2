#include "entry/load_gossip.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"

/* Interval between messages. */
#define MESSAGE_INTERVAL_US (200 * EG_US_PER_MS)
/* A sender expires if nothing was received from it for this long. */
#define PEER_EXPIRY_US (1000 * EG_US_PER_MS)
/* A failure domain whose readers are silent for this long (three messages)
 * is considered partitioned. */
#define DOMAIN_TIMEOUT_US (700 * EG_US_PER_MS)
/* Kinds of message: the load of one VM, of a reader's group, of all VMs. */
#define KIND_OWN "own"
#define KIND_GROUP "group"
#define KIND_SUM "sum"
/* Maximum age of a report whose slowdown is passed on. */
#define REPORT_AGE_MAX_US (4000 * EG_US_PER_MS)
/* Minimum slowdown to pass on; smaller values are within the normal
 * variation of forward passes. */
#define SLOWNESS_MIN 1.2
/* Largest load, in tokens times layers, that a VM can have caused. A larger
 * one cannot be added up in integers. */
#define LOAD_MAX 1e15

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
      "down", eg_server_alerts_list_suspects (entry), "leaving",
      eg_server_alerts_list_leaving (entry), "heard",
      list_contacts (self, eg_clock_now_us ()), "loads", loads);
  char *text = json_dumps (message, JSON_COMPACT | JSON_REAL_PRECISION (4));

  json_decref (message);
  return text;
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

/* Applies what a message of any of the types says of servers, and returns the
 * loads in it; NULL if there are none. */
static json_t *
read_message (struct eg_load_gossip *self,
              const json_t *message,
              int64_t now_us)
{
  json_t *loads = json_object_get (message, "loads");

  eg_server_alerts_apply (self->entry, message, now_us);
  if (json_is_object (loads))
    return loads;
  eg_log (EG_LOG_WARNING, "loads", "event=message-unreadable");
  return NULL;
}

static void
receive_sum (void *context,
             struct eg_endpoint from,
             const json_t *message,
             int64_t now_us)
{
  struct eg_load_gossip *self = context;
  json_t *loads = read_message (self, message, now_us);
  json_t *heard = json_object_get (message, "heard");
  json_t *domain;
  size_t index;

  (void) from;
  if (!loads)
    return;
  json_array_foreach (heard, index, domain)
      record_contact (self, json_string_value (domain), now_us);
  apply_totals (self, loads, now_us);
  self->totals_received_us = now_us;
}

/* Takes the load of a VM, or of the group of a reader. */
static struct eg_load_peer *
receive_part (struct eg_load_gossip *self,
              struct eg_endpoint from,
              const json_t *message,
              int64_t now_us)
{
  json_t *loads = read_message (self, message, now_us);
  struct eg_load_peer *peer = loads ? find_peer (self, from) : NULL;

  if (!peer)
    return NULL;
  json_decref (peer->loads);
  peer->loads = json_incref (loads);
  peer->store_reachable = json_is_true (json_object_get (message, "reads"));
  peer->received_us = now_us;
  return peer;
}

static void
receive_own (void *context,
             struct eg_endpoint from,
             const json_t *message,
             int64_t now_us)
{
  struct eg_load_peer *peer = receive_part (context, from, message, now_us);

  if (peer)
    peer->is_reader = false;
}

static void
receive_group (void *context,
               struct eg_endpoint from,
               const json_t *message,
               int64_t now_us)
{
  struct eg_load_peer *peer = receive_part (context, from, message, now_us);

  if (!peer)
    return;
  peer->is_reader = true;
  record_contact (
      context, json_string_value (json_object_get (message, "domain")), now_us);
}

void
eg_load_gossip_finish (struct eg_load_gossip *self)
{
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
static void
send_to_all (struct eg_load_gossip *self,
             struct eg_str to_readers,
             struct eg_str to_others)
{
  struct eg_vm_messages *messages = &self->entry->vm_messages;

  eg_vm_messages_send_to_readers (messages, to_readers);
  for (size_t i = 0; i < self->peer_count; i++)
    if (!self->peers[i].is_reader)
      eg_vm_messages_send (messages, self->peers[i].endpoint, to_others);
}

/* Returns whether other VMs report to this one, or may do so. */
static bool
takes_reports (const struct eg_load_gossip *self)
{
  return eg_members_is_reader (&self->entry->members) || self->peer_count > 0;
}

bool
eg_load_gossip_send_down (struct eg_load_gossip *self, struct eg_str text)
{
  if (!takes_reports (self))
    return false;
  send_to_all (self, text, text);
  return true;
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
  send_to_all (self, eg_str_from (group_text), eg_str_from (sum_text));
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

void
eg_load_gossip_send_up (struct eg_load_gossip *self,
                        struct eg_str text,
                        int64_t now_us)
{
  const struct eg_member *reader;

  if (eg_members_is_reader (&self->entry->members))
    return;
  reader = choose_reader (self, now_us);
  if (reader)
    eg_vm_messages_send (&self->entry->vm_messages, reader->endpoint, text);
}

static bool
send_loads (void *context, int64_t now_us)
{
  struct eg_load_gossip *self = context;
  json_t *own;
  char *text;

  drop_expired (self, now_us);
  if (takes_reports (self))
    send_totals (self, now_us);
  if (eg_members_is_reader (&self->entry->members))
    return true;
  own = json_object ();
  add_own_loads (self, own);
  text = format_message (self, KIND_OWN, own);
  eg_load_gossip_send_up (self, eg_str_from (text), now_us);
  free (text);
  json_decref (own);
  return true;
}

void
eg_load_gossip_init (struct eg_load_gossip *self, struct eg_entry *entry)
{
  const struct eg_vm_message_type types[] = {
      {.name = EG_STR (KIND_OWN),
       .receive = receive_own,
       .send = send_loads,
       .period_us = MESSAGE_INTERVAL_US,
       .context = self},
      {.name = EG_STR (KIND_GROUP), .receive = receive_group, .context = self},
      {.name = EG_STR (KIND_SUM), .receive = receive_sum, .context = self},
  };

  memset (self, 0, sizeof *self);
  self->entry = entry;
  for (size_t i = 0; i < sizeof types / sizeof types[0]; i++)
    EG_INVARIANT (eg_vm_messages_register (&entry->vm_messages, &types[i]));
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
