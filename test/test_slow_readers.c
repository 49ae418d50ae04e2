/* Tests of what clients on slow links get, with a real daemon. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "test/streams_fixture.h"

#define READERS 4
/* More than the kernel holds of it (some 235,000), so that the end is in the
 * daemon's write queue when the request has been served; few enough for the
 * daemon to send it at once. */
#define ANSWER_BYTES 260000
/* The kernel holds all of it. */
#define SHORT_ANSWER_BYTES 60000
/* As outside the loopback interface, whose large packets would let the kernel
 * hold far more for each connection. */
#define SEGMENT_BYTES 1400
#define RECEIVE_BUFFER_BYTES 4096
#define STEP_MS 50
/* Takes 2.4 s at 25 KB/s, more than the idle time-out. */
#define SLOW_BODY_BYTES 60000
#define GRACE_MS INT64_C (10000)
#define IDLE_TIMEOUT_MS INT64_C (1000)
#define CONFIGURED_MS 1500
/* More than fits into what the kernel holds for a connection. */
#define JUNK_BYTES 100000
/* From the signal until the balancer has removed the VM, and the next tick. */
#define STOPPED_MS 3200

/** A client that reads with a limited rate. */
struct reader
{
  size_t received;
  int socket;
  bool ended; /**< The daemon has closed the connection, or reset it. */
  char head[2048];
};

static struct streams_fixture fixture;
static struct reader readers[READERS];

static int
start (void **state)
{
  const struct streams_options options = {.retry_ratio = 0.2,
                                          .retry_extra = 200,
                                          .retry_window_ms = 10000,
                                          .plain = 2,
                                          .engines = 1,
                                          .grace_ms = GRACE_MS};

  streams_fixture_init (&fixture, &options);
  fixture.plain_bytes = ANSWER_BYTES;
  memset (readers, 0, sizeof readers);
  for (unsigned i = 0; i < READERS; i++)
    readers[i].socket = -1;
  *state = &fixture;
  return 0;
}

static int
stop (void **state)
{
  for (unsigned i = 0; i < READERS; i++)
    if (readers[i].socket >= 0)
      close (readers[i].socket);
  streams_fixture_finish (*state);
  return 0;
}

