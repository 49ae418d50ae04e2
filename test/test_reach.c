/* Tests of VMs that lose their path to all backend servers, with real daemons:
 * all but the first. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "test/streams_fixture.h"

/* Time until the VMs know each other. */
#define MEMBERS_READ_MS 1500
/* From the start of a cut until callers are served as before. */
#define NOTICED_MS 1500
/* A plain request takes 80 ms on its server. */
#define PROMPT_MS 400
/* From the notice of a cut until another VM has the lease. */
#define LEASE_TAKEN_MS 300
#define ROUNDS 10
/* As long as servers are used whose records a store has lost. */
#define ROUNDS_AFTER_STEP_BACK 15

static struct streams_fixture fixture;

static int
start_vms (void **state, unsigned vms, bool cuts)
{
  const struct streams_options options = {.retry_ratio = 0.2,
                                          .retry_extra = 200,
                                          .retry_window_ms = 10000,
                                          .engines = STREAMS_ENGINES,
                                          .plain = 3,
                                          .vms = vms,
                                          .cuts = cuts};

  streams_fixture_init (&fixture, &options);
  streams_run (&fixture, MEMBERS_READ_MS);
  *state = &fixture;
  return 0;
}

static int
start_two (void **state)
{
  return start_vms (state, 2, true);
}

static int
start_two_without_cuts (void **state)
{
  return start_vms (state, 2, false);
}

static int
start_three (void **state)
{
  return start_vms (state, 3, true);
}

static int
stop (void **state)
{
  streams_fixture_finish (*state);
  return 0;
}

/* Requires that a plain request to a VM is served, and how fast. */
static void
assert_served_promptly (struct streams_fixture *self,
                        const struct streams_request *request)
{
  int64_t sent_us = eg_clock_now_us ();

  assert_int_equal (streams_client_request (self, 0, request), 200);
  assert_true (self->clients[0].done);
  assert_in_range (eg_clock_now_us () - sent_us, 0, PROMPT_MS * EG_US_PER_MS);
}

static void
assert_whole_stream (struct streams_fixture *self, unsigned client)
{
  int64_t end_us = eg_clock_now_us () + 10 * EG_US_PER_S;

  while (!streams_client_has_ended (self, client)
         && eg_clock_now_us () < end_us)
    streams_run (self, 50);
  assert_int_equal (self->clients[client].status, 200);
  assert_true (self->clients[client].done);
  assert_int_equal (self->clients[client].relay.events, STREAMS_EVENTS);
}

/* Plays callers of two VMs that are cut off, and of one that is not. */
static void
play_cut (struct streams_fixture *self, enum soak_cut cut)
{
  streams_client_send (self, 1,
                       &(struct streams_request){.vm = 1, .body = "begun"});
  streams_run (self, 500);
  streams_cut (self, cut);
  streams_run (self, NOTICED_MS);
  streams_client_send (self, 2,
                       &(struct streams_request){.vm = 2, .body = "new"});
  for (unsigned i = 0; i < ROUNDS; i++)
    {
      unsigned vm = i % self->vm_count;

      assert_served_promptly (
          self, &(struct streams_request){.vm = vm, .plain = true, .body = ""});
      assert_served_promptly (
          self, &(struct streams_request){.vm = vm, .once = true, .body = ""});
    }
  assert_whole_stream (self, 1);
  assert_whole_stream (self, 2);
  streams_cut (self, SOAK_CUT_NONE);
  streams_run (self, NOTICED_MS);
  assert_served_promptly (
      self, &(struct streams_request){.vm = 1, .plain = true, .body = ""});
}

static void
test_callers_of_vms_whose_connections_to_servers_hang_are_served (void **state)
{
  play_cut (*state, SOAK_CUT_HANG);
}

static void
test_callers_of_vms_whose_connections_to_servers_are_reset_are_served (
    void **state)
{
  play_cut (*state, SOAK_CUT_RESET);
}

