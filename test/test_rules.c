/* Tests of the rules file. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/random.h"
#include "policy/rule_document.h"
#include "policy/rules.h"

static const char good[] =
    "# The classes of the registry.\n"
    "class name=counter priority=0 deadline=30s # Nok: clerks wait\n"
    "class name=bulk priority=2 floor=0.1 queue=100 # Nok: night uploads\n"
    "\n"
    "limit organisation=temple rate=50/s burst=100 in-flight=20 # Som: SLA\n"
    "limit organisation=temple class=bulk rate=2.5/s # Som: SLA\n"
    "route service=app path=/search idempotent=yes # Lek, reads only\n"
    "drain server=10.0.0.1:80 # Lek: disk\n"
    "quarantine fingerprint=00ff for=1h # Nok: crashes\n"
    "capacity service=llm model=m version=1 layers=1-16 count=4 # Ann: plan\n"
    "link from=a to=b latency=200us # Ann: measured\n"
    "accelerator name=large weight=200 # Ann: measured";

static void
test_good_file (void **state)
{
  struct eg_rules rules;
  const struct eg_rule *limit;

  (void) state;
  if (eg_rules_init (&rules, EG_STR (good)) != EG_OK)
    fail_msg ("%u: %s", rules.errors[0].line, rules.errors[0].message);
  assert_int_equal (rules.count, 10);
  limit = &rules.rules[2];
  assert_int_equal (limit->verb, EG_VERB_LIMIT);
  assert_int_equal (limit->line, 5);
  assert_true (limit->values[EG_LIMIT_RATE].number == 50.0);
  assert_false (limit->values[EG_LIMIT_CLASS].given);
  assert_true (eg_str_equal (limit->comment, EG_STR ("Som: SLA")));
  assert_true (rules.rules[0].values[EG_CLASS_DEADLINE].integer == 30000000);
  assert_int_equal (rules.rules[6].values[EG_QUARANTINE_FINGERPRINT].bits,
                    0xff);
  assert_int_equal (rules.rules[7].values[EG_CAPACITY_LAYERS].last, 16);
  eg_rules_finish (&rules);
}

static void
test_each_fault_is_told (void **state)
{
  static const struct
  {
    const char *text;
    const char *faults; /* All of them, as one text. */
  } cases[] = {
      {"drain server=10.0.0.1:80", "f:1:25: expected a comment"},
      {"drain server=10.0.0.1:80 #", "f:1:26: the comment names no one"},
      {"drain server=10.0.0.1:80 # 1", "f:1:26: the comment names no one"},
      {"drian server=1 # Nok", "f:1:1: unknown verb 'drian'"},
      {"drain server=x # Nok",
       "f:1:14: drain: server: expected an address (10.0.0.1:80), found 'x'"},
      {"drain sever=10.0.0.1:80 # Nok", "f:1:7: drain: unknown key 'sever'"},
      {"drain # Nok", "f:1:1: drain: key 'server' is missing"},
      {"drain x # Nok", "f:1:7: 'x': expected key=value"},
      {"class name=a priority=1 priority=2 # Nok",
       "f:1:25: class: key 'priority' is given twice"},
      {"class name=a priority=1 floor=1.5 # Nok", "expected a share"},
      {"class name=a priority=1 deadline=30 # Nok", "expected a duration"},
      {"limit organisation=a rate=1e3/s # Nok", "expected a rate"},
      {"capacity service=s model=m version=1 layers=9-8 count=1 # Nok",
       "expected layers"},
      {"drain server=10.0.0.1:80 # Nok\n\ndrain server=10.0.0.1:80 # Lek",
       "f:3:1: drain: contradicts line 1"},
      {"quarantine fingerprint=ff # Nok\nrelease fingerprint=0ff # Lek",
       "f:2:1: release: contradicts line 1"},
      {"x # Nok\ny # Nok\n",
       "f:1:1: unknown verb 'x'\nf:2:1: unknown verb 'y'"},
  };

  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct eg_rules rules;
      struct eg_buffer faults = {0};

      assert_int_equal (eg_rules_init (&rules, eg_str_from (cases[i].text)),
                        EG_INVALID);
      eg_rules_write_errors (&rules, "f", &faults);
      if (!strstr (eg_buffer_text (&faults), cases[i].faults))
        fail_msg ("case %zu: %s", i, faults.data);
      eg_buffer_finish (&faults);
      eg_rules_finish (&rules);
    }
}

/* Whatever the bytes, reading ends, and each fault lies within the text. */
static void
test_any_bytes (void **state)
{
  struct eg_random random;

  (void) state;
  eg_random_init (&random, 20261203);
  for (int round = 0; round < 20000; round++)
    {
      char text[sizeof good];
      struct eg_rules rules;

      memcpy (text, good, sizeof good);
      for (int i = 0; i < 4; i++)
        text[eg_random_below (&random, sizeof good - 1)] =
            (char) eg_random_next (&random);
      eg_rules_init (&rules, (struct eg_str){
                                 text, eg_random_below (&random, sizeof good)});
      for (size_t i = 0; i < rules.error_count; i++)
        assert_in_range (rules.errors[i].column, 1, sizeof good);
      eg_rules_finish (&rules);
    }
}

/* Makes a text of long lines, all of them other ones for another @p seed. */
static void
write_long_lines (struct eg_buffer *text, size_t bytes, int seed)
{
  eg_buffer_clear (text);
  for (int i = 0; text->len < bytes; i++)
    eg_buffer_printf (text, "# \"%d %d%0900d\"\n", seed, i, 0);
}

static void
test_object_fits_the_store (void **state)
{
  struct eg_rule_document *document = malloc (sizeof *document);
  struct eg_buffer text = {0};
  struct eg_buffer json = {0};

  (void) state;
  assert_non_null (document);
  eg_rule_document_init (document);
  for (int i = 0; i < 120; i++)
    {
      write_long_lines (&text, (size_t) i * 7 * 1024, i);
      eg_rule_document_edit (document, (uint64_t) i + 1, EG_STR ("a"), 0,
                             eg_buffer_view (&text));
      eg_buffer_clear (&json);
      eg_rule_document_encode (document, &json);
      assert_true (json.len <= 1048576);
      assert_non_null (eg_rule_document_find (document, (uint64_t) i + 1));
    }
  assert_true (document->edit_count > 1);
  assert_true (document->edit_count < EG_RULE_EDITS_MAX);
  eg_rule_document_finish (document);
  free (document);
  eg_buffer_finish (&text);
  eg_buffer_finish (&json);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_good_file),
      cmocka_unit_test (test_each_fault_is_told),
      cmocka_unit_test (test_any_bytes),
      cmocka_unit_test (test_object_fits_the_store),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
