/* Tests of the exchange of messages between VMs: its types and their periods.
 */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "entry/entry.h"

static const struct eg_endpoint member_endpoint = {1, 1};
static const struct eg_endpoint stranger_endpoint = {2, 2};

/** What a module has received and sent. */
struct module
{
  unsigned received;
  unsigned sent;
  unsigned asked; /**< Calls of its @c send. */
  bool has_news;
  json_int_t value;
  struct eg_endpoint from;
};

/** A VM with one other member. */
struct fixture
{
  struct eg_entry entry;
  struct eg_member member;
  struct module a;
  struct module b;
};

static void
on_message (void *context,
            struct eg_endpoint from,
            const json_t *message,
            int64_t now_us)
{
  struct module *self = context;

  (void) now_us;
  self->received++;
  self->from = from;
  self->value = json_integer_value (json_object_get (message, "value"));
}

static bool
send_news (void *context, int64_t now_us)
{
  struct module *self = context;

  (void) now_us;
  self->asked++;
  self->sent += self->has_news;
  return self->has_news;
}

static int
start (void **state)
{
  static struct fixture fixture;
  struct eg_members *members = &fixture.entry.members;

  memset (&fixture, 0, sizeof fixture);
  members->entry = &fixture.entry;
  eg_list_init (&members->all);
  fixture.member.endpoint = member_endpoint;
  eg_list_append (&members->all, &fixture.member.all);
  eg_map_put (&members->by_endpoint, eg_endpoint_key (member_endpoint),
              &fixture.member);
  members->lists_read = 1;
  eg_vm_messages_init (&fixture.entry.vm_messages, members);
  *state = &fixture;
  return 0;
}

static int
stop (void **state)
{
  struct fixture *fixture = *state;

  eg_map_finish (&fixture->entry.members.by_endpoint);
  return 0;
}

static bool
add_type (struct fixture *fixture, struct eg_str name, struct module *module)
{
  const struct eg_vm_message_type type = {.name = name,
                                          .receive = on_message,
                                          .send = send_news,
                                          .period_us = 100 * EG_US_PER_MS,
                                          .context = module};

  return eg_vm_messages_register (&fixture->entry.vm_messages, &type);
}

static void
receive (struct fixture *fixture, struct eg_endpoint from, struct eg_str text)
{
  eg_vm_messages_receive (&fixture->entry.vm_messages, from, text, EG_US_PER_S);
}

static void
test_message_reaches_its_type_only (void **state)
{
  struct fixture *self = *state;

  assert_true (add_type (self, EG_STR ("a"), &self->a));
  assert_true (add_type (self, EG_STR ("ab"), &self->b));
  receive (self, member_endpoint, EG_STR ("{\"kind\":\"ab\",\"value\":7}"));
  assert_int_equal (self->a.received, 0);
  assert_int_equal (self->b.received, 1);
  assert_int_equal (self->b.value, 7);
  assert_int_equal (eg_endpoint_key (self->b.from),
                    eg_endpoint_key (member_endpoint));
  receive (self, member_endpoint, EG_STR ("{\"kind\":\"a\",\"value\":8}"));
  assert_int_equal (self->a.received, 1);
  assert_int_equal (self->a.value, 8);
  assert_int_equal (self->entry.vm_messages.unknown.count, 0);
}

/* Guards against messages of a newer build, or without a type, that are taken
 * for load figures. */
static void
test_message_of_unknown_type_is_counted_and_dropped (void **state)
{
  static const char *const texts[] = {
      "{\"kind\":\"later\",\"value\":7}",
      "{\"kind\":\"ab\"}",
      "{\"kind\":\"\"}",
      "{\"kind\":5}",
      "{\"value\":7}",
      "[\"a\"]",
      "\"a\"",
      "{\"kind\":\"a\",\"value\":",
      "a",
      "\xff",
  };
  const size_t count = sizeof texts / sizeof texts[0];
  struct fixture *self = *state;

  assert_true (add_type (self, EG_STR ("a"), &self->a));
  for (size_t i = 0; i < count; i++)
    receive (self, member_endpoint, eg_str_from (texts[i]));
  assert_int_equal (self->a.received, 0);
  assert_int_equal (self->entry.vm_messages.unknown.count, count);
  receive (self, member_endpoint, EG_STR ("{\"kind\":\"a\",\"value\":7}"));
  assert_int_equal (self->a.received, 1);
}

/* Guards against two modules that use the same type: one of them would receive
 * nothing. */
static void
test_type_registered_twice_is_an_error (void **state)
{
  struct fixture *self = *state;

  assert_true (add_type (self, EG_STR ("a"), &self->a));
  assert_false (add_type (self, EG_STR ("a"), &self->b));
  receive (self, member_endpoint, EG_STR ("{\"kind\":\"a\"}"));
  assert_int_equal (self->a.received, 1);
  assert_int_equal (self->b.received, 0);
}

