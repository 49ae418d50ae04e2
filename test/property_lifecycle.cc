// Properties of the request lifecycle, driven by a small model of servers.
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "policy/lifecycle.h"

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t SECOND = 1000 * MS;
constexpr uint32_t LAYERS = 32;

// What the model knows of one request.
struct Tracked
{
  eg_outcome outcome;
  bool idempotent;
  int64_t deadline_us;
  int64_t tokens = 0; // Handed to the caller.
  int64_t wanted = 0;
  uint32_t attempts = 0;
  int finals = 0;
  bool abandoned = false;
  bool may_have_run = false; // Some attempt was not provably unsent.
  bool running = false;
  eg_chain chain;
};

struct World
{
  eg_servers *servers = eg_servers_new ();
  eg_lifecycle *lifecycle = nullptr;
  std::map<uint64_t, Tracked> requests;
  std::set<uint32_t> leaving;
  std::map<uint32_t, int64_t> leaving_since;
  int64_t now_us = SECOND;
  uint64_t first_attempts = 0;
  uint64_t retries = 0;
  uint64_t next_id = 1;
  double reserve;

  explicit World (double reserve_ = 5) : reserve (reserve_)
  {
    eg_lifecycle_config config = {};

    config.admission.class_count = 2;
    eg_str_copy (EG_STR ("counter"), config.admission.classes[0].name, 64);
    eg_str_copy (EG_STR ("bulk"), config.admission.classes[1].name, 64);
    config.admission.classes[0].queue_max = 20;
    config.admission.classes[1].priority = 1;
    config.admission.classes[1].floor = 0.1;
    config.admission.classes[1].queue_max = 20;
    config.admission.organisation_queue_max = 15;
    config.admission.quantum = 64;
    config.default_limit.in_flight_max = 30;
    config.retry.ratio = 0.2;
    config.retry.reserve = reserve;
    config.retry.attempts_max = 4;
    config.retry.backoff_min_us = 2 * MS;
    config.retry.backoff_max_us = 50 * MS;
    config.quarantine.crashes_min = 2;
    config.quarantine.window_us = 60 * SECOND;
    config.quarantine.duration_us = 60 * SECOND;
    config.quarantine.entries_max = 64;
    eg_str_copy (EG_STR ("a"), config.placement.failure_domain, 64);
    config.placement.default_slots = 4;
    config.headroom = 0.5;
    config.requests_max = 50;
    config.first_token_timeout_us = 3 * SECOND;
    config.inter_token_timeout_us = SECOND;
    config.prefixes_max = 16;
    config.no_capacity_timeout_us = 3 * SECOND;
    for (int i = 0; i < 8; i++)
      {
        std::string address = "10.0.0." + std::to_string (i + 1) + ":80";

        eg_servers_add (servers, eg_str_from (address.c_str ()),
                        i < 4 ? EG_STR ("a") : EG_STR ("b"));
        report (static_cast<uint32_t> (i));
      }
    lifecycle = eg_lifecycle_new (&config, servers, 1);
  }

  ~World ()
  {
    eg_lifecycle_free (lifecycle);
    eg_servers_free (servers);
  }

  void
  report (uint32_t server)
  {
    eg_server_report report = {};
    bool second_half = server % 2 == 1;

    eg_str_copy (EG_STR ("llm"), report.service, 64);
    eg_str_copy (EG_STR ("m"), report.model, 64);
    eg_str_copy (EG_STR ("1"), report.version, 64);
    report.first_layer = second_half ? LAYERS / 2 + 1 : 1;
    report.last_layer = second_half ? LAYERS : LAYERS / 2;
    report.model_layers = LAYERS;
    report.slots = 4;
    report.as_of_us = now_us;
    report.draining = leaving.count (server) > 0;
    eg_servers_report (servers, server, &report, now_us);
    eg_servers_set_blocked (servers, server, EG_SERVER_LEAVING_REPORT,
                            report.draining);
  }

