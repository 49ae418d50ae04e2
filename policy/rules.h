/**
 * @file
 * Parser for rules files. A line holds one rule:
 * `verb key=value ... # who asked, and why`.
 */
#ifndef EG_POLICY_RULES_H
#define EG_POLICY_RULES_H

#include "base/buffer.h"
#include "base/decls.h"
#include "base/status.h"
#include "policy/rule_verbs.h"

EG_BEGIN_DECLS

/** Longest rules file in bytes; the store's limit is 1 MB per object. */
#define EG_RULES_BYTES_MAX ((size_t) 900 * 1024)
/** Longest line in bytes. */
#define EG_RULE_LINE_BYTES_MAX 1024

/** One rule; its views point into the text of the file. */
struct eg_rule
{
  enum eg_rule_verb verb;
  unsigned line;         /**< Line number, from 1. */
  struct eg_str text;    /**< The whole line, trimmed. */
  struct eg_str comment; /**< The comment: who asked, and why. */
  struct eg_rule_value values[EG_RULE_KEYS_MAX]; /**< By position of the key. */
};

/** An error in a rules file. */
struct eg_rule_error
{
  unsigned line;
  unsigned column; /**< In bytes, from 1. */
  char message[256];
};

/** A parsed rules file. */
struct eg_rules
{
  struct eg_buffer text; /**< Copy of the file; the views point into it. */
  struct eg_rule *rules;
  size_t count;
  struct eg_rule_error *errors; /**< All errors, ordered by line. */
  size_t error_count;
};

/**
 * Parses @p text. Valid rules are returned even if others have errors.
 * @return EG_OK if there are no errors, EG_INVALID otherwise.
 */
enum eg_status eg_rules_init (struct eg_rules *self, struct eg_str text);

/** Frees the rules and errors. */
void eg_rules_finish (struct eg_rules *self);

/** Returns whether two rules have the same verb and equal identity keys. */
bool eg_rule_same_identity (const struct eg_rule *a, const struct eg_rule *b);

/** Appends one line for each error: `NAME:LINE:COLUMN: MESSAGE`. */
void eg_rules_write_errors (const struct eg_rules *self,
                            const char *name,
                            struct eg_buffer *text);

EG_END_DECLS

#endif