static void
test_callers_of_vms_that_get_no_new_connections_to_servers_are_served (
    void **state)
{
  play_cut (*state, SOAK_CUT_REFUSE);
}

static bool
has_first_client_ended (const struct streams_fixture *self)
{
  return streams_client_has_ended (self, 0);
}

static bool
is_first_stream_begun (const struct streams_fixture *self)
{
  return self->clients[0].relay.events > 0;
}

static bool
is_no_server_busy (const struct streams_fixture *self)
{
  for (unsigned i = 0; i < STREAMS_SERVERS; i++)
    {
      const struct eg_list *all = &self->engines[i].server.connections;

      for (const struct eg_list *at = all->next; at != all; at = at->next)
        {
          const struct soak_http_connection *connection =
              EG_CONTAINER_OF (at, struct soak_http_connection, link);

          if (connection->handling && !connection->closed)
            return false;
        }
    }
  return true;
}

static void
cut_and_notice (struct streams_fixture *self, enum soak_cut cut)
{
  streams_cut (self, cut);
  streams_client_request (
      self, 0, &(struct streams_request){.vm = 1, .plain = true, .body = ""});
  streams_run (self, NOTICED_MS);
}

static void
test_request_whose_peer_is_killed_does_not_run_again (void **state)
{
  struct streams_fixture *self = *state;
  unsigned runs;

  cut_and_notice (self, SOAK_CUT_RESET);
  runs = streams_count_runs (self);
  streams_client_send (
      self, 0, &(struct streams_request){.vm = 1, .once = true, .body = ""});
  streams_run (self, 40);
  assert_int_equal (streams_count_runs (self), runs + 1);
  streams_vm_kill (self, 0);
  assert_true (streams_wait (self, has_first_client_ended, 15000));
  assert_in_range (self->clients[0].status, 502, 504);
  assert_int_not_equal (self->clients[0].status, 503);
  assert_int_equal (streams_count_runs (self), runs + 1);
}

static void
test_planned_stop_of_the_peer_cuts_no_request (void **state)
{
  struct streams_fixture *self = *state;

  cut_and_notice (self, SOAK_CUT_RESET);
  streams_client_send (
      self, 0, &(struct streams_request){.vm = 1, .once = true, .body = ""});
  streams_run (self, 40);
  streams_vm_stop (self, 0);
  assert_true (streams_wait (self, has_first_client_ended, 15000));
  assert_int_equal (self->clients[0].status, 200);
  assert_true (self->clients[0].done);
}

static void
test_run_ends_when_the_caller_leaves_the_first_vm (void **state)
{
  struct streams_fixture *self = *state;

  cut_and_notice (self, SOAK_CUT_RESET);
  assert_true (streams_wait (self, is_no_server_busy, 1000));
  streams_client_send (self, 0,
                       &(struct streams_request){.vm = 1, .body = "left"});
  assert_true (streams_wait (self, is_first_stream_begun, 1000));
  assert_false (is_no_server_busy (self));
  streams_client_leave (self, 0);
  assert_true (streams_wait (self, is_no_server_busy, 500));
}

static void
test_silent_stream_of_a_peer_runs_on_no_more_servers_than_allowed (void **state)
{
  struct streams_fixture *self = *state;
  unsigned used = 0;

  cut_and_notice (self, SOAK_CUT_RESET);
  for (unsigned i = 0; i < STREAMS_ENGINES; i++)
    {
      self->engines[i].silent = true;
      self->engines[i].runs = 0;
    }
  streams_client_send (self, 0,
                       &(struct streams_request){.vm = 1, .body = "silent"});
  streams_run (self, 100);
  streams_cut (self, SOAK_CUT_NONE);
  streams_run (self, 4000);
  for (unsigned i = 0; i < STREAMS_ENGINES; i++)
    used += self->engines[i].runs > 0;
  assert_in_range (used, 1, 2);
}

