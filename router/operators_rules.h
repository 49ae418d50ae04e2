/**
 * @file
 * Reading, checking and editing the rules over the operators' listener.
 */
#ifndef EG_ROUTER_OPERATORS_RULES_H
#define EG_ROUTER_OPERATORS_RULES_H

#include "router/operators_answer.h"

/** `GET /rules`: `{"version","text","edits"}`, oldest edit first. */
eg_operators_handler eg_operators_get_rules;

/** `POST /rules/check`: `{"text"}` gives `{"faults":[...]}`. */
eg_operators_handler eg_operators_check_rules;

/**
 * `POST /rules`: `{"who","base_version","text"|"edits","id"}`. 200 accepted,
 * 400 malformed, 409 outrun with the edit that won, 422 with all faults,
 * 503 refused or unknown.
 */
eg_operators_handler eg_operators_edit_rules;

/** `POST /drain`: `{"who","server","drain","asked","id"}`, an edit of one line.
 */
eg_operators_handler eg_operators_drain;

#endif
