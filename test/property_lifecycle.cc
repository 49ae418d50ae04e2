// Properties of the request lifecycle, tested with simulated servers.
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "policy/lifecycle.h"

namespace
{

constexpr int64_t MS = 1000; // A millisecond, in microseconds.
constexpr int64_t SECOND = 1000 * MS;
constexpr uint32_t LAYERS = 32;

// Expected state of one request.
struct tracked_request
{
  eg_outcome outcome;
  bool idempotent;
  int64_t deadline_us;
  int64_t tokens = 0; // Sent to the client.
  int64_t expected_tokens = 0;
  uint32_t attempts = 0;
  int outcomes = 0;
  bool abandoned = false;
  bool may_have_run = false; // Some attempt may have reached a server.
  bool running = false;
  eg_chain chain;
};

struct fleet_simulation
{
  eg_servers *servers = eg_servers_new ();
  eg_lifecycle *lifecycle = nullptr;
  std::map<uint64_t, tracked_request> requests;
  std::set<uint32_t> leaving;
  std::map<uint32_t, int64_t> leaving_since;
  int64_t now_us = SECOND;
  uint64_t first_attempts = 0;
  uint64_t retries = 0;
  uint64_t next_id = 1;
  double reserve;

  explicit fleet_simulation (double retry_reserve = 5) : reserve (retry_reserve)
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

  ~fleet_simulation ()
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
  submit (bool idempotent, unsigned class_index, int64_t budget_us)
  {
    uint64_t id = next_id++;
    tracked_request &tracked = requests[id];
    eg_lifecycle_request request = {};

    eg_outcome_init (&tracked.outcome, idempotent ? EG_OUTCOME_IDEMPOTENT
                                                  : EG_OUTCOME_NON_IDEMPOTENT);
    tracked.idempotent = idempotent;
    tracked.deadline_us = now_us + budget_us;
    tracked.expected_tokens = 1 + static_cast<int64_t> (id % 5);
    request.id = id;
    request.organisation = id % 3 ? EG_STR ("temple") : EG_STR ("clerks");
    request.class_index = class_index;
    request.target = EG_STR ("m");
    request.fingerprint = id;
    request.tokens_max = tracked.expected_tokens;
    request.cost = 10;
    request.outcome = &tracked.outcome;
    request.arrived_us = now_us;
    request.deadline_us = tracked.deadline_us;
    request.send_by_us = INT64_MAX;
    eg_lifecycle_submit (lifecycle, &request, now_us);
    take_actions ();
  }

  void
  on_start (tracked_request &tracked, const eg_action &action)
  {
    RC_ASSERT (tracked.outcomes == 0 && !tracked.abandoned);
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
        // Four slots, and half as many again as headroom for the first class.
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
        tracked_request &tracked = requests.at (action.request);
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
            RC_ASSERT (tracked.tokens == tracked.expected_tokens);
            tracked.outcomes++;
            break;
          case EG_ACTION_REFUSE:
            tracked.outcomes++;
            if (action.ran == EG_RAN_NO)
              RC_ASSERT (!tracked.may_have_run && !tracked.running);
            if (tracked.tokens > 0)
              RC_ASSERT (action.ran == EG_RAN_YES);
            break;
          case EG_ACTION_QUARANTINE:
            break;
          }
        RC_ASSERT (tracked.outcomes <= 1);
        RC_ASSERT (!(tracked.outcomes == 1 && tracked.abandoned));
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
    tracked_request &tracked = requests.at (id);

    // Tokens of an older attempt and tokens out of order must be dropped.
    RC_ASSERT (!eg_lifecycle_token (lifecycle, id, tracked.attempts - 1,
                                    tracked.tokens + 1, now_us));
    RC_ASSERT (!eg_lifecycle_token (lifecycle, id, tracked.attempts,
                                    tracked.tokens + 2, now_us));
    RC_ASSERT (eg_lifecycle_token (lifecycle, id, tracked.attempts,
                                   tracked.tokens + 1, now_us));
    tracked.tokens++;
    tracked.may_have_run = true;
    if (tracked.tokens == tracked.expected_tokens)
      {
        tracked.running = false;
        eg_lifecycle_attempt_done (lifecycle, id, tracked.attempts, now_us);
      }
    take_actions ();
  }

