/* Properties of the quarantine. */
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>

#include "policy/quarantine.h"

namespace
{

struct free_quarantine
{
  void
  operator() (eg_quarantine *self) const
  {
    eg_quarantine_free (self);
  }
};
using quarantine_ptr = std::unique_ptr<eg_quarantine, free_quarantine>;

int
draw (int low, int high)
{
  return *rc::gen::inRange (low, high);
}

uint64_t
draw_number (int count)
{
  return static_cast<uint64_t> (draw (0, count));
}

/* A table that never fills up, checked against a model of the crashes. */
void
quarantine_needs_distinct_servers ()
{
  const unsigned crashes_min = static_cast<unsigned> (draw (1, 5));
  const eg_quarantine_config config = {crashes_min, 100, 150, 1000};
  quarantine_ptr quarantine (eg_quarantine_new (&config));
  std::map<uint64_t, std::map<uint64_t, int64_t> > crashes;
  std::map<uint64_t, int64_t> until;
  int64_t now_us = 1;

  for (int i = 0; i < 200; i++)
    {
      uint64_t fingerprint = draw_number (3);
      uint64_t server = draw_number (6);
      std::map<uint64_t, int64_t> &own = crashes[fingerprint];
      int64_t retry_after_us;
      bool active;

      now_us += draw (0, 20);
      active = until[fingerprint] > now_us;
      RC_ASSERT (eg_quarantine_is_active (quarantine.get (), fingerprint,
                                          now_us, &retry_after_us)
                 == active);
      RC_ASSERT (retry_after_us == (active ? until[fingerprint] - now_us : 0));
      if (draw (0, 10) == 0)
        {
          /* A quarantine that has ended may still be in the table. */
          RC_ASSERT (eg_quarantine_remove (quarantine.get (), fingerprint)
                         == active
                     || !active);
          if (active)
            until[fingerprint] = 0;
          continue;
        }
      if (draw (0, 20) == 0)
        {
          int64_t added_until_us = now_us + draw (1, 300);

          eg_quarantine_add (quarantine.get (), fingerprint, added_until_us);
          until[fingerprint] = std::max (until[fingerprint], added_until_us);
          own.clear ();
          continue;
        }
      for (auto crash = own.begin (); crash != own.end ();)
        crash = now_us - crash->second > config.window_us ? own.erase (crash)
                                                          : std::next (crash);
      if (!active)
        own[server] = now_us;
      RC_ASSERT (eg_quarantine_record_crash (quarantine.get (), fingerprint,
                                             server, now_us)
                 == (!active && own.size () >= crashes_min));
      if (!active && own.size () >= crashes_min)
        {
          until[fingerprint] = now_us + config.duration_us;
          own.clear ();
        }
    }
}

/* Suspects are evicted before quarantines. */
void
suspects_are_evicted_before_quarantines ()
{
  const size_t entries_max = static_cast<size_t> (draw (2, 30));
  const eg_quarantine_config config = {2, 1000000, 1000000, entries_max};
  quarantine_ptr quarantine (eg_quarantine_new (&config));
  const uint64_t active = draw_number (static_cast<int> (entries_max));

  for (uint64_t i = 0; i < active; i++)
    eg_quarantine_add (quarantine.get (), i, 500000 + draw (0, 1000));
  for (uint64_t i = 0; i < 200; i++)
    {
      eg_quarantine_record_crash (quarantine.get (), 1000 + i, 1,
                                  draw (1, 100));
      RC_ASSERT (eg_quarantine_count (quarantine.get ()) <= entries_max);
    }
  for (uint64_t i = 0; i < active; i++)
    RC_ASSERT (eg_quarantine_is_active (quarantine.get (), i, 100, nullptr));
  /* The newest suspects were kept. */
  RC_ASSERT (eg_quarantine_record_crash (quarantine.get (), 1199, 2, 100));
  RC_ASSERT (!eg_quarantine_record_crash (quarantine.get (), 1000, 2, 100));
}

void
full_table_evicts_the_quarantine_that_ends_soonest ()
{
  const uint64_t entries_max = static_cast<uint64_t> (draw (1, 10));
  const eg_quarantine_config config = {2, 100, 100, entries_max};
  quarantine_ptr quarantine (eg_quarantine_new (&config));
  std::map<int64_t, uint64_t> by_end;

  for (uint64_t i = 0; i < 50; i++)
    {
      int64_t until_us = draw (1, 100000) * 50 + static_cast<int64_t> (i);

      eg_quarantine_add (quarantine.get (), i, until_us);
      if (by_end.size () == entries_max)
        by_end.erase (by_end.begin ());
      by_end[until_us] = i;
      RC_ASSERT (eg_quarantine_count (quarantine.get ()) == by_end.size ());
    }
  for (const auto &entry : by_end)
    RC_ASSERT (
        eg_quarantine_is_active (quarantine.get (), entry.second, 1, nullptr));
}

void
ended_entries_are_removed ()
{
  const eg_quarantine_config config = {2, 100, 100, 1000};
  quarantine_ptr quarantine (eg_quarantine_new (&config));

  for (uint64_t i = 0; i < 100; i++)
    eg_quarantine_record_crash (quarantine.get (), i / 2, draw_number (3),
                                draw (1, 50));
  eg_quarantine_record_crash (quarantine.get (), 5000, 1, 1000);
  RC_ASSERT (eg_quarantine_count (quarantine.get ()) == 1U);
}

} // namespace

int
main ()
{
  bool passed = true;

  passed &= rc::check ("a quarantine needs distinct servers",
                       quarantine_needs_distinct_servers);
  passed &= rc::check ("suspects are evicted before quarantines",
                       suspects_are_evicted_before_quarantines);
  passed &= rc::check ("a full table evicts the quarantine that ends soonest",
                       full_table_evicts_the_quarantine_that_ends_soonest);
  passed &= rc::check ("ended entries are removed", ended_entries_are_removed);
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
