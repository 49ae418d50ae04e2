#include "policy/rules.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/map.h"

#define WHO_LETTERS_MIN 2

/* One line while it is read. */
struct cursor
{
  struct eg_rules *rules;
  struct eg_str line; /* Without the line's end. */
  unsigned number;
  unsigned faults;
};

static void *
grow (void *items, size_t count, size_t size)
{
  /* Doubling at each power of two. */
  if (count == 0 || (count & (count - 1)) == 0)
    items = realloc (items, (count ? count * 2 : 1) * size);
  EG_INVARIANT (items != NULL);
  return items;
}

static void __attribute__ ((format (printf, 3, 4)))
add_fault (struct cursor *cursor, const char *at, const char *format, ...)
{
  struct eg_rules *rules = cursor->rules;
  struct eg_rule_error *fault;
  va_list args;

  rules->errors =
      grow (rules->errors, rules->error_count, sizeof *rules->errors);
  fault = &rules->errors[rules->error_count++];
  cursor->faults++;
  fault->line = cursor->number;
  fault->column = (unsigned) (at - cursor->line.data) + 1;
  va_start (args, format);
  vsnprintf (fault->message, sizeof fault->message, format, args);
  va_end (args);
}

/* Takes the next word off @p rest. */
static struct eg_str
next_word (struct eg_str *rest)
{
  struct eg_str word = {0};

  while (rest->len > 0 && isspace ((unsigned char) rest->data[0]))
    {
      rest->data++;
      rest->len--;
    }
  word.data = rest->data;
  while (rest->len > 0 && !isspace ((unsigned char) rest->data[0]))
    {
      rest->data++;
      rest->len--;
      word.len++;
    }
  return word;
}

static void
read_pair (struct cursor *cursor, struct eg_str pair, struct eg_rule *rule)
{
  const struct eg_rule_verb_info *verb = eg_rule_verb_info (rule->verb);
  struct eg_str value = pair;
  struct eg_str name = eg_str_cut (&value, '=');
  int key = eg_rule_key_find (rule->verb, name);

  if (name.len == pair.len)
    add_fault (cursor, pair.data, "'%.*s': expected key=value",
               EG_STR_ARGS (pair));
  else if (key < 0)
    add_fault (cursor, pair.data, "%s: unknown key '%.*s'", verb->name,
               EG_STR_ARGS (name));
  else if (rule->values[key].given)
    add_fault (cursor, pair.data, "%s: key '%s' is given twice", verb->name,
               verb->keys[key].name);
  else if (!eg_rule_value_parse (verb->keys[key].type, value,
                                 &rule->values[key]))
    add_fault (cursor, value.data, "%s: %s: expected %s, found '%.*s'",
               verb->name, verb->keys[key].name,
               eg_rule_type_expected (verb->keys[key].type),
               EG_STR_ARGS (value));
}

static void
check_required (struct cursor *cursor, const struct eg_rule *rule)
{
  const struct eg_rule_verb_info *verb = eg_rule_verb_info (rule->verb);

  for (size_t i = 0; i < verb->key_count; i++)
    if (verb->keys[i].required && !rule->values[i].given)
      add_fault (cursor, rule->text.data, "%s: key '%s' is missing (%s)",
                 verb->name, verb->keys[i].name,
                 eg_rule_type_expected (verb->keys[i].type));
}

/* A comment names someone if its first word has letters enough for a name. */
static bool
names_someone (struct eg_str comment)
{
  size_t letters = 0;

  comment = eg_str_trim (comment);
  for (size_t i = 0; i < comment.len && letters < WHO_LETTERS_MIN; i++)
    {
      if (isspace ((unsigned char) comment.data[i]))
        return false;
      /* Bytes of UTF-8 letters count. */
      letters += isalpha ((unsigned char) comment.data[i])
                 || (unsigned char) comment.data[i] >= 0x80;
    }
  return letters >= WHO_LETTERS_MIN;
}

static void
read_comment (struct cursor *cursor, struct eg_str *body, struct eg_rule *rule)
{
  struct eg_str rest = *body;
  struct eg_str before = eg_str_cut (&rest, '#');

  if (before.len == body->len)
    add_fault (cursor, body->data + body->len,
               "expected a comment '# who asked, and why' at the end");
  else if (!names_someone (rest))
    add_fault (cursor, before.data + before.len,
               "the comment names no one: expected '# who asked, and why'");
  rule->comment = eg_str_trim (rest);
  *body = before;
}

static void
read_rule (struct cursor *cursor)
{
  struct eg_rules *rules = cursor->rules;
  struct eg_rule rule = {.line = cursor->number,
                         .text = eg_str_trim (cursor->line)};
  struct eg_str body = rule.text;
  struct eg_str word;

  read_comment (cursor, &body, &rule);
  word = next_word (&body);
  rule.verb = eg_rule_verb_find (word);
  if (rule.verb == EG_VERB_COUNT)
    add_fault (cursor, word.data, "unknown verb '%.*s'", EG_STR_ARGS (word));
  else
    {
      while ((word = next_word (&body)).len > 0)
        read_pair (cursor, word, &rule);
      check_required (cursor, &rule);
    }
  if (cursor->faults > 0)
    return;
  rules->rules = grow (rules->rules, rules->count, sizeof *rules->rules);
  rules->rules[rules->count++] = rule;
}

