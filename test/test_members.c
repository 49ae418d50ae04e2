/* Tests of which reader of the store a VM asks after failures. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "entry/entry.h"

#define FAILURES 6

/** A VM that knows one reader. */
struct fixture
{
  struct eg_members members;
  struct eg_member reader;
};

static void
fail_often (struct fixture *fixture, enum eg_store_outcome outcome)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->reader.endpoint = (struct eg_endpoint){1, 2};
  fixture->members.readers[0] = &fixture->reader;
  fixture->members.in_domain = 3;
  for (int i = 0; i < FAILURES; i++)
    eg_members_record_peer_outcome (&fixture->members, fixture->reader.endpoint,
                                    outcome, EG_US_PER_S);
}

/* After an outage of the store all VMs go back to their reader at once; asked
 * one by one, they took a quarter of the store's calls of a day. */
static void
test_reader_without_store_is_asked_soon (void **state)
{
  struct fixture fixture;

  (void) state;
  fail_often (&fixture, EG_STORE_REFUSED);
  assert_null (eg_members_choose_reader (&fixture.members, EG_US_PER_S + 1));
  assert_ptr_equal (
      eg_members_choose_reader (&fixture.members, 3 * EG_US_PER_S),
      &fixture.reader);
}

static void
test_silent_reader_is_asked_ever_more_seldom (void **state)
{
  struct fixture fixture;

  (void) state;
  fail_often (&fixture, EG_STORE_NO_REPLY);
  assert_null (eg_members_choose_reader (&fixture.members, 10 * EG_US_PER_S));
  eg_members_record_peer_outcome (&fixture.members, fixture.reader.endpoint,
                                  EG_STORE_OK, 60 * EG_US_PER_S);
  assert_ptr_equal (
      eg_members_choose_reader (&fixture.members, 60 * EG_US_PER_S),
      &fixture.reader);
}

/* A VM that neither its readers nor the store answer tries the store again in
 * time: with pauses of up to 3.75 s one kept an old configuration for 5.6 s. */
static void
test_store_is_tried_again_in_time (void **state)
{
  static struct eg_entry entry;
  const int64_t longest_us = 2500 * EG_US_PER_MS;
  struct eg_feed_source source;

  (void) state;
  eg_random_init (&entry.random, 1);
  eg_source_selector_init (&entry.sources, &entry);
  source = eg_source_selector_feed_source (&entry.sources);
  for (int i = 0; i < 1000; i++)
    {
      int64_t now_us = eg_clock_now_us ();

      source.outcome (source.context, &entry.store, EG_STORE_NO_REPLY);
      assert_true (entry.sources.direct_next_us > now_us);
      assert_true (entry.sources.direct_next_us - now_us < longest_us);
    }
}

/* Where both readers of a failure domain are cut off, asking one after the
 * other keeps a VM from the store for two time-outs and more. */
static void
test_silent_reader_is_followed_by_the_store (void **state)
{
  static struct eg_entry entry;
  static struct eg_member readers[2];
  struct eg_feed_source source;

  (void) state;
  eg_random_init (&entry.random, 1);
  eg_source_selector_init (&entry.sources, &entry);
  source = eg_source_selector_feed_source (&entry.sources);
  entry.members.in_domain = 18;
  entry.members.own_rank = 7;
  for (uint32_t i = 0; i < 2; i++)
    {
      readers[i].endpoint = (struct eg_endpoint){i + 1, 1};
      entry.members.readers[i] = &readers[i];
    }
  assert_ptr_equal (source.choose (source.context, NULL), &entry.sources.peer);
  source.outcome (source.context, &entry.sources.peer, EG_STORE_NO_REPLY);
  assert_ptr_equal (source.choose (source.context, NULL), &entry.store);
  source.outcome (source.context, &entry.store, EG_STORE_OK);
  assert_ptr_equal (source.choose (source.context, NULL), &entry.sources.peer);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_reader_without_store_is_asked_soon),
      cmocka_unit_test (test_silent_reader_is_asked_ever_more_seldom),
      cmocka_unit_test (test_store_is_tried_again_in_time),
      cmocka_unit_test (test_silent_reader_is_followed_by_the_store),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