static void
reader_connect (struct reader *self, const struct streams_fixture *streams)
{
  const int segment = SEGMENT_BYTES;
  const int buffer = RECEIVE_BUFFER_BYTES;
  struct sockaddr_in to = {.sin_family = AF_INET,
                           .sin_port = htons (streams->vms[0].callers_port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};

  memset (self, 0, sizeof *self);
  self->socket = socket (AF_INET, SOCK_STREAM, 0);
  assert_true (self->socket >= 0);
  setsockopt (self->socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  setsockopt (self->socket, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  assert_int_equal (connect (self->socket, (struct sockaddr *) &to, sizeof to),
                    0);
}

/* Sends a request that must not be repeated; @p fields has CRLFs. */
static void
reader_send (struct reader *self, const char *fields)
{
  static unsigned id;
  struct eg_buffer text = {0};

  eg_buffer_printf (&text,
                    "POST /once/x HTTP/1.1\r\nHost: streams.example\r\n"
                    "X-Attempt-Id: slow%u\r\nX-Deadline-Ms: 10000\r\n"
                    "%sContent-Length: 4\r\n\r\nbody",
                    ++id, fields);
  assert_int_equal (send (self->socket, text.data, text.len, MSG_NOSIGNAL),
                    text.len);
  memset (self->head, 0, sizeof self->head);
  self->received = 0;
  eg_buffer_finish (&text);
}

static void
keep_head (struct reader *self, struct eg_str bytes)
{
  size_t room = sizeof self->head - 1;

  if (self->received >= room)
    return;
  room -= self->received;
  if (bytes.len > room)
    bytes.len = room;
  memcpy (self->head + self->received, bytes.data, bytes.len);
  self->head[self->received + bytes.len] = '\0';
}

static bool
is_whole (const struct reader *self)
{
  const char *end = strstr (self->head, "\r\n\r\n");
  const char *length = strstr (self->head, "Content-Length: ");

  return end && length
         && self->received
                == (size_t) (end + 4 - self->head)
                       + strtoul (length + strlen ("Content-Length: "), NULL,
                                  10);
}

/* Reads at most @p len bytes of those that have arrived. */
static void
reader_read (struct reader *self, size_t len)
{
  static char bytes[65536];

  while (len > 0 && !self->ended)
    {
      size_t piece = len < sizeof bytes ? len : sizeof bytes;
      ssize_t got = recv (self->socket, bytes, piece, MSG_DONTWAIT);

      if (got < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      self->ended = got <= 0;
      if (got <= 0)
        return;
      keep_head (self, (struct eg_str){bytes, (size_t) got});
      self->received += (size_t) got;
      len -= (size_t) got;
    }
}

/* Lets all connected clients read with the given rate until they have all that
 * they wait for; returns how many answers are whole. */
static unsigned
read_all (struct streams_fixture *streams, size_t bytes_per_s, int64_t ms)
{
  int64_t end_us = eg_clock_now_us () + ms * EG_US_PER_MS;
  unsigned whole = 0;
  unsigned waiting = 1;

  while (waiting > 0 && eg_clock_now_us () < end_us)
    {
      streams_run (streams, STEP_MS);
      waiting = 0;
      whole = 0;
      for (unsigned i = 0; i < READERS; i++)
        {
          if (readers[i].socket < 0)
            continue;
          if (!is_whole (&readers[i]))
            reader_read (&readers[i], bytes_per_s * STEP_MS / 1000);
          whole += is_whole (&readers[i]);
          waiting += !is_whole (&readers[i]) && !readers[i].ended;
        }
    }
  return whole;
}

static void
connect_all (const struct streams_fixture *streams, const char *fields)
{
  for (unsigned i = 0; i < READERS; i++)
    {
      reader_connect (&readers[i], streams);
      reader_send (&readers[i], fields);
    }
}

/* Guards against an exit as soon as no request is served, which dropped the
 * write queues. */
static void
test_planned_stop_cuts_no_answer_that_is_being_read (void **state)
{
  struct streams_fixture *self = *state;
  int64_t stopped_us;

  streams_vm_stop (self, 0);
  stopped_us = eg_clock_now_us ();
  /* Shortly before the VM would exit. */
  streams_run (self, 1800);
  connect_all (self, "");
  assert_int_equal (read_all (self, 50000, GRACE_MS), READERS);
  /* Then nothing holds it any more. */
  while (self->vms[0].running)
    {
      assert_in_range (eg_clock_now_us () - stopped_us, 0,
                       (GRACE_MS - 2000) * EG_US_PER_MS);
      streams_run (self, STEP_MS);
    }
}

/* Guards against a time limit for the delivery of the last answer that does not
 * consider whether its client is still reading it. */
static void
test_closing_connection_delivers_all_to_a_slow_client (void **state)
{
  connect_all (*state, "Connection: close\r\n");
  assert_int_equal (read_all (*state, 25000, 15000), READERS);
}

static void
publish_idle_timeout (struct streams_fixture *self)
{
  self->idle_timeout_ms = IDLE_TIMEOUT_MS;
  streams_publish_configuration (self, 2);
  streams_run (self, CONFIGURED_MS);
}

/* Guards against an idle time-out that runs while an answer is delivered. */
static void
test_connection_that_delivers_an_answer_is_not_idle (void **state)
{
  struct streams_fixture *self = *state;

  publish_idle_timeout (self);
  connect_all (self, "");
  assert_int_equal (read_all (self, 50000, 10000), READERS);
  /* The connections still take requests. */
  for (unsigned i = 0; i < READERS; i++)
    {
      assert_false (readers[i].ended);
      reader_send (&readers[i], "");
    }
  assert_int_equal (read_all (self, ANSWER_BYTES, 10000), READERS);
  streams_run (self, 2 * IDLE_TIMEOUT_MS);
  for (unsigned i = 0; i < READERS; i++)
    {
      reader_read (&readers[i], 1);
      assert_true (readers[i].ended);
    }
}

/* Guards against the loss of an answer when its client has sent the last
 * request and says so. */
static void
test_client_that_has_ended_its_side_gets_all_of_its_answer (void **state)
{
  struct streams_fixture *self = *state;

  connect_all (self, "");
  streams_run (self, 500);
  for (unsigned i = 0; i < READERS; i++)
    shutdown (readers[i].socket, SHUT_WR);
  assert_int_equal (read_all (self, 50000, 10000), READERS);
}

/* Guards against a reset, which discards what the kernel has not sent yet, by a
 * connection that is closed with unread bytes. */
static void
test_client_that_goes_on_sending_gets_all_of_its_answer (void **state)
{
  static char junk[JUNK_BYTES];
  struct streams_fixture *self = *state;

  self->plain_bytes = SHORT_ANSWER_BYTES;
  connect_all (self, "Connection: close\r\n");
  streams_run (self, 500);
  for (unsigned i = 0; i < READERS; i++)
    assert_true (
        send (readers[i].socket, junk, sizeof junk, MSG_NOSIGNAL | MSG_DONTWAIT)
        > 0);
  assert_int_equal (read_all (self, 25000, 10000), READERS);
}

/* Guards against connections that are kept forever for clients that read
 * nothing. */
static void
test_client_that_does_not_read_its_answer_is_dropped (void **state)
{
  struct streams_fixture *self = *state;

  publish_idle_timeout (self);
  connect_all (self, "Connection: close\r\n");
  streams_run (self, 4 * IDLE_TIMEOUT_MS);
  assert_int_equal (streams_count_log (self, 0, "event=response-cut"), READERS);
}

/* Guards against a stop that waits for clients that keep idle connections. */
static void
test_planned_stop_does_not_wait_for_what_was_received (void **state)
{
  struct streams_fixture *self = *state;

  connect_all (self, "");
  assert_int_equal (read_all (self, (size_t) ANSWER_BYTES * 10, 5000), READERS);
  streams_vm_stop (self, 0);
  streams_run (self, STOPPED_MS);
  assert_false (self->vms[0].running);
}

/* Guards against a process that is ended by a signal while it exits: the
 * handles of its signals were gone before their handlers. */
static void
test_signals_during_a_planned_stop_do_not_end_the_process (void **state)
{
  struct streams_fixture *self = *state;
  struct streams_vm *vm = &self->vms[0];

  streams_vm_stop (self, 0);
  for (int64_t i = 0; vm->running && i < GRACE_MS; i++)
    {
      if (streams_count_log (self, 0, "event=stopped") > 0)
        uv_process_kill (&vm->process, SIGHUP);
      usleep (1000);
      uv_run (&self->loop, UV_RUN_NOWAIT);
    }
  assert_false (vm->running);
  assert_int_equal (vm->exit_signal, 0);
  assert_int_equal (vm->exit_status, 0);
}

/* Sends a request with a long field on the first connection; returns the
 * status. */
static unsigned
request_with_long_head (struct streams_fixture *self, size_t field_len)
{
  struct eg_buffer field = {0};
  unsigned status = 0;

  eg_buffer_append (&field, EG_STR ("X-Long: "));
  for (size_t i = 0; i < field_len; i++)
    eg_buffer_append (&field, EG_STR ("x"));
  eg_buffer_append (&field, EG_STR ("\r\n"));
  reader_send (&readers[0], eg_buffer_text (&field));
  eg_buffer_finish (&field);
  assert_int_equal (read_all (self, ANSWER_BYTES, 5000), 1);
  assert_int_equal (sscanf (readers[0].head, "HTTP/1.1 %u", &status), 1);
  return status;
}

static void
publish_head_limit (struct streams_fixture *self, int version, int bytes)
{
  self->header_bytes_max = bytes;
  streams_publish_configuration (self, version);
  streams_run (self, CONFIGURED_MS);
}

/* Guards against connections that keep the limit of the configuration that was
 * in force when they were opened. */
static void
test_changed_limit_of_heads_holds_for_open_connections (void **state)
{
  struct streams_fixture *self = *state;

  self->plain_bytes = 0;
  reader_connect (&readers[0], self);
  assert_int_equal (request_with_long_head (self, 12000), 200);
  publish_head_limit (self, 2, 32768);
  assert_int_equal (request_with_long_head (self, 30000), 200);
  publish_head_limit (self, 3, 8192);
  assert_int_equal (request_with_long_head (self, 12000), 431);
}

/* Sends a request whose body comes in pieces, one each @c STEP_MS, until it is
 * complete or has been answered; returns the status. */
static unsigned
send_body_in_pieces (struct streams_fixture *self, size_t bytes, size_t piece)
{
  static const char zeros[SLOW_BODY_BYTES];
  int64_t end_us = eg_clock_now_us () + 8 * EG_US_PER_S;
  struct reader *reader = &readers[0];
  struct eg_buffer text = {0};
  unsigned status = 0;

  reader_connect (reader, self);
  eg_buffer_printf (&text,
                    "POST /once/x HTTP/1.1\r\nHost: streams.example\r\n"
                    "X-Attempt-Id: slow-body\r\nX-Deadline-Ms: 10000\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    bytes);
  assert_int_equal (send (reader->socket, text.data, text.len, MSG_NOSIGNAL),
                    text.len);
  eg_buffer_finish (&text);
  while (!is_whole (reader) && !reader->ended && eg_clock_now_us () < end_us)
    {
      size_t len = bytes < piece ? bytes : piece;

      if (len > 0 && send (reader->socket, zeros, len, MSG_NOSIGNAL) > 0)
        bytes -= len;
      streams_run (self, STEP_MS);
      reader_read (reader, ANSWER_BYTES);
    }
  sscanf (reader->head, "HTTP/1.1 %u", &status);
  return status;
}

/* Guards against a time limit for a body that does not consider whether its
 * client is still sending it. */
static void
test_body_on_a_slow_link_is_served (void **state)
{
  struct streams_fixture *self = *state;

  self->plain_bytes = 0;
  publish_idle_timeout (self);
  assert_int_equal (
      send_body_in_pieces (self, SLOW_BODY_BYTES, 25000 * STEP_MS / 1000), 200);
}

/* Guards against a byte from time to time that restarts the time-out. */
static void
test_trickled_body_is_refused_in_time (void **state)
{
  struct streams_fixture *self = *state;
  int64_t begun_us;

  self->plain_bytes = 0;
  publish_idle_timeout (self);
  begun_us = eg_clock_now_us ();
  assert_int_equal (send_body_in_pieces (self, SLOW_BODY_BYTES, 1), 408);
  assert_true (eg_clock_now_us () - begun_us
               < 2 * IDLE_TIMEOUT_MS * EG_US_PER_MS);
}

#define SLOW_TEST(name)                                                        \
  cmocka_unit_test_setup_teardown (test_##name, start, stop)

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      SLOW_TEST (planned_stop_cuts_no_answer_that_is_being_read),
      SLOW_TEST (closing_connection_delivers_all_to_a_slow_client),
      SLOW_TEST (connection_that_delivers_an_answer_is_not_idle),
      SLOW_TEST (client_that_has_ended_its_side_gets_all_of_its_answer),
      SLOW_TEST (client_that_goes_on_sending_gets_all_of_its_answer),
      SLOW_TEST (client_that_does_not_read_its_answer_is_dropped),
      SLOW_TEST (planned_stop_does_not_wait_for_what_was_received),
      SLOW_TEST (signals_during_a_planned_stop_do_not_end_the_process),
      SLOW_TEST (changed_limit_of_heads_holds_for_open_connections),
      SLOW_TEST (body_on_a_slow_link_is_served),
      SLOW_TEST (trickled_body_is_refused_in_time),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
