#include "entry/server_limits.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "entry/entry.h"

static struct eg_rate_sharers
get_sharers (const struct eg_entry *entry,
             struct eg_backend *backend,
             int64_t now_us)
{
  struct eg_rate_sharers sharers = eg_members_sharers (&entry->members, now_us);

  if (backend->rate_rank_list != entry->members.lists_read)
    {
      backend->rate_rank_list = entry->members.lists_read;
      backend->rate_rank = eg_members_rank_for (
          &entry->members, eg_hash_str (eg_str_from (backend->record.id)));
    }
  sharers.rank = backend->rate_rank;
  return sharers;
}

static void
set_limit (struct eg_entry *entry,
           struct eg_backend *backend,
           double limit_per_s,
           const char *source,
           int64_t named_us,
           int64_t now_us)
{
  struct eg_rate_sharers sharers = get_sharers (entry, backend, now_us);
  double before = backend->rate.limit_per_s;

  eg_server_rate_named (&backend->rate, limit_per_s, &sharers, named_us,
                        now_us);
  if (backend->rate.limit_per_s == before)
    return;
  eg_log (before == 0 ? EG_LOG_NOTICE : EG_LOG_DEBUG, "fleet",
          "event=server-limited server=%s source=%s limit_per_s=%g "
          "named_per_s=%g share_per_s=%g vms=%u rank=%u is_new=%d outdated=%d",
          backend->record.id, source, backend->rate.limit_per_s, limit_per_s,
          eg_server_rate_share (&backend->rate, &sharers), sharers.vms,
          sharers.rank, sharers.is_new, sharers.outdated);
}

void
eg_server_limits_named (struct eg_entry *entry,
                        struct eg_backend *backend,
                        double limit_per_s,
                        int64_t now_us)
{
  bool was_limited = eg_server_rate_is_limited (&backend->rate);

  set_limit (entry, backend, limit_per_s, "response", now_us, now_us);
  if (!was_limited && eg_server_rate_is_limited (&backend->rate))
    entry->fleet.events.availability_changed (entry->fleet.events.context);
}

void
eg_server_limits_responded (struct eg_backend *backend,
                            const struct eg_server_notice *notice,
                            int64_t sent_us,
                            int64_t now_us)
{
  if (!eg_server_rate_is_limited (&backend->rate) || notice->has_limit
      || notice->limit_unreadable)
    return;
  eg_server_rate_not_named (&backend->rate, sent_us, now_us);
  if (!eg_server_rate_is_limited (&backend->rate))
    eg_log (EG_LOG_NOTICE, "fleet", "event=server-unlimited server=%s",
            backend->record.id);
}

static int64_t
get_wait_us (struct eg_entry *entry, struct eg_backend *backend, int64_t now_us)
{
  struct eg_rate_sharers sharers;

  if (!eg_server_rate_is_limited (&backend->rate))
    return 0;
  sharers = get_sharers (entry, backend, now_us);
  return eg_server_rate_wait_us (&backend->rate, &sharers, now_us);
}

double
eg_server_limits_left (struct eg_entry *entry,
                       struct eg_backend *backend,
                       int64_t now_us)
{
  struct eg_rate_sharers sharers;

  if (!eg_server_rate_is_limited (&backend->rate))
    return 1;
  sharers = get_sharers (entry, backend, now_us);
  return fmax (0, eg_server_rate_left (&backend->rate, &sharers, now_us)
                      / eg_server_rate_burst (&backend->rate, &sharers));
}

bool
eg_server_limits_may_send (struct eg_entry *entry,
                           struct eg_backend *backend,
                           int64_t now_us)
{
  return get_wait_us (entry, backend, now_us) == 0;
}

/* Returns whether a server may be the only or the first one of a request. */
static bool
begins_requests (const struct eg_backend *backend,
                 struct eg_str service,
                 int64_t now_us)
{
  return eg_str_equal (backend->record.service, service)
         && backend->record.layers.from == 0 && !eg_backend_is_leaving (backend)
         && eg_backend_is_present (backend, now_us);
}

