#include "entry/configuration_spread.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"
#include "platform/configuration.h"

#define VERSION_MESSAGE_KIND "version"
/* Time until the answer begins: a small VM that has just read a large
 * configuration answers nobody for some hundred milliseconds. */
#define FETCH_TIMEOUT_US (700 * EG_US_PER_MS)
/* Starts of servers in an answer, some 35 bytes each. */
#define LEFT_PER_MESSAGE_MAX 96

static void
on_fetched (void *context, enum eg_store_outcome outcome, json_t *document)
{
  struct eg_configuration_spread *self = context;
  struct in_addr from = {self->peer.endpoint.ip};

  eg_version_spread_fetch_ended (&self->versions);
  eg_log (EG_LOG_INFO, "configuration",
          "event=configuration-fetched outcome=%s offered=%" PRId64
          " from=%s:%u",
          eg_store_outcome_name (outcome), self->versions.offered,
          inet_ntoa (from), ntohs (self->peer.endpoint.port));
  if (outcome != EG_STORE_OK)
    return;
  /* Keys are not outdated by a reply that is no configuration. */
  if (eg_configuration_read_version (eg_store_object_spec (document)) < 0)
    eg_log (EG_LOG_WARNING, "configuration",
            "event=configuration-unreadable expected=\"a version\"");
  else
    eg_entry_accept_configuration (self->entry, document);
}

void
eg_configuration_spread_finish (struct eg_configuration_spread *self)
{
  eg_store_call_finish (&self->call);
}

void
eg_configuration_spread_set_version (struct eg_configuration_spread *self,
                                     int64_t version)
{
  eg_version_spread_set_own (&self->versions, version);
}

/* Lists starts of servers, whose hashes are too large for a JSON number. */
static json_t *
list_left (const struct eg_fleet *fleet)
{
  struct eg_left_server starts[LEFT_PER_MESSAGE_MAX];
  size_t count = eg_fleet_list_left (fleet, starts, LEFT_PER_MESSAGE_MAX);
  json_t *list = json_array ();

  for (size_t i = 0; i < count; i++)
    {
      char hash[17];

      snprintf (hash, sizeof hash, "%016" PRIx64, starts[i].id_hash);
      json_array_append_new (
          list, json_pack ("[s, I]", hash, (json_int_t) starts[i].start_ms));
    }
  return list;
}

static void
apply_left (struct eg_fleet *fleet, const json_t *list, int64_t now_us)
{
  json_t *server;
  size_t index;

  json_array_foreach (list, index, server)
  {
    const char *hash = json_string_value (json_array_get (server, 0));
    const json_t *start_ms = json_array_get (server, 1);

    if (hash && json_is_integer (start_ms))
      eg_fleet_left_reported (
          fleet,
          &(struct eg_left_server){strtoull (hash, NULL, 16),
                                   json_integer_value (start_ms)},
          now_us);
  }
}

static void
send_message (struct eg_configuration_spread *self,
              struct eg_endpoint to,
              const struct eg_version_message *message,
              bool to_starting_vm)
{
  json_t *document =
      json_pack ("{s:s, s:I, s:b, s:b}", "kind", VERSION_MESSAGE_KIND,
                 "version", (json_int_t) message->version, "asks",
                 message->asks, "confirmed", message->confirmed);
  char *text;

  if (to_starting_vm)
    {
      json_object_set_new (document, "left", list_left (&self->entry->fleet));
      json_object_set_new (
          document, "limits",
          eg_server_limits_list (self->entry, 0, eg_clock_now_us ()));
    }
  text = json_dumps (document, JSON_COMPACT);
  eg_vm_messages_send (&self->entry->vm_messages, to, eg_str_from (text));
  free (text);
  json_decref (document);
}

