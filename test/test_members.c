/* Tests of the selection of a reader, or of the store, after failures. */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "entry/entry.h"
#include "test/soak/ports.h"

#define FAILURES 6

/** A VM with a single reader. */
struct fixture
{
  struct eg_members members;
  struct eg_member reader;
};

static void
record_failures (struct fixture *fixture, enum eg_store_outcome outcome)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->reader.endpoint = (struct eg_endpoint){1, 2};
  fixture->members.readers[0] = &fixture->reader;
  fixture->members.in_domain = 3;
  for (int i = 0; i < FAILURES; i++)
    eg_members_record_peer_outcome (&fixture->members, fixture->reader.endpoint,
                                    outcome, EG_US_PER_S);
}

/* After a store outage, VMs must return to their reader at once. When they
 * returned one by one, their direct calls made up a quarter of the store's
 * calls in a day. */
static void
test_reader_without_store_is_retried_soon (void **state)
{
  struct fixture fixture;

  (void) state;
  record_failures (&fixture, EG_STORE_REFUSED);
  assert_null (eg_members_choose_reader (&fixture.members, EG_US_PER_S + 1));
  assert_ptr_equal (
      eg_members_choose_reader (&fixture.members, 3 * EG_US_PER_S),
      &fixture.reader);
}

static void
test_unresponsive_reader_backoff (void **state)
{
  struct fixture fixture;

  (void) state;
  record_failures (&fixture, EG_STORE_NO_REPLY);
  assert_null (eg_members_choose_reader (&fixture.members, 10 * EG_US_PER_S));
  eg_members_record_peer_outcome (&fixture.members, fixture.reader.endpoint,
                                  EG_STORE_OK, 60 * EG_US_PER_S);
  assert_ptr_equal (
      eg_members_choose_reader (&fixture.members, 60 * EG_US_PER_S),
      &fixture.reader);
}

/* A VM that gets answers neither from its readers nor from the store must
 * try the store again soon. With pauses of up to 3.75 s, an old
 * configuration stayed in use for 5.6 s. */
static void
test_store_is_retried_in_time (void **state)
{
  static struct eg_entry entry;
  const int64_t longest_us = 2500 * EG_US_PER_MS;
  struct eg_feed_source source;

  (void) state;
  eg_random_init (&entry.random, 1);
  eg_source_selector_init (&entry.servers_source, &entry);
  source = eg_source_selector_feed_source (&entry.servers_source);
  for (int i = 0; i < 1000; i++)
    {
      int64_t now_us = eg_clock_now_us ();

      source.outcome (source.context, &entry.store, EG_STORE_NO_REPLY);
      assert_true (entry.servers_source.next_direct_call_us > now_us);
      assert_true (entry.servers_source.next_direct_call_us - now_us
                   < longest_us);
    }
}

/* If both readers of a failure domain are partitioned, trying one after the
 * other delays the call to the store by two time-outs or more. */
static void
test_store_is_used_after_reader_timeout (void **state)
{
  static struct eg_entry entry;
  static struct eg_member readers[2];
  struct eg_feed_source source;

  (void) state;
  eg_random_init (&entry.random, 1);
  eg_source_selector_init (&entry.servers_source, &entry);
  source = eg_source_selector_feed_source (&entry.servers_source);
  entry.members.in_domain = 18;
  entry.members.own_rank = 7;
  for (uint32_t i = 0; i < 2; i++)
    {
      readers[i].endpoint = (struct eg_endpoint){i + 1, 1};
      entry.members.readers[i] = &readers[i];
    }
  assert_ptr_equal (source.choose (source.context, NULL),
                    &entry.servers_source.peer);
  source.outcome (source.context, &entry.servers_source.peer,
                  EG_STORE_NO_REPLY);
  assert_ptr_equal (source.choose (source.context, NULL), &entry.store);
  source.outcome (source.context, &entry.store, EG_STORE_OK);
  assert_ptr_equal (source.choose (source.context, NULL),
                    &entry.servers_source.peer);
}

