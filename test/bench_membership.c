/* Benchmark of the traffic, processor time and memory of membership per node:
   all nodes of a fleet run in one process on a simulated network. Message sizes
   are those of the codec plus a fixed transport overhead. Prints a table;
   asserts nothing. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/hash.h"
#include "bus/codec.h"
#include "policy/ownership.h"
#include "test/fake_net.h"

/* Transport overhead per message: IP and TCP headers 40, ZeroMQ frame 2, CURVE
   command, nonce, authenticator and flags 33. The receiver's TCP
   acknowledgement, 40, is counted as bytes that the receiver sends. */
#define FRAMING_BYTES 75
#define ACK_BYTES 40
#define SERVERS_PER_DOMAIN 800
#define SETTLE_MS 20000
#define RUN_MS 60000

struct fleet_size
{
  size_t nodes;
  size_t domains;
};

static const struct fleet_size sizes[] = {{3, 3},  {9, 3},   {27, 3},
                                          {81, 3}, {243, 6}, {630, 15}};

/* Shared buffer, so that its memory is not counted for each message. */
static struct eg_buffer encoded;

static size_t
size_of (const struct eg_peer_message *message)
{
  eg_buffer_clear (&encoded);
  eg_bus_encode (message, &encoded);
  return encoded.len + FRAMING_BYTES;
}

static int64_t
process_cpu_time_us (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return time.tv_sec * EG_US_PER_S + time.tv_nsec / 1000;
}

/* Broadcasts the load of each server that was polled in the last 100 ms. */
static void
poll_servers (struct fake_net *net,
              const uint64_t *owners,
              size_t domains,
              size_t servers)
{
  int64_t interval_ms =
      eg_ownership_poll_interval (servers, 500 * EG_US_PER_MS) / EG_US_PER_MS;

  for (size_t i = 0; i < domains * servers; i++)
    {
      struct eg_load_entry entry = {
          .server = (uint32_t) eg_hash_mix (i),
          .running = (uint16_t) eg_random_below (&net->random, 64),
      };
      struct fake_node *owner = &net->nodes[owners[i]];

      if ((net->now_ms / 100 + (int64_t) i) % (interval_ms / 100) == 0)
        eg_peers_share_load (owner->peers, &entry, net->now_ms * EG_US_PER_MS);
    }
}

static size_t
node_index (const struct fake_net *net, uint64_t id)
{
  size_t index = 0;

  while (index + 1 < net->count && net->nodes[index].id != id)
    index++;
  return index;
}

static uint64_t *
find_owners (const struct fake_net *net, size_t domains, size_t servers)
{
  uint64_t *owners = calloc (domains * servers, sizeof *owners);

  for (size_t i = 0; owners && i < domains * servers; i++)
    {
      const struct fake_node *any_node = &net->nodes[i % domains];
      uint64_t id = eg_ownership_find (eg_peers_membership (any_node->peers),
                                       eg_str_from (any_node->failure_domain),
                                       eg_hash_mix (i));

      owners[i] = node_index (net, id);
    }
  return owners;
}

struct totals
{
  uint64_t messages;
  uint64_t bytes;              /* Sent by all nodes, with acknowledgements. */
  uint64_t busiest_node_bytes; /* Sent by the node that sends the most. */
  uint64_t received_bytes;
};

static struct totals
sum_traffic (const struct fake_net *net)
{
  struct totals totals = {0};

  for (size_t i = 0; i < net->count; i++)
    {
      const struct fake_node *node = &net->nodes[i];
      uint64_t bytes = node->sent_bytes;

      for (int kind = 0; kind < EG_PEER_KINDS; kind++)
        {
          totals.messages += node->sent_by_kind[kind];
          bytes += node->received_by_kind[kind] * ACK_BYTES;
        }
      totals.bytes += bytes;
      totals.received_bytes += node->received_bytes;
      if (bytes > totals.busiest_node_bytes)
        totals.busiest_node_bytes = bytes;
    }
  return totals;
}

static void
clear_counts (struct fake_net *net)
{
  for (size_t i = 0; i < net->count; i++)
    {
      struct fake_node *node = &net->nodes[i];

      memset (node->sent_by_kind, 0, sizeof node->sent_by_kind);
      memset (node->received_by_kind, 0, sizeof node->received_by_kind);
      node->sent_bytes = 0;
      node->received_bytes = 0;
    }
}

static void
measure (struct fleet_size size)
{
  struct fake_net net;
  uint64_t *owners;
  struct totals totals;
  size_t heap_before = mallinfo2 ().uordblks;
  double node_seconds = (double) size.nodes * RUN_MS / 1000;
  size_t memory;
  int64_t cpu_us;

  fake_net_init (&net, size.nodes, size.domains, 1);
  net.size_of = size_of;
  fake_net_run (&net, SETTLE_MS);
  owners = find_owners (&net, size.domains, SERVERS_PER_DOMAIN);
  clear_counts (&net);
  cpu_us = process_cpu_time_us ();
  for (int i = 0; i < RUN_MS / 100; i++)
    {
      poll_servers (&net, owners, size.domains, SERVERS_PER_DOMAIN);
      fake_net_run (&net, 100);
    }
  cpu_us = process_cpu_time_us () - cpu_us;
  totals = sum_traffic (&net);
  memory = mallinfo2 ().uordblks - heap_before;
  printf ("| %zu | %zu | %.1f | %.0f | %.0f | %.0f | %.2f%% | %.0f |\n",
          size.nodes, size.domains, (double) totals.messages / node_seconds,
          (double) totals.bytes / node_seconds,
          (double) totals.busiest_node_bytes * 1000 / RUN_MS,
          (double) totals.received_bytes / node_seconds,
          (double) cpu_us / EG_US_PER_S / node_seconds * 100,
          (double) memory / (double) size.nodes / 1024);
  free (owners);
  fake_net_finish (&net);
}

int
main (void)
{
  printf ("| nodes | domains | messages/s sent | bytes/s sent | bytes/s of the "
          "busiest node | bytes/s received | processor | KiB |\n"
          "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    measure (sizes[i]);
  eg_buffer_finish (&encoded);
  return EXIT_SUCCESS;
}
