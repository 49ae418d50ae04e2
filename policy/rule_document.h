/**
 * @file
 * The object that keeps the rules in the platform's store: their text, and who
 * edited which lines.
 */
#ifndef EG_POLICY_RULE_DOCUMENT_H
#define EG_POLICY_RULE_DOCUMENT_H

#include "base/buffer.h"
#include "base/decls.h"
#include "base/status.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Key of the object. */
#define EG_RULES_OBJECT_KEY "rules"
/** Longest object, in JSON; the store takes a megabyte. */
#define EG_RULES_OBJECT_BYTES_MAX ((size_t) 1000 * 1024)
/** Edits that the object keeps; older ones are dropped, and more of them where
 *  the object would grow too long. */
#define EG_RULE_EDITS_MAX 100
/** Lines of one edit that the history shows in full. */
#define EG_RULE_EDIT_LINES_MAX 20

/** One edit of the history. */
struct eg_rule_edit_record
{
  uint64_t id; /**< Random; settles a lost reply. */
  char who[EG_NAME_BYTES];
  int64_t wall_ms;          /**< Since 1970, by the editing node's clock. */
  struct eg_buffer removed; /**< Lines, each with its end. */
  struct eg_buffer added;
};

/** The object. */
struct eg_rule_document
{
  struct eg_buffer text;
  struct eg_rule_edit_record edits[EG_RULE_EDITS_MAX]; /**< Oldest first. */
  size_t edit_count;
};

/** Makes an empty document. */
void eg_rule_document_init (struct eg_rule_document *self);

/** Frees the document. */
void eg_rule_document_finish (struct eg_rule_document *self);

/** Makes @p target, which holds nothing, a copy of @p source. */
void eg_rule_document_copy (struct eg_rule_document *target,
                            const struct eg_rule_document *source);

/** Reads the JSON form into an empty document. */
enum eg_status eg_rule_document_decode (struct eg_rule_document *self,
                                        struct eg_str json,
                                        struct eg_error *error);

/** Appends the JSON form. */
void eg_rule_document_encode (const struct eg_rule_document *self,
                              struct eg_buffer *json);

/** Replaces the text and adds to the history what changed, and by whom. */
void eg_rule_document_edit (struct eg_rule_document *self,
                            uint64_t id,
                            struct eg_str who,
                            int64_t wall_ms,
                            struct eg_str text);

/** Returns the edit with this id, or NULL. */
const struct eg_rule_edit_record *
eg_rule_document_find (const struct eg_rule_document *self, uint64_t id);

EG_END_DECLS

#endif
