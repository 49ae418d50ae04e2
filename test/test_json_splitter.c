/* Tests of the JSON splitter and of the decoding of store answers, among them a
 * fuzz test: test_json_splitter [SEED [MILLISECONDS]]. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/random.h"
#include "http/json.h"
#include "http/json_splitter.h"
#include "platform/store.h"
#include "platform/store_document.h"

#define OBJECTS_MAX 12

static uint64_t seed = 20261205;
static int64_t fuzz_us = 3 * EG_US_PER_S;

static json_t *
decode (const char *text, uint64_t *undecodable)
{
  *undecodable = 0;
  return eg_store_document_decode (eg_str_from (text), "test", false,
                                   undecodable);
}

static void
assert_names (const json_t *items, const char *const *names, size_t count)
{
  assert_int_equal (json_array_size (items), count);
  for (size_t i = 0; i < count; i++)
    assert_string_equal (eg_store_object_name (json_array_get (items, i)),
                         names[i]);
}

#define GOOD(name) "{\"metadata\":{\"name\":\"" name "\"},\"spec\":{\"a\":1}}"
#define LIST(bad)                                                              \
  "{\"items\":[" GOOD ("a") "," bad                                            \
                            "," GOOD ("c") "],\"hasMore\":true,\"at\":7}"
#define LIST_END(bad)                                                          \
  "{\"at\":7,\"items\":[" GOOD ("a") "," GOOD ("c") "," bad                    \
                                                    "],\"hasMore\":true}"
#define BAD_SPEC(spec) "{\"metadata\":{\"name\":\"b\"},\"spec\":" spec "}"

/* Guards against one object that makes a whole list unreadable. */
static void
test_undecodable_object_leaves_the_others (void **state)
{
  static const char *const lists[] = {
      LIST (BAD_SPEC ("{\"s\":18446744073709551615}")),
      LIST (BAD_SPEC ("{\"s\":1e400}")),
      LIST (BAD_SPEC ("{\"s\":\"\\u0000\"}")),
      LIST (BAD_SPEC ("{\"s\":\"\xff\"}")),
      LIST (BAD_SPEC ("{\"s\":nul}")),
      LIST (BAD_SPEC ("{\"s\":\"\n\"}")),
      LIST ("{\"metadata\":{\"name\":\"b\"},\"spec\":{\"s\":\"cut"),
      LIST ("{\"metadata\":{\"name\":\"b\"},\"spec\":{\"s\":\"cut\\"),
      LIST ("{\"metadata\":{\"name\":\"b\"},\"spec\":{\"s\":[1"),
      LIST ("{\"metadata\":{\"name\":\"b\"},\"spec\":[1"),
      LIST ("{\"metadata\":{\"name\":\"b\"},\"spec\":[[1"),
      LIST ("{\"metadata\":{\"name\":\"b\"},\"spec\":["),
      LIST ("{\"metadata\":{\"name\":\"b\"},\"spec\":{\"s\":1}"),
      LIST ("{\"metadata\":{\"name\":\"b\"},\"spec\":"),
      LIST ("{\"metadata\":{\"name\":\"b\",\"rev"),
  };

  (void) state;
  for (size_t i = 0; i < sizeof lists / sizeof lists[0]; i++)
    {
      static const char *const names[] = {"a", "b", "c"};
      uint64_t undecodable;
      json_t *document = decode (lists[i], &undecodable);
      json_t *items = eg_store_page_objects (document);

      if (!document)
        fail_msg ("unreadable: %s", lists[i]);
      assert_names (items, names, 3);
      assert_int_equal (undecodable, 1);
      assert_non_null (eg_store_object_spec (json_array_get (items, 0)));
      assert_null (eg_store_object_spec (json_array_get (items, 1)));
      assert_non_null (eg_store_object_spec (json_array_get (items, 2)));
      assert_true (eg_store_page_has_more (document));
      assert_int_equal (json_integer_value (json_object_get (document, "at")),
                        7);
      json_decref (document);
    }
}