static void
test_servers_that_all_end_at_once_are_not_taken_for_a_lost_path (void **state)
{
  struct streams_fixture *self = *state;

  for (unsigned n = 0; n < STREAMS_CLIENTS; n++)
    streams_client_send (self, n,
                         &(struct streams_request){.vm = n % 2, .body = ""});
  streams_run (self, 500);
  for (unsigned i = 0; i < STREAMS_SERVERS; i++)
    streams_engine_crash (&self->engines[i]);
  streams_run (self, 2000);
  for (unsigned vm = 0; vm < self->vm_count; vm++)
    assert_in_range (streams_count_log (self, vm, "event=server-ended"),
                     STREAMS_ENGINES, STREAMS_SERVERS);
}

static void
test_callers_are_refused_at_once_when_no_vm_reaches_servers (void **state)
{
  struct streams_fixture *self = *state;

  cut_and_notice (self, SOAK_CUT_HANG);
  streams_vm_kill (self, 0);
  streams_run (self, NOTICED_MS);
  for (unsigned i = 0; i < ROUNDS; i++)
    {
      int64_t sent_us = eg_clock_now_us ();

      assert_int_equal (
          streams_client_request (
              self, 0,
              &(struct streams_request){.vm = 1, .plain = true, .body = ""}),
          503);
      assert_true (self->clients[0].retry_after_s > 0);
      assert_in_range (eg_clock_now_us () - sent_us, 0, 100 * EG_US_PER_MS);
    }
}

static void
test_vm_that_loses_its_path_tells_nobody_that_servers_are_down (void **state)
{
  struct streams_fixture *self = *state;

  for (unsigned n = 1; n < STREAMS_CLIENTS; n++)
    streams_client_send (self, n,
                         &(struct streams_request){.vm = 1, .body = "begun"});
  streams_run (self, 500);
  cut_and_notice (self, SOAK_CUT_RESET);
  streams_run (self, NOTICED_MS);
  for (unsigned n = 1; n < STREAMS_CLIENTS; n++)
    assert_whole_stream (self, n);
  assert_int_equal (streams_count_log (self, 0, "cause=silent request="), 0);
  assert_int_equal (streams_count_log (self, 0, "cause=unreachable request="),
                    0);
  for (unsigned vm = 0; vm < self->vm_count; vm++)
    {
      assert_int_equal (streams_count_log (self, vm, "event=server-ended"), 0);
      assert_int_equal (streams_count_log (self, vm, "event=suspected"), 0);
    }
}

static bool
has_first_vm_the_lease (const struct streams_fixture *self)
{
  return streams_count_log (self, 0, "event=lease-taken")
         > streams_count_log (self, 0, "event=lease-lost");
}

static bool
has_second_vm_the_lease (const struct streams_fixture *self)
{
  return streams_count_log (self, 1, "event=lease-taken")
         > streams_count_log (self, 1, "event=lease-lost");
}

static void
test_holder_of_the_lease_that_loses_its_path_hands_it_over (void **state)
{
  struct streams_fixture *self = *state;

  /* Until the first VM has lost it. */
  streams_vm_kill (self, 0);
  assert_true (streams_wait (self, has_second_vm_the_lease, 10000));
  streams_vm_restart (self, 0);
  streams_run (self, MEMBERS_READ_MS);
  assert_int_equal (streams_count_log (self, 1, "event=lease-lost"), 0);
  cut_and_notice (self, SOAK_CUT_HANG);
  assert_int_equal (streams_count_log (self, 1, "event=lease-lost"), 1);
  assert_true (streams_wait (self, has_first_vm_the_lease, LEASE_TAKEN_MS));
}

