/**
 * @file
 * A server leaves without a word in the store before, and says so in its
 * answers. Later the store comes back from a copy of before it left. Exits with
 * 1 if a daemon that had passed on such an answer sends the server a request
 * that was sent later than the drain time after that.
 */
#include <stdio.h>

#include "traffic.h"

#define NODES 3
#define SERVERS 3
#define WORK_US (700 * RIG_US_PER_MS)
#define INTERVAL_US (100 * RIG_US_PER_MS)
/* Times after all daemons are ready. */
#define COPY_US (4 * RIG_US_PER_S)
#define LEAVE_US (5 * RIG_US_PER_S)
#define DRILL_US (9 * RIG_US_PER_S)
#define AWAY_US (400 * RIG_US_PER_MS)
#define EXIT_US (10 * RIG_US_PER_S)
#define END_US (15 * RIG_US_PER_S)

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

int
main (int argc, char **argv)
{
  struct rig_store_copy copy;
  unsigned late = 0;
  int64_t begin_us;

  rig_begin (argc, argv);
  start_all ();
  if (!rig_nodes_wait (nodes, NODES, 10 * RIG_US_PER_S))
    rig_end (RIG_NOT_RUN);
  begin_us = rig_now_us ();
  traffic_with_writes ();
  traffic_start (nodes, NODES, INTERVAL_US);
  rig_sleep_until (begin_us + COPY_US);
  copy = rig_store_copy (&store);
  rig_sleep_until (begin_us + LEAVE_US);
  rig_note ("%s leaves: its entry is removed", servers[0].backend.id);
  servers[0].leaving = true;
  rig_backend_withdraw (&servers[0].backend);
  rig_sleep_until (begin_us + DRILL_US);
  if (rig_has_trouble ())
    {
      rig_note ("the store goes away");
      rig_store_restore (&store, &copy, AWAY_US);
      rig_note ("the store is back from a copy of %.1f s ago",
                (double) (DRILL_US - COPY_US + AWAY_US) / RIG_US_PER_S);
    }
  rig_sleep_until (begin_us + EXIT_US);
  rig_note ("%s exits, %.1f s after its entry was removed",
            servers[0].backend.id,
            (double) (EXIT_US - LEAVE_US) / RIG_US_PER_S);
  traffic_server_exit (&servers[0]);
  rig_sleep_until (begin_us + END_US);
  traffic_stop ();
  traffic_note (servers, SERVERS);
  for (unsigned i = 0; i < NODES; i++)
    late += traffic_count_late (&servers[0], i);
  rig_end (late > 0 ? RIG_BROKEN : RIG_HELD);
}
