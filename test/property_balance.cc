/* Properties of load balance: many entry VMs that see late reports. */
#include <algorithm>
#include <deque>
#include <numeric>
#include <queue>

#include "test/fleet.h"

static const int64_t STEP_US = 5000;
static const int64_t REPORT_EVERY_US = 100000;
static const int64_t REPORT_LAG_US = 500000;
static const int64_t WARM_UP_US = 3000000;
static const int64_t END_US = 8000000;
static const uint32_t SLOTS = 32;

/* One call that runs. */
struct call
{
  int64_t end_us;
  unsigned node;
  struct eg_chain chain;

  bool
  operator> (const call &other) const
  {
    return end_us > other.end_us;
  }
};

/* What the servers run, and where they and the entry VMs are. */
struct layout
{
  unsigned node_count;
  unsigned domain_count;
  bool model; /* In two stages; else a plain service. */
};

/* Entry VMs that place calls on servers of different speeds. */
struct simulation
{
  struct layout layout;
  std::vector<double> speeds;
  std::deque<table> nodes;
  std::vector<uint32_t> running;
  std::vector<uint64_t> placed;
  std::deque<std::vector<uint32_t> > past; /* One entry each step. */
  std::priority_queue<call, std::vector<call>, std::greater<call> > calls;
  struct eg_placement_accelerator kinds[2] = {{"one", 1}, {"two", 2}};
  std::deque<domains> configs; /* One for each node. */
  struct eg_random random;
  double imbalance = 0; /* Mean over time of the largest by the mean load. */
  unsigned samples = 0;

  simulation (std::vector<double> server_speeds, struct layout where)
      : layout (where), speeds (std::move (server_speeds)),
        running (speeds.size ()), placed (speeds.size ())
  {
    uint64_t seed = *rc::gen::arbitrary<uint64_t> ();

    eg_random_init (&random, seed);
    for (unsigned node = 0; node < layout.node_count; node++)
      {
        nodes.emplace_back (seed + node + 1);
        add_config (node % layout.domain_count);
        for (unsigned i = 0; i < speeds.size (); i++)
          nodes.back ().add (i, i % layout.domain_count);
        report (nodes.back (), running, 0);
      }
  }
  void
  add_config (unsigned domain)
  {
    struct eg_placement_config &config = configs.emplace_back (1).config;

    strcpy (config.failure_domain, ("d" + std::to_string (domain)).c_str ());
    config.accelerators = kinds;
    config.accelerator_count = 2;
    config.unknown_link_us = 500;
  }
  void
  report (table &node, const std::vector<uint32_t> &loads, int64_t as_of_us)
  {
    for (unsigned i = 0; i < loads.size (); i++)
      {
        bool tail = i / layout.domain_count % 2;
        fleet_server server = {
            0, 0, tail ? 17u : 1u, tail ? 32u : 16u, loads[i], 0, false};
        struct eg_server_report report =
            layout.model ? model_report (server, 32, SLOTS)
                         : plain_report (loads[i], SLOTS, 0);

        report.as_of_us = as_of_us;
        strcpy (report.accelerator, speeds[i] > 1 ? "two" : "one");
        eg_servers_report (node.servers, i, &report, as_of_us);
      }
  }
  void
  place (unsigned node, int64_t now_us)
  {
    struct eg_placement_query query = {
        layout.model ? EG_STR ("llm") : EG_STR ("app"),
        layout.model ? EG_STR ("m") : EG_STR (""),
        0,
        {},
        0,
        0};
    struct eg_chain chain;
    double work_us = 500000 + 1000000 * eg_random_double (&random);

    if (eg_placement_choose (&configs[node].config, nodes[node].servers, &query,
                             &nodes[node].random, now_us, &chain)
        != EG_PLACEMENT_FOUND)
      return;
    for (size_t i = 0; i < chain.count; i++)
      {
        unsigned server = chain.stages[i].server;

        eg_servers_begin_attempt (nodes[node].servers, server, now_us);
        running[server]++;
        placed[server]++;
      }
    work_us /= speeds[chain.stages[0].server];
    calls.push ({now_us + (int64_t) work_us, node, chain});
  }
  void
  finish (int64_t now_us)
  {
    for (; !calls.empty () && calls.top ().end_us <= now_us; calls.pop ())
      for (size_t i = 0; i < calls.top ().chain.count; i++)
        {
          unsigned server = calls.top ().chain.stages[i].server;

          eg_servers_end_attempt (nodes[calls.top ().node].servers, server,
                                  false, now_us);
          running[server]--;
        }
  }
  void
  observe (int64_t now_us)
  {
    past.push_back (running);
    if (past.size () > REPORT_LAG_US / STEP_US)
      past.pop_front ();
    if (now_us < WARM_UP_US)
      return;
    imbalance += *std::max_element (running.begin (), running.end ())
                 / (std::accumulate (running.begin (), running.end (), 0.0)
                    / (double) running.size ());
    samples++;
  }
  /* Runs with so many calls a step on average. */
  void
  run (double calls_a_step)
  {
    for (int64_t now_us = STEP_US; now_us < END_US; now_us += STEP_US)
      {
        finish (now_us);
        for (double rest = calls_a_step; eg_random_double (&random) < rest;
             rest -= 1)
          place ((unsigned) eg_random_below (&random, nodes.size ()), now_us);
        observe (now_us);
        if (now_us % REPORT_EVERY_US == 0 && now_us > REPORT_LAG_US)
          for (table &node : nodes)
            report (node, past.front (), now_us - REPORT_LAG_US);
      }
    imbalance /= samples;
  }
};

static double
imbalance_with (unsigned server_count, const struct layout &layout)
{
  simulation s (std::vector<double> (server_count, 1), layout);

  s.run (0.8);
  RC_LOG () << "imbalance " << s.imbalance << std::endl;
  return s.imbalance;
}

/* The largest number of calls on one server is, on average over time, less
   than so many times the mean; the fewer nodes, the more each one knows. */
static void
late_reports ()
{
  RC_ASSERT (imbalance_with (20, {1, 1, false}) < 1.4);
  RC_ASSERT (imbalance_with (20, {3, 1, false}) < 1.6);
  RC_ASSERT (imbalance_with (20, {8, 1, false}) < 1.8);
}

/* The same for chains of two stages in three failure domains. */
static void
late_reports_of_chains ()
{
  RC_ASSERT (imbalance_with (42, {9, 3, true}) < 1.9);
}

static void
speed_shares ()
{
  std::vector<double> speeds (20, 1);
  uint64_t shares[2];

  std::fill (speeds.begin (), speeds.begin () + 10, 2);
  simulation s (speeds, {3, 1, false});

  s.run (1.2);
  shares[0] = std::accumulate (s.placed.begin (), s.placed.begin () + 10, 0ul);
  shares[1] = std::accumulate (s.placed.begin () + 10, s.placed.end (), 0ul);
  RC_LOG () << shares[0] << " against " << shares[1] << std::endl;
  RC_ASSERT (shares[0] > 1.75 * shares[1]);
  RC_ASSERT (shares[0] < 2.25 * shares[1]);
}

int
main ()
{
  bool ok = true;

  ok &= rc::check ("late reports leave the load balanced", late_reports);
  ok &=
      rc::check ("late reports leave chains balanced", late_reports_of_chains);
  ok &= rc::check ("work follows the speed of accelerators", speed_shares);
  return ok ? 0 : 1;
}
