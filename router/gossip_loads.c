#include "router/gossip_loads.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "policy/ownership.h"

/* An unchanged load is sent again after this many polls. */
#define UNCHANGED_POLLS_MAX 4
/* The other nodes poll a server themselves once its owner has sent no load for
   this many poll intervals plus this time. */
#define OWNER_TIMEOUT_INTERVALS 8
#define OWNER_TIMEOUT_US (5 * EG_US_PER_S)
/* Total polls per second of servers in other failure domains. */
#define OTHER_DOMAIN_POLLS_PER_S 2
/* kv_free of a load entry when the KV cache is empty. */
#define KV_FREE_MAX 255

struct eg_gossip_server
{
  struct eg_load_entry last_sent; /* Last entry sent by this node. */
  unsigned polls_since_sent;
  int64_t received_us; /* When the last entry was received. */
  uint8_t description; /* hash_description() of the last report polled. */
  bool stale;          /* Must be polled by this node, whoever owns it. */
};

uint32_t
eg_gossip_server_id (const char *address)
{
  return (uint32_t) eg_hash_str (eg_str_from (address));
}

void
eg_gossip_loads_finish (struct eg_gossip_loads *self)
{
  eg_map_finish (&self->by_id);
  free (self->servers);
  self->servers = NULL;
}

static void
reserve (struct eg_gossip_loads *self, uint32_t count)
{
  if (count <= self->count)
    return;
  self->servers = realloc (self->servers, count * sizeof *self->servers);
  EG_INVARIANT (self->servers != NULL);
  memset (self->servers + self->count, 0,
          (count - self->count) * sizeof *self->servers);
  self->count = count;
}

static bool
is_in_own_domain (const struct eg_gossip_loads *self,
                  const struct eg_server *server)
{
  return strcmp (server->failure_domain, self->failure_domain) == 0;
}

void
eg_gossip_loads_rebuild (struct eg_gossip_loads *self)
{
  const struct eg_servers *servers = self->fleet->servers;

  reserve (self, eg_servers_count (servers));
  eg_map_finish (&self->by_id);
  eg_map_init (&self->by_id);
  self->own_domain_count = 0;
  self->other_domain_count = 0;
  for (uint32_t i = 0; i < eg_servers_count (servers); i++)
    {
      const struct eg_server *server = eg_servers_get (servers, i);

      if (!server || !*server->address
          || (server->block_reasons & EG_SERVER_GONE))
        continue;
      eg_map_put (&self->by_id, eg_gossip_server_id (server->address),
                  (void *) ((uintptr_t) i + 1));
      if (is_in_own_domain (self, server))
        self->own_domain_count++;
      else
        self->other_domain_count++;
    }
}

uint32_t
eg_gossip_loads_find (const struct eg_gossip_loads *self, uint32_t id)
{
  uintptr_t index_plus_1 = (uintptr_t) eg_map_get (&self->by_id, id);
  const struct eg_server *server;

  if (index_plus_1 == 0)
    return EG_SERVER_NONE;
  server = eg_servers_get (self->fleet->servers, (uint32_t) (index_plus_1 - 1));
  /* The index of a server that is gone may have been reused. */
  if (!server || eg_gossip_server_id (server->address) != id)
    return EG_SERVER_NONE;
  return (uint32_t) (index_plus_1 - 1);
}

bool
eg_gossip_loads_owns (const struct eg_gossip_loads *self, uint32_t server)
{
  const struct eg_server *known = eg_servers_get (self->fleet->servers, server);

  return known && is_in_own_domain (self, known)
         && eg_ownership_find (eg_peers_membership (self->peers),
                               eg_str_from (known->failure_domain),
                               eg_hash_str (eg_str_from (known->address)))
                == eg_peers_own_id (self->peers);
}

int64_t
eg_gossip_loads_poll_interval (struct eg_gossip_loads *self,
                               uint32_t server,
                               int64_t now_us)
{
  const struct eg_server *known = eg_servers_get (self->fleet->servers, server);
  int64_t interval_us = eg_ownership_poll_interval (self->own_domain_count,
                                                    self->interval_min_us);
  const struct eg_gossip_server *shared;

  reserve (self, server + 1);
  shared = &self->servers[server];
  if (!is_in_own_domain (self, known))
    {
      int64_t slow_us = (int64_t) self->other_domain_count * EG_US_PER_S
                        / OTHER_DOMAIN_POLLS_PER_S;

      return slow_us > interval_us ? slow_us : interval_us;
    }
  if (!known->reported || shared->stale || eg_gossip_loads_owns (self, server))
    return interval_us;
  return now_us - shared->received_us
                 > OWNER_TIMEOUT_INTERVALS * interval_us + OWNER_TIMEOUT_US
             ? interval_us
             : 0;
}

