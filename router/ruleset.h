/**
 * @file
 * The rules in force on this entry VM: watches the store, takes newer versions
 * from peers, and carries out edits. All on the decision thread.
 */
#ifndef EG_ROUTER_RULESET_H
#define EG_ROUTER_RULESET_H

#include "platform/worker.h"
#include "policy/rule_document.h"
#include "policy/rule_edit.h"
#include "policy/rules.h"

/** How an edit ended. */
struct eg_ruleset_result
{
  enum eg_rule_edit_action action; /**< ACCEPTED, OUTRUN, REFUSED, UNKNOWN. */
  uint64_t version;                /**< Accepted, or of the edit that won. */
};

/** An edit that an operator asks for. */
struct eg_ruleset_edit
{
  uint64_t id; /**< Given by the operator; 0 has one made. */
  char who[EG_NAME_BYTES];
  struct eg_str text;    /**< Copied. */
  uint64_t base_version; /**< That the operator saw. */
  int64_t timeout_us;
  void (*done) (void *context, const struct eg_ruleset_result *result);
  void *context;
};

/** What the owner does when rules come into force. */
struct eg_ruleset_callbacks
{
  /** @p rules stay valid until the next call has returned. */
  void (*in_force) (void *context,
                    const struct eg_rules *rules,
                    uint64_t version);
  void *context;
};

struct eg_ruleset;

/** Makes an empty ruleset at version 0; never NULL. */
struct eg_ruleset *
eg_ruleset_new (struct eg_platform_worker *platform,
                uint64_t seed,
                const struct eg_ruleset_callbacks *callbacks);

/** Frees the ruleset; edits under way get no result. */
void eg_ruleset_free (struct eg_ruleset *self);

/** Takes in a reply of the platform; false if it belongs to no edit or watch.
 */
bool eg_ruleset_reply (struct eg_ruleset *self,
                       const struct eg_platform_reply *reply,
                       int64_t now_us);

/**
 * Takes in a version from a peer or the store; only a higher one counts.
 * @return EG_OK if it is in force now, EG_CONFLICT if it is not newer, or
 *         EG_INVALID.
 */
enum eg_status eg_ruleset_offer (struct eg_ruleset *self,
                                 uint64_t version,
                                 struct eg_str json);

/** Says whether this entry VM watches the store; it does at the start. */
void eg_ruleset_set_watching (struct eg_ruleset *self, bool watching);

/** Begins an edit. */
void eg_ruleset_begin_edit (struct eg_ruleset *self,
                            const struct eg_ruleset_edit *edit,
                            int64_t now_us);

/** Lets time pass. */
void eg_ruleset_tick (struct eg_ruleset *self, int64_t now_us);

/** Returns the version in force; 0 before any. */
uint64_t eg_ruleset_version (const struct eg_ruleset *self);

/** Returns the document in force. */
const struct eg_rule_document *
eg_ruleset_document (const struct eg_ruleset *self);

/**
 * Returns the delta that leads from version @p base to the one in force, or an
 * empty view if there is none.
 */
struct eg_str eg_ruleset_delta (const struct eg_ruleset *self, uint64_t base);

/** Takes in a version that a delta makes of version @p base. */
enum eg_status eg_ruleset_offer_delta (struct eg_ruleset *self,
                                       uint64_t base,
                                       uint64_t version,
                                       struct eg_str delta);

/** Returns the JSON form of the document in force, for peers. */
struct eg_str eg_ruleset_json (const struct eg_ruleset *self);

#endif
