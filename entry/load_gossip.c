#include "entry/load_gossip.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"

/* Time between two messages. */
#define TELL_GAP_US (200 * EG_US_PER_MS)
/* A sender that was not heard for this long no longer counts. */
#define SENDER_AGE_US (1000 * EG_US_PER_MS)
/* A failure domain whose readers are silent for this long, three messages, is
 * taken to be cut off. */
#define HEARD_US (700 * EG_US_PER_MS)
/* Longest message: what a datagram carries without being cut everywhere. */
#define MESSAGE_BYTES_MAX 8192
/* A message's figures, apart from the rest of it. */
#define KIND_OWN "own"
#define KIND_GROUP "group"
#define KIND_SUM "sum"
#define KIND_ALERT "alert" /* Suspects alone. */
/* Reports of this age or less are told to others. */
#define REPORT_AGE_US (4000 * EG_US_PER_MS)
/* What is told of as slow; less is within what passes vary by. */
#define SLOWNESS_LEAST 1.2
/* Least time between two messages that a new suspect gives cause for. */
#define ALERT_GAP_US (20 * EG_US_PER_MS)
/* Suspects named in one message; more are rather a fault of this VM's link. */
#define SUSPECTS_TOLD_MAX 8

static json_t *
list_suspects (const struct eg_fleet *fleet)
{
  json_t *list = json_array ();
  int64_t now_us = eg_clock_now_us ();

  for (const struct eg_list *at = fleet->all.next; at != &fleet->all;
       at = at->next)
    {
      const struct eg_backend *backend =
          EG_CONTAINER_OF (at, struct eg_backend, all);

      if (backend->listed && backend->entry.has_engine
          && eg_backend_is_suspect (backend, now_us)
          && json_array_size (list) < SUSPECTS_TOLD_MAX)
        json_array_append_new (list, json_string (backend->entry.id));
    }
  return list;
}

static void
hear_domain (struct eg_load_gossip *self, const char *domain, int64_t now_us)
{
  struct eg_domain_contact *heard = NULL;

  if (!domain || strlen (domain) >= sizeof heard->domain)
    return;
  for (size_t i = 0; i < self->heard_count; i++)
    if (strcmp (self->heard[i].domain, domain) == 0)
      heard = &self->heard[i];
  if (!heard && self->heard_count < EG_LOAD_DOMAINS_MAX)
    {
      heard = &self->heard[self->heard_count++];
      eg_str_copy (eg_str_from (domain), heard->domain, sizeof heard->domain);
    }
  if (heard)
    heard->heard_us = now_us;
}

/* Names the failure domains whose readers are heard here. */
static json_t *
list_heard (const struct eg_load_gossip *self, int64_t now_us)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < self->heard_count; i++)
    if (now_us - self->heard[i].heard_us < HEARD_US)
      json_array_append_new (list, json_string (self->heard[i].domain));
  return list;
}

/* Writes a message, which may go to many; the caller frees it. */
static char *
compose (const struct eg_load_gossip *self, const char *kind, json_t *loads)
{
  const struct eg_entry *entry = self->entry;
  json_t *message = json_pack (
      "{s:s, s:s, s:b, s:o, s:o, s:O}", "kind", kind, "domain",
      entry->settings->domain, "reads", entry->servers_feed.mirror->is_direct,
      "down", list_suspects (&entry->fleet), "heard",
      list_heard (self, eg_clock_now_us ()), "loads", loads);
  char *text = json_dumps (message, JSON_COMPACT | JSON_REAL_PRECISION (4));

  json_decref (message);
  return text;
}

/* A datagram that the kernel does not take at once is dropped. */
static void
send_message (struct eg_load_gossip *self,
              struct eg_endpoint endpoint,
              const char *text)
{
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_port = endpoint.port,
                                .sin_addr.s_addr = endpoint.ip};
  uv_buf_t part;

  if (!text || strlen (text) > MESSAGE_BYTES_MAX)
    {
      eg_log (EG_LOG_WARNING, "loads", "event=message-not-sent bytes=%zu",
              text ? strlen (text) : 0);
      return;
    }
  part = uv_buf_init ((char *) text, (unsigned) strlen (text));
  uv_udp_try_send (&self->socket, &part, 1, (const struct sockaddr *) &address);
}

/** What entry VMs have under way on one server. */
struct server_load
{
  double tokens;   /**< Tokens x layers. */
  double first;    /**< Requests of which it is the first server. */
  double slowness; /**< By its report; 0: not known. */
};