struct eg_backend *
eg_server_limits_lend (struct eg_entry *entry,
                       struct eg_str service,
                       int64_t now_us)
{
  struct eg_list *all = &entry->fleet.all;
  struct eg_backend *chosen = NULL;
  double most_left = 0;
  uint64_t equal = 0;

  for (struct eg_list *at = all->next; at != all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);
      double left;

      if (!eg_server_rate_is_limited (&backend->rate)
          || !begins_requests (backend, service, now_us)
          || !eg_server_limits_may_send (entry, backend, now_us))
        continue;
      left = eg_server_limits_left (entry, backend, now_us);
      if (left < most_left)
        continue;
      if (left > most_left)
        equal = 0;
      most_left = left;
      if (eg_random_below (&entry->random, ++equal) == 0)
        chosen = backend;
    }
  if (chosen)
    eg_server_rate_spend (&chosen->rate);
  return chosen;
}

int64_t
eg_server_limits_wait_us (struct eg_entry *entry,
                          struct eg_str service,
                          int64_t now_us,
                          bool *limited)
{
  struct eg_list *all = &entry->fleet.all;
  int64_t shortest_us = INT64_MAX;

  *limited = false;
  for (struct eg_list *at = all->next; at != all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);
      int64_t pause_us = 0;
      int64_t wait_us;

      if (!begins_requests (backend, service, now_us)
          || eg_backend_is_suspect (backend, now_us))
        continue;
      if (eg_server_room_is_paused (&backend->room, now_us))
        pause_us = backend->room.paused_until_us - now_us;
      wait_us = get_wait_us (entry, backend, now_us);
      *limited |= wait_us > 0;
      if (wait_us < pause_us)
        wait_us = pause_us;
      if (wait_us < shortest_us)
        shortest_us = wait_us;
    }
  return shortest_us == INT64_MAX ? 0 : shortest_us;
}

static bool
is_limited (const struct eg_backend *backend)
{
  return backend->listed && eg_server_rate_is_limited (&backend->rate);
}

size_t
eg_server_limits_count (const struct eg_entry *entry)
{
  const struct eg_list *all = &entry->fleet.all;
  size_t count = 0;

  for (const struct eg_list *at = all->next; at != all; at = at->next)
    count += is_limited (EG_CONTAINER_OF (at, struct eg_backend, all));
  return count;
}

json_t *
eg_server_limits_list (const struct eg_entry *entry,
                       size_t skipped,
                       int64_t now_us)
{
  const struct eg_list *all = &entry->fleet.all;
  json_t *list = json_array ();
  size_t position = 0;

  for (const struct eg_list *at = all->next; at != all; at = at->next)
    {
      const struct eg_backend *backend =
          EG_CONTAINER_OF (at, struct eg_backend, all);

      if (!is_limited (backend) || position++ < skipped)
        continue;
      if (position > skipped + EG_LIMITS_PER_MESSAGE_MAX)
        break;
      if (now_us - backend->rate.named_us < EG_SERVER_RATE_EXPIRY_US)
        json_array_append_new (
            list, json_pack ("[s, I, f, I]", backend->record.id,
                             (json_int_t) backend->record.start_ms,
                             backend->rate.limit_per_s,
                             (json_int_t) (now_us - backend->rate.named_us)));
    }
  return list;
}

void
eg_server_limits_apply (struct eg_entry *entry,
                        const json_t *list,
                        int64_t now_us)
{
  json_t *limit;
  size_t index;

  json_array_foreach (list, index, limit)
  {
    struct eg_backend *backend = eg_fleet_find_id (
        &entry->fleet,
        eg_str_from (json_string_value (json_array_get (limit, 0))));
    double limit_per_s = json_number_value (json_array_get (limit, 2));
    int64_t age_us = json_integer_value (json_array_get (limit, 3));

    if (backend
        && backend->record.start_ms
               == json_integer_value (json_array_get (limit, 1))
        && limit_per_s > 0 && age_us >= 0)
      set_limit (entry, backend, limit_per_s, "vm", now_us - age_us, now_us);
  }
}
