/* Properties of the table of servers and of the prefix table. */
#include <algorithm>
#include <list>
#include <set>

#include "policy/replicas.h"
#include "test/fleet.h"

static const unsigned ADDRESSES = 6;

enum action
{
  ADD,
  REPORT,
  STOP,
  RESUME,
  BEGIN,
  END_WELL,
  END_BADLY,
  POLL_FAILED,
  SWEEP,
  ACTION_COUNT
};

struct step
{
  unsigned action;
  unsigned number; /* Of the address. */
  unsigned reason; /* Bit of the stop. */
  int64_t after_us;
};

/* What the table should know of one address. */
struct expected_server
{
  bool present = false;
  bool reported = false;
  uint32_t index = EG_SERVER_NONE;
  unsigned stops = 0;
  uint32_t in_flight = 0;
};

static rc::Gen<step>
any_step ()
{
  return rc::gen::exec ([] () -> step {
    return {*rc::gen::inRange<unsigned> (0, ACTION_COUNT),
            *rc::gen::inRange<unsigned> (0, ADDRESSES),
            *rc::gen::element (0u, 2u, 3u, 4u, 4u, 4u),
            *rc::gen::element<int64_t> (0, 1000, 300000, 2000000)};
  });
}

static std::string
address_of (unsigned number)
{
  return "10.0.0." + std::to_string (number) + ":80";
}

static void
apply (table &t, expected_server &s, const step &step, int64_t now_us)
{
  auto reason = (enum eg_server_block_reason) (1u << step.reason);
  struct eg_server_report report = plain_report (0, 4, now_us);

  if (step.action == ADD)
    {
      s.index = t.add (step.number, 0);
      s.present = true;
    }
  if (!s.present)
    return;
  if (step.action == REPORT)
    s.reported |= eg_servers_report (t.servers, s.index, &report, now_us);
  if (step.action == STOP || step.action == RESUME)
    {
      eg_servers_set_blocked (t.servers, s.index, reason, step.action == STOP);
      s.stops = step.action == STOP ? s.stops | reason : s.stops & ~reason;
    }
  if (step.action == BEGIN && eg_servers_usable (t.servers, s.index, now_us))
    {
      eg_servers_begin_attempt (t.servers, s.index, now_us);
      s.in_flight++;
    }
  if ((step.action == END_WELL || step.action == END_BADLY) && s.in_flight)
    {
      eg_servers_end_attempt (t.servers, s.index, step.action == END_BADLY,
                              now_us);
      s.in_flight--;
    }
  if (step.action == POLL_FAILED)
    eg_servers_record_failure (t.servers, s.index, now_us);
}

static void
check_table (const table &t,
             const expected_server (&servers)[ADDRESSES],
             int64_t now_us)
{
  for (unsigned i = 0; i < ADDRESSES; i++)
    {
      const expected_server &s = servers[i];
      std::string address = address_of (i);
      uint32_t index =
          eg_servers_find (t.servers, eg_str_from (address.c_str ()));

      RC_ASSERT (index == (s.present ? s.index : EG_SERVER_NONE));
      if (!s.present)
        continue;
      RC_ASSERT (eg_servers_get (t.servers, index)->in_flight == s.in_flight);
      RC_ASSERT (eg_servers_get (t.servers, index)->block_reasons == s.stops);
      RC_ASSERT (eg_servers_load (t.servers, index) >= s.in_flight);
      if (s.stops || !s.reported)
        RC_ASSERT (!eg_servers_usable (t.servers, index, now_us));
    }
}

/* Every server that may get work is in one set, and no other server is. */
static void
check_sets (const table &t, const expected_server (&servers)[ADDRESSES])
{
  const struct eg_replicas *replicas = eg_servers_replicas (t.servers);
  std::multiset<uint32_t> members;
  std::multiset<uint32_t> expected;

  for (size_t i = 0; i < replicas->pool_count; i++)
    for (size_t j = 0; j < replicas->pools[i]->set_count; j++)
      {
        const struct eg_replica_set *set = replicas->pools[i]->sets[j];

        members.insert (set->members, set->members + set->count);
      }
  for (const expected_server &s : servers)
    if (s.reported && !s.stops)
      expected.insert (s.index);
  RC_ASSERT (members == expected);
}

/* Whatever happens, servers that stopped are not usable, and an index stays
   with its server until that is gone with nothing in flight. */
static void
table_keeps_its_promises ()
{
  auto steps = *rc::gen::resize (
      200, rc::gen::container<std::vector<step> > (any_step ()));
  expected_server servers[ADDRESSES];
  table t (1);
  int64_t now_us = 1;

  for (const step &step : steps)
    {
      now_us += step.after_us;
      apply (t, servers[step.number], step, now_us);
      if (step.action == SWEEP)
        {
          eg_servers_sweep (t.servers, now_us);
          for (expected_server &s : servers)
            if (s.stops & EG_SERVER_GONE && s.in_flight == 0)
              s = expected_server ();
        }
      check_table (t, servers, now_us);
      check_sets (t, servers);
    }
  RC_ASSERT (eg_servers_count (t.servers) <= ADDRESSES);
  RC_ASSERT (eg_servers_add (t.servers, EG_STR ("an address that is too long"),
                             EG_STR ("d0"))
             == EG_SERVER_NONE);
  eg_servers_set_blocked (t.servers, EG_SERVER_NONE, EG_SERVER_GONE, true);
}

/* After a failure no work until the back-off is over, which doubles for each
   failed probe, and then one attempt at a time. A newer report ends this, but
   not for a server that failed three times all the same. */