static struct server_load
read_load (const json_t *figures)
{
  return (struct server_load){json_number_value (json_array_get (figures, 0)),
                              json_number_value (json_array_get (figures, 1)),
                              json_number_value (json_array_get (figures, 2))};
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
add_own (const struct eg_load_gossip *self, json_t *loads)
{
  const struct eg_list *all = &self->entry->fleet.all;
  int64_t now_us = eg_clock_now_us ();

  for (const struct eg_list *at = all->next; at != all; at = at->next)
    {
      const struct eg_backend *backend =
          EG_CONTAINER_OF (at, struct eg_backend, all);

      struct server_load load = {backend->kv_running, backend->first_running,
                                 0};

      if (now_us - backend->report_us < REPORT_AGE_US
          && backend->slowness > SLOWNESS_LEAST)
        load.slowness = backend->slowness;
      if (load.tokens >= 1 || load.slowness > 0)
        add_load (loads, backend->entry.id, load);
    }
}

static void
add_senders (const struct eg_load_gossip *self, json_t *loads, bool readers)
{
  for (size_t i = 0; i < self->sender_count; i++)
    {
      const char *id;
      json_t *load;

      if (self->senders[i].is_reader != readers)
        continue;
      json_object_foreach (self->senders[i].loads, id, load)
          add_load (loads, id, read_load (load));
    }
}

/* Takes the sums of all VMs, less what this one counts itself. */
static void
take_sum (struct eg_load_gossip *self, json_t *loads, int64_t now_us)
{
  struct eg_fleet *fleet = &self->entry->fleet;

  for (struct eg_list *at = fleet->all.next; at != &fleet->all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);
      struct server_load load =
          read_load (json_object_get (loads, backend->entry.id));

      backend->kv_others = fmax (0, load.tokens - backend->kv_running);
      backend->first_others = fmax (0, load.first - backend->first_running);
      backend->others_us = now_us;
      if (load.slowness > 0)
        {
          backend->slowness_told = load.slowness;
          backend->slowness_told_us = now_us;
        }
    }
}

static struct eg_load_peer *
find_sender (struct eg_load_gossip *self, struct eg_endpoint endpoint)
{
  struct eg_load_peer *sender;

  for (size_t i = 0; i < self->sender_count; i++)
    if (eg_endpoint_key (self->senders[i].endpoint)
        == eg_endpoint_key (endpoint))
      return &self->senders[i];
  if (self->sender_count == EG_LOAD_PEERS_MAX)
    return NULL;
  sender = &self->senders[self->sender_count++];
  *sender = (struct eg_load_peer){.endpoint = endpoint};
  return sender;
}

static void
take_message (struct eg_load_gossip *self,
              struct eg_endpoint from,
              const json_t *message,
              int64_t now_us)
{
  const char *kind = json_string_value (json_object_get (message, "kind"));
  json_t *loads = json_object_get (message, "loads");
  json_t *down = json_object_get (message, "down");
  struct eg_load_peer *sender;
  json_t *id;
  size_t index;

  json_array_foreach (down, index, id) eg_fleet_suspect_reported (
      &self->entry->fleet, eg_str_from (json_string_value (id)), now_us);
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
          hear_domain (self, json_string_value (id), now_us);
      take_sum (self, loads, now_us);
      self->summed_us = now_us;
      return;
    }
  sender = find_sender (self, from);
  if (!sender)
    return;
  json_decref (sender->loads);
  sender->loads = json_incref (loads);
  sender->is_reader = strcmp (kind, KIND_GROUP) == 0;
  if (sender->is_reader)
    hear_domain (self, json_string_value (json_object_get (message, "domain")),
                 now_us);
  sender->reads = json_is_true (json_object_get (message, "reads"));
  sender->heard_us = now_us;
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
on_message (uv_udp_t *socket,
            ssize_t len,
            const uv_buf_t *space,
            const struct sockaddr *address,
            unsigned flags)
{
  const struct sockaddr_in *from = (const struct sockaddr_in *) address;
  json_t *message;

  (void) flags;
  if (len <= 0 || !address)
    return;
  message = json_loadb (space->base, (size_t) len, 0, NULL);
  take_message (socket->data,
                (struct eg_endpoint){from->sin_addr.s_addr, from->sin_port},
                message, eg_clock_now_us ());
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
  for (size_t i = 0; i < self->sender_count; i++)
    json_decref (self->senders[i].loads);
  self->sender_count = 0;
}

static void
drop_silent (struct eg_load_gossip *self, int64_t now_us)
{
  for (size_t i = 0; i < self->sender_count;)
    {
      if (now_us - self->senders[i].heard_us <= SENDER_AGE_US)
        {
          i++;
          continue;
        }
      json_decref (self->senders[i].loads);
      self->senders[i] = self->senders[--self->sender_count];
    }
}

