/* Tests of calls to a store or a mirror whose answers are long, or arrive
 * slowly. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "net/content_coding.h"
#include "platform/store.h"
#include "test/soak/http_server.h"

#define TICK_MS 25
#define ANSWER_BYTES ((size_t) 800000)
/* Time until the first bytes of an answer have to come. */
#define TIMEOUT_US (300 * EG_US_PER_MS)
/* A call whose answer does not come has to end in this time. */
#define GIVEN_UP_MAX_US (2 * EG_US_PER_S)
/* Servers of a fleet as large as docs/CAPACITY.md says, and the time in which
 * their records have to be read. */
#define RECORDS 12000
#define LISTED_MAX_US (5 * EG_US_PER_S)

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
  struct eg_mirror mirror; /**< Answers if it has a kind. */
  struct eg_mirror copy;   /**< Of the feed. */
  struct eg_store_feed feed;
  struct eg_random random;
  size_t listed; /**< Objects that the feed has delivered. */
  bool synced;
  bool replied;
  enum eg_store_outcome outcome;
};

static void
on_request (void *context, struct soak_http_connection *connection)
{
  struct fixture *self = context;
  struct eg_str target = eg_http_head_target (&connection->reader.head);
  struct eg_mirror_query query;
  struct eg_mirror_body body = {0};

  if (self->mirror.count == 0)
    {
      soak_http_respond (connection, 200, EG_STR (""),
                         eg_buffer_view (&self->answer));
      return;
    }
  assert_true (
      eg_mirror_parse (&self->mirror, target, eg_clock_now_us (), &query));
  query.accepts_coding =
      eg_content_coding_is_accepted (&connection->reader.head);
  if (eg_mirror_answer_query (&query, eg_clock_now_us (), &body)
      == EG_MIRROR_ANSWERED)
    soak_http_respond (connection, 200,
                       body.is_coded ? EG_STR ("Content-Encoding: zstd\r\n")
                                     : EG_STR (""),
                       eg_buffer_view (&body.bytes));
  eg_buffer_finish (&body.bytes);
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
  if (self->feed.mirror)
    eg_store_feed_check (&self->feed, eg_clock_now_us ());
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
  eg_store_feed_finish (&self->feed);
  eg_mirror_finish (&self->mirror);
  eg_mirror_finish (&self->copy);
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

static struct eg_store *
choose (void *context, struct eg_store_feed *feed)
{
  (void) feed;
  return &((struct fixture *) context)->store;
}

static void
on_outcome (void *context,
            struct eg_store *store,
            enum eg_store_outcome outcome)
{
  (void) context;
  (void) store;
  (void) outcome;
}

static void
on_list_begins (void *context)
{
  ((struct fixture *) context)->listed = 0;
}

static void
on_object (void *context, json_t *object, bool deleted)
{
  (void) object;
  (void) deleted;
  ((struct fixture *) context)->listed++;
}

static void
on_synced (void *context, int64_t as_of_us, bool listed)
{
  (void) as_of_us;
  ((struct fixture *) context)->synced |= listed;
}

static void
on_lost (void *context, enum eg_store_outcome outcome)
{
  (void) context;
  (void) outcome;
}

/* Puts the record of a server into a mirror, as long as those of engines. */
static void
put_record (struct eg_mirror_kind *kind, unsigned number)
{
  char name[32];
  char address[32];
  json_t *record;

  snprintf (name, sizeof name, "i-%08x", number * 2654435761U);
  snprintf (address, sizeof address, "10.%u.%u.%u:8080", number >> 16,
            number >> 8 & 255, number & 255);
  record = json_pack (
      "{s:{s:s, s:i, s:i, s:[], s:b}, s:{s:s, s:s, s:s, s:s, s:i, s:s, s:i, "
      "s:s, s:[{s:s, s:i, s:[]}], s:{s:i, s:i, s:i}, s:s, s:i, s:I}}",
      "metadata", "name", name, "revision", (int) number, "created", 1,
      "finalizers", "deletionPending", false, "spec", "service", "model",
      "address", address, "zone", "a-failure-domain", "version", "v1", "slots",
      192, "state", "ready", "coldRemainingMs", 0, "stage", "combined",
      "models", "name", "model-name", "version", 1, "adapters", "layers",
      "from", 0, "to", 80, "version", 1, "kind", "accelerator", "sequence", 4,
      "born", (json_int_t) 1800000000000);
  assert_non_null (record);
  eg_mirror_put (kind, record, false, number + 1);
  json_decref (record);
}

/* The list of a large fleet was longer than any answer may be, so that no VM
 * could read it from its reader. */
static void
test_large_fleet_is_listed_from_a_mirror (void **state)
{
  struct fixture *self = *state;
  const struct eg_feed_source source = {choose, on_outcome, self};
  const struct eg_feed_events events = {.list_begins = on_list_begins,
                                        .object = on_object,
                                        .synced = on_synced,
                                        .lost = on_lost,
                                        .context = self};
  int64_t until_us;

  eg_random_init (&self->random, 1);
  self->store.is_peer = true;
  eg_mirror_init (&self->mirror);
  eg_mirror_init (&self->copy);
  eg_mirror_add (&self->mirror, "servers");
  for (unsigned i = 0; i < RECORDS; i++)
    put_record (&self->mirror.kinds[0], i);
  self->mirror.kinds[0].revision = RECORDS;
  self->mirror.kinds[0].is_direct = true;
  self->mirror.kinds[0].as_of_us = eg_clock_now_us ();
  eg_store_feed_init (&self->feed, &source,
                      eg_mirror_add (&self->copy, "servers"), 100, 0,
                      &self->random, &events);
  until_us = eg_clock_now_us () + LISTED_MAX_US;
  while (!self->synced && eg_clock_now_us () < until_us)
    uv_run (&self->loop, UV_RUN_ONCE);
  assert_true (self->synced);
  assert_int_equal (self->listed, RECORDS);
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
      SLOW_ANSWER_TEST (large_fleet_is_listed_from_a_mirror),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