/* Guards against bytes that are no object and hide the objects beside them. */
static void
test_element_without_a_name_is_left_out (void **state)
{
  static const char *const lists[] = {
      LIST ("7"),
      LIST ("null"),
      LIST ("\"text\""),
      LIST ("\"cut"),
      LIST ("[1,2"),
      LIST ("[1,2]"),
      LIST (""),
      LIST ("{"),
      LIST ("{\"meta"),
      LIST ("\xff\xfe{{]"),
      LIST ("]"),
      LIST ("{\"metadata\":{\"name\":\"\\ud800\"}}"),
      LIST ("{\"metadata\":{\"name\":\"b"),
      LIST ("{\"metadata\":{\"name\":7e999},\"spec\":{}}"),
      LIST_END ("{\"spec\":{\"s\":[1"),
      LIST_END ("{\"spec\":{\"s\":\"cut"),
      LIST_END ("\"cut"),
      LIST_END ("["),
      LIST_END ("{"),
      LIST_END (""),
  };

  (void) state;
  for (size_t i = 0; i < sizeof lists / sizeof lists[0]; i++)
    {
      static const char *const names[] = {"a", "c"};
      uint64_t undecodable;
      json_t *document = decode (lists[i], &undecodable);

      if (!document)
        fail_msg ("unreadable: %s", lists[i]);
      assert_names (eg_store_page_objects (document), names, 2);
      assert_true (undecodable > 0);
      assert_true (eg_store_page_has_more (document));
      assert_int_equal (json_integer_value (json_object_get (document, "at")),
                        7);
      json_decref (document);
    }
}

static void
test_undecodable_event_keeps_its_name (void **state)
{
  static const char text[] = "{\"events\":[{\"object\":" GOOD (
      "a") ",\"deleted\":false},"
           "{\"deleted\":true,\"object\":" BAD_SPEC (
               "1e999") "},"
                        "{\"object\":" BAD_SPEC (
                            "[\"cut") ",{\"object\":" GOOD ("c") ",\"deleted\":"
                                                                 "false}],"
                                                                 "\"at\":9,"
                                                                 "\"age_us\":"
                                                                 "5}";
  static const bool deleted[] = {false, true, false, false};
  static const char *const names[] = {"a", "b", "b", "c"};
  uint64_t undecodable;
  json_t *document = decode (text, &undecodable);
  const json_t *events = json_object_get (document, "events");

  (void) state;
  assert_int_equal (undecodable, 2);
  assert_int_equal (json_array_size (events), 4);
  for (size_t i = 0; i < 4; i++)
    {
      const json_t *event = json_array_get (events, i);

      assert_string_equal (
          eg_store_object_name (json_object_get (event, "object")), names[i]);
      assert_int_equal (json_is_true (json_object_get (event, "deleted")),
                        deleted[i]);
    }
  assert_int_equal (json_integer_value (json_object_get (document, "at")), 9);
  json_decref (document);
}

/* Guards against a list that is taken for complete although its end is missing:
 * its revision is in the end. */
static void
test_incomplete_answer_is_not_used (void **state)
{
  static const char text[] = LIST (BAD_SPEC ("[1,[2],{\"x\":[3]}]"));
  uint64_t undecodable;
  json_t *document;

  (void) state;
  for (size_t len = 0; len + 1 < sizeof text; len++)
    {
      undecodable = 0;
      document = eg_store_document_decode ((struct eg_str){text, len}, "test",
                                           false, &undecodable);
      if (json_object_get (document, "at"))
        fail_msg ("accepted: %.*s", (int) len, text);
      json_decref (document);
    }
}

/* An undecodable lease or entry of a VM is replaced by means of its revision.
 */
static void
test_single_object_keeps_its_revision (void **state)
{
  uint64_t undecodable;
  int64_t revision;
  json_t *document =
      decode ("{\"metadata\":{\"name\":\"planner\",\"revision\":12},"
              "\"spec\":{\"sequence\":18446744073709551615}}",
              &undecodable);

  (void) state;
  assert_int_equal (undecodable, 1);
  assert_true (eg_store_object_revision (document, &revision));
  assert_int_equal (revision, 12);
  assert_null (eg_store_object_spec (document));
  json_decref (document);
}

