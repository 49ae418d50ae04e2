#include "entry/source_selector.h"

#include <string.h>

#include "base/clock.h"
#include "entry/entry.h"

/* Mean interval between calls to the store by a VM that is not a reader,
 * while the store does not respond; randomised by up to 50 %. A configuration
 * must take effect within 3 s after an outage, the shortest window in the
 * users' specification, and the last call of the outage may take 0.7 s to time
 * out. */
#define DIRECT_CALL_INTERVAL_US (1200 * EG_US_PER_MS)

void
eg_source_selector_init (struct eg_source_selector *self,
                         struct eg_entry *entry)
{
  memset (self, 0, sizeof *self);
  self->entry = entry;
  self->peer.pool = &entry->pool;
  self->peer.is_peer = true;
  self->peer.era = &entry->store_era;
}

static struct eg_store *
use_peer (struct eg_source_selector *self,
          struct eg_endpoint endpoint,
          bool is_proven)
{
  self->peer.endpoint = endpoint;
  if (self->entry->settings)
    self->peer.caller = self->entry->settings->listen_peers;
  self->peer.is_proven = is_proven;
  return &self->peer;
}

/* Uses another reader only while this one gets no answer from the store. */
static struct eg_store *
choose_for_reader (struct eg_source_selector *self, int64_t now_us)
{
  struct eg_entry *entry = self->entry;
  struct eg_endpoint endpoint;

  if (now_us >= self->next_direct_call_us || self->peer_timed_out
      || !eg_load_gossip_find_store_reader (&entry->load_gossip, &endpoint,
                                            now_us))
    return &entry->store;
  return use_peer (self, endpoint, false);
}

static struct eg_store *
choose (void *context, struct eg_store_feed *feed)
{
  struct eg_source_selector *self = context;
  struct eg_entry *entry = self->entry;
  int64_t now_us = eg_clock_now_us ();
  struct eg_member *reader;

  (void) feed;
  if (eg_members_is_reader (&entry->members))
    return choose_for_reader (self, now_us);
  /* If a reader times out, use the store itself instead of the second
   * reader: both may be partitioned, and each attempt costs a time-out. */
  if (self->peer_timed_out)
    return &entry->store;
  reader = eg_members_choose_reader (&entry->members, now_us);
  /* This VM is the second reader and replaces the first, so it reads the
   * store itself. */
  if (reader && eg_members_is_own (&entry->members, reader->endpoint))
    return &entry->store;
  if (!reader && now_us >= self->next_direct_call_us)
    return &entry->store;
  if (!reader)
    reader = eg_members_responding_reader (&entry->members);
  if (!reader)
    return NULL;
  return use_peer (self, reader->endpoint, reader->is_proven);
}

static void
on_outcome (void *context,
            struct eg_store *store,
            enum eg_store_outcome outcome)
{
  struct eg_source_selector *self = context;
  int64_t now_us = eg_clock_now_us ();

  self->peer_timed_out = store->is_peer && outcome == EG_STORE_NO_REPLY;
  if (store->is_peer)
    eg_members_record_peer_outcome (&self->entry->members, store->endpoint,
                                    outcome, now_us);
  else if (eg_store_outcome_is_answer (outcome))
    self->next_direct_call_us = now_us;
  else
    self->next_direct_call_us =
        now_us + DIRECT_CALL_INTERVAL_US / 2
        + (int64_t) eg_random_below (&self->entry->random,
                                     DIRECT_CALL_INTERVAL_US);
}

struct eg_feed_source
eg_source_selector_feed_source (struct eg_source_selector *self)
{
  return (struct eg_feed_source){choose, on_outcome, self};
}