  void
  arrive (bool idempotent, unsigned class_index, int64_t budget_us)
  {
    uint64_t id = next_id++;
    Tracked &tracked = requests[id];
    eg_lifecycle_request request = {};

    eg_outcome_init (&tracked.outcome, idempotent ? EG_OUTCOME_IDEMPOTENT
                                                  : EG_OUTCOME_NON_IDEMPOTENT);
    tracked.idempotent = idempotent;
    tracked.deadline_us = now_us + budget_us;
    tracked.wanted = 1 + static_cast<int64_t> (id % 5);
    request.id = id;
    request.organisation = id % 3 ? EG_STR ("temple") : EG_STR ("clerks");
    request.class_index = class_index;
    request.target = EG_STR ("m");
    request.fingerprint = id;
    request.tokens_max = tracked.wanted;
    request.cost = 10;
    request.outcome = &tracked.outcome;
    request.arrived_us = now_us;
    request.deadline_us = tracked.deadline_us;
    request.send_by_us = INT64_MAX;
    eg_lifecycle_submit (lifecycle, &request, now_us);
    take_actions ();
  }

  void
  on_start (Tracked &tracked, const eg_action &action)
  {
    RC_ASSERT (tracked.finals == 0 && !tracked.abandoned);
    RC_ASSERT (!tracked.running);
    RC_ASSERT (now_us < tracked.deadline_us);
    RC_ASSERT (eg_chain_covers_model (&action.chain, LAYERS));
    RC_ASSERT (tracked.idempotent || !tracked.may_have_run);
    RC_ASSERT (action.attempt == tracked.attempts + 1);
    RC_ASSERT (action.attempt <= 4u);
    for (size_t i = 0; i < action.chain.count; i++)
      {
        uint32_t server = action.chain.stages[i].server;

        RC_ASSERT (leaving.count (server) == 0);
        // Four slots, and half as many again for the urgent class.
        RC_ASSERT (eg_servers_get (servers, server)->in_flight <= 6u);
      }
    (tracked.attempts == 0 ? first_attempts : retries)++;
    RC_ASSERT (static_cast<double> (retries)
               <= reserve + 0.2 * static_cast<double> (first_attempts) + 1e-6);
    tracked.attempts = action.attempt;
    tracked.chain = action.chain;
    tracked.running = true;
  }

  void
  take_actions ()
  {
    eg_action action;

    while (eg_lifecycle_next_action (lifecycle, &action))
      {
        if (action.kind == EG_ACTION_QUARANTINE)
          continue;
        Tracked &tracked = requests.at (action.request);
        switch (action.kind)
          {
          case EG_ACTION_START:
            on_start (tracked, action);
            break;
          case EG_ACTION_CANCEL:
            tracked.running = false;
            tracked.may_have_run = true;
            break;
          case EG_ACTION_FINISH:
            RC_ASSERT (tracked.tokens == tracked.wanted);
            tracked.finals++;
            break;
          case EG_ACTION_REFUSE:
            tracked.finals++;
            if (action.ran == EG_RAN_NO)
              RC_ASSERT (!tracked.may_have_run && !tracked.running);
            if (tracked.tokens > 0)
              RC_ASSERT (action.ran == EG_RAN_YES);
            break;
          case EG_ACTION_QUARANTINE:
            break;
          }
        RC_ASSERT (tracked.finals <= 1);
        RC_ASSERT (!(tracked.finals == 1 && tracked.abandoned));
      }
  }

  std::vector<uint64_t>
  running () const
  {
    std::vector<uint64_t> ids;

    for (const auto &[id, tracked] : requests)
      if (tracked.running)
        ids.push_back (id);
    return ids;
  }

  void
  token (uint64_t id)
  {
    Tracked &tracked = requests.at (id);

    // A token of an older attempt, and one out of order, must be dropped.
    RC_ASSERT (!eg_lifecycle_token (lifecycle, id, tracked.attempts - 1,
                                    tracked.tokens + 1, now_us));
    RC_ASSERT (!eg_lifecycle_token (lifecycle, id, tracked.attempts,
                                    tracked.tokens + 2, now_us));
    RC_ASSERT (eg_lifecycle_token (lifecycle, id, tracked.attempts,
                                   tracked.tokens + 1, now_us));
    tracked.tokens++;
    tracked.may_have_run = true;
    if (tracked.tokens == tracked.wanted)
      {
        tracked.running = false;
        eg_lifecycle_attempt_done (lifecycle, id, tracked.attempts, now_us);
      }
    take_actions ();
  }

