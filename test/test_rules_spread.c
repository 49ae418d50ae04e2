/* Replication of rules between two entry VMs, without the store. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/random.h"
#include "router/rules_sync.h"

#define QUEUE_MAX 64
#define FIRST 1
#define SECOND 2

struct queued
{
  uint64_t to;
  struct eg_peer_message message;
};

struct node
{
  uint64_t id;
  struct eg_ruleset *ruleset;
  struct eg_rules_sync *sync;
  size_t bytes; /* Size of the rules delivered to it. */
};

static struct node first;
static struct node second;
static struct queued queue[QUEUE_MAX];
static size_t queue_count;
static unsigned sent;
/* Loses one message in this many, at random; 0: none. */
static unsigned loss_interval;
static struct eg_random random_state;
static int64_t now_us;

static void
on_rules_changed (void *context, const struct eg_rules *rules, uint64_t version)
{
  (void) context;
  (void) rules;
  (void) version;
}

static void
on_send (void *context, uint64_t to, struct eg_peer_message *message)
{
  struct node *node = context;

  sent++;
  if (loss_interval > 0 && eg_random_below (&random_state, loss_interval) == 0)
    return;
  assert_true (queue_count < QUEUE_MAX);
  message->from = node->id;
  queue[queue_count++] = (struct queued){to, *message};
}

static void
start (struct node *node, uint64_t id)
{
  const struct eg_ruleset_callbacks callbacks = {on_rules_changed, node};
  const struct eg_rules_sync_sink sink = {on_send, node};

  node->id = id;
  node->bytes = 0;
  node->ruleset = eg_ruleset_new (NULL, id, &callbacks);
  node->sync = eg_rules_sync_new (node->ruleset, &sink);
}

static void
stop (struct node *node)
{
  eg_rules_sync_free (node->sync);
  eg_ruleset_free (node->ruleset);
}

static int
set_up (void **state)
{
  (void) state;
  eg_log_configure ("test_rules_spread", EG_LOG_ERROR);
  now_us = 0;
  queue_count = 0;
  sent = 0;
  loss_interval = 0;
  eg_random_init (&random_state, 20261203);
  start (&first, FIRST);
  start (&second, SECOND);
  return 0;
}

static int
tear_down (void **state)
{
  (void) state;
  stop (&first);
  stop (&second);
  return 0;
}

static void
deliver (void)
{
  while (queue_count > 0)
    {
      struct queued next = queue[0];
      struct node *node = next.to == FIRST ? &first : &second;

      memmove (&queue[0], &queue[1], --queue_count * sizeof queue[0]);
      if (next.message.kind == EG_PEER_RULES_PART)
        node->bytes += next.message.rules.len;
      eg_rules_sync_receive (node->sync, &next.message, now_us);
    }
}

/* Advances time until the second node has the first one's version. */
static bool
settle (void)
{
  for (int i = 0; i < 1000; i++)
    {
      deliver ();
      if (eg_ruleset_version (second.ruleset)
          == eg_ruleset_version (first.ruleset))
        return true;
      now_us += 50 * EG_US_PER_MS;
      eg_rules_sync_tick (second.sync, now_us);
    }
  return false;
}

/* Applies a new version to the first node, with one more edit. */
static void
edit (uint64_t version, const char *line)
{
  struct eg_rule_document next;
  struct eg_buffer text = {0};
  struct eg_buffer json = {0};

  eg_rule_document_init (&next);
  eg_rule_document_copy (&next, eg_ruleset_document (first.ruleset));
  eg_buffer_append (&text, eg_buffer_view (&next.text));
  eg_buffer_append (&text, eg_str_from (line));
  eg_rule_document_edit (&next, version, EG_STR ("Nok"), 1,
                         eg_buffer_view (&text));
  eg_rule_document_encode (&next, &json);
  assert_int_equal (
      eg_ruleset_apply (first.ruleset, version, eg_buffer_view (&json)), EG_OK);
  eg_buffer_finish (&text);
  eg_buffer_finish (&json);
  eg_rule_document_finish (&next);
}

