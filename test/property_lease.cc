// Processes that contend for one lease: clocks of different rates, pauses,
// deaths, and a store that is slow, goes down and loses replies.
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "policy/lease.h"

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;
constexpr int64_t STEP = 20 * MS;
constexpr int64_t REPLY_TIMEOUT = S;
constexpr int64_t NEVER = INT64_MAX;
constexpr unsigned PROCESSES = 3;

const eg_lease_config config = {15 * S, S, 3 * S, 5 * S, 6 * S, 500 * MS};
// The share by which clock rates may be off: 18 * (1 - r) >= 14 * (1 + r).
constexpr double DRIFT = 0.125;

struct Store
{
  uint64_t version = 0;
  eg_lease_record record = {};

  bool
  put (uint64_t expected, const eg_lease_record &value)
  {
    if (version != expected)
      return false;
    version++;
    record = value;
    return true;
  }
};

// A store operation on its way; a write may take effect after its reply was
// given up.
struct Operation
{
  size_t process;
  eg_lease_action action;
  uint64_t expected;
  eg_lease_record value;
  int64_t effect_at;
  int64_t reply_at;
  int64_t timeout_at;
  bool done = false;
  bool replied = false;
  eg_lease_event event = EG_LEASE_NO_REPLY;
  uint64_t version = 0;
  eg_lease_record found = {};
};

struct Process
{
  eg_lease lease;
  double rate = 1;
  int64_t offset = 0;
  int64_t paused_until = 0;
  bool alive = true;

  int64_t
  local (int64_t now) const
  {
    return offset + static_cast<int64_t> (static_cast<double> (now) * rate);
  }
  bool
  believes (int64_t now) const
  {
    return eg_lease_is_held (&lease, local (now));
  }
};

struct Faults
{
  unsigned lost_percent = 0;
  unsigned late_percent = 0;
  unsigned pause_permille = 0;
  unsigned outage_permille = 0;
};

struct World
{
  Store store;
  std::vector<Process> processes;
  std::vector<Operation> operations;
  eg_random random;
  int64_t now = 0;
  int64_t down_until = 0;
  uint64_t fencing = 0;
  size_t holdings = 0; // Times that the lease passed to another process.
  size_t holder = PROCESSES;
  Faults faults;

  World (uint64_t seed, const Faults &some) : faults (some)
  {
    eg_random_init (&random, seed);
    for (unsigned i = 0; i < PROCESSES; i++)
      {
        Process process;

        process.rate = 1 + DRIFT * (2 * eg_random_double (&random) - 1);
        process.offset = static_cast<int64_t> (below (1000)) * S;
        eg_lease_init (&process.lease, &config, i + 1, EG_STR ("n"));
        processes.push_back (process);
      }
    // The worst pair of clocks is always among them.
    processes[0].rate = 1 - DRIFT;
    processes[1].rate = 1 + DRIFT;
  }

  uint64_t
  below (uint64_t bound)
  {
    return eg_random_below (&random, bound);
  }

  int64_t
  delay ()
  {
    if (below (100) < faults.late_percent)
      return static_cast<int64_t> (below (40000)) * MS;
    return static_cast<int64_t> (1 + below (30)) * MS;
  }

  void
  start (size_t index, eg_lease_action action)
  {
    const eg_lease &lease = processes[index].lease;
    Operation operation = {index, action, lease.version, lease.next, 0, 0, 0};

    if (action == EG_LEASE_WAIT)
      return;
    operation.effect_at = now + delay ();
    operation.reply_at = operation.effect_at + delay ();
    if (below (100) < faults.lost_percent)
      operation.reply_at = NEVER;
    if (below (100) < faults.lost_percent)
      operation.effect_at = NEVER;
    operation.timeout_at = now + REPLY_TIMEOUT;
    operations.push_back (operation);
  }

  void
  give (size_t index,
        eg_lease_event event,
        uint64_t version,
        const eg_lease_record *found)
  {
    Process &process = processes[index];

    start (index, eg_lease_update (&process.lease, event, version, found,
                                   process.local (now), &random));
  }

  void
  take_effect (Operation &operation)
  {
    operation.done = true;
    if (now < down_until)
      operation.event = EG_LEASE_UNAVAILABLE;
    else if (operation.action == EG_LEASE_READ)
      operation.event = store.version ? EG_LEASE_FOUND : EG_LEASE_MISSING;
    else if (store.put (
                 operation.action == EG_LEASE_CREATE ? 0 : operation.expected,
                 operation.value))
      operation.event = EG_LEASE_WRITTEN;
    else
      operation.event = EG_LEASE_CONFLICT;
    operation.version = store.version;
    operation.found = store.record;
  }

