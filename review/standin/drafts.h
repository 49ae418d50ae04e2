/**
 * @file
 * Streams of a model, whose prompts have shared parts: what the cases with
 * parts that crash servers have in common.
 */
#ifndef REVIEW_DRAFTS_H
#define REVIEW_DRAFTS_H

#include "review/standin/standin.h"

/** The part that crashes servers. */
#define DRAFTS_DEADLY "dead"

/** How prompts are made. */
struct drafts
{
  unsigned parts;       /**< Shared parts, before the request's own. */
  unsigned deadly_part; /**< Position of the one that crashes servers. */
  unsigned number;      /**< Of the last request. */
};

/** Writes the configuration, and adds engines and entry VMs in three zones;
 *  false if the VMs do not become ready. */
bool drafts_open (struct stand *stand, unsigned engines, unsigned vms);

/** Sends a stream whose parts, but for the first, no other one has. */
struct stand_client *
drafts_send (struct stand *stand, struct drafts *self, bool deadly);

/** Returns whether a request has the part that crashes servers. */
bool drafts_is_deadly (const struct eg_http_head *head);

#endif
