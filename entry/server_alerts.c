#include "entry/server_alerts.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"

#define ALERT_MESSAGE_KIND "alert"
/* Minimum interval between alerts about new suspects. */
#define ALERT_INTERVAL_US (20 * EG_US_PER_MS)
/* Interval between messages with the limits; as that of the load figures. */
#define LIMITS_INTERVAL_US (200 * EG_US_PER_MS)
/* Maximum number of suspects in a message; a larger number points to a fault
 * of this VM's own link. */
#define SUSPECTS_PER_MESSAGE_MAX 8
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
  eg_log_capacity (rate, "servers", capacity, limit);
  return false;
}

/* A VM that may not reach servers itself has no suspects to tell. */
json_t *
eg_server_alerts_list_suspects (const struct eg_entry *entry)
{
  static struct eg_log_rate rate;
  const struct eg_fleet *fleet = &entry->fleet;
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

/* Lists them by id and start: a record may say so much later, or not at all
 * while the store is down. */
json_t *
eg_server_alerts_list_leaving (const struct eg_entry *entry)
{
  static struct eg_log_rate rate;
  const struct eg_fleet *fleet = &entry->fleet;
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

void
eg_server_alerts_apply (struct eg_entry *entry,
                        const json_t *message,
                        int64_t now_us)
{
  json_t *down = json_object_get (message, "down");
  json_t *id;
  size_t index;

  json_array_foreach (down, index, id) eg_fleet_suspect_reported (
      &entry->fleet, eg_str_from (json_string_value (id)), now_us);
  apply_leaving (&entry->fleet, json_object_get (message, "leaving"), now_us);
  eg_server_limits_apply (entry, json_object_get (message, "limits"), now_us);
}

static void
on_message (void *context,
            struct eg_endpoint from,
            const json_t *message,
            int64_t now_us)
{
  struct eg_server_alerts *self = context;

  (void) from;
  eg_server_alerts_apply (self->entry, message, now_us);
}

/* Sends the limits that servers name, in as many messages as they need. */
static bool
send_limits (void *context, int64_t now_us)
{
  struct eg_server_alerts *self = context;
  struct eg_load_gossip *gossip = &self->entry->load_gossip;
  size_t total = eg_server_limits_count (self->entry);

  for (size_t sent = 0; sent < total; sent += EG_LIMITS_PER_MESSAGE_MAX)
    {
      json_t *message =
          json_pack ("{s:s, s:o}", "kind", ALERT_MESSAGE_KIND, "limits",
                     eg_server_limits_list (self->entry, sent, now_us));
      char *text = json_dumps (message, JSON_COMPACT | JSON_REAL_PRECISION (4));

      eg_load_gossip_send_down (gossip, eg_str_from (text));
      eg_load_gossip_send_up (gossip, eg_str_from (text), now_us);
      free (text);
      json_decref (message);
    }
  return true;
}

void
eg_server_alerts_init (struct eg_server_alerts *self, struct eg_entry *entry)
{
  const struct eg_vm_message_type type = {.name = EG_STR (ALERT_MESSAGE_KIND),
                                          .receive = on_message,
                                          .send = send_limits,
                                          .period_us = LIMITS_INTERVAL_US,
                                          .context = self};

  memset (self, 0, sizeof *self);
  self->entry = entry;
  EG_INVARIANT (eg_vm_messages_register (&entry->vm_messages, &type));
}

/* Suspects go to the reader, and from readers to everyone. Loads are left
 * out, because they would saturate a small VM's link if alerts follow each
 * other closely. */
void
eg_server_alerts_raise (struct eg_server_alerts *self, int64_t now_us)
{
  struct eg_load_gossip *gossip = &self->entry->load_gossip;
  json_t *message;
  char *text;

  if (!eg_vm_messages_may_send (&self->entry->vm_messages)
      || now_us - self->sent_us < ALERT_INTERVAL_US)
    return;
  self->sent_us = now_us;
  message =
      json_pack ("{s:s, s:o, s:o, s:o}", "kind", ALERT_MESSAGE_KIND, "down",
                 eg_server_alerts_list_suspects (self->entry), "leaving",
                 eg_server_alerts_list_leaving (self->entry), "limits",
                 eg_server_limits_list (self->entry, 0, now_us));
  text = json_dumps (message, JSON_COMPACT);
  if (!eg_load_gossip_send_down (gossip, eg_str_from (text)))
    eg_load_gossip_send_up (gossip, eg_str_from (text), now_us);
  free (text);
  json_decref (message);
}
