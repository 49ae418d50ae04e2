/**
 * @file
 * State machine for one edit of the rules: a conditional write of the rules
 * object. If the reply to the write is lost, the edit id in the object tells
 * whether the edit was accepted.
 *
 * The write is conditional on the version that the editor read, so of several
 * concurrent edits exactly one is accepted. The others are told the version
 * that came first.
 */
#ifndef EG_POLICY_RULE_EDIT_H
#define EG_POLICY_RULE_EDIT_H

#include "base/decls.h"
#include "base/random.h"
#include "policy/rule_document.h"

EG_BEGIN_DECLS

/** Parameters of an edit. */
struct eg_rule_edit_request
{
  uint64_t id; /**< Random, never reused. */
  struct eg_str who;
  struct eg_str text;    /**< Complete new text of the rules. */
  uint64_t base_version; /**< Read by the editor; 0 if there was no object. */
  int64_t wall_ms;
  int64_t deadline_us; /**< The edit ends by then, monotonic. */
};

/** Input events. */
enum eg_rule_edit_event
{
  EG_RULE_EDIT_START,
  EG_RULE_EDIT_WRITTEN,     /**< The write succeeded. */
  EG_RULE_EDIT_CONFLICT,    /**< The write's condition failed. */
  EG_RULE_EDIT_FOUND,       /**< The read returned the document. */
  EG_RULE_EDIT_MISSING,     /**< The read found no object. */
  EG_RULE_EDIT_UNAVAILABLE, /**< The operation failed without effect. */
  EG_RULE_EDIT_NO_REPLY,    /**< No reply; the write may take effect. */
  EG_RULE_EDIT_TIME,        /**< Time has passed. */
};

/** The next operation, or the result. */
enum eg_rule_edit_action
{
  EG_RULE_EDIT_WAIT,     /**< Nothing now; see eg_rule_edit_wake_us(). */
  EG_RULE_EDIT_READ,     /**< Read the object. */
  EG_RULE_EDIT_WRITE,    /**< Write it if the version is @c base_version. */
  EG_RULE_EDIT_ACCEPTED, /**< The edit is in the store. */
  EG_RULE_EDIT_STALE,    /**< Another edit came first; nothing changed. */
  EG_RULE_EDIT_REFUSED,  /**< The store is down; nothing changed. */
  EG_RULE_EDIT_UNKNOWN,  /**< The store is down; it may have been accepted. */
};

/** One edit; allocated by the owner. */
struct eg_rule_edit
{
  uint64_t id;
  uint64_t base_version;
  uint64_t version; /**< Of the accepted edit, or of the one that came first. */
  int64_t deadline_us;
  int64_t retry_us;
  int64_t backoff_us;
  bool may_take_effect; /**< Whether a write without a reply was sent. */
  bool outstanding;     /**< Whether an operation is outstanding. */
  bool writing;         /**< Whether that operation is a write. */
  bool ended;
  struct eg_rule_document document; /**< Content of the write. */
};

/**
 * Initialises an edit of the document with version @c request->base_version.
 * @param current the document that the editor read, or NULL if there was none.
 */
void eg_rule_edit_init (struct eg_rule_edit *self,
                        const struct eg_rule_edit_request *request,
                        const struct eg_rule_document *current);

/** Frees the memory owned by the edit. */
void eg_rule_edit_finish (struct eg_rule_edit *self);

/**
 * Processes one event.
 * @param version with WRITTEN and FOUND.
 * @param found with FOUND.
 */
enum eg_rule_edit_action
eg_rule_edit_update (struct eg_rule_edit *self,
                     enum eg_rule_edit_event event,
                     uint64_t version,
                     const struct eg_rule_document *found,
                     int64_t now_us,
                     struct eg_random *random);

/** Returns when EG_RULE_EDIT_TIME is due. */
int64_t eg_rule_edit_wake_us (const struct eg_rule_edit *self);

EG_END_DECLS

#endif