static void
test_depth_is_limited (void **state)
{
  struct eg_buffer text = {0};
  struct eg_json_splitter splitter = {0};
  struct eg_str value;

  (void) state;
  for (int depth = EG_JSON_SPLITTER_DEPTH_MAX;
       depth <= EG_JSON_SPLITTER_DEPTH_MAX + 1; depth++)
    {
      eg_buffer_clear (&text);
      for (int i = 0; i < depth; i++)
        eg_buffer_append (&text, EG_STR ("["));
      for (int i = 0; i < depth; i++)
        eg_buffer_append (&text, EG_STR ("]"));
      splitter.rest = eg_buffer_view (&text);
      assert_int_equal (eg_json_splitter_take (&splitter, &value),
                        depth <= EG_JSON_SPLITTER_DEPTH_MAX);
    }
  eg_buffer_finish (&text);
}

static void
test_undecodable_values_are_dropped_down_to_a_level (void **state)
{
  static const char text[] = "{\"a\":1e999,\"b\":[1,[2,1e999],\"\xff\",3],"
                             "\"c\":{\"x\":1e999,\"y\":2}}";
  size_t dropped = 0;
  json_t *value = eg_json_parse_decodable (EG_STR (text), 2, &dropped);
  char *dumped = json_dumps (value, JSON_COMPACT | JSON_SORT_KEYS);

  (void) state;
  assert_string_equal (dumped, "{\"b\":[1,3],\"c\":{\"y\":2}}");
  assert_int_equal (dropped, 4);
  assert_null (
      eg_json_parse_decodable (EG_STR ("{\"a\":1,\"b\":[1e999}"), 2, &dropped));
  free (dumped);
  json_decref (value);
}

/* Writes "*" for each escaped U+0000 of a text. */
static char *
replace_zero (char *text)
{
  char *at;

  while (text && (at = strstr (text, "\\u0000")))
    {
      *at = '*';
      memmove (at + 1, at + 6, strlen (at + 6) + 1);
    }
  return text;
}

/* A value that no part of the program reads made the configuration undecodable.
 */
static void
test_undecodable_values_are_replaced (void **state)
{
  static const struct
  {
    const char *text;
    const char *expected; /* With U+0000 as "*"; NULL: it is no JSON. */
    size_t replaced;
  } cases[] = {
      {"{\"a\":[1,{\"b\":18446744073709551615}],\"c\":true}",
       "{\"a\":[1,{\"b\":1.84467e19}],\"c\":true}", 1},
      {" [ 1e400 , -1e400 , 3 ] ", "[1.79769e308,-1.79769e308,3]", 2},
      {"{\"a\":\"\\u0000\",\"b\":[\"\\ud800\"],\"c\":\"\xff\",\"d\":tru}",
       "{\"a\":\"*\",\"b\":[\"*\"],\"c\":\"*\",\"d\":\"*\"}", 4},
      {"{\"\\u0061\":1e400,\"\\u0000\":2,\"\\u0062\":3}",
       "{\"a\":1.79769e308,\"b\":3}", 2},
      {"{\"a\":1e400,\"b\":{}", NULL, 2},
      {"{\"a\":1e400}x", NULL, 1},
      {"1e400", NULL, 0},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      size_t replaced = 0;
      json_t *value =
          eg_json_parse_replacing (eg_str_from (cases[i].text), &replaced);
      char *dumped = value ? json_dumps (value, JSON_COMPACT | JSON_SORT_KEYS
                                                    | JSON_REAL_PRECISION (6))
                           : NULL;

      assert_int_equal (replaced, cases[i].replaced);
      assert_int_equal (value != NULL, cases[i].expected != NULL);
      if (dumped && cases[i].expected)
        assert_string_equal (replace_zero (dumped), cases[i].expected);
      free (dumped);
      json_decref (value);
    }
}

/* Appends a random value that the decoder accepts, without nested objects that
 * begin like an element. */
static void
append_value (struct eg_random *random, unsigned depth, struct eg_buffer *out)
{
  static const char *const scalars[] = {
      "0",        "-12",
      "3.5e-7",   "true",
      "null",     "\"\"",
      "\"a,{]\"", "\"\\\"\"",
      "\"\\\\\"", "\"\\u00e9,{\\\"metadata\\\":\"",
      "\"é\"",    "9223372036854775807"};
  uint64_t kind = eg_random_below (random, depth > 0 ? 4 : 2);
  uint64_t count = eg_random_below (random, 4);

  if (kind < 2)
    {
      eg_buffer_append (out, eg_str_from (scalars[eg_random_below (
                                 random, sizeof scalars / sizeof scalars[0])]));
      return;
    }
  eg_buffer_append (out, kind == 2 ? EG_STR ("[") : EG_STR ("{"));
  for (uint64_t i = 0; i < count; i++)
    {
      if (i > 0)
        eg_buffer_append (out, EG_STR (" , "));
      if (kind == 3)
        eg_buffer_printf (out, "\"k%u\" : ", (unsigned) i);
      append_value (random, depth - 1, out);
    }
  eg_buffer_append (out, kind == 2 ? EG_STR ("]") : EG_STR ("}"));
}

