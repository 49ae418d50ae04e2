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

/* Values that the decoder rejects, in an object of another writer; the second
 * one also ends the object too early. test_json_splitter has more of them. */
static const char *const undecodable[] = {"18446744073709551615", "\"cut"};

static json_t *
undecodable_spec (void)
{
  return json_pack ("{s:s}", "sequence", "undecodable");
}

/* Requires that both VMs serve, and that they see that a server has gone. */
static void
assert_changes_are_seen (struct streams_fixture *self,
                         struct streams_engine *leaving)
{
  const struct streams_request request = {.plain = true, .body = "body"};

  assert_int_equal (streams_client_request (self, 0, &request), 200);
  streams_engine_withdraw (leaving);
  streams_run (self, APPLY_MS);
  assert_served_without (self, leaving);
}

/* One undecodable record made all servers unknown, on readers and on the VMs
 * that read their mirrors; after a restart, no VM became ready. */
static void
test_undecodable_record_of_a_server_leaves_the_others (void **state)
{
  struct streams_fixture *self = *state;
  struct streams_engine *leaving = &self->engines[STREAMS_ENGINES];

  for (size_t i = 0; i < sizeof undecodable / sizeof undecodable[0]; i++)
    {
      self->store.undecodable = undecodable[i];
      soak_store_put (&self->store, "servers", "other", undecodable_spec ());
      streams_run (self, 300);
      assert_changes_are_seen (self, leaving);
      streams_vms_restart (self);
      streams_engine_publish (leaving, false);
      streams_run (self, MEMBERS_READ_MS);
      assert_changes_are_seen (self, leaving);
      streams_engine_publish (leaving, false);
      streams_run (self, APPLY_MS);
    }
  assert_true (streams_count_log (self, 0, "event=object-undecodable") > 0);
}

/* A server whose record becomes undecodable must not be used as it was. */
static void
test_record_that_becomes_undecodable_replaces_the_former_one (void **state)
{
  struct streams_fixture *self = *state;
  struct streams_engine *replaced = &self->engines[STREAMS_ENGINES];

  self->store.undecodable = undecodable[0];
  soak_store_put (&self->store, "servers", replaced->id, undecodable_spec ());
  streams_run (self, APPLY_MS);
  assert_served_without (self, replaced);
}

/* Without the list of VMs, a VM neither finds its reader nor shares loads. */
static void
test_undecodable_entry_of_a_vm_leaves_the_others (void **state)
{
  struct streams_fixture *self = *state;
  unsigned before[2];

  self->store.undecodable = undecodable[0];
  soak_store_put (&self->store, "eelgrasswood-vms", "a", undecodable_spec ());
  for (unsigned vm = 0; vm < 2; vm++)
    before[vm] = streams_count_log (self, vm, "event=members-read count=2");
  streams_vms_restart (self);
  streams_run (self, MEMBERS_READ_MS);
  for (unsigned vm = 0; vm < 2; vm++)
    assert_true (streams_count_log (self, vm, "event=members-read count=2")
                 > before[vm]);
}

static bool
is_lease_taken_again (const struct streams_fixture *self)
{
  return streams_count_log (self, 0, "event=lease-taken")
             + streams_count_log (self, 1, "event=lease-taken")
         > 1;
}

/* No VM took a lease whose record it could not read, so that nothing was
 * planned until somebody deleted the record. */
static void
test_undecodable_lease_is_taken_after_its_time (void **state)
{
  struct streams_fixture *self = *state;

  self->store.undecodable = undecodable[0];
  soak_store_put (&self->store, "eelgrasswood-leases", "layer-planner",
                  undecodable_spec ());
  assert_true (streams_wait (self, is_lease_taken_again, 8000));
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
      READER_TEST (undecodable_record_of_a_server_leaves_the_others),
      READER_TEST (record_that_becomes_undecodable_replaces_the_former_one),
      READER_TEST (undecodable_entry_of_a_vm_leaves_the_others),
      READER_TEST (undecodable_lease_is_taken_after_its_time),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
