/**
 * @file
 * A server asks each daemon for a pause. It is then partitioned from the
 * platform's store, not from the daemons, so that its entry lapses and comes
 * back. Exits with 1 if a daemon sends it more than two requests between half a
 * second after it has asked for the pause and the end of that time.
 */
#include <stdio.h>

#include "traffic.h"

#define NODES 3
#define SERVERS 5
#define WORK_US (60 * RIG_US_PER_MS)
#define INTERVAL_US (50 * RIG_US_PER_MS)
#define PAUSE_S 20
#define GRACE_US (500 * RIG_US_PER_MS)
#define ALLOWED 2
/* Times after all daemons are ready. */
#define PAUSE_US (3 * RIG_US_PER_S)
#define CUT_US (4 * RIG_US_PER_S)
#define CUT_END_US (9 * RIG_US_PER_S)
#define END_US (25 * RIG_US_PER_S)

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
      traffic_server_start (&servers[i], &store, name, zones[i % 3], ip,
                            WORK_US);
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

/* Counts the requests of a daemon that reached the server in its pause. */
static unsigned
count_early (unsigned node)
{
  const struct traffic_server *paused = &servers[0];
  int64_t asked_us = paused->paused_us[node];
  unsigned early = 0;

  if (asked_us == 0)
    rig_end (RIG_NOT_RUN);
  for (size_t i = 0; i < paused->arrival_count; i++)
    {
      const struct traffic_arrival *arrival = &paused->arrivals[i];

      if (traffic_requests[arrival->request].node != node
          || arrival->at_us <= asked_us + GRACE_US
          || arrival->at_us >= asked_us + PAUSE_S * RIG_US_PER_S)
        continue;
      early++;
      rig_note ("early: r%u of daemon %u reaches %s %.3f s after it asked for "
                "%d s",
                arrival->request, node, paused->backend.id,
                (double) (arrival->at_us - asked_us) / RIG_US_PER_S, PAUSE_S);
    }
  rig_note ("daemon %u has sent %u requests in the pause; %d are allowed", node,
            early, ALLOWED);
  return early;
}

int
main (int argc, char **argv)
{
  bool broken = false;
  int64_t begin_us;

  rig_begin (argc, argv);
  start_all ();
  if (!rig_nodes_wait (nodes, NODES, 10 * RIG_US_PER_S))
    rig_end (RIG_NOT_RUN);
  begin_us = rig_now_us ();
  traffic_start (nodes, NODES, INTERVAL_US);
  rig_sleep_until (begin_us + PAUSE_US);
  servers[0].pause_s = PAUSE_S;
  rig_sleep_until (begin_us + CUT_US);
  if (rig_has_trouble ())
    {
      rig_note ("%s is partitioned from the store", servers[0].backend.id);
      servers[0].backend.cut = true;
    }
  rig_sleep_until (begin_us + CUT_END_US);
  servers[0].backend.cut = false;
  rig_note ("%s reaches the store", servers[0].backend.id);
  rig_sleep_until (begin_us + END_US);
  traffic_stop ();
  traffic_note (servers, SERVERS);
  for (unsigned i = 0; i < NODES; i++)
    broken |= count_early (i) > ALLOWED;
  rig_end (broken ? RIG_BROKEN : RIG_HELD);
}