/* Sends one text to the other readers and another to the VMs that tell this
 * one their loads. */
static void
tell_all (struct eg_load_gossip *self,
          const char *to_readers,
          const char *to_others)
{
  const struct eg_members *members = &self->entry->members;

  for (size_t i = 0; i < members->all_reader_count; i++)
    if (eg_endpoint_key (members->all_readers[i])
        != eg_endpoint_key (members->own_endpoint))
      send_message (self, members->all_readers[i], to_readers);
  for (size_t i = 0; i < self->sender_count; i++)
    if (!self->senders[i].is_reader)
      send_message (self, self->senders[i].endpoint, to_others);
}

/* Sums what others told, for them and for the other readers. */
static void
tell_as_reader (struct eg_load_gossip *self, int64_t now_us)
{
  json_t *group = json_object ();
  char *group_text;
  char *sum_text;
  json_t *sum;

  add_own (self, group);
  add_senders (self, group, false);
  sum = json_deep_copy (group);
  add_senders (self, sum, true);
  take_sum (self, sum, now_us);
  group_text = compose (self, KIND_GROUP, group);
  sum_text = compose (self, KIND_SUM, sum);
  tell_all (self, group_text, sum_text);
  free (group_text);
  free (sum_text);
  json_decref (group);
  json_decref (sum);
}

/* Returns the reader to tell: the other one if this one gives no sums. */
static const struct eg_member *
choose_reader (struct eg_load_gossip *self, int64_t now_us)
{
  const struct eg_members *members = &self->entry->members;

  if (now_us - self->summed_us > SENDER_AGE_US)
    {
      self->other_reader = !self->other_reader;
      self->summed_us = now_us;
    }
  return members->readers[(members->own_rank % eg_members_reader_count (members)
                           + self->other_reader)
                          % 2];
}

void
eg_load_gossip_check (struct eg_load_gossip *self, int64_t now_us)
{
  struct eg_members *members = &self->entry->members;
  const struct eg_member *reader;
  json_t *own;
  char *text;

  if (!self->open || members->lists == 0
      || now_us - self->told_us < TELL_GAP_US)
    return;
  self->told_us = now_us;
  drop_silent (self, now_us);
  if (eg_source_selector_is_reader (&self->entry->sources)
      || self->sender_count > 0)
    tell_as_reader (self, now_us);
  if (eg_source_selector_is_reader (&self->entry->sources))
    return;
  reader = choose_reader (self, now_us);
  if (!reader)
    return;
  own = json_object ();
  add_own (self, own);
  text = compose (self, KIND_OWN, own);
  send_message (self, reader->endpoint, text);
  free (text);
  json_decref (own);
}

/* Suspects go to the reader, and from readers to all, without the loads: these
 * would fill a small VM's link where alerts follow each other. */
void
eg_load_gossip_alert (struct eg_load_gossip *self, int64_t now_us)
{
  const struct eg_members *members = &self->entry->members;
  const struct eg_member *reader;
  json_t *message;
  char *text;

  if (!self->open || members->lists == 0
      || now_us - self->alerted_us < ALERT_GAP_US)
    return;
  self->alerted_us = now_us;
  message = json_pack ("{s:s, s:o}", "kind", KIND_ALERT, "down",
                       list_suspects (&self->entry->fleet));
  text = json_dumps (message, JSON_COMPACT);
  if (eg_source_selector_is_reader (&self->entry->sources)
      || self->sender_count > 0)
    tell_all (self, text, text);
  else if ((reader = choose_reader (self, now_us)))
    send_message (self, reader->endpoint, text);
  free (text);
  json_decref (message);
}

bool
eg_load_gossip_store_is_down (const struct eg_load_gossip *self, int64_t now_us)
{
  bool heard = false;

  if (self->entry->servers_feed.mirror->is_direct)
    return false;
  for (size_t i = 0; i < self->sender_count; i++)
    {
      const struct eg_load_peer *sender = &self->senders[i];

      if (!sender->is_reader || now_us - sender->heard_us > SENDER_AGE_US)
        continue;
      if (sender->reads)
        return false;
      heard = true;
    }
  return heard;
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
  for (size_t i = 0; i < self->heard_count; i++)
    {
      bool heard = now_us - self->heard[i].heard_us < HEARD_US;

      found |= heard && strcmp (self->heard[i].domain, domain) == 0;
      any |= heard;
    }
  return found || !any;
}
