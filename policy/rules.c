#include "policy/rules.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/map.h"

#define AUTHOR_LETTERS_MIN 2

/* State while one line is parsed. */
struct line_parser
{
  struct eg_rules *rules;
  struct eg_str line; /* Without the line feed. */
  unsigned number;
  unsigned errors;
};

static void *
grow (void *items, size_t count, size_t size)
{
  /* Doubles the capacity whenever the count reaches a power of two. */
  if (count == 0 || (count & (count - 1)) == 0)
    items = realloc (items, (count ? count * 2 : 1) * size);
  EG_INVARIANT (items != NULL);
  return items;
}

static void __attribute__ ((format (printf, 3, 4)))
add_error (struct line_parser *parser, const char *at, const char *format, ...)
{
  struct eg_rules *rules = parser->rules;
  struct eg_rule_error *error;
  va_list args;

  rules->errors =
      grow (rules->errors, rules->error_count, sizeof *rules->errors);
  error = &rules->errors[rules->error_count++];
  parser->errors++;
  error->line = parser->number;
  error->column = (unsigned) (at - parser->line.data) + 1;
  va_start (args, format);
  vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
}

/* Removes the next word from @p rest and returns it. */
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
parse_pair (struct line_parser *parser,
            struct eg_str pair,
            struct eg_rule *rule)
{
  const struct eg_rule_verb_info *verb = eg_rule_verb_info (rule->verb);
  struct eg_str value = pair;
  struct eg_str name = eg_str_cut (&value, '=');
  int key = eg_rule_key_find (rule->verb, name);

  if (name.len == pair.len)
    add_error (parser, pair.data, "'%.*s': expected key=value",
               EG_STR_ARGS (pair));
  else if (key < 0)
    add_error (parser, pair.data, "%s: unknown key '%.*s'", verb->name,
               EG_STR_ARGS (name));
  else if (rule->values[key].given)
    add_error (parser, pair.data, "%s: key '%s' is given twice", verb->name,
               verb->keys[key].name);
  else if (!eg_rule_value_parse (verb->keys[key].type, value,
                                 &rule->values[key]))
    add_error (parser, value.data, "%s: %s: expected %s, found '%.*s'",
               verb->name, verb->keys[key].name,
               eg_rule_type_expected (verb->keys[key].type),
               EG_STR_ARGS (value));
}

static void
check_required (struct line_parser *parser, const struct eg_rule *rule)
{
  const struct eg_rule_verb_info *verb = eg_rule_verb_info (rule->verb);

  for (size_t i = 0; i < verb->key_count; i++)
    if (verb->keys[i].required && !rule->values[i].given)
      add_error (parser, rule->text.data, "%s: key '%s' is missing (%s)",
                 verb->name, verb->keys[i].name,
                 eg_rule_type_expected (verb->keys[i].type));
}

/* A comment names its author if its first word has at least
   AUTHOR_LETTERS_MIN letters. */
static bool
names_author (struct eg_str comment)
{
  size_t letters = 0;

  comment = eg_str_trim (comment);
  for (size_t i = 0; i < comment.len && letters < AUTHOR_LETTERS_MIN; i++)
    {
      if (isspace ((unsigned char) comment.data[i]))
        return false;
      /* Bytes of multi-byte UTF-8 characters count as letters. */
      letters += isalpha ((unsigned char) comment.data[i])
                 || (unsigned char) comment.data[i] >= 0x80;
    }
  return letters >= AUTHOR_LETTERS_MIN;
}

static void
parse_comment (struct line_parser *parser,
               struct eg_str *body,
               struct eg_rule *rule)
{
  struct eg_str rest = *body;
  struct eg_str before = eg_str_cut (&rest, '#');

  if (before.len == body->len)
    add_error (parser, body->data + body->len,
               "expected a comment '# who asked, and why' at the end");
  else if (!names_author (rest))
    add_error (parser, before.data + before.len,
               "the comment names no one: expected '# who asked, and why'");
  rule->comment = eg_str_trim (rest);
  *body = before;
}

