/**
 * @file
 * A server leaves: it says so in the store and in all its answers. Another
 * writer then replaces its entry by one without the time of its start. Exits
 * with 1 if a daemon that had passed on such an answer sends the server a
 * request that was sent later than the drain time after that.
 */
#include <stdio.h>

#include "traffic.h"

#define NODES 3
#define SERVERS 3
#define WORK_US (700 * RIG_US_PER_MS)
#define INTERVAL_US (100 * RIG_US_PER_MS)
/* Times after all daemons are ready. */
#define LEAVE_US (4 * RIG_US_PER_S)
/* Between two heartbeats of the server. */
#define FOREIGN_US (LEAVE_US + 2600 * RIG_US_PER_MS)
#define EXIT_US (LEAVE_US + 3500 * RIG_US_PER_MS)
#define END_US (11 * RIG_US_PER_S)

static struct rig_store store;
static struct rig_node nodes[NODES];
static struct traffic_server servers[SERVERS];

static void
start_all (void)
{
  static const char *const zones[] = {"room-a", "room-b", "room-c"};
  struct rig_backend *backends[SERVERS];
  char name[32];
  char ip[32];

  rig_store_start (&store);
  traffic_configure (&store);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      snprintf (name, sizeof name, "i-app-%u", i + 1);
      snprintf (ip, sizeof ip, "127.0.2.%u", i + 1);
      traffic_server_start (&servers[i], &store, name, zones[i], ip, WORK_US);
      backends[i] = &servers[i].backend;
    }
  rig_beats_start (backends, SERVERS);
  for (unsigned i = 0; i < NODES; i++)
    {
      snprintf (name, sizeof name, "edge-%u", i + 1);
      snprintf (ip, sizeof ip, "127.0.1.%u", i + 1);
      rig_node_init (&nodes[i], name, zones[i], ip, &store);
      rig_node_start (&nodes[i]);
    }
}

/* Writes an entry in place of the server's own, in which a field is missing. */
static void
write_foreign_entry (const struct rig_backend *backend)
{
  char address[32];

  snprintf (address, sizeof address, "%s:%u", backend->server.ip,
            backend->server.port);
  rig_note ("another writer replaces the entry of %s; \"born\" is missing",
            backend->id);
  rig_store_put (&store, "servers", backend->id,
                 json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i}",
                            "service", backend->service, "address", address,
                            "zone", backend->zone, "version", "v1", "slots",
                            (int) backend->slots, "state", "ready",
                            "coldRemainingMs", 0, "sequence", 1));
}

int
main (int argc, char **argv)
{
  struct rig_backend *leaving = &servers[0].backend;
  unsigned late = 0;
  int64_t begin_us;

  rig_begin (argc, argv);
  start_all ();
  if (!rig_nodes_wait (nodes, NODES, 10 * RIG_US_PER_S))
    rig_end (RIG_NOT_RUN);
  begin_us = rig_now_us ();
  traffic_with_writes ();
  traffic_start (nodes, NODES, INTERVAL_US);
  rig_sleep_until (begin_us + LEAVE_US);
  rig_note ("%s leaves: its entry says draining", leaving->id);
  servers[0].leaving = true;
  leaving->state = "draining";
  rig_backend_beat (leaving);
  rig_sleep_until (begin_us + FOREIGN_US);
  if (rig_has_trouble ())
    write_foreign_entry (leaving);
  rig_sleep_until (begin_us + EXIT_US);
  rig_note ("%s exits, %.1f s after its report", leaving->id,
            (double) (EXIT_US - LEAVE_US) / RIG_US_PER_S);
  leaving->state = NULL;
  traffic_server_exit (&servers[0]);
  rig_store_delete (&store, "servers", leaving->id);
  rig_sleep_until (begin_us + END_US);
  traffic_stop ();
  traffic_note (servers, SERVERS);
  for (unsigned i = 0; i < NODES; i++)
    late += traffic_count_late (&servers[0], i);
  rig_end (late > 0 ? RIG_BROKEN : RIG_HELD);
}