  void
  fail (uint64_t id, eg_attempt_cause cause)
  {
    Tracked &tracked = requests.at (id);
    eg_attempt_failure failure = {cause, {nullptr, 0}};

    tracked.running = false;
    if (cause != EG_ATTEMPT_NOT_SENT && cause != EG_ATTEMPT_REFUSED)
      tracked.may_have_run = true;
    eg_lifecycle_attempt_failed (lifecycle, id, tracked.attempts, &failure,
                                 now_us);
    take_actions ();
  }

  // The head of the request's chain dies: so do all attempts on it.
  void
  crash_head (uint64_t id)
  {
    uint32_t server = requests.at (id).chain.stages[0].server;
    std::string address = eg_servers_get (servers, server)->address;
    std::vector<uint64_t> victims;

    for (uint64_t other : running ())
      for (size_t i = 0; i < requests.at (other).chain.count; i++)
        if (requests.at (other).chain.stages[i].server == server)
          victims.push_back (other);
    for (uint64_t victim : victims)
      {
        Tracked &tracked = requests.at (victim);
        eg_attempt_failure failure = {EG_ATTEMPT_CONNECTION_LOST,
                                      eg_str_from (address.c_str ())};

        tracked.running = false;
        tracked.may_have_run = true;
        eg_lifecycle_attempt_failed (lifecycle, victim, tracked.attempts,
                                     &failure, now_us);
      }
    take_actions ();
  }

  void
  abandon (uint64_t id)
  {
    Tracked &tracked = requests.at (id);

    if (tracked.finals > 0 || tracked.abandoned)
      return;
    tracked.abandoned = true;
    tracked.running = false;
    eg_lifecycle_cancel (lifecycle, id, now_us);
    take_actions ();
  }

  void
  pass (int64_t us)
  {
    now_us += us;
    eg_lifecycle_tick (lifecycle, now_us);
    take_actions ();
  }
};

void
step (World &world)
{
  auto running = world.running ();
  int kind = *rc::gen::inRange (0, 12);

  if (kind <= 2)
    world.arrive (*rc::gen::inRange (0, 3) > 0,
                  *rc::gen::inRange<unsigned> (0, 2),
                  *rc::gen::inRange<int64_t> (10, 20000) * MS);
  else if (kind <= 6 && !running.empty ())
    world.token (running[*rc::gen::inRange<size_t> (0, running.size ())]);
  else if (kind == 7 && !running.empty ())
    world.fail (running[*rc::gen::inRange<size_t> (0, running.size ())],
                static_cast<eg_attempt_cause> (*rc::gen::inRange (0, 7)));
  else if (kind == 8 && world.next_id > 1)
    world.abandon (*rc::gen::inRange<uint64_t> (1, world.next_id));
  else if (kind == 9)
    {
      uint32_t server = *rc::gen::inRange<uint32_t> (0, 8);

      if (*rc::gen::inRange (0, 3) == 0)
        world.leaving.insert (server);
      else
        world.leaving.erase (server);
      world.report (server);
      eg_lifecycle_servers_changed (world.lifecycle, world.now_us);
      world.take_actions ();
    }
  else if (kind == 10)
    {
      uint32_t server = *rc::gen::inRange<uint32_t> (0, 8);

      eg_servers_record_failure (world.servers, server, world.now_us);
      eg_lifecycle_server_unresponsive (world.lifecycle, server, world.now_us);
      world.take_actions ();
    }
  else
    world.pass (*rc::gen::inRange<int64_t> (1, 800) * MS);
}

} // namespace

