/**
 * @file
 * The page for a phone's browser; its source is page.html.
 */
#ifndef EG_ROUTER_OPERATORS_PAGE_H
#define EG_ROUTER_OPERATORS_PAGE_H

#include "router/operators_answer.h"

/** `GET /`: the page; it asks for the token itself. */
eg_operators_handler eg_operators_get_page;

#endif
