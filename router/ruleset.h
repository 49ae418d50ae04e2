/**
 * @file
 * The rules in force on this entry VM: watches the store, applies newer
 * versions from peers and performs edits. Runs on the decision thread.
 */
#ifndef EG_ROUTER_RULESET_H
#define EG_ROUTER_RULESET_H

#include "platform/worker.h"
#include "policy/rule_document.h"
#include "policy/rule_edit.h"
#include "policy/rules.h"

/** Result of an edit. */
struct eg_ruleset_result
{
  enum eg_rule_edit_action action; /**< ACCEPTED, STALE, REFUSED or UNKNOWN. */
  /** If ACCEPTED, a version that contains the edit. If STALE, the version in
      force, which is below the base version if this node lags behind. */
  uint64_t version;
};

/** An edit requested by an operator. */
struct eg_ruleset_edit
{
  uint64_t id; /**< Chosen by the operator; 0: generated. */
  char who[EG_NAME_BYTES];
  struct eg_str text;    /**< Copied. */
  uint64_t base_version; /**< Version that the edit is based on. */
  int64_t timeout_us;
  void (*done) (void *context, const struct eg_ruleset_result *result);
  void *context;
};

/** Callback for new rules. */
struct eg_ruleset_callbacks
{
  /**
   * Called with the new rules, which stay valid until the next call has
   * returned.
   */
  void (*rules_changed) (void *context,
                         const struct eg_rules *rules,
                         uint64_t version);
  void *context;
};

struct eg_ruleset;

/** Creates an empty ruleset at version 0; never NULL. */
struct eg_ruleset *
eg_ruleset_new (struct eg_platform_worker *platform,
                uint64_t seed,
                const struct eg_ruleset_callbacks *callbacks);

/** Frees the ruleset; edits in progress get no result. */
void eg_ruleset_free (struct eg_ruleset *self);

/** Handles a reply of the platform; false if it belongs to no edit or watch. */
bool eg_ruleset_reply (struct eg_ruleset *self,
                       const struct eg_platform_reply *reply,
                       int64_t now_us);

/**
 * Applies a version of the rules from a peer or the store, if it is newer.
 * @return EG_OK if it is now in force, EG_CONFLICT if it is not newer, or
 *         EG_INVALID if it cannot be decoded.
 */
enum eg_status eg_ruleset_apply (struct eg_ruleset *self,
                                 uint64_t version,
                                 struct eg_str json);

/** Sets whether this entry VM watches the store; initially it does. */
void eg_ruleset_set_watching (struct eg_ruleset *self, bool watching);

/** Starts an edit; its @c done callback reports the result. */
void eg_ruleset_begin_edit (struct eg_ruleset *self,
                            const struct eg_ruleset_edit *edit,
                            int64_t now_us);

/** Runs the work that is due at @p now_us, in microseconds. */
void eg_ruleset_tick (struct eg_ruleset *self, int64_t now_us);

/** Returns the version in force, or 0 if there is none. */
uint64_t eg_ruleset_version (const struct eg_ruleset *self);

/** Returns the document in force. */
const struct eg_rule_document *
eg_ruleset_document (const struct eg_ruleset *self);

/**
 * Returns the delta from version @p base to the one in force, or an empty view
 * if there is none.
 */
struct eg_str eg_ruleset_delta (const struct eg_ruleset *self, uint64_t base);

/**
 * Applies a delta from version @p base to @p version; returns as for a full
 * version, and EG_CONFLICT if @p base is not in force.
 */
enum eg_status eg_ruleset_apply_delta (struct eg_ruleset *self,
                                       uint64_t base,
                                       uint64_t version,
                                       struct eg_str delta);

/** Returns the document in force as JSON. */
struct eg_str eg_ruleset_json (const struct eg_ruleset *self);

#endif
