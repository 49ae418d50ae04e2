/* Fleets of backend servers for the property tests of placement. */
#ifndef EG_TEST_FLEET_H
#define EG_TEST_FLEET_H

#include <cstring>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "policy/placement.h"
#include "policy/sampler.h"

struct fleet_server
{
  unsigned domain;
  unsigned version;
  uint32_t first;
  uint32_t last;
  uint32_t running;
  unsigned block_reasons;
  bool failing;
};

/* Owns a server table and a random generator. */
struct table
{
  struct eg_servers *servers = eg_servers_new ();
  struct eg_random random;

  explicit table (uint64_t seed)
  {
    eg_random_init (&random, seed);
  }
  table (const table &) = delete;
  table &operator= (const table &) = delete;
  ~table ()
  {
    eg_servers_free (servers);
  }
  uint32_t
  add (unsigned number, unsigned domain)
  {
    std::string address = "10.0.0." + std::to_string (number) + ":80";
    std::string name = "d" + std::to_string (domain);

    return eg_servers_add (servers, eg_str_from (address.c_str ()),
                           eg_str_from (name.c_str ()));
  }
};

inline struct eg_server_report
plain_report (uint32_t running, uint32_t slots, int64_t as_of_us)
{
  struct eg_server_report report = {};

  strcpy (report.service, "app");
  report.running = running;
  report.slots = slots;
  report.as_of_us = as_of_us;
  return report;
}

inline struct eg_server_report
model_report (const fleet_server &server, uint32_t layers, uint32_t slots)
{
  struct eg_server_report report = plain_report (server.running, slots, 0);

  strcpy (report.service, "llm");
  strcpy (report.model, "m");
  strcpy (report.version, server.version ? "2" : "1");
  report.first_layer = server.first;
  report.last_layer = server.last;
  report.model_layers = layers;
  return report;
}

/* Placement parameters: the entry VM is in failure domain d0, and the latency
   to a domain increases with its number. */
struct domains
{
  std::vector<eg_placement_link> links;
  struct eg_placement_config config = {};

  explicit domains (unsigned count)
  {
    for (unsigned to = 1; to < count; to++)
      {
        struct eg_placement_link link = {};

        strcpy (link.from, "d0");
        strcpy (link.to, ("d" + std::to_string (to)).c_str ());
        link.latency_us = 100 * to;
        links.push_back (link);
      }
    strcpy (config.failure_domain, "d0");
    config.links = links.data ();
    config.link_count = links.size ();
    config.unknown_link_us = 1000;
    config.default_slots = 4;
    config.affinity_load_max = 0.5;
  }
  domains (const domains &) = delete;
  domains &operator= (const domains &) = delete;
};

#endif
