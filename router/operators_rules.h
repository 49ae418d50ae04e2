/**
 * @file
 * Reading, checking and editing rules through the operators' listener.
 */
#ifndef EG_ROUTER_OPERATORS_RULES_H
#define EG_ROUTER_OPERATORS_RULES_H

#include "router/operators_answer.h"

/** `GET /rules`: `{"version","text","edits"}`, oldest edit first. */
eg_operators_handler eg_operators_get_rules;

/** `POST /rules/check`: `{"text"}` returns `{"faults":[...]}`. */
eg_operators_handler eg_operators_check_rules;

/**
 * `POST /rules`: `{"who","base_version","text"|"edits","id"}`. Status 200 if
 * accepted, 400 if malformed, 409 with the winning edit if another edit came
 * first, 422 with all faults if the rules are invalid or if a line to change
 * does not exist, 503 if this node or the store cannot take the edit now or if
 * its outcome is unknown.
 */
eg_operators_handler eg_operators_edit_rules;

/**
 * `POST /drain`: `{"who","server","drain","asked","id"}`; adds or removes one
 * drain rule.
 */
eg_operators_handler eg_operators_drain;

#endif