/* Adds about 100 KB of rules in one edit. */
static void
edit_many_rules (uint64_t version)
{
  struct eg_buffer lines = {0};

  for (int i = 0; i < 2000; i++)
    eg_buffer_printf (&lines, "limit organisation=o%d rate=5/s # Nok: SLA\n",
                      i);
  edit (version, eg_buffer_text (&lines));
  eg_buffer_finish (&lines);
}

static void
expect_same (void)
{
  assert_true (eg_str_equal (eg_ruleset_json (first.ruleset),
                             eg_ruleset_json (second.ruleset)));
}

static void
test_full_then_delta (void **state)
{
  (void) state;
  edit_many_rules (5);
  eg_rules_sync_announced (second.sync, FIRST, 5, now_us);
  assert_true (settle ());
  expect_same ();
  second.bytes = 0;
  edit (9, "drain server=10.0.0.1:80 # Lek: disk\n");
  eg_rules_sync_announced (second.sync, FIRST, 9, now_us);
  assert_true (settle ());
  expect_same ();
  assert_in_range (second.bytes, 1, 400);
}

static void
test_lost_messages (void **state)
{
  (void) state;
  loss_interval = 4;
  edit_many_rules (5);
  eg_rules_sync_announced (second.sync, FIRST, 5, now_us);
  assert_true (settle ());
  expect_same ();
}

static void
test_version_changes_in_the_middle (void **state)
{
  (void) state;
  edit_many_rules (5);
  eg_rules_sync_announced (second.sync, FIRST, 5, now_us);
  edit (6, "drain server=10.0.0.1:80 # Lek: disk\n");
  loss_interval = 7;
  assert_true (settle ());
  expect_same ();
}

static void
test_missed_versions_are_sent_in_full (void **state)
{
  (void) state;
  edit (2, "drain server=10.0.0.1:80 # Lek: disk\n");
  eg_rules_sync_announced (second.sync, FIRST, 2, now_us);
  assert_true (settle ());
  edit (3, "drain server=10.0.0.2:80 # Lek: disk\n");
  edit (4, "drain server=10.0.0.3:80 # Lek: disk\n");
  eg_rules_sync_announced (second.sync, FIRST, 4, now_us);
  assert_true (settle ());
  expect_same ();
}

static void
test_older_version_is_ignored (void **state)
{
  struct eg_peer_message stale = {.kind = EG_PEER_RULES_PART, .from = SECOND};

  (void) state;
  edit (8, "drain server=10.0.0.1:80 # Lek: disk\n");
  eg_rules_sync_announced (first.sync, SECOND, 7, now_us);
  assert_int_equal (sent, 0);
  stale.rules.version = 7;
  stale.rules.total = 2;
  stale.rules.len = 2;
  memcpy (stale.rules.bytes, "{}", 2);
  eg_rules_sync_receive (first.sync, &stale, now_us);
  assert_int_equal (eg_ruleset_version (first.ruleset), 8);
}

static void
test_fetch_from_lost_peer_is_abandoned (void **state)
{
  (void) state;
  loss_interval = 1;
  edit (5, "drain server=10.0.0.1:80 # Lek: disk\n");
  eg_rules_sync_announced (second.sync, FIRST, 5, now_us);
  assert_false (settle ());
  loss_interval = 0;
  sent = 0;
  now_us += 10 * EG_US_PER_S;
  eg_rules_sync_tick (second.sync, now_us);
  assert_int_equal (sent, 0);
  eg_rules_sync_announced (second.sync, FIRST, 5, now_us);
  assert_true (settle ());
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
      TEST (test_full_then_delta),
      TEST (test_lost_messages),
      TEST (test_version_changes_in_the_middle),
      TEST (test_missed_versions_are_sent_in_full),
      TEST (test_older_version_is_ignored),
      TEST (test_fetch_from_lost_peer_is_abandoned),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