static void
append_object (struct eg_random *random, unsigned number, struct eg_buffer *out)
{
  eg_buffer_printf (out, "{ \"metadata\":{\"name\":\"n%u\"},\"spec\":{",
                    number);
  for (uint64_t i = eg_random_below (random, 4); i > 0; i--)
    {
      eg_buffer_printf (out, "\"f%u\":", (unsigned) i);
      append_value (random, 4, out);
      eg_buffer_append (out, EG_STR (","));
    }
  eg_buffer_printf (out, "\"last\":%u}}", number);
}

/* Appends an object that cannot be decoded: with an invalid value, one that
 * ends too early, or neither. */
static void
append_broken (struct eg_random *random, unsigned number, struct eg_buffer *out)
{
  static const char *const values[] = {"18446744073709551615", "1e400",
                                       "\"\\u0000\"", "\"\xff\"", "-"};
  struct eg_buffer object = {0};
  size_t len;

  if (eg_random_below (random, 2) == 0)
    {
      eg_buffer_printf (
          out,
          "{\"metadata\":{\"name\":\"n%u\"},\"spec\":{\"x\":%s,\"y\":", number,
          values[eg_random_below (random, sizeof values / sizeof values[0])]);
      append_value (random, 4, out);
      eg_buffer_append (out, EG_STR ("}}"));
      return;
    }
  append_object (random, number, &object);
  len = eg_random_below (random, object.len - 1);
  eg_buffer_append (out, (struct eg_str){object.data, len});
  eg_buffer_finish (&object);
}

/* Builds a list; bits of the result are set for the objects that are whole. */
static unsigned
append_list (struct eg_random *random, unsigned count, struct eg_buffer *out)
{
  unsigned whole = 0;

  eg_buffer_append (out, EG_STR ("{\"items\" : ["));
  for (unsigned i = 0; i < count; i++)
    {
      if (i > 0)
        eg_buffer_append (out, EG_STR (", "));
      if (eg_random_below (random, 3) == 0)
        append_broken (random, i, out);
      else
        {
          append_object (random, i, out);
          whole |= 1U << i;
        }
    }
  eg_buffer_append (out, EG_STR ("],\"hasMore\":false,\"at\":31}"));
  return whole;
}

/* Returns the objects that have been decoded whole, as append_list(). */
static unsigned
find_whole (const json_t *document)
{
  unsigned whole = 0;
  json_t *object;
  size_t index;

  json_array_foreach (eg_store_page_objects (document), index, object)
  {
    const char *name = eg_store_object_name (object);
    const json_t *last =
        json_object_get (eg_store_object_spec (object), "last");

    if (name && *name == 'n' && json_is_integer (last)
        && json_integer_value (last) == atoi (name + 1)
        && json_integer_value (last) < OBJECTS_MAX)
      whole |= 1U << json_integer_value (last);
  }
  return whole;
}

static void
check_list (struct eg_random *random)
{
  struct eg_buffer text = {0};
  unsigned whole = append_list (
      random, (unsigned) eg_random_below (random, OBJECTS_MAX + 1), &text);
  uint64_t undecodable = 0;
  json_t *document = eg_store_document_decode (eg_buffer_view (&text), "test",
                                               false, &undecodable);

  if (!document || find_whole (document) != whole
      || json_integer_value (json_object_get (document, "at")) != 31)
    fail_msg ("seed %llu: %u of %u: %s", (unsigned long long) seed,
              document ? find_whole (document) : 0, whole,
              eg_buffer_text (&text));
  json_decref (document);
  eg_buffer_finish (&text);
}

/* Walks over all elements; each must be a part of the text, and follow the one
 * before. */
