/**
 * @file
 * What the parts of the stand-ins know of each other.
 */
#ifndef REVIEW_PARTS_H
#define REVIEW_PARTS_H

#include "review/standin/standin.h"

/** Opens the store. */
void stand_store_open (struct stand *self);

/** Closes the store. */
void stand_store_close (struct stand *self);

/** Starts servers that are due, and drops entries that have expired. */
void stand_servers_check (struct stand *self);

#endif
