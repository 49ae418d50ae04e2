/* Unit tests of base/: settings, strings, histograms, rings, maps and random
   numbers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/arena.h"
#include "base/buffer.h"
#include "base/hash.h"
#include "base/histogram.h"
#include "base/map.h"
#include "base/random.h"
#include "base/ring.h"
#include "base/settings.h"

struct sample_settings
{
  int64_t port;
  bool enabled;
  char name[8];
  char address[24];
  char secret[16];
  int64_t grace_ms;
};

static const struct eg_setting sample_keys[] = {
    {"port", EG_SETTING_INTEGER, "", 1, 100, "7",
     offsetof (struct sample_settings, port), "Port"},
    {"a.enabled", EG_SETTING_BOOLEAN, "", 0, 0, "true",
     offsetof (struct sample_settings, enabled), "Switch"},
    {"a.name", EG_SETTING_TEXT, "", 1, 8, NULL,
     offsetof (struct sample_settings, name), "Name"},
    {"a.address", EG_SETTING_ADDRESS, "", 0, 24, "127.0.0.1:80",
     offsetof (struct sample_settings, address), "Address"},
    {"a.secret", EG_SETTING_SECRET, "", 4, 16, "",
     offsetof (struct sample_settings, secret), "Secret"},
    {"grace_ms", EG_SETTING_INTEGER, "ms", 100, 60000, "500",
     offsetof (struct sample_settings, grace_ms), "Grace"},
    {"grace_s", EG_SETTING_THOUSANDS, "s", 100, 60000, NULL,
     offsetof (struct sample_settings, grace_ms), "Grace"},
};
static const struct eg_setting_table sample_table = {
    sample_keys, sizeof sample_keys / sizeof sample_keys[0]};

static enum eg_status
load_text (const char *text,
           struct sample_settings *settings,
           struct eg_error *error)
{
  char path[] = "/tmp/eg_settings_XXXXXX";
  int fd = mkstemp (path);
  enum eg_status status;

  assert_true (fd >= 0);
  assert_int_equal (write (fd, text, strlen (text)), (ssize_t) strlen (text));
  close (fd);
  status = eg_settings_load (&sample_table, path, settings, error);
  unlink (path);
  return status;
}

static void
test_settings_defaults_and_values (void **state)
{
  struct sample_settings settings;
  struct eg_error error;

  (void) state;
  assert_int_equal (
      load_text ("[a]\nname = \"bkk\"\nenabled = false\n", &settings, &error),
      EG_OK);
  assert_int_equal (settings.port, 7);
  assert_false (settings.enabled);
  assert_string_equal (settings.name, "bkk");
  assert_string_equal (settings.address, "127.0.0.1:80");
}

static void
test_settings_errors_name_line_and_key (void **state)
{
  static const struct
  {
    const char *text;
    const char *message;
  } cases[] = {
      {"[a]\nname = \"x\"\ncolour = 1\n", ":3: a.colour: unknown key"},
      {"port = \"x\"\na.name = \"x\"\n", ":1: port: expected an integer"},
      {"port = 0\na.name = \"x\"\n", "from 1 to 100, found 0"},
      {"a.name = \"12345678\"\n", ":1: a.name: expected text of 1 to 7"},
      {"a.name = \"x\"\na.address = \"localhost:1\"\n", ":2: a.address"},
      {"port = 3\n", "a.name: must be given"},
      {"port = = 3\n", ":1: not valid TOML"},
      {"port = [1, 2]\na.name = \"x\"\n", ":1: port: expected an integer"},
      {"a.name = [\"x\"]\n", ":1: a.name: expected text"},
      {"port = 0.9\na.name = \"x\"\n", "from 1 to 100, found 0.9"},
      {"port = 1e300\na.name = \"x\"\n", ":1: port: expected"},
      {"port = nan\na.name = \"x\"\n", ":1: port: expected"},
      {"grace_s = 0.05\na.name = \"x\"\n",
       "expected a number from 0.1 to 60 s, found 0.05"},
      {"grace_s = nan\na.name = \"x\"\n", ":1: grace_s: expected"},
      {"grace_ms = 750.5000\na.name = \"x\"\n",
       ":1: grace_ms: expected an integer, found 750.5; grace_s takes"},
      {"grace_ms = 8000.0\na.name = \"x\"\n", "found 8000; grace_s takes"},
      {"grace_s = 1\ngrace_ms = 500\na.name = \"x\"\n", "given beside grace_"},
  };
  struct sample_settings settings;
  struct eg_error error;

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      assert_int_equal (load_text (cases[i].text, &settings, &error),
                        EG_INVALID);
      if (!strstr (error.message, cases[i].message))
        fail_msg ("case %zu: %s", i, error.message);
    }
}

/* Guards against bounds with a fraction that keep a program from starting. */
static void
test_integers_and_seconds_may_have_fractions (void **state)
{
  static const struct
  {
    const char *text;
    int64_t port;
    int64_t grace_ms;
  } cases[] = {
      {"", 7, 500},
      {"port = 7.5000\n", 7, 500},
      {"port = 100.9\n", 100, 500},
      {"grace_ms = 700\n", 7, 700},
      {"grace_s = 7.5\n", 7, 7500},
      {"grace_s = 8\n", 7, 8000},
      {"grace_s = 0.1\n", 7, 100},
      {"grace_s = 4.35\n", 7, 4350},
      {"grace_s = 1.0009\n", 7, 1000},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct sample_settings settings;
      struct eg_error error = {0};
      char text[80];

      snprintf (text, sizeof text, "%sa.name = \"x\"\n", cases[i].text);
      if (load_text (text, &settings, &error) != EG_OK)
        fail_msg ("%s: %s", text, error.message);
      assert_int_equal (settings.port, cases[i].port);
      assert_int_equal (settings.grace_ms, cases[i].grace_ms);
    }
}

