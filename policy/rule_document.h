/**
 * @file
 * The rules object in the platform's store: the text of the rules and the
 * history of their edits.
 */
#ifndef EG_POLICY_RULE_DOCUMENT_H
#define EG_POLICY_RULE_DOCUMENT_H

#include "base/buffer.h"
#include "base/decls.h"
#include "base/status.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Object key. */
#define EG_RULES_OBJECT_KEY "rules"
/** Longest object in bytes, as JSON; the store's limit is 1 MB. */
#define EG_RULES_OBJECT_BYTES_MAX ((size_t) 1000 * 1024)
/** Maximum number of edits in the history. Older ones are dropped, earlier if
 * the object would exceed EG_RULES_OBJECT_BYTES_MAX. */
#define EG_RULE_EDITS_MAX 100
/** Maximum number of added and of removed lines that the history keeps per
 *  edit. */
#define EG_RULE_EDIT_LINES_MAX 20

/** One edit in the history. */
struct eg_rule_edit_record
{
  uint64_t id; /**< Random; identifies the edit if a reply was lost. */
  char who[EG_NAME_BYTES];
  int64_t wall_ms; /**< Since 1970, by the clock of the editing node. */
  struct eg_buffer removed; /**< Lines, each with its line feed. */
  struct eg_buffer added;
};

/** The rules object. */
struct eg_rule_document
{
  struct eg_buffer text;
  struct eg_rule_edit_record edits[EG_RULE_EDITS_MAX]; /**< Oldest first. */
  size_t edit_count;
};

/** Initialises an empty document. */
void eg_rule_document_init (struct eg_rule_document *self);

/** Frees the document. */
void eg_rule_document_finish (struct eg_rule_document *self);

/** Copies @p source to the uninitialised @p target. */
void eg_rule_document_copy (struct eg_rule_document *target,
                            const struct eg_rule_document *source);

/** Parses JSON into an empty document; returns EG_OK or EG_INVALID. */
enum eg_status eg_rule_document_decode (struct eg_rule_document *self,
                                        struct eg_str json,
                                        struct eg_error *error);

/** Appends the document as JSON. */
void eg_rule_document_encode (const struct eg_rule_document *self,
                              struct eg_buffer *json);

/** Replaces the text and adds the change and its author to the history. */
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
