/* Properties of rate limit shares while demand changes, messages are lost,
   delayed and repeated, and nodes are partitioned. Guards against a sum of
   shares above the limit. */
#include <rapidcheck.h>

#include <cstdlib>
#include <memory>
#include <vector>

#include "base/random.h"
#include "policy/share.h"

namespace
{

struct free_shares
{
  void
  operator() (eg_shares *self) const
  {
    eg_shares_free (self);
  }
};
using shares_ptr = std::unique_ptr<eg_shares, free_shares>;

struct delayed_message
{
  size_t to;
  int64_t at_us;
  eg_peer_message message;
};

const eg_str organisation = {"temple", 6};
const double limit = 1000;

int
draw (int low, int high)
{
  return *rc::gen::inRange (low, high);
}

/* Entry VMs that send borrow requests to each other at random. */
struct fleet
{
  std::vector<shares_ptr> nodes;
  std::vector<unsigned> demand; /* Requests a second. */
  std::vector<delayed_message> in_flight;
  eg_random random;
  int64_t now_us = 1000000;
  int loss_percent = 0;
  int delay_max_ms = 1;

  explicit fleet (size_t count) : demand (count)
  {
    eg_random_init (&random, *rc::gen::arbitrary<uint64_t> ());
    for (size_t i = 0; i < count; i++)
      {
        nodes.emplace_back (eg_shares_new ());
        eg_shares_set_nodes (nodes[i].get (), count, count);
        eg_shares_set_limit (nodes[i].get (), organisation, limit);
      }
  }

  int
  below (size_t bound)
  {
    return (int) eg_random_below (&random, bound);
  }

  double
  rate (size_t node)
  {
    return eg_shares_rate (nodes[node].get (), organisation, now_us);
  }

  double
  sum ()
  {
    double sum = 0;

    for (size_t i = 0; i < nodes.size (); i++)
      sum += rate (i);
    return sum;
  }

  void
  send (size_t from, size_t to, eg_peer_message &message)
  {
    message.from = from + 1;
    if (below (100) < loss_percent)
      return;
    for (int i = below (10) == 0 ? 2 : 1; i > 0; i--)
      in_flight.push_back ({to, now_us + below (delay_max_ms) * 1000, message});
  }

  void
  deliver ()
  {
    std::vector<delayed_message> all;

    all.swap (in_flight);
    for (auto &delayed : all)
      {
        eg_shares *node = nodes[delayed.to].get ();
        eg_peer_message grant;

        if (delayed.at_us > now_us)
          in_flight.push_back (delayed);
        else if (delayed.message.kind == EG_PEER_SHARE_GRANT)
          eg_shares_borrow (node, &delayed.message, now_us);
        else if (eg_shares_lend (node, &delayed.message, now_us, &grant))
          send (delayed.to, delayed.message.from - 1, grant);
      }
  }

  /* Advances time by half a second, in which each node asks one other node. */
  void
  step ()
  {
    now_us += 500000;
    for (size_t i = 0; i < nodes.size (); i++)
      {
        const size_t lender = below (nodes.size ());
        eg_peer_message request;

        for (unsigned j = 0; j < demand[i] / 2; j++)
          eg_shares_count_request (nodes[i].get (), organisation);
        eg_shares_tick (nodes[i].get (), now_us);
        if (lender != i
            && eg_shares_request (nodes[i].get (), lender + 1, now_us,
                                  &request))
          send (i, lender, request);
      }
    deliver ();
  }
};

void
shares_never_sum_above_the_limit ()
{
  fleet f (draw (2, 12));

  f.loss_percent = draw (0, 50);
  f.delay_max_ms = draw (1, 15000);
  for (int i = 0; i < 80; i++)
    {
      if (draw (0, 5) == 0)
        f.demand[draw (0, (int) f.demand.size ())] = draw (0, 2000);
      f.step ();
      RC_ASSERT (f.sum () <= limit * 1.0001);
    }
}

/* Each node considers any number of others dead, as in a network partition. */
void
partitioned_nodes_stay_within_stated_bound ()
{
  fleet f (draw (2, 40));

  for (int i = 0; i < 40; i++)
    {
      for (auto &node : f.nodes)
        if (draw (0, 10) == 0)
          eg_shares_set_nodes (node.get (), f.nodes.size (),
                               draw (1, (int) f.nodes.size () + 1));
      f.demand[draw (0, (int) f.demand.size ())] = draw (0, 2000);
      f.step ();
      RC_ASSERT (f.sum () <= limit / (1 - EG_SHARE_DEAD_FRACTION_MAX) * 1.0001);
    }
}

void
shares_follow_demand ()
{
  fleet f (draw (3, 10));
  const size_t busy = draw (0, (int) f.demand.size ());
  double before = f.rate (busy);
  double best = 0;

  f.demand[busy] = 4000;
  for (int i = 0; i < 60; i++)
    {
      f.step ();
      best = std::max (best, f.rate (busy));
    }
  RC_ASSERT (best > before * 1.5);
  /* All loans are returned once the demand ends. */
  f.demand[busy] = 0;
  for (int i = 0; i < 60; i++)
    f.step ();
  for (size_t i = 0; i < f.nodes.size (); i++)
    RC_ASSERT (std::abs (f.rate (i) - before) < limit * 0.001);
}

} // namespace

int
main ()
{
  bool ok = true;

  ok &= rc::check ("shares never sum above the limit",
                   shares_never_sum_above_the_limit);
  ok &= rc::check ("partitioned nodes stay within the stated bound",
                   partitioned_nodes_stay_within_stated_bound);
  ok &= rc::check ("shares follow demand", shares_follow_demand);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