/* Sends a datagram from an address that becomes that of @p sender. */
static void
send_datagram (const struct eg_entry_settings *settings,
               struct eg_member *sender,
               struct eg_str text)
{
  struct sockaddr_in from = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  struct sockaddr_in to = {.sin_family = AF_INET};
  socklen_t from_len = sizeof from;
  struct eg_endpoint endpoint;
  int fd = socket (AF_INET, SOCK_DGRAM, 0);

  assert_true (fd >= 0);
  assert_int_equal (bind (fd, (struct sockaddr *) &from, sizeof from), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *) &from, &from_len), 0);
  sender->endpoint = (struct eg_endpoint){from.sin_addr.s_addr, from.sin_port};
  assert_true (
      eg_endpoint_parse (eg_str_from (settings->listen_peers), &endpoint));
  to.sin_addr.s_addr = endpoint.ip;
  to.sin_port = endpoint.port;
  assert_int_equal (sendto (fd, text.data, text.len, 0,
                            (const struct sockaddr *) &to, sizeof to),
                    (ssize_t) text.len);
  close (fd);
}

/* One value that could not be decoded made a whole message unreadable; a load
 * beyond the range of integers was converted to one. */
static void
test_undecodable_value_leaves_the_message (void **state)
{
  static struct eg_entry entry;
  static struct eg_entry_settings settings = {.domain = "here"};
  const struct eg_fleet_events events = {0};
  struct eg_load_gossip *gossip = &entry.load_gossip;
  json_t *server = json_pack ("{s:{s:s, s:i}, s:{s:s, s:s, s:s, s:i, s:s}}",
                              "metadata", "name", "i-1", "revision", 1, "spec",
                              "service", "app", "address", "10.0.0.1:80",
                              "zone", "here", "slots", 4, "state", "ready");
  static struct eg_member sender;
  struct eg_backend *backend;
  struct eg_endpoint endpoint;

  (void) state;
  snprintf (settings.listen_peers, sizeof settings.listen_peers, "127.0.0.1:%u",
            soak_find_free_port ());
  entry.settings = &settings;
  uv_loop_init (&entry.loop);
  eg_fleet_init (&entry.fleet, &entry.pool, &events);
  eg_fleet_update_server (&entry.fleet, server, false, eg_clock_now_us ());
  backend = eg_fleet_find_id (&entry.fleet, EG_STR ("i-1"));
  assert_non_null (backend);
  eg_list_init (&entry.members.all);
  eg_list_append (&entry.members.all, &sender.all);
  assert_true (
      eg_endpoint_parse (eg_str_from (settings.listen_peers), &endpoint));
  eg_vm_messages_init (&entry.vm_messages, &entry.members);
  eg_load_gossip_init (gossip, &entry);
  assert_true (eg_vm_messages_open (&entry.vm_messages, &entry.loop, endpoint));
  send_datagram (&settings, &sender,
                 EG_STR ("{\"kind\":\"sum\",\"heard\":[\"room\",\"\xff\","
                         "\"hall\"],\"down\":[\"\\u0000\"],\"loads\":{"
                         "\"i-0\":[1e400,0,0],\"i-1\":[1e300,-7,2]}}"));
  eg_map_put (&entry.members.by_endpoint, eg_endpoint_key (sender.endpoint),
              &sender);
  for (int i = 0; i < 100 && gossip->contact_count == 0; i++)
    {
      uv_run (&entry.loop, UV_RUN_NOWAIT);
      usleep (10000);
    }
  assert_int_equal (gossip->contact_count, 2);
  assert_int_equal (entry.vm_messages.undecodable, 3);
  assert_true (backend->kv_others > 0 && backend->kv_others <= 1e15);
  assert_true (backend->first_others >= 0);
  assert_true (backend->peer_slowness >= 2);
  eg_load_gossip_finish (gossip);
  eg_vm_messages_finish (&entry.vm_messages);
  eg_map_finish (&entry.members.by_endpoint);
  uv_run (&entry.loop, UV_RUN_NOWAIT);
  uv_loop_close (&entry.loop);
  eg_fleet_finish (&entry.fleet);
  soak_release_ports ();
  json_decref (server);
}