static void
test_invalid_types_are_errors (void **state)
{
  const struct eg_vm_message_type without_receiver = {.name = EG_STR ("a")};
  struct fixture *self = *state;
  char names[EG_VM_MESSAGE_TYPES_MAX + 1][8];

  assert_false (add_type (self, EG_STR (""), &self->a));
  assert_false (
      eg_vm_messages_register (&self->entry.vm_messages, &without_receiver));
  for (int i = 0; i <= EG_VM_MESSAGE_TYPES_MAX; i++)
    {
      snprintf (names[i], sizeof names[i], "t%d", i);
      assert_int_equal (add_type (self, eg_str_from (names[i]), &self->a),
                        i < EG_VM_MESSAGE_TYPES_MAX);
    }
}

/* Guards against messages of another system's VM at the address of a former
 * one. */
static void
test_message_of_a_stranger_is_counted_and_dropped (void **state)
{
  struct fixture *self = *state;

  assert_true (add_type (self, EG_STR ("a"), &self->a));
  receive (self, stranger_endpoint, EG_STR ("{\"kind\":\"a\"}"));
  assert_int_equal (self->a.received, 0);
  assert_int_equal (self->entry.vm_messages.unknown.count, 0);
  assert_int_equal (self->entry.metrics.counts[EG_COUNT_MESSAGES_FOREIGN], 1);
}

/* Guards against messages that are sent more often than their period allows,
 * and against news that waits for a period in which nothing was sent. */
static void
test_senders_are_called_by_their_periods (void **state)
{
  struct fixture *self = *state;
  struct eg_vm_messages *messages = &self->entry.vm_messages;
  int64_t now_us = EG_US_PER_S;

  assert_true (add_type (self, EG_STR ("a"), &self->a));
  assert_true (add_type (self, EG_STR ("b"), &self->b));
  self->a.has_news = true;
  messages->open = true;
  for (int i = 0; i < 40; i++)
    {
      eg_vm_messages_check (messages, now_us);
      now_us += 25 * EG_US_PER_MS;
    }
  assert_int_equal (self->a.sent, 10);
  assert_int_equal (self->a.asked, 10);
  assert_int_equal (self->b.sent, 0);
  assert_int_equal (self->b.asked, 40);
  self->b.has_news = true;
  eg_vm_messages_check (messages, now_us);
  assert_int_equal (self->b.sent, 1);
}

/* Guards against messages to the members of a list that is not known yet. */
static void
test_nothing_is_sent_without_a_list_or_a_socket (void **state)
{
  struct fixture *self = *state;
  struct eg_vm_messages *messages = &self->entry.vm_messages;

  assert_true (add_type (self, EG_STR ("a"), &self->a));
  self->a.has_news = true;
  eg_vm_messages_check (messages, EG_US_PER_S);
  messages->open = true;
  self->entry.members.lists_read = 0;
  eg_vm_messages_check (messages, EG_US_PER_S);
  assert_int_equal (self->a.asked, 0);
}

/* Guards against a module that does not register, or under another name: old
 * builds send and expect these names. */
static void
test_types_of_the_daemon_have_their_names (void **state)
{
  static const char *const names[] = {"own",   "group",         "sum",
                                      "alert", "crashes",       "version",
                                      "path",  "lease-released"};
  static const struct eg_entry_settings settings = {.listen_peers =
                                                        "127.0.0.1:9"};
  struct fixture *self = *state;
  struct eg_entry *entry = &self->entry;

  entry->settings = &settings;
  eg_random_init (&entry->random, 1);
  eg_load_gossip_init (&entry->load_gossip, entry);
  eg_server_alerts_init (&entry->server_alerts, entry);
  eg_peer_paths_init (&entry->peer_paths, entry);
  eg_configuration_spread_init (&entry->configuration_spread, entry);
  eg_planner_init (&entry->planner, entry);
  eg_crash_watch_init (&entry->crash_watch, entry);
  assert_int_equal (entry->vm_messages.type_count,
                    sizeof names / sizeof names[0]);
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    assert_false (add_type (self, eg_str_from (names[i]), &self->a));
  eg_crash_watch_finish (&entry->crash_watch);
  eg_planner_finish (&entry->planner);
  eg_configuration_spread_finish (&entry->configuration_spread);
}

/* Opens the socket of the other member; returns its descriptor. */
static int
open_member_socket (struct fixture *self)
{
  const struct timeval timeout = {.tv_sec = 5};
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_DGRAM, 0);

  assert_true (fd >= 0);
  assert_int_equal (bind (fd, (struct sockaddr *) &address, len), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *) &address, &len), 0);
  assert_int_equal (
      setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout), 0);
  self->member.endpoint =
      (struct eg_endpoint){address.sin_addr.s_addr, address.sin_port};
  return fd;
}

