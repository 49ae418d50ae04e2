/**
 * @file
 * One edit of the rules: a conditional write of the rules object, settled by
 * its edit id when a reply is lost.
 *
 * An edit is accepted by exactly one write, with the version that the editor
 * read. Whoever loses a race is told, and shown what won.
 */
#ifndef EG_POLICY_RULE_EDIT_H
#define EG_POLICY_RULE_EDIT_H

#include "base/decls.h"
#include "base/random.h"
#include "policy/rule_document.h"

EG_BEGIN_DECLS

/** What an editor asks for. */
struct eg_rule_edit_request
{
  uint64_t id; /**< Random, never used before. */
  struct eg_str who;
  struct eg_str text;    /**< All rules, as they shall be. */
  uint64_t base_version; /**< Read by the editor; 0 where there was none. */
  int64_t wall_ms;
  int64_t deadline_us; /**< The editor is told by then. */
};

/** What happens to an edit. */
enum eg_rule_edit_event
{
  EG_RULE_EDIT_START,
  EG_RULE_EDIT_WRITTEN,     /**< The store took the write. */
  EG_RULE_EDIT_CONFLICT,    /**< The version did not match. */
  EG_RULE_EDIT_FOUND,       /**< The read gave the document. */
  EG_RULE_EDIT_MISSING,     /**< The read found no object. */
  EG_RULE_EDIT_UNAVAILABLE, /**< The store refused; nothing took effect. */
  EG_RULE_EDIT_NO_REPLY,    /**< No reply; a write may take effect. */
  EG_RULE_EDIT_TIME,        /**< Time has passed. */
};

/** What is to be done, or how it ended. */
enum eg_rule_edit_action
{
  EG_RULE_EDIT_WAIT,     /**< Nothing now; see eg_rule_edit_wake_us(). */
  EG_RULE_EDIT_READ,     /**< Read the object. */
  EG_RULE_EDIT_WRITE,    /**< Write the document if the version is the base. */
  EG_RULE_EDIT_ACCEPTED, /**< The edit stands in the store. */
  EG_RULE_EDIT_STALE,    /**< Another edit came first; nothing was changed. */
  EG_RULE_EDIT_REFUSED,  /**< The store is down; nothing was changed. */
  EG_RULE_EDIT_UNKNOWN,  /**< The store is down; it may have been accepted. */
};

/** One edit; memory of the caller. */
struct eg_rule_edit
{
  uint64_t id;
  uint64_t base_version;
  uint64_t version; /**< Of the accepted edit, or of the one that won. */
  int64_t deadline_us;
  int64_t retry_us;
  int64_t backoff_us;
  bool may_stand; /**< Whether a write without a reply may take effect. */
  bool asked;     /**< Whether an operation is outstanding. */
  bool writing;   /**< Whether that operation is a write. */
  bool ended;
  struct eg_rule_document document; /**< What is written. */
};

/**
 * Prepares an edit of the document that stands at @c request->base_version.
 * @param current the document that the editor saw, or NULL.
 */
void eg_rule_edit_init (struct eg_rule_edit *self,
                        const struct eg_rule_edit_request *request,
                        const struct eg_rule_document *current);

/** Frees what the edit holds. */
void eg_rule_edit_finish (struct eg_rule_edit *self);

/**
 * Takes in one event.
 * @param version of WRITTEN and FOUND.
 * @param found of FOUND.
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