  bool
  runs (size_t index) const
  {
    return processes[index].alive && processes[index].paused_until <= now;
  }

  void
  reply (size_t at)
  {
    Operation operation = operations[at];
    bool in_time = operation.done && operation.reply_at <= now
                   && operation.reply_at <= operation.timeout_at;

    if (operation.replied || !runs (operation.process)
        || (!in_time && now < operation.timeout_at))
      return;
    operations[at].replied = true;
    if (in_time)
      give (operation.process, operation.event, operation.version,
            &operation.found);
    else
      give (operation.process,
            operation.action == EG_LEASE_READ ? EG_LEASE_UNAVAILABLE
                                              : EG_LEASE_NO_REPLY,
            0, nullptr);
  }

  void
  check ()
  {
    size_t believing = 0;

    for (size_t i = 0; i < processes.size (); i++)
      {
        if (!processes[i].alive || !processes[i].believes (now))
          continue;
        believing++;
        RC_ASSERT (eg_lease_fencing (&processes[i].lease) >= fencing);
        fencing = eg_lease_fencing (&processes[i].lease);
        holdings += holder != i;
        holder = i;
      }
    RC_ASSERT (believing <= 1u);
  }

  void
  bring_about_faults ()
  {
    if (below (1000) < faults.outage_permille)
      down_until = now + static_cast<int64_t> (below (60)) * S;
    for (auto &process : processes)
      if (process.paused_until <= now && below (1000) < faults.pause_permille)
        process.paused_until = now + static_cast<int64_t> (below (40)) * S;
  }

  void
  step ()
  {
    now += STEP;
    bring_about_faults ();
    for (auto &operation : operations)
      if (!operation.done && operation.effect_at <= now)
        take_effect (operation);
    for (size_t i = 0; i < operations.size (); i++)
      reply (i);
    operations.erase (std::remove_if (operations.begin (), operations.end (),
                                      [] (const Operation &operation) {
                                        return operation.replied
                                               && (operation.done
                                                   || operation.effect_at
                                                          == NEVER);
                                      }),
                      operations.end ());
    for (size_t i = 0; i < processes.size (); i++)
      if (runs (i) && below (3) == 0)
        {
          if (below (20) == 0)
            eg_lease_confirm (&processes[i].lease);
          give (i, EG_LEASE_TIME, 0, nullptr);
        }
    check ();
  }

  void
  run (int64_t time)
  {
    for (int64_t until = now + time; now < until;)
      step ();
  }

  bool
  is_held () const
  {
    for (size_t i = 0; i < processes.size (); i++)
      if (processes[i].alive && processes[i].believes (now))
        return true;
    return false;
  }
};

} // namespace

int
main ()
{
  bool ok = true;
  size_t holdings = 0;

  ok &= rc::check ("at most one holder, and fencing numbers rise", [&] {
    World world (*rc::gen::arbitrary<uint64_t> (), {5, 5, 1, 1});

    world.run (400 * S);
    holdings += world.holdings;
  });
  printf ("the lease passed on %zu times\n", holdings);
  // The lease must pass on, or the property says nothing.
  ok &= holdings > 200;

  ok &= rc::check ("a holder that dies is followed within a bound", [] {
    World world (*rc::gen::arbitrary<uint64_t> (), {0, 0, 0, 0});
    // Of the slowest clock, and some time for a few operations.
    const auto bound = static_cast<int64_t> (
        static_cast<double> (config.duration_us + config.pause_us
                             + config.watch_us)
        / (1 - DRIFT));

    world.run (*rc::gen::inRange<int64_t> (40, 60) * S);
    RC_ASSERT (world.is_held ());
    world.processes[world.holder].alive = false;
    world.run (bound + S);
    RC_ASSERT (world.is_held ());
  });

  ok &= rc::check ("a healthy holder keeps the lease", [] {
    World world (*rc::gen::arbitrary<uint64_t> (), {2, 0, 0, 0});

    world.run (60 * S);
    world.holdings = 0;
    for (int64_t until = world.now + 100 * S; world.now < until;)
      {
        world.step ();
        RC_ASSERT (world.is_held ());
      }
    RC_ASSERT (world.holdings == 0u);
  });
  return ok ? 0 : 1;
}