static void
read_line (struct eg_rules *self, struct eg_str line, unsigned number)
{
  struct cursor cursor = {.rules = self, .line = line, .number = number};
  struct eg_str trimmed = eg_str_trim (line);

  if (trimmed.len == 0 || trimmed.data[0] == '#')
    return;
  if (line.len > EG_RULE_LINE_BYTES_MAX)
    add_fault (&cursor, line.data, "the line is longer than %d bytes",
               EG_RULE_LINE_BYTES_MAX);
  else
    read_rule (&cursor);
}

bool
eg_rule_same_identity (const struct eg_rule *a, const struct eg_rule *b)
{
  const struct eg_rule_verb_info *verb = eg_rule_verb_info (a->verb);

  if (a->verb != b->verb)
    return false;
  for (size_t i = 0; i < verb->key_count; i++)
    if (verb->keys[i].identity
        && (a->values[i].given != b->values[i].given
            || !eg_str_equal (a->values[i].text, b->values[i].text)))
      return false;
  return true;
}

static uint64_t
subject_hash (const struct eg_rule *rule)
{
  const struct eg_rule_verb_info *verb = eg_rule_verb_info (rule->verb);
  uint64_t hash = eg_hash_add (EG_HASH_START, eg_str_from (verb->name));

  for (size_t i = 0; i < verb->key_count; i++)
    if (verb->keys[i].identity)
      hash = eg_hash_add (hash, rule->values[i].text);
  return hash;
}

/* A rule that is released and quarantined at once contradicts too. */
static bool
is_opposite (const struct eg_rule *a, const struct eg_rule *b)
{
  return a->verb == EG_VERB_QUARANTINE && b->verb == EG_VERB_RELEASE
         && a->values[EG_QUARANTINE_FINGERPRINT].bits
                == b->values[EG_RELEASE_FINGERPRINT].bits;
}

static void
add_contradiction (struct eg_rules *self,
                   const struct eg_rule *first,
                   const struct eg_rule *second)
{
  struct cursor cursor = {
      .rules = self, .line = second->text, .number = second->line};

  add_fault (&cursor, second->text.data,
             "%s: contradicts line %u, which is about the same",
             eg_rule_verb_info (second->verb)->name, first->line);
}

static void
check_opposites (struct eg_rules *self)
{
  for (size_t i = 0; i < self->count; i++)
    for (size_t k = 0;
         self->rules[i].verb == EG_VERB_QUARANTINE && k < self->count; k++)
      if (is_opposite (&self->rules[i], &self->rules[k]))
        add_contradiction (self, &self->rules[i], &self->rules[k]);
}

static void
check_contradictions (struct eg_rules *self)
{
  struct eg_map seen = {0};

  for (size_t i = 0; i < self->count; i++)
    {
      struct eg_rule *rule = &self->rules[i];
      uint64_t hash = subject_hash (rule);
      const struct eg_rule *earlier = eg_map_get (&seen, hash);

      if (earlier && eg_rule_same_identity (earlier, rule))
        add_contradiction (self, earlier, rule);
      else
        eg_map_put (&seen, hash, rule);
    }
  eg_map_finish (&seen);
  check_opposites (self);
}

static int
compare_faults (const void *a, const void *b)
{
  const struct eg_rule_error *first = a;
  const struct eg_rule_error *second = b;

  if (first->line != second->line)
    return first->line < second->line ? -1 : 1;
  return (first->column > second->column) - (first->column < second->column);
}

enum eg_status
eg_rules_init (struct eg_rules *self, struct eg_str text)
{
  struct eg_str rest;

  *self = (struct eg_rules){0};
  eg_buffer_append (&self->text, text);
  rest = eg_buffer_view (&self->text);
  if (text.len > EG_RULES_BYTES_MAX)
    {
      struct cursor cursor = {.rules = self, .line = rest, .number = 1};

      add_fault (&cursor, rest.data, "the file is longer than %zu bytes",
                 EG_RULES_BYTES_MAX);
      return EG_INVALID;
    }
  for (unsigned number = 1; rest.len > 0; number++)
    read_line (self, eg_str_cut (&rest, '\n'), number);
  check_contradictions (self);
  if (self->error_count == 0)
    return EG_OK;
  qsort (self->errors, self->error_count, sizeof *self->errors, compare_faults);
  return EG_INVALID;
}

void
eg_rules_finish (struct eg_rules *self)
{
  eg_buffer_finish (&self->text);
  free (self->rules);
  free (self->errors);
  *self = (struct eg_rules){0};
}

void
eg_rules_write_errors (const struct eg_rules *self,
                       const char *name,
                       struct eg_buffer *text)
{
  for (size_t i = 0; i < self->error_count; i++)
    eg_buffer_printf (text, "%s:%u:%u: %s\n", name, self->errors[i].line,
                      self->errors[i].column, self->errors[i].message);
}
