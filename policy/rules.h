/**
 * @file
 * A rules file: one rule a line, `verb key=value ... # who asked, and why`.
 */
#ifndef EG_POLICY_RULES_H
#define EG_POLICY_RULES_H

#include "base/buffer.h"
#include "base/decls.h"
#include "base/status.h"
#include "policy/rule_verbs.h"

EG_BEGIN_DECLS

/** Longest rules file, in bytes; the store takes a megabyte an object. */
#define EG_RULES_BYTES_MAX ((size_t) 900 * 1024)
/** Longest line, in bytes. */
#define EG_RULE_LINE_BYTES_MAX 1024

/** One rule; its views lie in the text of the file. */
struct eg_rule
{
  enum eg_rule_verb verb;
  unsigned line;         /**< From 1. */
  struct eg_str text;    /**< The whole line, trimmed. */
  struct eg_str comment; /**< The comment: who asked, and why. */
  struct eg_rule_value values[EG_RULE_KEYS_MAX]; /**< By position of the key. */
};

/** A fault in a file. */
struct eg_rule_error
{
  unsigned line;
  unsigned column; /**< In bytes, from 1. */
  char message[256];
};

/** A file that was read. */
struct eg_rules
{
  struct eg_buffer text; /**< What the views point into. */
  struct eg_rule *rules;
  size_t count;
  struct eg_rule_error *errors; /**< All of them, by line. */
  size_t error_count;
};

/**
 * Reads @p text; the rules that are in order are kept even where others are
 * at fault.
 * @return EG_OK if there is no fault, EG_INVALID otherwise.
 */
enum eg_status eg_rules_init (struct eg_rules *self, struct eg_str text);

/** Frees what was read. */
void eg_rules_finish (struct eg_rules *self);

/** Tells whether two rules are of one verb and agree in its identity keys. */
bool eg_rule_same_identity (const struct eg_rule *a, const struct eg_rule *b);

/** Appends one line for each fault: `NAME:LINE:COLUMN: MESSAGE`. */
void eg_rules_write_errors (const struct eg_rules *self,
                            const char *name,
                            struct eg_buffer *text);

EG_END_DECLS

#endif