static void
single_probes ()
{
  uint32_t before = *rc::gen::inRange<uint32_t> (1, 8);
  unsigned failed_probes = *rc::gen::inRange (0u, 5u);
  bool newer = *rc::gen::arbitrary<bool> ();
  bool by_report = newer && failed_probes < 2;
  table t (1);
  uint32_t index = t.add (1, 0);
  struct eg_server_report report = plain_report (0, 4, 0);
  int64_t now_us = 1000000;

  eg_servers_report (t.servers, index, &report, 0);
  for (uint32_t i = 0; i < before; i++)
    eg_servers_begin_attempt (t.servers, index, now_us);
  for (uint32_t i = 0; i < before; i++)
    eg_servers_end_attempt (t.servers, index, true, now_us);
  for (unsigned i = 0; i <= failed_probes; i++)
    {
      int64_t retry_us = now_us + (INT64_C (250000) << i);

      RC_ASSERT (eg_servers_get (t.servers, index)->retry_at_us == retry_us);
      RC_ASSERT (!eg_servers_usable (t.servers, index, retry_us - 1));
      now_us = retry_us;
      RC_ASSERT (eg_servers_usable (t.servers, index, now_us));
      eg_servers_begin_attempt (t.servers, index, now_us);
      RC_ASSERT (!eg_servers_usable (t.servers, index, now_us));
      if (i < failed_probes)
        eg_servers_end_attempt (t.servers, index, true, now_us);
    }
  report.as_of_us = newer ? now_us : 500000;
  eg_servers_report (t.servers, index, &report, now_us);
  RC_ASSERT (eg_servers_usable (t.servers, index, now_us) == by_report);
  eg_servers_end_attempt (t.servers, index, false, now_us);
  RC_ASSERT (eg_servers_usable (t.servers, index, now_us));
}

/* Begins and ends after the time of the last report are counted: all of them,
   and only them while they are few. */
static void
late_reports_are_corrected ()
{
  auto events = *rc::gen::container<std::vector<bool> > (
      *rc::gen::element (20u, 60u, 300u), rc::gen::arbitrary<bool> ());
  int64_t as_of_us = *rc::gen::inRange<int64_t> (0, 301);
  table t (1);
  uint32_t index = t.add (1, 0);
  struct eg_server_report report = plain_report (5, 400, 0);
  const struct eg_server *server = eg_servers_get (t.servers, index);
  uint32_t begun = 0;
  uint32_t ended = 0;

  eg_servers_report (t.servers, index, &report, 0);
  for (size_t i = 0; i < events.size (); i++)
    {
      bool begin = events[i] || server->in_flight == 0;
      int64_t now_us = (int64_t) i + 1;

      if (begin)
        eg_servers_begin_attempt (t.servers, index, now_us);
      else
        eg_servers_end_attempt (t.servers, index, false, now_us);
      begun += begin && now_us > as_of_us;
      ended += !begin && now_us > as_of_us;
    }
  report.as_of_us = as_of_us;
  eg_servers_report (t.servers, index, &report, 1000);
  RC_ASSERT (server->sent_since >= begun);
  RC_ASSERT (server->ended_since >= ended);
  if (events.size () > 64)
    return;
  RC_ASSERT (server->sent_since == begun && server->ended_since == ended);
  RC_ASSERT (
      eg_servers_load (t.servers, index)
      == std::max<int64_t> (server->in_flight, INT64_C (5) + begun - ended));
}

/* The prefix table does as a plain list of the latest notes. */
static void
prefixes_are_bounded ()
{
  const uint32_t entries_max = 4;
  auto steps = *rc::gen::container<std::vector<std::pair<int, uint64_t> > > (
      rc::gen::pair (rc::gen::inRange (0, 6),
                     rc::gen::inRange<uint64_t> (0, 8)));
  struct eg_prefix_table *table = eg_prefix_table_new (entries_max);
  std::list<std::pair<uint64_t, uint32_t> > notes; /* Newest first. */

  for (auto [action, hash] : steps)
    {
      uint32_t server = (uint32_t) action % 2;
      auto same_hash = [h = hash] (auto &note) { return note.first == h; };
      auto at = std::find_if (notes.begin (), notes.end (), same_hash);

      if (action < 4)
        {
          eg_prefix_table_put (table, hash, server);
          notes.remove_if (same_hash);
          notes.push_front ({hash, server});
          if (notes.size () > entries_max)
            notes.pop_back ();
        }
      else if (action == 4)
        {
          bool held = at != notes.end () && at->second == server;

          RC_ASSERT (eg_prefix_table_evict (table, hash, server) == held);
          if (held)
            notes.erase (at);
        }
      else if (hash == 0)
        {
          eg_prefix_table_remove_server (table, server);
          notes.remove_if ([=] (auto &n) { return n.second == server; });
        }
      RC_ASSERT (eg_prefix_table_count (table) == notes.size ());
      for (auto &note : notes)
        RC_ASSERT (eg_prefix_table_lookup (table, note.first) == note.second);
    }
  eg_prefix_table_free (table);
}

int
main ()
{
  bool ok = true;

  ok &= rc::check ("the table keeps its promises", table_keeps_its_promises);
  ok &= rc::check ("servers that failed get single probes", single_probes);
  ok &= rc::check ("late reports are corrected", late_reports_are_corrected);
  ok &= rc::check ("prefixes are bounded", prefixes_are_bounded);
  return ok ? 0 : 1;
}
