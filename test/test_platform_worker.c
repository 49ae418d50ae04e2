/* Tests of calls to the platform whose answers are long and arrive slowly. */
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "platform/worker.h"
#include "test/soak/http_server.h"

#define TICK_MS 25
/* The rules of 9,200 organisations; see docs/CAPACITY.md. */
#define RULES_BYTES ((size_t) 700000)
#define TIMEOUT_US EG_US_PER_S
/* A call whose answer does not come has to end in this time. */
#define GIVEN_UP_MAX_US (4 * EG_US_PER_S)

/** A platform with one long object, and a worker that reads it. */
struct fixture
{
  uv_loop_t loop;
  uv_timer_t tick;
  struct soak_http_server server;
  struct eg_platform_worker *worker;
  _Atomic (struct eg_platform_reply *) reply;
};

static void
on_request (void *context, struct soak_http_connection *connection)
{
  static char rules[RULES_BYTES];

  (void) context;
  memset (rules, 'r', sizeof rules);
  soak_http_respond (connection, 200, EG_STR ("ETag: \"7\"\r\n"),
                     (struct eg_str){rules, sizeof rules});
}

static void
on_reply (void *context, struct eg_platform_reply *reply)
{
  atomic_store (&((struct fixture *) context)->reply, reply);
}

static void
on_tick (uv_timer_t *timer)
{
  (void) timer;
}

static int
start (void **state)
{
  static struct fixture fixture;
  const struct eg_platform_sink sink = {on_reply, &fixture};
  char address[32];

  memset (&fixture, 0, sizeof fixture);
  uv_loop_init (&fixture.loop);
  uv_timer_init (&fixture.loop, &fixture.tick);
  uv_timer_start (&fixture.tick, on_tick, TICK_MS, TICK_MS);
  soak_http_server_init (&fixture.server, &fixture.loop, 0, on_request,
                         &fixture);
  soak_http_server_start (&fixture.server);
  soak_format_address (fixture.server.endpoint, address, sizeof address);
  fixture.worker = eg_platform_worker_new (address, &sink);
  assert_non_null (fixture.worker);
  *state = &fixture;
  return 0;
}

static int
stop (void **state)
{
  struct fixture *self = *state;

  eg_platform_worker_free (self->worker);
  eg_platform_reply_free (self->reply);
  soak_http_server_stop (&self->server);
  uv_close ((uv_handle_t *) &self->tick, NULL);
  uv_run (&self->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&self->loop), 0);
  return 0;
}

/* Reads the object and returns how long it took. */
static int64_t
read_rules (struct fixture *self)
{
  int64_t started_us = eg_clock_now_us ();
  struct eg_platform_command *command =
      eg_platform_command_new (EG_PLATFORM_GET, 1);

  eg_str_copy (EG_STR ("rules"), command->key, sizeof command->key);
  command->timeout_us = TIMEOUT_US;
  assert_true (eg_platform_worker_push (self->worker, command));
  while (!atomic_load (&self->reply))
    uv_run (&self->loop, UV_RUN_ONCE);
  return eg_clock_now_us () - started_us;
}

/* An object that took longer to arrive than a call might last was never read:
 * each attempt began anew. */
static void
test_rules_that_keep_arriving_are_read (void **state)
{
  struct fixture *self = *state;

  self->server.bytes_per_ms = 300;
  assert_true (read_rules (self) > 2 * TIMEOUT_US);
  assert_int_equal (self->reply->status, EG_OK);
  assert_int_equal (self->reply->value.len, RULES_BYTES);
}

static void
test_rules_that_stall_are_given_up (void **state)
{
  struct fixture *self = *state;

  self->server.bytes_per_ms = 300;
  self->server.stalls_after = RULES_BYTES / 8;
  assert_true (read_rules (self) < GIVEN_UP_MAX_US);
  assert_int_equal (self->reply->status, EG_UNAVAILABLE);
}

#define WORKER_TEST(name)                                                      \
  cmocka_unit_test_setup_teardown (test_##name, start, stop)

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      WORKER_TEST (rules_that_keep_arriving_are_read),
      WORKER_TEST (rules_that_stall_are_given_up),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
