/* Properties of placement: whole chains, stops, failure domains, affinity. */
#include <algorithm>
#include <cmath>
#include <set>

#include "test/fleet.h"

static const uint32_t SLOTS = 4;
static const int64_t NOW_US = 1000;

static rc::Gen<fleet_server>
any_server (uint32_t layers, unsigned domain_count)
{
  return rc::gen::exec ([=] () -> fleet_server {
    uint32_t first = *rc::gen::inRange<uint32_t> (1, layers + 1);
    uint32_t length = *rc::gen::inRange<uint32_t> (0, 3);
    uint32_t last = std::min (first + length, layers);

    return {
        *rc::gen::inRange<unsigned> (0, domain_count),
        *rc::gen::inRange<unsigned> (0, 2),
        first,
        last,
        *rc::gen::weightedElement<uint32_t> ({{3, 1}, {1, SLOTS}}),
        *rc::gen::weightedElement<unsigned> ({{8, 0},
                                              {1, EG_SERVER_LEAVING_LIST},
                                              {1, EG_SERVER_LEAVING_ANSWER},
                                              {1, EG_SERVER_DRAINED_BY_RULE},
                                              {1, EG_SERVER_GONE}}),
        *rc::gen::weightedElement<bool> ({{8, false}, {1, true}})};
  });
}

static void
fill (table &t, const std::vector<fleet_server> &fleet, uint32_t layers)
{
  for (unsigned i = 0; i < fleet.size (); i++)
    {
      uint32_t index = t.add (i, fleet[i].domain);
      struct eg_server_report report = model_report (fleet[i], layers, SLOTS);

      RC_ASSERT (index == i);
      RC_ASSERT (eg_servers_report (t.servers, i, &report, 0));
      if (fleet[i].stops)
        eg_servers_set_blocked (
            t.servers, i, (enum eg_server_block_reason) fleet[i].stops, true);
      if (fleet[i].failing)
        eg_servers_record_failure (t.servers, i, NOW_US);
    }
}

/* The naive answer: which layers can be reached from layer 1 on. */
static bool
chain_exists (const std::vector<fleet_server> &fleet,
              const std::set<uint32_t> &excluded,
              uint32_t layers,
              unsigned version,
              bool full_too)
{
  std::vector<bool> reached (layers + 1);

  reached[0] = true;
  for (uint32_t layer = 1; layer <= layers; layer++)
    for (uint32_t i = 0; i < fleet.size (); i++)
      {
        const fleet_server &s = fleet[i];

        if (s.first == layer && reached[layer - 1] && s.version == version
            && !s.stops && !s.failing && !excluded.count (i)
            && (full_too || s.running < SLOTS))
          reached[s.last] = true;
      }
  return reached[layers];
}

static enum eg_placement_result
expected (const std::vector<fleet_server> &fleet,
          const std::set<uint32_t> &excluded,
          uint32_t layers)
{
  if (fleet.empty ())
    return EG_PLACEMENT_UNKNOWN;
  for (bool full_too : {false, true})
    for (unsigned version : {0, 1})
      if (chain_exists (fleet, excluded, layers, version, full_too))
        return full_too ? EG_PLACEMENT_BUSY : EG_PLACEMENT_FOUND;
  return EG_PLACEMENT_NONE;
}

static void
check_chain (const struct eg_chain &chain,
             const std::vector<fleet_server> &fleet,
             const std::set<uint32_t> &excluded,
             uint32_t layers)
{
  RC_ASSERT (eg_chain_covers_model (&chain, layers));
  for (size_t i = 0; i < chain.count; i++)
    {
      const struct eg_chain_stage &stage = chain.stages[i];
      const fleet_server &s = fleet.at (stage.server);

      RC_ASSERT (s.first == stage.first_layer && s.last == stage.last_layer);
      RC_ASSERT (s.version == fleet[chain.stages[0].server].version);
      RC_ASSERT (!s.stops && !s.failing && s.running < SLOTS);
      RC_ASSERT (!excluded.count (stage.server));
    }
}

/* A whole chain is found exactly if one exists, of one version, through
   servers that may get work alone. */
