/* Properties of the limits per organisation. */
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "policy/limit.h"

namespace
{

struct free_limits
{
  void
  operator() (eg_limits *self) const
  {
    eg_limits_free (self);
  }
};
using limits_ptr = std::unique_ptr<eg_limits, free_limits>;

int
draw (int low, int high)
{
  return *rc::gen::inRange (low, high);
}

eg_str
view (const std::string &s)
{
  return {s.data (), s.size ()};
}

eg_limit_rule
draw_rule ()
{
  eg_limit_rule rule = {};

  rule.rate_per_s = draw (1, 2000) / 10.0;
  rule.burst = draw (10, 200) / 10.0;
  return rule;
}

/* Checks every interval, with sweeps and repeated changes of the rule. */
void
bucket_admits_at_most_burst_and_rate ()
{
  const eg_limit_rule rule = draw_rule ();
  const std::string name = "x";
  limits_ptr limits (eg_limits_new (&rule));
  std::vector<int64_t> admitted_us;
  int64_t now_us = draw (0, 1000000);

  for (int i = 0; i < 150; i++)
    {
      int64_t retry_after_us;
      eg_refusal refusal;

      now_us += draw (0, 3) ? draw (0, 50000) : 0;
      refusal = eg_limits_acquire (limits.get (), view (name), now_us,
                                   &retry_after_us);
      if (draw (0, 10) == 0)
        eg_limits_sweep (limits.get (), now_us);
      if (draw (0, 10) == 0)
        RC_ASSERT (eg_limits_set (limits.get (), view (name), &rule));
      if (refusal == EG_REFUSAL_NONE)
        {
          admitted_us.push_back (now_us);
          eg_limits_release (limits.get (), view (name));
          continue;
        }
      RC_ASSERT (refusal == EG_REFUSAL_RATE_LIMIT);
      RC_ASSERT (retry_after_us > 0);
      if (draw (0, 2))
        now_us += retry_after_us;
    }
  for (size_t first = 0; first < admitted_us.size (); first++)
    for (size_t last = first; last < admitted_us.size (); last++)
      {
        double window_s =
            static_cast<double> (admitted_us[last] - admitted_us[first])
            / EG_US_PER_S;

        RC_ASSERT (static_cast<double> (last - first + 1)
                   <= rule.burst + rule.rate_per_s * window_s + 1e-6);
      }
}

void
retry_after_is_when_the_bucket_holds_enough ()
{
  const eg_limit_rule rule = draw_rule ();
  const std::string name = "x";
  limits_ptr limits (eg_limits_new (&rule));
  int64_t now_us = 0;
  int64_t retry_after_us;
  int64_t ignored_us;

  while (eg_limits_acquire (limits.get (), view (name), now_us, &retry_after_us)
         == EG_REFUSAL_NONE)
    now_us += draw (0, 100);
  RC_ASSERT (eg_limits_acquire (limits.get (), view (name),
                                now_us + retry_after_us - 2, &ignored_us)
             == EG_REFUSAL_RATE_LIMIT);
  RC_ASSERT (eg_limits_acquire (limits.get (), view (name),
                                now_us + retry_after_us + 1, &ignored_us)
             == EG_REFUSAL_NONE);
}

/* A change of rule must not admit more than the slower of the two rules. */
void
change_of_rule_is_not_retroactive ()
{
  const eg_limit_rule slow = {1, 10, 0};
  const eg_limit_rule fast = {1000, 10, 0};
  const std::string name = "x";
  limits_ptr limits (eg_limits_new (&slow));
  int64_t retry_after_us;
  int admitted = 0;

  for (int i = 0; i < 10; i++)
    RC_ASSERT (
        eg_limits_acquire (limits.get (), view (name), 0, &retry_after_us)
        == EG_REFUSAL_NONE);
  for (int i = draw (1, 4); i > 0; i--)
    {
      eg_limits_set (limits.get (), view (name), i % 2 ? &fast : &slow);
      eg_limits_clear (limits.get (), view (name));
      eg_limits_set (limits.get (), view (name), &fast);
    }
  while (eg_limits_acquire (limits.get (), view (name), 2 * EG_US_PER_S,
                            &retry_after_us)
         == EG_REFUSAL_NONE)
    admitted++;
  RC_ASSERT (admitted == 2);
}

void
in_flight_limit_is_never_exceeded ()
{
  eg_limit_rule rule = {};
  std::map<std::string, uint32_t> in_flight;

  rule.in_flight_max = static_cast<uint32_t> (draw (1, 6));
  limits_ptr limits (eg_limits_new (&rule));
  for (int i = 0; i < 200; i++)
    {
      std::string name = std::to_string (draw (0, 4));
      uint32_t &own = in_flight[name];
      int64_t retry_after_us;

      if (draw (0, 3) == 0)
        eg_limits_sweep (limits.get (), i);
      if (draw (0, 3) == 0 && own > 0)
        {
          eg_limits_release (limits.get (), view (name));
          own--;
          continue;
        }
      RC_ASSERT (
          eg_limits_acquire (limits.get (), view (name), i, &retry_after_us)
          == (own < rule.in_flight_max ? EG_REFUSAL_NONE
                                       : EG_REFUSAL_IN_FLIGHT_LIMIT));
      if (own < rule.in_flight_max)
        own++;
    }
}

/* Clients may send any number of names, each of which is idle again soon. */
void
table_is_bounded_by_the_organisations_in_use ()
{
  const eg_limit_rule rule = {1000, 1, 0};
  const size_t named = static_cast<size_t> (draw (0, 50));
  limits_ptr limits (eg_limits_new (&rule));

  for (size_t i = 0; i < named; i++)
    eg_limits_set (limits.get (), view ("named " + std::to_string (i)), &rule);
  for (int64_t i = 0; i < 5000; i++)
    {
      std::string name = std::to_string (i);
      int64_t retry_after_us;

      eg_limits_acquire (limits.get (), view (name), i * EG_US_PER_MS,
                         &retry_after_us);
      eg_limits_release (limits.get (), view (name));
      RC_ASSERT (eg_limits_count (limits.get ()) <= 64 + 2 * (named + 1));
    }
  eg_limits_sweep (limits.get (), 10 * EG_US_PER_S);
  RC_ASSERT (eg_limits_count (limits.get ()) == named);
}

} // namespace

int
main ()
{
  bool passed = true;

  passed &= rc::check ("a bucket admits at most burst and rate",
                       bucket_admits_at_most_burst_and_rate);
  passed &= rc::check ("retry after is when the bucket holds enough",
                       retry_after_is_when_the_bucket_holds_enough);
  passed &= rc::check ("a change of rule is not retroactive",
                       change_of_rule_is_not_retroactive);
  passed &= rc::check ("the in-flight limit is never exceeded",
                       in_flight_limit_is_never_exceeded);
  passed &= rc::check ("the table is bounded by the organisations in use",
                       table_is_bounded_by_the_organisations_in_use);
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
