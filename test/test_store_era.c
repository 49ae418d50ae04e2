/* Tests of a store that comes back from a copy some seconds old. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "base/clock.h"
#include "policy/lease.h"
#include "test/streams_fixture.h"

/* Time in which a change in the store is in force. */
#define APPLY_MS 1500
/* Time until all that was lost is written again, by its writers. */
#define REWRITTEN_MS 1200
#define MEMBERS_READ_MS 1500

static struct streams_fixture fixture;

static int
start (void **state)
{
  const struct streams_options options = {.retry_ratio = 0.2,
                                          .retry_extra = 200,
                                          .retry_window_ms = 10000,
                                          .engines = 2,
                                          .plain = 2,
                                          .vms = 2};

  streams_fixture_init (&fixture, &options);
  streams_run (&fixture, MEMBERS_READ_MS);
  *state = &fixture;
  return 0;
}

static int
stop (void **state)
{
  streams_fixture_finish (*state);
  return 0;
}

static void
test_configuration_in_force_outlasts_a_store_that_steps_back (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request at_v2[] = {
      {.plain = true, .body = "body", .path = "/v2/x"},
      {.vm = 1, .plain = true, .body = "body", .path = "/v2/x"}};
  struct soak_store_copy copy;

  soak_store_copy (&self->store, &copy);
  streams_publish_configuration (self, 2);
  streams_run (self, APPLY_MS);
  soak_store_restore (&self->store, &copy);
  for (int i = 0; i < 10; i++)
    {
      assert_int_equal (streams_client_request (self, 0, &at_v2[i % 2]), 200);
      streams_run (self, 100);
    }
}

static void
test_changes_after_a_step_back_are_seen_whatever_their_revision (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request at_v3[] = {
      {.plain = true, .body = "body", .path = "/v3/x"},
      {.vm = 1, .plain = true, .body = "body", .path = "/v3/x"}};
  struct soak_store_copy copy;

  soak_store_copy (&self->store, &copy);
  for (int i = 0; i < 5; i++)
    soak_store_put (&self->store, "servers", "other", json_object ());
  streams_run (self, APPLY_MS);
  soak_store_restore (&self->store, &copy);
  /* The revisions of what is lost are given out again at once. */
  streams_publish_configuration (self, 3);
  for (int i = 0; i < 10; i++)
    soak_store_put (&self->store, "servers", "other", json_object ());
  streams_run (self, APPLY_MS);
  assert_int_equal (streams_client_request (self, 0, &at_v3[0]), 200);
  assert_int_equal (streams_client_request (self, 0, &at_v3[1]), 200);
}

static void
test_servers_that_the_copy_lacks_are_used_until_they_are_written (void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request request = {.body = "body"};
  struct soak_store_copy copy;

  streams_engine_withdraw (&self->engines[0]);
  streams_engine_withdraw (&self->engines[1]);
  streams_run (self, APPLY_MS);
  soak_store_copy (&self->store, &copy);
  streams_engine_publish (&self->engines[0], false);
  streams_engine_publish (&self->engines[1], false);
  streams_run (self, APPLY_MS);
  soak_store_restore (&self->store, &copy);
  streams_run (self, 300);
  streams_client_send (self, 0, &request);
  streams_run (self, 300);
  assert_int_equal (self->clients[0].status, 200);
  streams_engine_publish (&self->engines[0], false);
  streams_engine_publish (&self->engines[1], false);
  streams_run (self, REWRITTEN_MS);
  assert_int_equal (streams_client_request (self, 0, &request), 200);
}

static void
test_server_that_leaves_gets_no_work_though_the_copy_calls_it_ready (
    void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request request = {.body = "body"};
  struct soak_store_copy copy;

  soak_store_copy (&self->store, &copy);
  streams_engine_publish (&self->engines[0], true);
  streams_run (self, APPLY_MS);
  soak_store_restore (&self->store, &copy);
  streams_run (self, APPLY_MS);
  self->engines[0].arrivals = 0;
  self->engines[1].full = true;
  for (int i = 0; i < 5; i++)
    streams_client_request (self, 0, &request);
  assert_int_equal (self->engines[0].arrivals, 0);
}

static void
test_vm_that_starts_after_a_step_back_uses_its_peers_newer_configuration (
    void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request at_v2 = {
      .vm = 1, .plain = true, .body = "body", .path = "/v2/x"};
  struct soak_store_copy copy;

  soak_store_copy (&self->store, &copy);
  streams_publish_configuration (self, 2);
  streams_run (self, APPLY_MS);
  soak_store_restore (&self->store, &copy);
  streams_vm_restart (self, 1);
  for (int i = 0; i < 5; i++)
    {
      assert_int_equal (streams_client_request (self, 0, &at_v2), 200);
      streams_run (self, 100);
    }
}

static void
test_vm_that_starts_after_a_step_back_sends_nothing_to_a_server_that_left (
    void **state)
{
  struct streams_fixture *self = *state;
  const struct streams_request request = {.vm = 1, .body = "body"};
  struct soak_store_copy copy;

  soak_store_copy (&self->store, &copy);
  streams_engine_publish (&self->engines[0], true);
  streams_run (self, APPLY_MS);
  soak_store_restore (&self->store, &copy);
  streams_vm_restart (self, 1);
  streams_run (self, APPLY_MS);
  self->engines[0].arrivals = 0;
  self->engines[1].full = true;
  for (int i = 0; i < 5; i++)
    streams_client_request (self, 0, &request);
  assert_int_equal (self->engines[0].arrivals, 0);
}

