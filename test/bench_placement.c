/* Benchmark of the time per placement and the memory per server. Not run by
 * ctest. */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "policy/placement.h"

#define PLACEMENTS 20000
#define LAYERS 32
#define SLOTS 16
#define DOMAINS_MAX 15
#define LINKS_MAX (DOMAINS_MAX * DOMAINS_MAX)
#define PLAIN_INTERVAL 10 /* One server in this many runs a plain service. */

struct fleet
{
  const char *name;
  unsigned domains;
  unsigned servers; /* In each domain. */
  unsigned models;
};

struct layer_range
{
  uint32_t first;
  uint32_t last;
};

static const struct fleet fleets[] = {
    {"40 servers, 3 domains, 1 model", 3, 14, 1},
    {"800 servers, 1 domain, 12 models", 1, 800, 12},
    {"800 servers, 1 domain, 1 model", 1, 800, 1},
    {"12000 servers, 15 domains, 12 models", 15, 800, 12},
};

static const struct layer_range layer_ranges[] = {
    {1, 16}, {17, 32}, {1, 8}, {9, 24}, {25, 32},
};

static const struct eg_placement_accelerator accelerators[] = {
    {"large", 2},
    {"small", 1},
};

static struct eg_placement_link links[LINKS_MAX];

static int64_t
now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * INT64_C (1000000000) + now.tv_nsec;
}

static struct eg_server_report
make_report (const struct fleet *fleet, unsigned i, unsigned running)
{
  struct eg_server_report report = {.running = running, .slots = SLOTS};
  const struct layer_range *range = &layer_ranges[(i / fleet->models) % 5];

  snprintf (report.accelerator, EG_NAME_BYTES, "%s",
            accelerators[(i / fleet->models / 5) % 2].name);
  if (i % PLAIN_INTERVAL == 0)
    {
      snprintf (report.service, EG_NAME_BYTES, "app");
      return report;
    }
  snprintf (report.service, EG_NAME_BYTES, "llm");
  snprintf (report.model, EG_NAME_BYTES, "model-%u", i % fleet->models);
  snprintf (report.version, EG_NAME_BYTES, "1");
  report.first_layer = range->first;
  report.last_layer = range->last;
  report.model_layers = LAYERS;
  return report;
}

static struct eg_servers *
make_servers (const struct fleet *fleet, unsigned running)
{
  struct eg_servers *servers = eg_servers_new ();
  unsigned total = fleet->domains * fleet->servers;

  for (unsigned i = 0; i < total; i++)
    {
      char address[EG_ADDRESS_BYTES];
      char domain[EG_NAME_BYTES];
      unsigned in_domain = i % fleet->servers;
      struct eg_server_report report = make_report (fleet, in_domain, running);
      uint32_t index;

      snprintf (address, sizeof address, "10.%u.%u.%u:80",
                (i >> 16) & UINT8_MAX, (i >> 8) & UINT8_MAX, i & UINT8_MAX);
      snprintf (domain, sizeof domain, "domain-%u", i / fleet->servers);
      index =
          eg_servers_add (servers, eg_str_from (address), eg_str_from (domain));
      eg_servers_report (servers, index, &report, 0);
    }
  return servers;
}

static size_t
make_links (unsigned domains)
{
  size_t count = 0;

  for (unsigned from = 0; from < domains; from++)
    for (unsigned to = 0; to < domains; to++)
      {
        if (from == to)
          continue;
        snprintf (links[count].from, EG_NAME_BYTES, "domain-%u", from);
        snprintf (links[count].to, EG_NAME_BYTES, "domain-%u", to);
        links[count].latency_us = 300 + 100 * ((from + to) % 7);
        count++;
      }
  return count;
}

static void
measure (const struct fleet *fleet,
         const struct eg_servers *servers,
         const char *label,
         struct eg_str service,
         struct eg_str model)
{
  struct eg_placement_config config = {
      .failure_domain = "domain-0",
      .links = links,
      .link_count = make_links (fleet->domains),
      .unknown_link_us = 5000,
      .accelerators = accelerators,
      .accelerator_count = 2,
      .default_slots = 8,
  };
  struct eg_placement_query query = {.service = service, .model = model};
  struct eg_random random;
  struct eg_chain chain;
  unsigned results[EG_PLACEMENT_UNKNOWN + 1] = {0};
  int64_t start;

  eg_random_init (&random, 1);
  start = now_ns ();
  for (int i = 0; i < PLACEMENTS; i++)
    results[eg_placement_choose (&config, servers, &query, &random, 0,
                                 &chain)]++;
  printf ("  %-22s %7.2f us per placement (found %u, busy %u, none %u)\n",
          label, (double) (now_ns () - start) / PLACEMENTS / 1000,
          results[EG_PLACEMENT_FOUND], results[EG_PLACEMENT_BUSY],
          results[EG_PLACEMENT_NONE]);
}

static void
bench_fleet (const struct fleet *fleet)
{
  size_t heap_before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  struct eg_servers *servers = make_servers (fleet, SLOTS / 2);
  size_t heap_after = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  size_t total = (size_t) fleet->domains * fleet->servers;

  printf ("%s: %zu bytes per server\n", fleet->name,
          (heap_after - heap_before) / total);
  measure (fleet, servers, "model", EG_STR ("llm"), EG_STR ("model-0"));
  measure (fleet, servers, "plain", EG_STR ("app"), EG_STR (""));
  eg_servers_free (servers);
  servers = make_servers (fleet, SLOTS);
  measure (fleet, servers, "model, all full", EG_STR ("llm"),
           EG_STR ("model-0"));
  measure (fleet, servers, "plain, all full", EG_STR ("app"), EG_STR (""));
  eg_servers_free (servers);
}

int
main (void)
{
  for (size_t i = 0; i < sizeof fleets / sizeof fleets[0]; i++)
    bench_fleet (&fleets[i]);
  return 0;
}
