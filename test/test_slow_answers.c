/* Tests of calls to a store or a mirror whose answers arrive slowly. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "platform/store.h"
#include "test/soak/http_server.h"

#define TICK_MS 25
#define ANSWER_BYTES ((size_t) 800000)
/* Time until the first bytes of an answer have to come. */
#define TIMEOUT_US (300 * EG_US_PER_MS)
/* A call whose answer does not come has to end in this time. */
#define GIVEN_UP_MAX_US (2 * EG_US_PER_S)

/** A server with a long answer, and one call to it. */
struct fixture
{
  uv_loop_t loop;
  uv_timer_t tick;
  struct soak_http_server server;
  struct eg_exchange_pool pool;
  struct eg_store store;
  struct eg_store_call call;
  struct eg_buffer answer;
  bool replied;
  enum eg_store_outcome outcome;
};

static void
on_request (void *context, struct soak_http_connection *connection)
{
  struct fixture *self = context;

  soak_http_respond (connection, 200, EG_STR (""),
                     eg_buffer_view (&self->answer));
}

static void
on_reply (void *context, enum eg_store_outcome outcome, json_t *document)
{
  struct fixture *self = context;

  (void) document;
  self->replied = true;
  self->outcome = outcome;
}

static void
on_tick (uv_timer_t *timer)
{
  struct fixture *self = timer->data;

  eg_store_call_check (&self->call, eg_clock_now_us ());
}

static void
write_answer (struct eg_buffer *answer)
{
  static char value[ANSWER_BYTES];

  memset (value, 'v', sizeof value);
  eg_buffer_append (answer, EG_STR ("{\"items\":[{\"metadata\":{\"name\":"
                                    "\"main\"},\"spec\":\""));
  eg_buffer_append (answer, (struct eg_str){value, sizeof value});
  eg_buffer_append (answer, EG_STR ("\"}],\"hasMore\":false,\"at\":7}"));
}

static int
start (void **state)
{
  static struct fixture fixture;
  const struct eg_store_reply_sink sink = {on_reply, &fixture};

  memset (&fixture, 0, sizeof fixture);
  uv_loop_init (&fixture.loop);
  uv_timer_init (&fixture.loop, &fixture.tick);
  fixture.tick.data = &fixture;
  uv_timer_start (&fixture.tick, on_tick, TICK_MS, TICK_MS);
  write_answer (&fixture.answer);
  soak_http_server_init (&fixture.server, &fixture.loop, 0, on_request,
                         &fixture);
  soak_http_server_start (&fixture.server);
  eg_exchange_pool_init (&fixture.pool, &fixture.loop, EG_US_PER_S);
  fixture.store.pool = &fixture.pool;
  fixture.store.endpoint = fixture.server.endpoint;
  eg_store_call_init (&fixture.call, &fixture.store, &sink);
  *state = &fixture;
  return 0;
}

static int
stop (void **state)
{
  struct fixture *self = *state;

  eg_store_call_finish (&self->call);
  soak_http_server_stop (&self->server);
  eg_exchange_pool_finish (&self->pool);
  uv_close ((uv_handle_t *) &self->tick, NULL);
  uv_run (&self->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&self->loop), 0);
  eg_buffer_finish (&self->answer);
  return 0;
}

/* Sends the call and returns how long it took. */
static int64_t
run_call (struct fixture *self)
{
  int64_t started_us = eg_clock_now_us ();

  assert_true (
      eg_store_call_start (&self->call, "GET", "config", NULL, TIMEOUT_US));
  while (!self->replied)
    uv_run (&self->loop, UV_RUN_ONCE);
  return eg_clock_now_us () - started_us;
}

/* An answer that took longer than the call's time-out was given up while it
 * arrived, and so was each further attempt. */
static void
test_answer_that_keeps_arriving_is_not_given_up (void **state)
{
  struct fixture *self = *state;

  self->server.bytes_per_ms = 1000;
  assert_true (run_call (self) > 2 * TIMEOUT_US);
  assert_int_equal (self->outcome, EG_STORE_OK);
}

static void
test_answer_that_stalls_is_given_up (void **state)
{
  struct fixture *self = *state;

  self->server.bytes_per_ms = 1000;
  self->server.stalls_after = ANSWER_BYTES / 8;
  assert_true (run_call (self) < GIVEN_UP_MAX_US);
  assert_int_equal (self->outcome, EG_STORE_NO_REPLY);
}

static void
test_answer_that_trickles_is_given_up (void **state)
{
  struct fixture *self = *state;

  self->server.bytes_per_ms = 1;
  assert_true (run_call (self) < GIVEN_UP_MAX_US);
  assert_int_equal (self->outcome, EG_STORE_NO_REPLY);
}

#define SLOW_ANSWER_TEST(name)                                                 \
  cmocka_unit_test_setup_teardown (test_##name, start, stop)

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      SLOW_ANSWER_TEST (answer_that_keeps_arriving_is_not_given_up),
      SLOW_ANSWER_TEST (answer_that_stalls_is_given_up),
      SLOW_ANSWER_TEST (answer_that_trickles_is_given_up),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