static void
assert_next_message (int fd, const char *expected)
{
  char text[1024];
  ssize_t len = recv (fd, text, sizeof text - 1, 0);

  assert_true (len >= 0);
  text[len] = '\0';
  assert_string_equal (text, expected);
}

/* Guards against another layout of the messages about servers, which old builds
 * could not read, and against messages that go to other VMs than before. */
static void
test_messages_about_servers_keep_their_layout (void **state)
{
  static const struct eg_entry_settings settings = {
      .listen_peers = "127.0.0.1:9", .domain = "here"};
  static struct eg_mirror_kind mirror;
  const struct eg_fleet_events events = {0};
  struct fixture *self = *state;
  struct eg_entry *entry = &self->entry;
  struct eg_members *members = &entry->members;
  int64_t now_us = eg_clock_now_us ();
  int fd = open_member_socket (self);

  entry->settings = &settings;
  entry->servers_feed.mirror = &mirror;
  uv_loop_init (&entry->loop);
  eg_fleet_init (&entry->fleet, &entry->pool, &events);
  eg_load_gossip_init (&entry->load_gossip, entry);
  eg_server_alerts_init (&entry->server_alerts, entry);
  assert_true (
      eg_vm_messages_open (&entry->vm_messages, &entry->loop,
                           (struct eg_endpoint){htonl (INADDR_LOOPBACK), 0}));

  /* As a VM that reports to a reader. */
  members->in_domain = 3;
  members->own_rank = 2;
  members->readers[0] = &self->member;
  entry->load_gossip.totals_received_us = now_us;
  eg_vm_messages_check (&entry->vm_messages, now_us);
  assert_next_message (fd, "{\"kind\":\"own\",\"domain\":\"here\","
                           "\"reads\":false,\"down\":[],\"leaving\":[],"
                           "\"heard\":[],\"loads\":{}}");
  eg_server_alerts_raise (&entry->server_alerts, now_us);
  assert_next_message (fd, "{\"kind\":\"alert\",\"down\":[],\"leaving\":[],"
                           "\"limits\":[]}");

  /* As a reader, to another one, and then to a VM that reports to it. */
  members->own_rank = 0;
  members->all_readers[0] = self->member.endpoint;
  members->all_reader_count = 1;
  now_us += EG_US_PER_S;
  eg_vm_messages_check (&entry->vm_messages, now_us);
  assert_next_message (fd, "{\"kind\":\"group\",\"domain\":\"here\","
                           "\"reads\":false,\"down\":[],\"leaving\":[],"
                           "\"heard\":[],\"loads\":{}}");
  members->all_reader_count = 0;
  eg_map_put (&members->by_endpoint, eg_endpoint_key (self->member.endpoint),
              &self->member);
  eg_vm_messages_receive (
      &entry->vm_messages, self->member.endpoint,
      EG_STR ("{\"kind\":\"own\",\"loads\":{\"i-1\":[8,2,0]}}"), now_us);
  now_us += EG_US_PER_S;
  eg_vm_messages_check (&entry->vm_messages, now_us);
  assert_next_message (fd, "{\"kind\":\"sum\",\"domain\":\"here\","
                           "\"reads\":false,\"down\":[],\"leaving\":[],"
                           "\"heard\":[],\"loads\":{\"i-1\":[8,2,0.0]}}");
  eg_load_gossip_finish (&entry->load_gossip);
  eg_vm_messages_finish (&entry->vm_messages);
  uv_run (&entry->loop, UV_RUN_NOWAIT);
  uv_loop_close (&entry->loop);
  eg_fleet_finish (&entry->fleet);
  close (fd);
}

#define MESSAGES_TEST(name)                                                    \
  cmocka_unit_test_setup_teardown (test_##name, start, stop)

int
main (void)
{
  const struct CMUnitTest tests[] = {
      MESSAGES_TEST (message_reaches_its_type_only),
      MESSAGES_TEST (message_of_unknown_type_is_counted_and_dropped),
      MESSAGES_TEST (type_registered_twice_is_an_error),
      MESSAGES_TEST (invalid_types_are_errors),
      MESSAGES_TEST (message_of_a_stranger_is_counted_and_dropped),
      MESSAGES_TEST (senders_are_called_by_their_periods),
      MESSAGES_TEST (nothing_is_sent_without_a_list_or_a_socket),
      MESSAGES_TEST (types_of_the_daemon_have_their_names),
      MESSAGES_TEST (messages_about_servers_keep_their_layout),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