static void
whole_chains ()
{
  uint32_t layers = *rc::gen::inRange<uint32_t> (3, 8);
  unsigned domain_count = *rc::gen::element (1u, 3u, 8u);
  unsigned size = *rc::gen::inRange (0u, 40u);
  auto fleet = *rc::gen::container<std::vector<fleet_server> > (
      size, any_server (layers, domain_count));
  auto excluded = *rc::gen::container<std::set<uint32_t> > (
      2, rc::gen::inRange<uint32_t> (0, 40));
  domains d (domain_count);
  table t (*rc::gen::arbitrary<uint64_t> ());
  struct eg_placement_query query = {
      EG_STR ("llm"), EG_STR ("m"), 0, {}, excluded.size (), 0};
  struct eg_chain chain = {};
  enum eg_placement_result result;

  std::copy (excluded.begin (), excluded.end (), query.excluded);
  fill (t, fleet, layers);
  result = eg_placement_choose (&d.config, t.servers, &query, &t.random, NOW_US,
                                &chain);
  RC_TAG (result);
  RC_ASSERT (result == expected (fleet, excluded, layers));
  if (result == EG_PLACEMENT_FOUND)
    check_chain (chain, fleet, excluded, layers);
}

/* A plain service stays in the nearest domain that has room. */
static void
nearest_with_room ()
{
  uint32_t full_weight = *rc::gen::inRange<uint32_t> (1, 40);
  auto running = *rc::gen::container<std::vector<uint32_t> > (
      90, rc::gen::weightedElement<uint32_t> (
              {{1, SLOTS - 1}, {full_weight, SLOTS}}));
  domains d (3);
  table t (*rc::gen::arbitrary<uint64_t> ());
  struct eg_placement_query query = {EG_STR ("app"), EG_STR (""), 0, {}, 0, 0};
  struct eg_chain chain = {};
  enum eg_placement_result result;
  unsigned nearest = 3;

  for (unsigned i = 0; i < running.size (); i++)
    {
      struct eg_server_report report = plain_report (running[i], SLOTS, 0);

      eg_servers_report (t.servers, t.add (i, i % 3), &report, 0);
      if (running[i] < SLOTS)
        nearest = std::min (nearest, i % 3);
    }
  result = eg_placement_choose (&d.config, t.servers, &query, &t.random, NOW_US,
                                &chain);
  RC_ASSERT ((result == EG_PLACEMENT_BUSY) == (nearest == 3));
  if (nearest < 3)
    RC_ASSERT (chain.stages[0].server % 3 == nearest);
}

/* The head that holds the prefix is taken exactly while its load is low. */
static void
affinity_bounded_by_load ()
{
  uint32_t running = *rc::gen::inRange<uint32_t> (0, SLOTS + 1);
  unsigned noted = *rc::gen::inRange (0u, 12u);
  domains d (1);
  table t (*rc::gen::arbitrary<uint64_t> ());
  struct eg_prefix_table *prefixes = eg_prefix_table_new (4);
  struct eg_placement_query query = {EG_STR (""), EG_STR ("m"), 7, {}, 0, 0};
  struct eg_chain chain = {};
  bool head_fits = noted % 2 == 0 && running <= SLOTS / 2;

  for (unsigned i = 0; i < 12; i++)
    {
      fleet_server server = {
          0, 0,    i % 2 ? 9u : 1u, i % 2 ? 16u : 8u, i == noted ? running : 0,
          0, false};
      struct eg_server_report report = model_report (server, 16, SLOTS);

      eg_servers_report (t.servers, t.add (i, 0), &report, 0);
    }
  eg_prefix_table_put (prefixes, 7, noted);
  d.config.prefixes = prefixes;
  for (int i = 0; i < 20; i++)
    {
      RC_ASSERT (eg_placement_choose (&d.config, t.servers, &query, &t.random,
                                      NOW_US, &chain)
                 == EG_PLACEMENT_FOUND);
      if (head_fits)
        RC_ASSERT (chain.stages[0].server == noted);
      else if (noted % 2 == 0 && running > 0)
        /* It loses against any other, which have no load. */
        RC_ASSERT (chain.stages[0].server != noted);
    }
  eg_prefix_table_free (prefixes);
}