static void
parse_rule (struct line_parser *parser)
{
  struct eg_rules *rules = parser->rules;
  struct eg_rule rule = {.line = parser->number,
                         .text = eg_str_trim (parser->line)};
  struct eg_str body = rule.text;
  struct eg_str word;

  parse_comment (parser, &body, &rule);
  word = next_word (&body);
  rule.verb = eg_rule_verb_find (word);
  if (rule.verb == EG_VERB_COUNT)
    add_error (parser, word.data, "unknown verb '%.*s'", EG_STR_ARGS (word));
  else
    {
      while ((word = next_word (&body)).len > 0)
        parse_pair (parser, word, &rule);
      check_required (parser, &rule);
    }
  if (parser->errors > 0)
    return;
  rules->rules = grow (rules->rules, rules->count, sizeof *rules->rules);
  rules->rules[rules->count++] = rule;
}

static void
parse_line (struct eg_rules *self, struct eg_str line, unsigned number)
{
  struct line_parser parser = {.rules = self, .line = line, .number = number};
  struct eg_str trimmed = eg_str_trim (line);

  if (trimmed.len == 0 || trimmed.data[0] == '#')
    return;
  if (line.len > EG_RULE_LINE_BYTES_MAX)
    add_error (&parser, line.data, "the line is longer than %d bytes",
               EG_RULE_LINE_BYTES_MAX);
  else
    parse_rule (&parser);
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
identity_hash (const struct eg_rule *rule)
{
  const struct eg_rule_verb_info *verb = eg_rule_verb_info (rule->verb);
  uint64_t hash = eg_hash_add (EG_HASH_START, eg_str_from (verb->name));

  for (size_t i = 0; i < verb->key_count; i++)
    if (verb->keys[i].identity)
      hash = eg_hash_add (hash, rule->values[i].text);
  return hash;
}

/* Returns whether @p b releases the fingerprint that @p a quarantines; such
   rules contradict each other as well. */
static bool
is_release_of (const struct eg_rule *a, const struct eg_rule *b)
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
  struct line_parser parser = {
      .rules = self, .line = second->text, .number = second->line};

  add_error (&parser, second->text.data,
             "%s: contradicts line %u, which is about the same",
             eg_rule_verb_info (second->verb)->name, first->line);
}

static void
check_releases (struct eg_rules *self)
{
  for (size_t i = 0; i < self->count; i++)
    for (size_t k = 0;
         self->rules[i].verb == EG_VERB_QUARANTINE && k < self->count; k++)
      if (is_release_of (&self->rules[i], &self->rules[k]))
        add_contradiction (self, &self->rules[i], &self->rules[k]);
}

static void
check_contradictions (struct eg_rules *self)
{
  struct eg_map seen = {0};

  for (size_t i = 0; i < self->count; i++)
    {
      struct eg_rule *rule = &self->rules[i];
      uint64_t hash = identity_hash (rule);
      const struct eg_rule *earlier = eg_map_get (&seen, hash);

      if (earlier && eg_rule_same_identity (earlier, rule))
        add_contradiction (self, earlier, rule);
      else
        eg_map_put (&seen, hash, rule);
    }
  eg_map_finish (&seen);
  check_releases (self);
}

static int
compare_errors (const void *a, const void *b)
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
      struct line_parser parser = {.rules = self, .line = rest, .number = 1};

      add_error (&parser, rest.data, "the file is longer than %zu bytes",
                 EG_RULES_BYTES_MAX);
      return EG_INVALID;
    }
  for (unsigned number = 1; rest.len > 0; number++)
    parse_line (self, eg_str_cut (&rest, '\n'), number);
  check_contradictions (self);
  if (self->error_count == 0)
    return EG_OK;
  qsort (self->errors, self->error_count, sizeof *self->errors, compare_errors);
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