static void
test_dead_readers_are_not_asked_instead_of_the_store (void **state)
{
  static struct eg_entry entry;
  static struct eg_member reader;
  struct eg_feed_source source;

  (void) state;
  eg_random_init (&entry.random, 1);
  eg_source_selector_init (&entry.servers_source, &entry);
  source = eg_source_selector_feed_source (&entry.servers_source);
  reader.endpoint = (struct eg_endpoint){1, 1};
  entry.members.in_domain = 3;
  entry.members.own_rank = 2;
  entry.members.readers[0] = &reader;
  source.choose (source.context, NULL);
  source.outcome (source.context, &entry.servers_source.peer,
                  EG_STORE_NO_REPLY);
  assert_ptr_equal (source.choose (source.context, NULL), &entry.store);
  source.outcome (source.context, &entry.store, EG_STORE_NO_REPLY);
  assert_null (source.choose (source.context, NULL));
  entry.servers_source.next_direct_call_us = eg_clock_now_us ();
  assert_ptr_equal (source.choose (source.context, NULL), &entry.store);
}

static void
test_feeds_do_not_send_each_other_to_a_dead_reader (void **state)
{
  static struct eg_entry entry;
  static struct eg_member readers[2];
  struct eg_feed_source configuration;
  struct eg_feed_source servers;

  (void) state;
  eg_random_init (&entry.random, 1);
  eg_source_selector_init (&entry.configuration_source, &entry);
  eg_source_selector_init (&entry.servers_source, &entry);
  configuration = eg_source_selector_feed_source (&entry.configuration_source);
  servers = eg_source_selector_feed_source (&entry.servers_source);
  entry.members.in_domain = 3;
  entry.members.own_rank = 2;
  for (uint32_t i = 0; i < 2; i++)
    {
      readers[i].endpoint = (struct eg_endpoint){i + 1, 1};
      entry.members.readers[i] = &readers[i];
    }
  configuration.choose (configuration.context, NULL);
  configuration.outcome (configuration.context,
                         &entry.configuration_source.peer, EG_STORE_NO_REPLY);
  servers.outcome (servers.context, &entry.store, EG_STORE_OK);
  assert_ptr_equal (configuration.choose (configuration.context, NULL),
                    &entry.store);
}

/* A VM that has just joined is not in the list yet. Dropping its messages until
 * the next regular read would keep it unheard for 10 s; reading for each of a
 * stranger's messages would burden the store. */
static void
test_list_is_read_again_for_an_unknown_sender (void **state)
{
  static struct eg_members members;
  struct eg_member known = {.endpoint = {1, 1}};
  int64_t now_us = 100 * EG_US_PER_S;
  unsigned reads = 0;

  (void) state;
  eg_list_init (&members.all);
  assert_false (
      eg_members_admit (&members, (struct eg_endpoint){1, 1}, now_us));
  eg_list_append (&members.all, &known.all);
  eg_map_put (&members.by_endpoint, eg_endpoint_key (known.endpoint), &known);
  members.lists_read = 1;
  members.list_sent_us = now_us;
  members.list_due_us = now_us + 10 * EG_US_PER_S;
  assert_true (eg_members_admit (&members, (struct eg_endpoint){1, 1}, now_us));
  assert_int_equal (members.list_due_us, now_us + 10 * EG_US_PER_S);
  for (int i = 0; i < 200; i++)
    {
      now_us += 100 * EG_US_PER_MS;
      assert_false (
          eg_members_admit (&members, (struct eg_endpoint){2, 2}, now_us));
      if (i == 0)
        assert_true (members.list_due_us <= now_us + 250 * EG_US_PER_MS);
      if (now_us < members.list_due_us)
        continue;
      reads++;
      members.list_sent_us = now_us;
      members.list_due_us = now_us + 10 * EG_US_PER_S;
    }
  /* In 20 s, 0.25 s apart at first, then twice as long each time. */
  assert_in_range (reads, 5, 8);
  eg_map_finish (&members.by_endpoint);
}