static void
test_secrets_are_not_printed (void **state)
{
  struct sample_settings settings;
  struct eg_error error;
  char *text = NULL;
  size_t len = 0;
  FILE *stream = open_memstream (&text, &len);

  (void) state;
  assert_int_equal (load_text ("a.name = \"x\"\na.secret = \"hunter22\"\n",
                               &settings, &error),
                    EG_OK);
  assert_string_equal (settings.secret, "hunter22");
  eg_settings_print (&sample_table, &settings, stream);
  fclose (stream);
  assert_null (strstr (text, "hunter22"));
  free (text);
  assert_int_equal (
      load_text ("a.name = \"x\"\na.secret = \"pw1\"\n", &settings, &error),
      EG_INVALID);
  assert_null (strstr (error.message, "pw1"));
}

static void
test_str_functions (void **state)
{
  struct eg_str rest = EG_STR ("a=b");
  int64_t value;

  (void) state;
  assert_true (eg_str_equal (eg_str_cut (&rest, '='), EG_STR ("a")));
  assert_true (eg_str_equal (rest, EG_STR ("b")));
  assert_true (eg_str_equal (eg_str_trim (EG_STR (" x \n")), EG_STR ("x")));
  assert_true (eg_str_to_int64 (EG_STR ("-9223372036854775808"), &value));
  assert_true (value == INT64_MIN);
  assert_false (eg_str_to_int64 (EG_STR ("9223372036854775808"), &value));
  assert_false (eg_str_to_int64 (EG_STR ("1x"), &value));
  assert_false (eg_str_to_int64 (EG_STR (""), &value));
}

static void
test_histogram_quantiles (void **state)
{
  struct eg_histogram histogram;

  (void) state;
  eg_histogram_init (&histogram);
  for (int i = 1; i <= 1000; i++)
    eg_histogram_add (&histogram, i);
  assert_in_range (eg_histogram_quantile (&histogram, 0.5), 500, 563);
  assert_in_range (eg_histogram_quantile (&histogram, 0.99), 990, 1000);
  assert_int_equal (eg_histogram_quantile (&histogram, 1.0), 1000);
  assert_int_equal (eg_histogram_cumulative_count (&histogram, 7), 7);
}