  void
  fail (uint64_t id, eg_attempt_cause cause)
  {
    tracked_request &tracked = requests.at (id);
    eg_attempt_failure failure = {cause, {nullptr, 0}};

    tracked.running = false;
    if (cause != EG_ATTEMPT_NOT_SENT && cause != EG_ATTEMPT_REFUSED)
      tracked.may_have_run = true;
    eg_lifecycle_attempt_failed (lifecycle, id, tracked.attempts, &failure,
                                 now_us);
    take_actions ();
  }

  // Crashes the first server of the request's chain, which fails all attempts
  // on it.
  void
  crash_head (uint64_t id)
  {
    uint32_t server = requests.at (id).chain.stages[0].server;
    std::string address = eg_servers_get (servers, server)->address;
    std::vector<uint64_t> affected;

    for (uint64_t other : running ())
      for (size_t i = 0; i < requests.at (other).chain.count; i++)
        if (requests.at (other).chain.stages[i].server == server)
          affected.push_back (other);
    for (uint64_t victim : affected)
      {
        tracked_request &tracked = requests.at (victim);
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
  cancel (uint64_t id)
  {
    tracked_request &tracked = requests.at (id);

    if (tracked.outcomes > 0 || tracked.abandoned)
      return;
    tracked.abandoned = true;
    tracked.running = false;
    eg_lifecycle_cancel (lifecycle, id, now_us);
    take_actions ();
  }

  void
  advance (int64_t us)
  {
    now_us += us;
    eg_lifecycle_tick (lifecycle, now_us);
    take_actions ();
  }
};

void
step (fleet_simulation &simulation)
{
  auto running = simulation.running ();
  int kind = *rc::gen::inRange (0, 12);

  if (kind <= 2)
    simulation.submit (*rc::gen::inRange (0, 3) > 0,
                       *rc::gen::inRange<unsigned> (0, 2),
                       *rc::gen::inRange<int64_t> (10, 20000) * MS);
  else if (kind <= 6 && !running.empty ())
    simulation.token (running[*rc::gen::inRange<size_t> (0, running.size ())]);
  else if (kind == 7 && !running.empty ())
    simulation.fail (running[*rc::gen::inRange<size_t> (0, running.size ())],
                     static_cast<eg_attempt_cause> (*rc::gen::inRange (0, 7)));
  else if (kind == 8 && simulation.next_id > 1)
    simulation.cancel (*rc::gen::inRange<uint64_t> (1, simulation.next_id));
  else if (kind == 9)
    {
      uint32_t server = *rc::gen::inRange<uint32_t> (0, 8);

      if (*rc::gen::inRange (0, 3) == 0)
        simulation.leaving.insert (server);
      else
        simulation.leaving.erase (server);
      simulation.report (server);
      eg_lifecycle_servers_changed (simulation.lifecycle, simulation.now_us);
      simulation.take_actions ();
    }
  else if (kind == 10)
    {
      uint32_t server = *rc::gen::inRange<uint32_t> (0, 8);

      eg_servers_record_failure (simulation.servers, server, simulation.now_us);
      eg_lifecycle_server_unresponsive (simulation.lifecycle, server,
                                        simulation.now_us);
      simulation.take_actions ();
    }
  else
    simulation.advance (*rc::gen::inRange<int64_t> (1, 800) * MS);
}

} // namespace

int
main ()
{
  bool ok = true;

  ok &= rc::check ("each request ends in exactly one outcome", [] {
    fleet_simulation simulation;

    for (int i = 0; i < 150; i++)
      step (simulation);
    // Advance the time past every deadline.
    for (int i = 0; i < 30; i++)
      simulation.advance (SECOND);
    for (const auto &[id, tracked] : simulation.requests)
      RC_ASSERT (tracked.outcomes + (tracked.abandoned ? 1 : 0) == 1);
    struct eg_lifecycle_counts counts =
        eg_lifecycle_counts (simulation.lifecycle);
    RC_ASSERT (counts.arrived
               == counts.finished + counts.refused + counts.abandoned);
    RC_ASSERT (counts.queued == 0u && counts.running == 0u);
    for (uint32_t i = 0; i < 8; i++)
      RC_ASSERT (eg_servers_get (simulation.servers, i)->in_flight == 0u);
  });

  ok &= rc::check ("only a request that crashes servers is quarantined", [] {
    fleet_simulation simulation (50);
    uint64_t crashing_id = *rc::gen::inRange<uint64_t> (1, 5);

    // Leave two servers for the first half of the model.
    simulation.leaving = {4, 6};
    simulation.report (4);
    simulation.report (6);
    for (int i = 0; i < 4; i++)
      simulation.submit (true, 0, 20 * SECOND);
    int ran = 0;
    for (int i = 0;
         i < 400 && simulation.requests.at (crashing_id).outcomes == 0; i++)
      {
        // The request crashes a server only after it has run for a while.
        ran = simulation.requests.at (crashing_id).running ? ran + 1 : 0;
        if (ran > 5)
          simulation.crash_head (crashing_id);
        for (uint64_t id : simulation.running ())
          if (i % 20 == 19 && id != crashing_id)
            simulation.token (id);
        simulation.advance (10 * MS);
        for (uint32_t server = 0; server < 8; server++)
          simulation.report (server);
      }
    RC_ASSERT (simulation.requests.at (crashing_id).outcomes == 1);
    RC_ASSERT (simulation.requests.at (crashing_id).tokens == 0);
    for (int i = 0; i < 20; i++)
      {
        for (uint64_t id : simulation.running ())
          while (simulation.requests.at (id).running)
            simulation.token (id);
        simulation.advance (100 * MS);
        for (uint32_t server = 0; server < 8; server++)
          simulation.report (server);
      }
    for (const auto &[id, tracked] : simulation.requests)
      RC_ASSERT (id == crashing_id
                 || tracked.tokens == tracked.expected_tokens);
  });

  ok &= rc::check ("high-priority requests do not wait for a full fleet", [] {
    fleet_simulation simulation;
    unsigned started = 0;

    for (int i = 0; i < 30; i++)
      simulation.submit (true, 1, 20 * SECOND);
    RC_ASSERT (eg_lifecycle_counts (simulation.lifecycle).queued > 0u);
    for (unsigned i = 0; i < 8; i++)
      {
        simulation.submit (true, 0, 20 * SECOND);
        started += simulation.requests.rbegin ()->second.running ? 1 : 0;
      }
    // The four servers of the first half have headroom for two more requests
    // each.
    RC_ASSERT (started == 8u);
  });

  ok &= rc::check (
      "requests that cannot complete in time are refused on arrival", [] {
        fleet_simulation simulation;
        int64_t interval_us = *rc::gen::inRange<int64_t> (5, 50) * MS;

        // Five tokens have four intervals; the first responses set the
        // estimate.
        for (int i = 0; i < 10; i++)
          {
            simulation.next_id += (4 + 5 - simulation.next_id % 5) % 5;
            simulation.submit (true, 0, 20 * SECOND);
            uint64_t id = simulation.requests.rbegin ()->first;
            while (simulation.requests.at (id).running)
              {
                simulation.now_us += interval_us;
                simulation.token (id);
              }
          }
        simulation.next_id += (4 + 5 - simulation.next_id % 5) % 5;
        simulation.submit (true, 0, 3 * interval_us);
        RC_ASSERT (simulation.requests.rbegin ()->second.outcomes == 1);
        RC_ASSERT (simulation.requests.rbegin ()->second.attempts == 0u);
        simulation.next_id += (4 + 5 - simulation.next_id % 5) % 5;
        simulation.submit (true, 0, 8 * interval_us);
        RC_ASSERT (simulation.requests.rbegin ()->second.running);
        // The estimate is ignored after a while without a token.
        simulation.advance (3 * SECOND);
        simulation.next_id += (4 + 5 - simulation.next_id % 5) % 5;
        simulation.submit (true, 0, 3 * interval_us);
        RC_ASSERT (simulation.requests.rbegin ()->second.running);
      });

  ok &= rc::check (
      "a stopping entry VM refuses new requests and finishes the others", [] {
        fleet_simulation simulation;

        for (int i = 0; i < 30; i++)
          step (simulation);
        size_t before = simulation.requests.size ();
        eg_lifecycle_stop (simulation.lifecycle);
        simulation.submit (true, 0, 10 * SECOND);
        RC_ASSERT (simulation.requests.size () == before + 1);
        RC_ASSERT (simulation.requests.rbegin ()->second.outcomes == 1);
        RC_ASSERT (simulation.requests.rbegin ()->second.attempts == 0u);
        for (uint64_t id : simulation.running ())
          while (simulation.requests.at (id).running)
            simulation.token (id);
      });
  return ok ? 0 : 1;
}