static void
reply (struct eg_store_call *call,
       enum eg_store_outcome outcome,
       const char *text)
{
  json_t *document = json_loads (text, 0, NULL);

  assert_non_null (document);
  call->sink.reply (call->sink.context, outcome, document);
  json_decref (document);
}

#define MEMBER(name, address)                                                  \
  "{\"metadata\":{\"name\":\"" name "\",\"revision\":7},"                      \
  "\"spec\":{\"failure_domain\":\"here\",\"address\":\"" address "\"}}"

/* Guards against the loss of members on pages that could not be asked for. */
static void
test_members_stay_if_a_list_cannot_be_continued (void **state)
{
  static struct eg_entry entry;
  static struct eg_entry_settings settings = {.domain = "here",
                                              .listen_peers = "127.0.0.1:9"};
  struct eg_members *members = &entry.members;
  int64_t due_us;

  (void) state;
  entry.settings = &settings;
  eg_members_init (members, &entry);
  reply (&members->list_call, EG_STORE_OK,
         "{\"items\":[" MEMBER ("vm-1", "127.0.0.1:1") "," MEMBER (
             "vm-2", "127.0.0.1:2") "],\"hasMore\":false}");
  assert_int_equal (eg_members_count (members), 2);
  reply (&members->list_call, EG_STORE_OK,
         "{\"items\":[" MEMBER ("vm-1", "127.0.0.1:1") "],\"hasMore\":true}");
  assert_string_equal (members->after, "vm-1");
  reply (&members->list_call, EG_STORE_OK,
         "{\"items\":[{\"spec\":1}],\"hasMore\":true}");
  due_us = members->list_due_us - eg_clock_now_us ();
  assert_in_range (due_us, EG_US_PER_S / 2, EG_US_PER_S);
  assert_string_equal (members->after, "");
  assert_int_equal (members->lists_read, 1);
  assert_non_null (eg_members_find_endpoint (
      members,
      eg_endpoint_key ((struct eg_endpoint){htonl (0x7f000001), htons (2)})));
  eg_members_finish (members);
}

static bool
is_found (const struct eg_members *members, uint16_t port)
{
  struct eg_endpoint endpoint = {htonl (0x7f000001), htons (port)};
  const struct eg_member *member =
      eg_members_find_endpoint (members, eg_endpoint_key (endpoint));

  if (member)
    assert_int_equal (eg_endpoint_key (member->endpoint),
                      eg_endpoint_key (endpoint));
  return member;
}

/* Guards against a table by endpoint that differs from the list: messages of
 * members would be dropped, those of former ones accepted, and a lookup could
 * return freed memory. */
static void
test_members_are_found_by_their_present_endpoint (void **state)
{
  static struct eg_entry entry;
  static struct eg_entry_settings settings = {.domain = "here",
                                              .listen_peers = "127.0.0.1:9"};
  struct eg_members *members = &entry.members;

  (void) state;
  entry.settings = &settings;
  eg_members_init (members, &entry);
  assert_false (is_found (members, 1));
  /* Members are found before the last page has been read. */
  reply (&members->list_call, EG_STORE_OK,
         "{\"items\":[" MEMBER ("vm-1", "127.0.0.1:1") "," MEMBER (
             "vm-2", "127.0.0.1:2") "],\"hasMore\":true}");
  assert_true (is_found (members, 1) && is_found (members, 2));
  assert_false (is_found (members, 3));
  reply (&members->list_call, EG_STORE_OK,
         "{\"items\":[" MEMBER ("vm-3", "127.0.0.1:3") "],\"hasMore\":false}");
  assert_true (is_found (members, 1) && is_found (members, 3));
  /* One is gone, one has moved, and one has the address of a former one. */
  reply (&members->list_call, EG_STORE_OK,
         "{\"items\":[" MEMBER ("vm-2", "127.0.0.1:4") "," MEMBER (
             "vm-4", "127.0.0.1:3") "],\"hasMore\":false}");
  assert_int_equal (eg_members_count (members), 2);
  assert_false (is_found (members, 1) || is_found (members, 2));
  assert_true (is_found (members, 3) && is_found (members, 4));
  assert_true (eg_members_admit (
      members, (struct eg_endpoint){htonl (0x7f000001), htons (4)}, 1));
  eg_members_finish (members);
}