static void
test_ring_is_fifo_and_bounded (void **state)
{
  struct eg_ring ring;
  int items[4];

  (void) state;
  assert_true (eg_ring_init (&ring, 4));
  for (int i = 0; i < 3; i++)
    assert_true (eg_ring_push (&ring, &items[i]));
  assert_false (eg_ring_push (&ring, &items[3]));
  for (int i = 0; i < 3; i++)
    assert_ptr_equal (eg_ring_pop (&ring), &items[i]);
  assert_null (eg_ring_pop (&ring));
  eg_ring_finish (&ring);
}

static void
test_buffer_consume (void **state)
{
  struct eg_buffer buffer;

  (void) state;
  eg_buffer_init (&buffer);
  eg_buffer_printf (&buffer, "%s-%d", "ab", 12);
  eg_buffer_consume (&buffer, 2);
  assert_string_equal (eg_buffer_text (&buffer), "-12");
  eg_buffer_finish (&buffer);
}

static void
test_random_is_reproducible (void **state)
{
  struct eg_random a;
  struct eg_random b;

  (void) state;
  eg_random_init (&a, 42);
  eg_random_init (&b, 42);
  for (int i = 0; i < 100; i++)
    {
      uint64_t bounded = eg_random_below (&a, 10);

      assert_true (bounded < 10);
      assert_int_equal (bounded, eg_random_below (&b, 10));
    }
}

static void
test_map_against_array (void **state)
{
  enum
  {
    KEYS = 200,
    STEPS = 20000
  };
  int values[KEYS];
  bool present[KEYS] = {false};
  struct eg_map map;
  struct eg_random random;

  (void) state;
  eg_map_init (&map);
  eg_random_init (&random, 7);
  for (int step = 0; step < STEPS; step++)
    {
      size_t key = eg_random_below (&random, KEYS);

      assert_ptr_equal (eg_map_get (&map, key),
                        present[key] ? &values[key] : NULL);
      if (present[key])
        assert_ptr_equal (eg_map_remove (&map, key), &values[key]);
      else
        eg_map_put (&map, key, &values[key]);
      present[key] = !present[key];
    }
  eg_map_finish (&map);
}

/* Allocations must stay aligned and at their addresses, and must not overlap,
 * whether they share a block or have one of their own. */
static void
test_arena_allocations_are_separate (void **state)
{
  struct eg_arena arena = {0};
  struct eg_random random;
  struct eg_str copies[300];
  uint64_t *arrays[300];
  static char text[6000];

  (void) state;
  eg_random_init (&random, 5);
  memset (text, 'a', sizeof text);
  for (size_t i = 0; i < 300; i++)
    {
      size_t len = eg_random_below (&random, i % 10 == 0 ? 6000 : 200);

      text[0] = (char) ('a' + i % 26);
      copies[i] = eg_arena_copy (&arena, (struct eg_str){text, len});
      arrays[i] = eg_arena_array (&arena, 3, sizeof *arrays[i]);
      assert_int_equal ((uintptr_t) arrays[i] % sizeof (uint64_t), 0);
      assert_int_equal (arrays[i][0] | arrays[i][1] | arrays[i][2], 0);
      arrays[i][0] = arrays[i][2] = i;
    }
  for (size_t i = 0; i < 300; i++)
    {
      assert_int_equal (copies[i].data[copies[i].len], 0);
      assert_int_equal (strlen (copies[i].data), copies[i].len);
      if (copies[i].len > 0)
        assert_int_equal (copies[i].data[0], 'a' + i % 26);
      assert_int_equal (arrays[i][0], i);
      assert_int_equal (arrays[i][2], i);
    }
  eg_arena_finish (&arena);
  assert_null (arena.newest);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_settings_defaults_and_values),
      cmocka_unit_test (test_settings_errors_name_line_and_key),
      cmocka_unit_test (test_integers_and_seconds_may_have_fractions),
      cmocka_unit_test (test_secrets_are_not_printed),
      cmocka_unit_test (test_str_functions),
      cmocka_unit_test (test_histogram_quantiles),
      cmocka_unit_test (test_ring_is_fifo_and_bounded),
      cmocka_unit_test (test_buffer_consume),
      cmocka_unit_test (test_map_against_array),
      cmocka_unit_test (test_arena_allocations_are_separate),
      cmocka_unit_test (test_random_is_reproducible),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