/* Publishes a version and asks both VMs for its route. */
static void
check_change (struct streams_fixture *self, int version)
{
  char path[32];

  snprintf (path, sizeof path, "/v%d/x", version);
  streams_publish_configuration (self, version);
  streams_run (self, APPLY_MS);
  for (unsigned vm = 0; vm < 2; vm++)
    assert_int_equal (
        streams_client_request (
            self, 0,
            &(struct streams_request){
                .vm = vm, .plain = true, .body = "body", .path = path}),
        200);
}

static void
test_changes_are_seen_whatever_the_store_calls_its_era (void **state)
{
  static const char *const eras[] = {"-3", "soon", "", "1e3",
                                     "99999999999999999999999"};
  struct streams_fixture *self = *state;

  for (int i = 0; i < 5; i++)
    {
      self->store.era_text = eras[i];
      check_change (self, 2 + i);
    }
}

static void
test_changes_are_seen_by_a_store_whose_era_falls (void **state)
{
  struct streams_fixture *self = *state;

  self->store.era = 5;
  check_change (self, 2);
  self->store.era = 2;
  streams_run (self, 1000);
  check_change (self, 3);
}

static const struct eg_lease_config lease_config = {.duration_us = 2200000,
                                                    .drift_us = 100000,
                                                    .pause_us = 200000,
                                                    .renew_us = 700000,
                                                    .watch_us = 2000000,
                                                    .retry_us = 500000};
#define LEASE_START_US (10 * EG_US_PER_S)

/* Lets a process write the lease as revision 10. */
static void
take_lease (struct eg_lease *lease, struct eg_random *random)
{
  eg_random_init (random, 1);
  eg_lease_init (lease, &lease_config, 7, EG_STR ("node"));
  eg_lease_update (lease, EG_LEASE_TIME, 0, NULL, LEASE_START_US, random);
  eg_lease_update (lease, EG_LEASE_MISSING, 0, NULL, LEASE_START_US, random);
  assert_int_equal (eg_lease_update (lease, EG_LEASE_TIME, 0, NULL,
                                     LEASE_START_US + 3 * EG_US_PER_S, random),
                    EG_LEASE_READ);
  assert_int_equal (eg_lease_update (lease, EG_LEASE_MISSING, 0, NULL,
                                     LEASE_START_US + 3 * EG_US_PER_S, random),
                    EG_LEASE_CREATE);
  eg_lease_update (lease, EG_LEASE_WRITTEN, 10, NULL,
                   LEASE_START_US + 3 * EG_US_PER_S, random);
}

static void
test_former_holder_does_not_act_on_a_lease_that_came_back (void **state)
{
  int64_t now_us = LEASE_START_US + 20 * EG_US_PER_S;
  struct eg_lease_record record;
  struct eg_random random;
  struct eg_lease lease;

  (void) state;
  take_lease (&lease, &random);
  record = lease.next;
  eg_lease_update (&lease, EG_LEASE_TIME, 0, NULL, now_us, &random);
  eg_lease_update (&lease, EG_LEASE_CONFLICT, 0, NULL, now_us, &random);
  eg_lease_update (&lease, EG_LEASE_FOUND, 30,
                   &(struct eg_lease_record){.incarnation = 8}, now_us,
                   &random);
  eg_lease_store_restored (&lease, now_us);
  assert_int_equal (
      eg_lease_update (&lease, EG_LEASE_TIME, 0, NULL, now_us, &random),
      EG_LEASE_READ);
  assert_int_equal (
      eg_lease_update (&lease, EG_LEASE_FOUND, 10, &record, now_us, &random),
      EG_LEASE_WAIT);
  assert_false (eg_lease_is_held (&lease, now_us));
  assert_true (eg_lease_wake_us (&lease) >= now_us + lease_config.watch_us);
}

static void
test_holder_goes_on_after_a_step_back_and_renews_at_once (void **state)
{
  int64_t now_us = LEASE_START_US + 3800 * EG_US_PER_MS;
  struct eg_lease_record record;
  struct eg_random random;
  struct eg_lease lease;

  (void) state;
  take_lease (&lease, &random);
  record = lease.next;
  assert_int_equal (
      eg_lease_update (&lease, EG_LEASE_TIME, 0, NULL, now_us, &random),
      EG_LEASE_UPDATE);
  eg_lease_update (&lease, EG_LEASE_WRITTEN, 11, NULL, now_us, &random);
  eg_lease_store_restored (&lease, now_us);
  assert_true (eg_lease_is_held (&lease, now_us));
  assert_int_equal (
      eg_lease_update (&lease, EG_LEASE_TIME, 0, NULL, now_us, &random),
      EG_LEASE_READ);
  eg_lease_update (&lease, EG_LEASE_FOUND, 10, &record, now_us, &random);
  assert_true (eg_lease_is_held (&lease, now_us));
  assert_true (eg_lease_wake_us (&lease) <= now_us + lease_config.renew_us);
}

#define ERA_TEST(name)                                                         \
  cmocka_unit_test_setup_teardown (test_##name, start, stop)

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      ERA_TEST (configuration_in_force_outlasts_a_store_that_steps_back),
      ERA_TEST (changes_after_a_step_back_are_seen_whatever_their_revision),
      ERA_TEST (servers_that_the_copy_lacks_are_used_until_they_are_written),
      ERA_TEST (server_that_leaves_gets_no_work_though_the_copy_calls_it_ready),
      ERA_TEST (
          vm_that_starts_after_a_step_back_uses_its_peers_newer_configuration),
      ERA_TEST (
          vm_that_starts_after_a_step_back_sends_nothing_to_a_server_that_left),
      ERA_TEST (changes_are_seen_whatever_the_store_calls_its_era),
      ERA_TEST (changes_are_seen_by_a_store_whose_era_falls),
      cmocka_unit_test (
          test_former_holder_does_not_act_on_a_lease_that_came_back),
      cmocka_unit_test (
          test_holder_goes_on_after_a_step_back_and_renews_at_once),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