int
main ()
{
  bool ok = true;

  ok &= rc::check ("each request ends in exactly one outcome", [] {
    World world;

    for (int i = 0; i < 150; i++)
      step (world);
    // Then time passes until every deadline is over.
    for (int i = 0; i < 30; i++)
      world.pass (SECOND);
    for (const auto &[id, tracked] : world.requests)
      RC_ASSERT (tracked.finals + (tracked.abandoned ? 1 : 0) == 1);
    struct eg_lifecycle_counts counts = eg_lifecycle_counts (world.lifecycle);
    RC_ASSERT (counts.arrived
               == counts.finished + counts.refused + counts.abandoned);
    RC_ASSERT (counts.queued == 0u && counts.running == 0u);
    for (uint32_t i = 0; i < 8; i++)
      RC_ASSERT (eg_servers_get (world.servers, i)->in_flight == 0u);
  });

  ok &= rc::check ("only a request that crashes servers is quarantined", [] {
    World world (50);
    uint64_t culprit = *rc::gen::inRange<uint64_t> (1, 5);

    // Two servers are left for the first half of the model.
    world.leaving = {4, 6};
    world.report (4);
    world.report (6);
    for (int i = 0; i < 4; i++)
      world.arrive (true, 0, 20 * SECOND);
    int ran = 0;
    for (int i = 0; i < 400 && world.requests.at (culprit).finals == 0; i++)
      {
        // A server takes some time to die of the request.
        ran = world.requests.at (culprit).running ? ran + 1 : 0;
        if (ran > 5)
          world.crash_head (culprit);
        for (uint64_t id : world.running ())
          if (i % 20 == 19 && id != culprit)
            world.token (id);
        world.pass (10 * MS);
        for (uint32_t server = 0; server < 8; server++)
          world.report (server);
      }
    RC_ASSERT (world.requests.at (culprit).finals == 1);
    RC_ASSERT (world.requests.at (culprit).tokens == 0);
    for (int i = 0; i < 20; i++)
      {
        for (uint64_t id : world.running ())
          while (world.requests.at (id).running)
            world.token (id);
        world.pass (100 * MS);
        for (uint32_t server = 0; server < 8; server++)
          world.report (server);
      }
    for (const auto &[id, tracked] : world.requests)
      RC_ASSERT (id == culprit || tracked.tokens == tracked.wanted);
  });

  ok &= rc::check ("urgent work does not wait behind a full fleet", [] {
    World world;
    unsigned started = 0;

    for (int i = 0; i < 30; i++)
      world.arrive (true, 1, 20 * SECOND);
    RC_ASSERT (eg_lifecycle_counts (world.lifecycle).queued > 0u);
    for (unsigned i = 0; i < 8; i++)
      {
        world.arrive (true, 0, 20 * SECOND);
        started += world.requests.rbegin ()->second.running ? 1 : 0;
      }
    // Four heads have room for two more each.
    RC_ASSERT (started == 8u);
  });

  ok &= rc::check ("what cannot be whole in time is refused on arrival", [] {
    World world;
    int64_t gap_us = *rc::gen::inRange<int64_t> (5, 50) * MS;

    // Five tokens, so four gaps; the first answers teach what to expect.
    for (int i = 0; i < 10; i++)
      {
        world.next_id += (4 + 5 - world.next_id % 5) % 5;
        world.arrive (true, 0, 20 * SECOND);
        uint64_t id = world.requests.rbegin ()->first;
        while (world.requests.at (id).running)
          {
            world.now_us += gap_us;
            world.token (id);
          }
      }
    world.next_id += (4 + 5 - world.next_id % 5) % 5;
    world.arrive (true, 0, 3 * gap_us);
    RC_ASSERT (world.requests.rbegin ()->second.finals == 1);
    RC_ASSERT (world.requests.rbegin ()->second.attempts == 0u);
    world.next_id += (4 + 5 - world.next_id % 5) % 5;
    world.arrive (true, 0, 8 * gap_us);
    RC_ASSERT (world.requests.rbegin ()->second.running);
    // After a while without a token the expectation no longer keeps any out.
    world.pass (3 * SECOND);
    world.next_id += (4 + 5 - world.next_id % 5) % 5;
    world.arrive (true, 0, 3 * gap_us);
    RC_ASSERT (world.requests.rbegin ()->second.running);
  });

  ok &= rc::check ("a stopping node refuses with a promise and goes on", [] {
    World world;

    for (int i = 0; i < 30; i++)
      step (world);
    size_t before = world.requests.size ();
    eg_lifecycle_stop (world.lifecycle);
    world.arrive (true, 0, 10 * SECOND);
    RC_ASSERT (world.requests.size () == before + 1);
    RC_ASSERT (world.requests.rbegin ()->second.finals == 1);
    RC_ASSERT (world.requests.rbegin ()->second.attempts == 0u);
    for (uint64_t id : world.running ())
      while (world.requests.at (id).running)
        world.token (id);
  });
  return ok ? 0 : 1;
}