static void
test_vm_that_reaches_some_services_sends_the_rest_through_a_peer (void **state)
{
  struct streams_fixture *self = *state;
  unsigned runs[STREAMS_SERVERS];

  for (unsigned i = STREAMS_ENGINES; i < STREAMS_SERVERS; i++)
    soak_proxy_cut (&self->engines[i].path, SOAK_CUT_REFUSE);
  for (unsigned i = 0; i < ROUNDS; i++)
    {
      assert_served_promptly (
          self, &(struct streams_request){.vm = 1, .plain = true, .body = ""});
      assert_served_promptly (
          self, &(struct streams_request){.vm = 1, .once = true, .body = ""});
    }
  for (unsigned i = 0; i < STREAMS_SERVERS; i++)
    runs[i] = self->engines[i].runs;
  streams_client_send (self, 1,
                       &(struct streams_request){.vm = 1, .body = "stream"});
  assert_whole_stream (self, 1);
  assert_true (runs[STREAMS_ENGINES] + runs[STREAMS_ENGINES + 1]
                   + runs[STREAMS_ENGINES + 2]
               >= 2 * ROUNDS);
}

/* Sends a head to the port of a VM's peers from some loopback address; @p text
 * receives the response. */
static void
send_to_peers_port (const struct streams_fixture *self,
                    const char *source,
                    const char *head,
                    char *text,
                    size_t capacity)
{
  struct sockaddr_in from = {.sin_family = AF_INET};
  struct sockaddr_in to = {.sin_family = AF_INET,
                           .sin_port = htons (self->vms[0].peers_port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  ssize_t len;

  inet_pton (AF_INET, source, &from.sin_addr);
  assert_int_equal (bind (fd, (struct sockaddr *) &from, sizeof from), 0);
  assert_int_equal (connect (fd, (struct sockaddr *) &to, sizeof to), 0);
  assert_int_equal (send (fd, head, strlen (head), 0), strlen (head));
  len = recv (fd, text, capacity - 1, 0);
  assert_true (len > 0);
  text[len] = '\0';
  close (fd);
}

/* Sends a request to the port of a VM's peers and returns the status. */
static unsigned
ask_peers_port (const struct streams_fixture *self,
                const char *source,
                const char *path,
                const char *key)
{
  char head[512];
  char text[512];
  unsigned status = 0;

  snprintf (head, sizeof head,
            "GET %s HTTP/1.1\r\nHost: streams.example\r\n"
            "X-Attempt-Id: stranger\r\nX-Deadline-Ms: 2000\r\n"
            "X-Tenant: organisation\r\nApi-Key: %s\r\n"
            "Eelgrasswood-Hop: 2,1,0\r\n\r\n",
            path, key);
  send_to_peers_port (self, source, head, text, sizeof text);
  assert_int_equal (sscanf (text, "HTTP/1.1 %u", &status), 1);
  return status;
}

static void
test_port_of_the_peers_serves_no_strangers_and_checks_keys (void **state)
{
  struct streams_fixture *self = *state;
  unsigned runs;

  /* So that the VM has reached a server lately. */
  streams_client_request (self, 0,
                          &(struct streams_request){.once = true, .body = ""});
  runs = streams_count_runs (self);
  assert_int_equal (ask_peers_port (self, "127.0.0.2", "/plain/x", "key"), 403);
  assert_int_equal (ask_peers_port (self, "127.0.0.1", "/keyed/x", "wrong"),
                    401);
  streams_run (self, 200);
  assert_int_equal (streams_count_runs (self), runs);
}

/* Guards against a rejection of the peer itself, before it has read the whole
 * request, that is taken for the failure of a server: the request has not
 * run. */
static void
test_rejection_of_an_unread_request_says_that_it_has_not_run (void **state)
{
  struct streams_fixture *self = *state;
  char text[512];

  send_to_peers_port (self, "127.0.0.1",
                      "POST /plain/x HTTP/1.1\r\nHost: streams.example\r\n"
                      "Eelgrasswood-Hop: 2,1,0\r\n"
                      "Content-Length: 999999999999\r\n\r\n",
                      text, sizeof text);
  assert_non_null (strstr (text, "HTTP/1.1 413 "));
  assert_non_null (strstr (text, "\r\nEelgrasswood-Hop-Refused: 1\r\n"));
}

/* Guards against a server's failure without a signature that is taken for a
 * refusal of the peer: the request has run, and must not run again. */
static void
test_failure_of_a_server_behind_a_peer_is_no_refusal (void **state)
{
  static const enum streams_answer answers[] = {
      STREAMS_ANSWER_UNSIGNED_ERROR, STREAMS_ANSWER_UNSIGNED_UNAVAILABLE};
  static const unsigned statuses[] = {500, 502};
  struct streams_fixture *self = *state;

  cut_and_notice (self, SOAK_CUT_RESET);
  for (size_t i = 0; i < 2; i++)
    {
      unsigned runs = streams_count_runs (self);
      unsigned refused = streams_count_log (self, 1, "event=hop-refused");

      self->next_answer = answers[i];
      assert_int_equal (
          streams_client_request (
              self, 0,
              &(struct streams_request){.vm = 1, .once = true, .body = ""}),
          statuses[i]);
      assert_true (self->clients[0].retry_after_s < 0);
      assert_int_equal (streams_count_runs (self), runs + 1);
      assert_int_equal (streams_count_log (self, 1, "event=hop-refused"),
                        refused);
      /* The peer is not avoided for it. */
      assert_served_promptly (
          self, &(struct streams_request){.vm = 1, .once = true, .body = ""});
    }
}

/* Ends the runs of streams in the middle of their responses. */
static void
break_runs (struct streams_fixture *self)
{
  for (unsigned i = 0; i < STREAMS_ENGINES; i++)
    {
      struct eg_list *all = &self->engines[i].server.connections;

      for (struct eg_list *at = all->next; at != all; at = at->next)
        {
          struct soak_http_connection *connection =
              EG_CONTAINER_OF (at, struct soak_http_connection, link);

          if (connection->handling && !connection->closed)
            soak_http_abort (connection);
        }
    }
}

/* Guards against a peer that is left out because it had to give up one begun
 * stream, such as one that crashes its servers: the only VM with a path to
 * servers then served no other caller of this VM for 500 ms. */
static void
test_stream_that_a_peer_gives_up_does_not_keep_others_from_it (void **state)
{
  struct streams_fixture *self = *state;
  int64_t end_us;

  cut_and_notice (self, SOAK_CUT_RESET);
  streams_client_send (self, 0,
                       &(struct streams_request){.vm = 1, .body = "broken"});
  assert_true (streams_wait (self, is_first_stream_begun, 1000));
  end_us = eg_clock_now_us () + 5 * EG_US_PER_S;
  while (streams_count_log (self, 1, "event=hop-lost") == 0
         && eg_clock_now_us () < end_us)
    {
      break_runs (self);
      streams_run (self, 10);
    }
  assert_int_equal (streams_count_log (self, 1, "event=hop-lost"), 1);
  for (unsigned i = 0; i < 2; i++)
    assert_served_promptly (
        self, &(struct streams_request){.vm = 1, .plain = true, .body = ""});
}

static bool
has_first_vm_lost_its_path (const struct streams_fixture *self)
{
  return streams_count_log (self, 0, "event=reach-lost") > 0;
}

static bool
does_first_vm_return (const struct streams_fixture *self)
{
  return streams_count_log (self, 0, "to=returning") > 0;
}

/* Guards against a VM that has reached a server again after all had ended, but
 * not yet enough of them, and then serves its own callers alone. */
static void
test_vm_whose_path_returns_serves_those_that_have_none (void **state)
{
  struct streams_fixture *self = *state;
  struct streams_engine *back = &self->engines[STREAMS_ENGINES];

  for (unsigned i = 1; i < STREAMS_SERVERS; i++)
    if (&self->engines[i] != back)
      streams_engine_withdraw (&self->engines[i]);
  cut_and_notice (self, SOAK_CUT_RESET);
  streams_engine_crash (&self->engines[0]);
  streams_engine_crash (back);
  streams_client_request (self, 0,
                          &(struct streams_request){.plain = true, .body = ""});
  assert_true (streams_wait (self, has_first_vm_lost_its_path, 5000));
  back->restart_us = eg_clock_now_us ();
  assert_true (streams_wait (self, does_first_vm_return, 5000));
  streams_run (self, 300);
  for (unsigned i = 0; i < ROUNDS; i++)
    assert_served_promptly (self, &(struct streams_request){
                                      .vm = i % 2, .plain = true, .body = ""});
}

/* Guards against a VM that does not serve others although it reaches servers:
 * it has no new connection to one, and does not try those whose records a
 * store has lost that was restored from a copy. */
static void
test_vm_whose_store_steps_back_serves_those_without_a_path (void **state)
{
  struct streams_fixture *self = *state;
  struct soak_store_copy copy;

  for (unsigned i = 0; i < STREAMS_SERVERS; i++)
    streams_engine_withdraw (&self->engines[i]);
  streams_run (self, NOTICED_MS);
  soak_store_copy (&self->store, &copy);
  for (unsigned i = 0; i < STREAMS_SERVERS; i++)
    streams_engine_publish (&self->engines[i], false);
  streams_run (self, NOTICED_MS);
  cut_and_notice (self, SOAK_CUT_RESET);
  soak_store_restore (&self->store, &copy);
  for (unsigned i = 0; i < ROUNDS_AFTER_STEP_BACK; i++)
    assert_served_promptly (self, &(struct streams_request){
                                      .vm = i % 2, .plain = true, .body = ""});
}

#define REACH_TEST(name, start)                                                \
  cmocka_unit_test_setup_teardown (test_##name, start, stop)

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      REACH_TEST (callers_of_vms_whose_connections_to_servers_hang_are_served,
                  start_three),
      REACH_TEST (
          callers_of_vms_whose_connections_to_servers_are_reset_are_served,
          start_three),
      REACH_TEST (
          callers_of_vms_that_get_no_new_connections_to_servers_are_served,
          start_three),
      REACH_TEST (request_whose_peer_is_killed_does_not_run_again, start_two),
      REACH_TEST (planned_stop_of_the_peer_cuts_no_request, start_two),
      REACH_TEST (run_ends_when_the_caller_leaves_the_first_vm, start_two),
      REACH_TEST (silent_stream_of_a_peer_runs_on_no_more_servers_than_allowed,
                  start_two),
      REACH_TEST (servers_that_all_end_at_once_are_not_taken_for_a_lost_path,
                  start_two_without_cuts),
      REACH_TEST (callers_are_refused_at_once_when_no_vm_reaches_servers,
                  start_two),
      REACH_TEST (vm_that_loses_its_path_tells_nobody_that_servers_are_down,
                  start_two),
      REACH_TEST (holder_of_the_lease_that_loses_its_path_hands_it_over,
                  start_two),
      REACH_TEST (vm_that_reaches_some_services_sends_the_rest_through_a_peer,
                  start_two),
      REACH_TEST (rejection_of_an_unread_request_says_that_it_has_not_run,
                  start_two),
      REACH_TEST (port_of_the_peers_serves_no_strangers_and_checks_keys,
                  start_two),
      REACH_TEST (failure_of_a_server_behind_a_peer_is_no_refusal, start_two),
      REACH_TEST (stream_that_a_peer_gives_up_does_not_keep_others_from_it,
                  start_two),
      REACH_TEST (vm_whose_path_returns_serves_those_that_have_none, start_two),
      REACH_TEST (vm_whose_store_steps_back_serves_those_without_a_path,
                  start_two),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