void
eg_gossip_loads_mark_stale (struct eg_gossip_loads *self, uint32_t server)
{
  reserve (self, server + 1);
  self->servers[server].stale = true;
}

/* Hashes the parts of a report that a load entry does not carry, so that a
   change of them is noticed. */
static uint8_t
hash_description (const struct eg_server_report *report)
{
  const uint32_t layers[] = {report->first_layer, report->last_layer,
                             report->model_layers, report->slots};
  uint64_t hash = EG_HASH_START;

  hash = eg_hash_add (hash, eg_str_from (report->service));
  hash = eg_hash_add (hash, eg_str_from (report->model));
  hash = eg_hash_add (hash, eg_str_from (report->version));
  hash = eg_hash_add (hash, eg_str_from (report->accelerator));
  hash =
      eg_hash_add (hash, (struct eg_str){(const char *) layers, sizeof layers});
  return (uint8_t) eg_hash_mix (hash);
}

static void
fill_entry (struct eg_load_entry *entry,
            const struct eg_server *server,
            bool failed)
{
  const struct eg_server_report *report = &server->report;

  *entry = (struct eg_load_entry){
      .server = eg_gossip_server_id (server->address),
      .running = report->running < UINT16_MAX ? (uint16_t) report->running
                                              : UINT16_MAX,
      .queued =
          report->queued < UINT8_MAX ? (uint8_t) report->queued : UINT8_MAX,
      .flags = (uint8_t) ((report->draining ? EG_LOAD_DRAINING : 0)
                          | (failed ? EG_LOAD_FAILED : 0)),
      .description = hash_description (report),
  };
  if (report->kv_total > 0)
    entry->kv_free = (uint8_t) ((double) report->kv_free * KV_FREE_MAX
                                / (double) report->kv_total);
}

bool
eg_gossip_loads_encode (struct eg_gossip_loads *self,
                        uint32_t server,
                        bool failed,
                        int64_t now_us,
                        struct eg_load_entry *entry)
{
  const struct eg_server *known = eg_servers_get (self->fleet->servers, server);
  struct eg_gossip_server *state;

  reserve (self, server + 1);
  state = &self->servers[server];
  if (!known->reported)
    return false;
  fill_entry (entry, known, failed);
  state->description = entry->description;
  state->stale = false;
  if (memcmp (entry, &state->last_sent, sizeof *entry) == 0
      && ++state->polls_since_sent < UNCHANGED_POLLS_MAX)
    return false;
  state->last_sent = *entry;
  state->polls_since_sent = 0;
  if (now_us > known->report.as_of_us)
    {
      int64_t age = (now_us - known->report.as_of_us) / EG_LOAD_AGE_UNIT_US;

      entry->age = (uint8_t) (age < UINT8_MAX ? age : UINT8_MAX);
    }
  return true;
}

bool
eg_gossip_loads_apply (struct eg_gossip_loads *self,
                       const struct eg_load_entry *entry,
                       int64_t now_us)
{
  uint32_t server = eg_gossip_loads_find (self, entry->server);
  const struct eg_server *known;
  struct eg_server_report report;
  struct eg_gossip_server *state;

  if (server == EG_SERVER_NONE)
    return false;
  reserve (self, server + 1);
  state = &self->servers[server];
  known = eg_servers_get (self->fleet->servers, server);
  state->received_us = now_us;
  if (!known->reported || (entry->flags & EG_LOAD_FAILED))
    return true;
  state->stale = hash_description (&known->report) != entry->description;
  if (state->stale)
    return true;
  report = known->report;
  report.running = entry->running;
  report.queued = entry->queued;
  report.kv_free = report.kv_total / KV_FREE_MAX * entry->kv_free;
  report.draining = (entry->flags & EG_LOAD_DRAINING) != 0;
  report.as_of_us = now_us - entry->age * EG_LOAD_AGE_UNIT_US;
  eg_fleet_apply_report (self->fleet, server, &report, now_us);
  return true;
}