/* Guards against a member that is lost because another one, which is in the
 * list until it expires, has the same address. */
static void
test_member_at_the_address_of_another_one_is_found (void **state)
{
  static struct eg_entry entry;
  static struct eg_entry_settings settings = {.domain = "here",
                                              .listen_peers = "127.0.0.1:9"};
  struct eg_members *members = &entry.members;

  (void) state;
  entry.settings = &settings;
  eg_members_init (members, &entry);
  reply (&members->list_call, EG_STORE_OK,
         "{\"items\":[" MEMBER ("vm-1", "127.0.0.1:1") "," MEMBER (
             "vm-2", "127.0.0.1:1") "],\"hasMore\":false}");
  assert_int_equal (eg_members_count (members), 2);
  assert_true (is_found (members, 1));
  reply (&members->list_call, EG_STORE_OK,
         "{\"items\":[" MEMBER ("vm-2", "127.0.0.1:1") "],\"hasMore\":false}");
  assert_true (is_found (members, 1));
  eg_members_finish (members);
}

/* Datagrams and reads of senders that are no members were counted and logged by
 * two copies of the code, of which one did not name the sender. */
static void
test_foreign_senders_are_counted_once_each (void **state)
{
  static struct eg_entry entry;
  const struct eg_endpoint sender = {htonl (0x7f000001), htons (1)};
  struct eg_members *members = &entry.members;

  (void) state;
  members->entry = &entry;
  for (int i = 0; i < 3; i++)
    eg_members_count_foreign (members, EG_FOREIGN_MESSAGE, sender, 1);
  eg_members_count_foreign (members, EG_FOREIGN_READ, sender, 1);
  assert_int_equal (entry.metrics.counts[EG_COUNT_MESSAGES_FOREIGN], 4);
  assert_int_equal (members->foreign[EG_FOREIGN_MESSAGE].count, 3);
  assert_int_equal (members->foreign[EG_FOREIGN_READ].count, 1);
}

/* Guards against a loop of writes to the store while it returns an object
 * without a spec. Only a conflict shows that another writer's object has to be
 * replaced at once. */
static void
test_own_object_without_spec_is_not_written_in_a_loop (void **state)
{
  static struct eg_entry entry;
  static struct eg_entry_settings settings = {.listen_peers = "127.0.0.1:9"};
  const char *object = "{\"metadata\":{\"name\":\"vm-1\",\"revision\":7}}";
  struct eg_members *members = &entry.members;

  (void) state;
  entry.settings = &settings;
  eg_members_init (members, &entry);
  reply (&members->own_call, EG_STORE_OK, object);
  assert_true (members->write_due_us > eg_clock_now_us () + 900 * EG_US_PER_MS);
  reply (&members->own_call, EG_STORE_CONFLICT, object);
  assert_true (members->write_due_us <= eg_clock_now_us ());
  eg_members_finish (members);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_reader_without_store_is_retried_soon),
      cmocka_unit_test (test_unresponsive_reader_backoff),
      cmocka_unit_test (test_store_is_retried_in_time),
      cmocka_unit_test (test_store_is_used_after_reader_timeout),
      cmocka_unit_test (test_undecodable_value_leaves_the_message),
      cmocka_unit_test (test_dead_readers_are_not_asked_instead_of_the_store),
      cmocka_unit_test (test_feeds_do_not_send_each_other_to_a_dead_reader),
      cmocka_unit_test (test_list_is_read_again_for_an_unknown_sender),
      cmocka_unit_test (test_members_stay_if_a_list_cannot_be_continued),
      cmocka_unit_test (test_members_are_found_by_their_present_endpoint),
      cmocka_unit_test (test_member_at_the_address_of_another_one_is_found),
      cmocka_unit_test (test_foreign_senders_are_counted_once_each),
      cmocka_unit_test (test_own_object_without_spec_is_not_written_in_a_loop),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