static void
on_message (void *context,
            struct eg_endpoint from,
            const json_t *message,
            int64_t now_us)
{
  struct eg_configuration_spread *self = context;
  const json_t *version = json_object_get (message, "version");
  const struct eg_version_message received = {
      json_integer_value (version),
      json_is_true (json_object_get (message, "asks")),
      json_is_true (json_object_get (message, "confirmed"))};
  struct eg_version_message answer;

  if (!json_is_integer (version) || received.version < 0)
    {
      eg_log (EG_LOG_WARNING, "configuration",
              "event=message-unreadable expected=\"a version of 0 or more\"");
      return;
    }
  apply_left (&self->entry->fleet, json_object_get (message, "left"), now_us);
  eg_server_limits_apply (self->entry, json_object_get (message, "limits"),
                          now_us);
  if (eg_version_spread_receive (&self->versions, eg_endpoint_key (from),
                                 &received, now_us, &answer))
    send_message (self, from, &answer, received.asks);
}

void
eg_configuration_spread_init (struct eg_configuration_spread *self,
                              struct eg_entry *entry)
{
  const struct eg_store_reply_sink sink = {on_fetched, self};
  const struct eg_vm_message_type type = {.name = EG_STR (VERSION_MESSAGE_KIND),
                                          .receive = on_message,
                                          .context = self};

  memset (self, 0, sizeof *self);
  self->entry = entry;
  self->peer.pool = &entry->pool;
  self->peer.is_peer = true;
  self->peer.caller = entry->settings->listen_peers;
  eg_version_spread_init (&self->versions, entry->settings->first_start,
                          eg_clock_now_us ());
  eg_store_call_init (&self->call, &self->peer, &sink);
  self->call.by_value = true;
  EG_INVARIANT (eg_vm_messages_register (&entry->vm_messages, &type));
}

/* Sends to some members, from a random position of the list on. */
static void
send_round (struct eg_configuration_spread *self,
            const struct eg_version_round *round)
{
  const struct eg_members *members = &self->entry->members;
  const struct eg_list *at = &members->all;
  uint64_t skipped =
      eg_random_below (&self->entry->random, eg_members_count (members));
  size_t sent = 0;

  if (eg_list_is_empty (&members->all))
    return;
  for (; skipped > 0; skipped--)
    at = at->next;
  for (unsigned i = 0; i < eg_members_count (members) && sent < round->count;
       i++)
    {
      const struct eg_member *member;

      at = at->next == &members->all ? members->all.next : at->next;
      member = EG_CONTAINER_OF (at, struct eg_member, all);
      if (eg_members_is_own (members, member->endpoint))
        continue;
      send_message (self, member->endpoint, &round->message, false);
      sent++;
    }
}

static void
start_fetch (struct eg_configuration_spread *self, uint64_t from)
{
  const struct eg_member *member =
      eg_members_find_endpoint (&self->entry->members, from);
  char path[64];

  if (!member)
    {
      eg_version_spread_fetch_ended (&self->versions);
      return;
    }
  self->peer.endpoint = member->endpoint;
  snprintf (path, sizeof path, "%s/%s", eg_configuration_kind,
            eg_configuration_name);
  if (!eg_store_call_start (&self->call, "GET", path, NULL, FETCH_TIMEOUT_US))
    eg_version_spread_fetch_ended (&self->versions);
}

void
eg_configuration_spread_check (struct eg_configuration_spread *self,
                               int64_t now_us)
{
  const struct eg_members *members = &self->entry->members;
  bool was_confirmed = eg_version_spread_is_confirmed (&self->versions);
  int64_t peers = -1;
  struct eg_version_round round;
  uint64_t from;

  if (members->lists_read > 0)
    peers = (int64_t) eg_members_count (members) - 1;
  eg_store_call_check (&self->call, now_us);
  round = eg_version_spread_check (&self->versions, peers, now_us);
  if (!was_confirmed && eg_version_spread_is_confirmed (&self->versions))
    eg_log (EG_LOG_NOTICE, "configuration",
            "event=configuration-confirmed version=%" PRId64
            " answers=%zu peers=%" PRId64 " after_ms=%" PRId64,
            self->versions.own, self->versions.answers, peers,
            (now_us - self->versions.started_us) / EG_US_PER_MS);
  if (round.count > 0)
    send_round (self, &round);
  if (eg_version_spread_take_fetch (&self->versions, now_us, &from))
    start_fetch (self, from);
}
