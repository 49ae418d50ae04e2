/**
 * @file
 * Exchanges the version of the configuration in use with the other entry VMs,
 * and fetches a newer one from them. A VM that has just started is also told
 * which servers have left.
 */
#ifndef EG_ENTRY_CONFIGURATION_SPREAD_H
#define EG_ENTRY_CONFIGURATION_SPREAD_H

#include "platform/store.h"
#include "policy/version_spread.h"

struct eg_entry;

/** State of one VM; allocated by the caller. */
struct eg_configuration_spread
{
  struct eg_entry *entry;
  struct eg_version_spread versions;
  struct eg_store peer; /**< The VM that a newer version is fetched from. */
  struct eg_store_call call;
};

/** Initialises without a configuration, and registers the message type. */
void eg_configuration_spread_init (struct eg_configuration_spread *self,
                                   struct eg_entry *entry);

/** Cancels a pending call. */
void eg_configuration_spread_finish (struct eg_configuration_spread *self);

/** Takes note of the version in use. */
void eg_configuration_spread_set_version (struct eg_configuration_spread *self,
                                          int64_t version);

/** Sends messages and starts calls that are due; call it on every tick. */
void eg_configuration_spread_check (struct eg_configuration_spread *self,
                                    int64_t now_us);

#endif
