/* Tests of VMs whose reader, the VM that reads the store for them, fails. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "test/streams_fixture.h"

/* Time in which a change in the store is in force. */
#define APPLY_MS 2000
/* Time until a VM has read which VM is its reader, and watches it. */
#define MEMBERS_READ_MS 2500

/* Longest age of keys that the fixture's VMs use. */
#define REVOCATION_MS 5000

static struct streams_fixture fixture;

static void
start_vms (void **state, bool one_domain)
{
  const struct streams_options options = {.retry_ratio = 0.2,
                                          .retry_extra = 200,
                                          .retry_window_ms = 10000,
                                          .engines = 1,
                                          .plain = 2,
                                          .vms = 2,
                                          .one_domain = one_domain};

  streams_fixture_init (&fixture, &options);
  streams_run (&fixture, MEMBERS_READ_MS);
  *state = &fixture;
}

/* VM 0 is the reader of VM 1: they differ in their names alone. */
static int
start (void **state)
{
  start_vms (state, true);
  return 0;
}

/* Each VM is the reader of its failure domain. */
static int
start_two_domains (void **state)
{
  start_vms (state, false);
  return 0;
}

static int
stop (void **state)
{
  streams_fixture_finish (*state);
  return 0;
}

/* Requires that VM 1 serves requests, and sends none of them to @p server. */
static void
assert_served_without (struct streams_fixture *self,
                       struct streams_engine *server)
{
  const struct streams_request request = {
      .vm = 1, .plain = true, .body = "body"};

  server->arrivals = 0;
  for (int i = 0; i < 8; i++)
    assert_int_equal (streams_client_request (self, 0, &request), 200);
  assert_int_equal (server->arrivals, 0);
}

static void
test_removal_after_a_readers_failure_is_not_taken_for_an_outage (void **state)
{
  struct streams_fixture *self = *state;
  struct streams_engine *leaving = &self->engines[STREAMS_ENGINES];

  streams_vm_kill (self, 0);
  streams_engine_withdraw (leaving);
  streams_run (self, 600);
  assert_served_without (self, leaving);
}

static void
test_change_is_in_force_in_time_while_the_reader_is_frozen (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request at_v2 = {
      .vm = 1, .plain = true, .body = "body", .path = "/v2/x"};

  uv_process_kill (&self->vms[0].process, SIGSTOP);
  streams_publish_configuration (self, 2);
  streams_run (self, APPLY_MS);
  assert_int_equal (streams_client_request (self, 0, &at_v2), 200);
  uv_process_kill (&self->vms[0].process, SIGCONT);
}

static void
test_reader_that_the_store_turns_away_goes_on_with_keys (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request keyed = {
      .vm = 1, .plain = true, .body = "body", .path = "/keyed/x"};

  assert_int_equal (streams_client_request (self, 0, &keyed), 200);
  self->store.turns_away_second = true;
  for (int i = 0; i < 4; i++)
    {
      streams_run (self, REVOCATION_MS / 2);
      assert_int_equal (streams_client_request (self, 0, &keyed), 200);
    }
}

static void
test_reader_that_the_store_turns_away_learns_of_servers (void **state)
{
  struct streams_fixture *self = *state;
  struct streams_engine *leaving = &self->engines[STREAMS_ENGINES];

  self->store.turns_away_second = true;
  streams_run (self, APPLY_MS);
  streams_engine_withdraw (leaving);
  streams_run (self, APPLY_MS);
  assert_served_without (self, leaving);
}

#define READER_TEST(name)                                                      \
  cmocka_unit_test_setup_teardown (test_##name, start, stop)

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      READER_TEST (removal_after_a_readers_failure_is_not_taken_for_an_outage),
      READER_TEST (change_is_in_force_in_time_while_the_reader_is_frozen),
      cmocka_unit_test_setup_teardown (
          test_reader_that_the_store_turns_away_goes_on_with_keys,
          start_two_domains, stop),
      cmocka_unit_test_setup_teardown (
          test_reader_that_the_store_turns_away_learns_of_servers,
          start_two_domains, stop),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
