/**
 * @file
 * Selects where a feed of this entry VM reads the configuration or the server
 * records: from the store, or from a peer of its failure domain that mirrors
 * the store.
 *
 * Mirrors keep the store's load independent of the number of entry VMs. After a
 * peer fails, the store itself is read at once; calls to the store are then
 * spaced out, because all VMs may fall back at the same time. A reader that the
 * store turns away, or that is cut off from it alone, reads from a reader of
 * another failure domain between such calls. Each feed has its own selector:
 * what one of them has just found out must not send the other one back to a
 * peer that does not respond.
 */
#ifndef EG_ENTRY_SOURCE_SELECTOR_H
#define EG_ENTRY_SOURCE_SELECTOR_H

#include "platform/store.h"

struct eg_entry;

/** State of one feed's selection; allocated by the caller. */
struct eg_source_selector
{
  struct eg_entry *entry;
  struct eg_store peer; /**< The peer selected last. */
  bool peer_timed_out;  /**< The last peer called did not respond. */
  /** Earliest time of the next direct call to the store. */
  int64_t next_direct_call_us;
};

/** Initialises the selection. */
void eg_source_selector_init (struct eg_source_selector *self,
                              struct eg_entry *entry);

/** Returns the callbacks through which the feed selects its source. */
struct eg_feed_source
eg_source_selector_feed_source (struct eg_source_selector *self);

#endif
