/* Tests of what this VM knows of backend servers from several sources. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include <jansson.h>

#include "entry/fleet.h"

#define NOW_US INT64_C (5000000)

static void
on_reported (void *context,
             struct eg_backend *backend,
             const struct eg_engine_report *report)
{
  (void) context;
  (void) backend;
  (void) report;
}

static void
on_availability_changed (void *context)
{
  ++*(int *) context;
}

static void
update (struct eg_fleet *fleet, const char *state, int64_t start_ms)
{
  json_t *object =
      json_pack ("{s:{s:s, s:i}, s:{s:s, s:s, s:s, s:i, s:s, s:I}}", "metadata",
                 "name", "i-1", "revision", 1, "spec", "service", "app",
                 "address", "10.0.0.1:80", "zone", "room", "slots", 4, "state",
                 state, "born", (json_int_t) start_ms);

  assert_non_null (object);
  eg_fleet_update_server (fleet, object, false, NOW_US);
  json_decref (object);
}

static void
test_leaving_holds_for_one_start_whatever_its_source (void **state)
{
  int changes = 0;
  const struct eg_fleet_events events = {.reported = on_reported,
                                         .availability_changed =
                                             on_availability_changed,
                                         .context = &changes};
  const struct eg_server_notice notice = {.leaving = true};
  struct eg_fleet fleet;
  struct eg_backend *backend;

  (void) state;
  eg_fleet_init (&fleet, NULL, &events);
  update (&fleet, "ready", 100);
  backend = eg_fleet_find_by_endpoint (
      &fleet, (struct eg_endpoint){0x0100000a, 0x5000});
  assert_non_null (backend);
  assert_true (eg_backend_is_usable (backend, NOW_US));
  /* Another VM's news of an earlier start, or of an unknown server. */
  eg_fleet_leaving_reported (&fleet, EG_STR ("i-1"), 99, NOW_US);
  eg_fleet_leaving_reported (&fleet, EG_STR ("i-2"), 100, NOW_US);
  assert_true (eg_backend_is_usable (backend, NOW_US));
  eg_fleet_leaving_reported (&fleet, EG_STR ("i-1"), 100, NOW_US);
  assert_false (eg_backend_is_usable (backend, NOW_US));
  assert_int_equal (changes, 1);
  eg_backend_notice (backend, &notice, NOW_US);
  assert_int_equal (changes, 1);
  /* A record that has not followed yet does not take it back. */
  update (&fleet, "ready", 100);
  assert_false (eg_backend_is_usable (backend, NOW_US));
  update (&fleet, "draining", 100);
  assert_false (eg_backend_is_usable (backend, NOW_US));
  update (&fleet, "ready", 101);
  assert_true (eg_backend_is_usable (backend, NOW_US));
  assert_int_equal (backend->draining_us, 0);
  eg_backend_notice (backend, &notice, NOW_US);
  assert_false (eg_backend_is_usable (backend, NOW_US));
  eg_fleet_finish (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_leaving_holds_for_one_start_whatever_its_source),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
