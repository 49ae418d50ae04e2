/**
 * @file
 * Where this entry VM reads the configuration and the servers: of the store, or
 * of a peer of its failure domain that mirrors the store.
 *
 * Load answered: the store's calls must not grow with the number of entry VMs.
 * A peer that fails is left at once for the store itself, whose calls are
 * then spaced, as all peers may come at the same time.
 */
#ifndef EG_ENTRY_SOURCE_SELECTOR_H
#define EG_ENTRY_SOURCE_SELECTOR_H

#include "platform/store.h"

struct eg_entry;

/** The sources; memory of the caller. */
struct eg_source_selector
{
  struct eg_entry *entry;
  struct eg_store peer;   /**< Stands for the peer chosen last. */
  bool peer_silent;       /**< The last peer asked did not answer. */
  int64_t direct_next_us; /**< Earliest next call of the store itself. */
};

/** Prepares the sources. */
void eg_source_selector_init (struct eg_source_selector *self,
                              struct eg_entry *entry);

/** Returns what feeds need to choose their source. */
struct eg_feed_source
eg_source_selector_feed_source (struct eg_source_selector *self);

/** Tells whether this entry VM is one of those that read the store itself. */
bool eg_source_selector_is_reader (const struct eg_source_selector *self);

#endif
