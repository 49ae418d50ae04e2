#include "entry/monitor.h"

#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "entry/entry.h"
#include "policy/watch_assignment.h"

/* Time between two questions to one engine: below the shortest time that the
 * users' servers keep an idle connection, which is some seconds. */
#define ASK_GAP_US (3000 * EG_US_PER_MS)

void
eg_monitor_check (struct eg_entry *entry, int64_t now_us)
{
  const struct eg_members *members = &entry->members;
  struct eg_list *all = &entry->fleet.all;

  if (members->lists == 0 || entry->stop_us > 0)
    return;
  for (struct eg_list *at = all->next; at != all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);

      if (backend->listed && backend->entry.has_engine
          && now_us - backend->probe.begun_us >= ASK_GAP_US
          && strcmp (backend->entry.domain, entry->settings->domain) == 0
          && eg_watch_assignment_includes (
              eg_hash_mix (eg_hash_str (eg_str_from (backend->entry.id))),
              members->own_rank, members->in_domain))
        eg_backend_poll_report (backend, now_us);
    }
}
