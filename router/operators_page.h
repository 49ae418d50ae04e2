/**
 * @file
 * Web page for operators, designed for phones; the source is page.html.
 */
#ifndef EG_ROUTER_OPERATORS_PAGE_H
#define EG_ROUTER_OPERATORS_PAGE_H

#include "router/operators_answer.h"

/** `GET /`: the page; it prompts for the token. */
eg_operators_handler eg_operators_get_page;

#endif