/* The least time from a place on, with @p done layers run. */
static double
least_time (const std::vector<eg_chain_candidate> &candidates,
            const struct eg_chain_links &links,
            uint32_t layers,
            uint32_t done,
            uint32_t place)
{
  double best = done == layers ? 0 : INFINITY;

  for (const eg_chain_candidate &c : candidates)
    if (c.stage.first_layer == done + 1)
      best = std::min (
          best, c.time_us
                    + (double) links.latency_us[place * links.count + c.place]
                    + least_time (candidates, links, layers, c.stage.last_layer,
                                  c.place));
  return best;
}

/* No other chain takes less time than the one found. */
static void
chains_take_least_time ()
{
  const uint32_t layers = 6;
  auto latency_us = *rc::gen::container<std::vector<int64_t> > (
      9, rc::gen::inRange<int64_t> (0, 2000));
  auto candidates = *rc::gen::container<std::vector<eg_chain_candidate> > (
      15, rc::gen::exec ([=] () -> eg_chain_candidate {
        uint32_t first = *rc::gen::inRange<uint32_t> (1, layers + 1);

        return {{0, first, *rc::gen::inRange (first, layers + 1)},
                *rc::gen::inRange<uint32_t> (0, 3),
                (double) *rc::gen::inRange (1, 5000)};
      }));
  struct eg_chain_links links = {latency_us.data (), 3};
  struct eg_chain chain;
  double found;
  double least = least_time (candidates, links, layers, 0, 0);

  std::sort (candidates.begin (), candidates.end (),
             [] (const auto &a, const auto &b) {
               return a.stage.first_layer < b.stage.first_layer;
             });
  found = eg_chain_find (candidates.data (), candidates.size (), layers, &links,
                         &chain);
  RC_ASSERT (found == least);
  RC_ASSERT (found == INFINITY || eg_chain_covers_model (&chain, layers));
}

/* Where the quickest chain has too many stages, another is taken. */
static void
chains_are_bounded ()
{
  uint32_t layers = *rc::gen::inRange<uint32_t> (2, 60);
  const int64_t latency_us = 0;
  std::vector<eg_chain_candidate> candidates = {{{0, 1, layers}, 0, 1e9}};
  struct eg_chain_links links = {&latency_us, 1};
  struct eg_chain chain;

  for (uint32_t layer = 1; layer <= layers; layer++)
    candidates.push_back ({{0, layer, layer}, 0, 1});
  RC_ASSERT (eg_chain_find (candidates.data (), candidates.size (), layers,
                            &links, &chain)
             < INFINITY);
  RC_ASSERT (eg_chain_covers_model (&chain, layers));
  RC_ASSERT (chain.count == (layers <= EG_CHAIN_MAX ? layers : 1));
}

/* A report that says full is believed only until it is stale. */
static void
stale_reports_do_not_block ()
{
  int64_t now_us = *rc::gen::inRange<int64_t> (0, 2 * EG_REPORT_STALE_US);
  domains d (1);
  table t (1);
  struct eg_server_report report = plain_report (SLOTS, SLOTS, 0);
  struct eg_placement_query query = {EG_STR ("app"), EG_STR (""), 0, {}, 0, 0};
  struct eg_chain chain;

  eg_servers_report (t.servers, t.add (0, 0), &report, 0);
  RC_ASSERT (eg_placement_choose (&d.config, t.servers, &query, &t.random,
                                  now_us, &chain)
             == (now_us > EG_REPORT_STALE_US ? EG_PLACEMENT_FOUND
                                             : EG_PLACEMENT_BUSY));
}

int
main ()
{
  bool ok = true;

  ok &= rc::check ("chains are whole, and found if they exist", whole_chains);
  ok &= rc::check ("plain services go to the nearest room", nearest_with_room);
  ok &= rc::check ("affinity holds while the load is low",
                   affinity_bounded_by_load);
  ok &= rc::check ("chains take the least time", chains_take_least_time);
  ok &= rc::check ("chains are bounded", chains_are_bounded);
  ok &= rc::check ("stale reports do not block", stale_reports_do_not_block);
  return ok ? 0 : 1;
}