static void
check_slices (struct eg_str text)
{
  const struct eg_str keys[] = {EG_STR ("metadata")};
  struct eg_json_splitter splitter;
  const char *end = text.data;
  struct eg_str element;
  bool intact;

  if (!eg_json_splitter_open_array (&splitter, text, keys, 1))
    return;
  while (eg_json_splitter_next_element (&splitter, &element, &intact))
    {
      assert_true (element.data >= end);
      end = element.data + element.len;
      assert_true (end <= text.data + text.len);
      assert_true (splitter.rest.data >= end);
    }
}

/* Replaces, removes or repeats bytes; the decoder must not read outside of the
 * text, and must return. The text has its own allocation, so that sanitizers
 * see each access behind it. */
static void
check_mutated (struct eg_random *random)
{
  static const char bytes[] = "{}[]\",:\\ 0e\xff\n";
  struct eg_buffer list = {0};
  uint64_t undecodable = 0;
  size_t dropped = 0;
  size_t len;
  char *text;

  append_list (random, (unsigned) eg_random_below (random, 4), &list);
  len = eg_random_below (random, list.len + 1);
  if (eg_random_below (random, 2) == 0)
    len = list.len;
  text = malloc (len + 1);
  assert_non_null (text);
  text = realloc (text, len > 0 ? len : 1);
  memcpy (text, list.data, len);
  for (uint64_t i = eg_random_below (random, 6); i > 0 && len > 0; i--)
    text[eg_random_below (random, len)] =
        bytes[eg_random_below (random, sizeof bytes)];
  json_decref (eg_store_document_decode ((struct eg_str){text, len}, "test",
                                         false, &undecodable));
  json_decref (
      eg_json_parse_decodable ((struct eg_str){text, len}, 2, &dropped));
  json_decref (eg_json_parse_replacing ((struct eg_str){text, len}, &dropped));
  for (size_t i = 0; i < len; i++)
    if (text[i] == '[')
      check_slices ((struct eg_str){text + i, len - i});
  free (text);
  eg_buffer_finish (&list);
}

static void
test_random_lists (void **state)
{
  int64_t until_us = eg_clock_now_us () + fuzz_us;
  struct eg_random random;
  unsigned rounds = 0;

  (void) state;
  eg_random_init (&random, seed);
  for (; eg_clock_now_us () < until_us; rounds++)
    {
      check_list (&random);
      check_mutated (&random);
    }
  print_message ("seed %llu: %u rounds\n", (unsigned long long) seed, rounds);
}

static size_t allocations;

static void *
count_allocation (size_t size)
{
  allocations++;
  return malloc (size);
}

/* The members of an object were decoded to find out that it is no list, and the
 * object once more. */
static void
test_single_object_is_decoded_once (void **state)
{
  const struct eg_str object = EG_STR (
      "{\"metadata\":{\"name\":\"a\"},\"spec\":[1,2,3,4,5,6,7,8,9,10]}");
  uint64_t undecodable;
  size_t once;

  (void) state;
  json_set_alloc_funcs (count_allocation, free);
  allocations = 0;
  json_decref (json_loadb (object.data, object.len, 0, NULL));
  once = allocations;
  allocations = 0;
  json_decref (decode (object.data, &undecodable));
  json_set_alloc_funcs (malloc, free);
  assert_int_equal (allocations, once);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_undecodable_object_leaves_the_others),
      cmocka_unit_test (test_element_without_a_name_is_left_out),
      cmocka_unit_test (test_undecodable_event_keeps_its_name),
      cmocka_unit_test (test_incomplete_answer_is_not_used),
      cmocka_unit_test (test_single_object_keeps_its_revision),
      cmocka_unit_test (test_single_object_is_decoded_once),
      cmocka_unit_test (test_depth_is_limited),
      cmocka_unit_test (test_undecodable_values_are_dropped_down_to_a_level),
      cmocka_unit_test (test_undecodable_values_are_replaced),
      cmocka_unit_test (test_random_lists),
  };

  if (argc > 1)
    seed = strtoull (argv[1], NULL, 10);
  if (argc > 2)
    fuzz_us = strtoll (argv[2], NULL, 10) * EG_US_PER_MS;
  eg_log_configure ("test", EG_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
