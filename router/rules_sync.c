#include "router/rules_sync.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/* Limits the parts sent for one request, so that a long document does not fill
   the rings. */
#define PARTS_PER_REQUEST 8
#define BURST_BYTES (PARTS_PER_REQUEST * EG_PEER_RULES_PART_BYTES_MAX)
#define REQUEST_RETRY_US (300 * EG_US_PER_MS)
#define REQUESTS_MAX 10

struct eg_rules_sync
{
  struct eg_ruleset *ruleset;
  struct eg_rules_sync_sink sink;

  /* The fetch in progress. */
  uint64_t peer;           /* Peer fetched from; 0: no fetch in progress. */
  uint64_t wanted_version; /* Lowest acceptable version. */
  uint64_t base;
  uint64_t version; /* Version of the parts received; 0: none yet. */
  uint32_t total;
  struct eg_buffer bytes;
  int64_t retry_at_us;
  unsigned request_count;
};

struct eg_rules_sync *
eg_rules_sync_new (struct eg_ruleset *ruleset,
                   const struct eg_rules_sync_sink *sink)
{
  struct eg_rules_sync *self = calloc (1, sizeof *self);

  if (!self)
    return NULL;
  self->ruleset = ruleset;
  self->sink = *sink;
  return self;
}

void
eg_rules_sync_free (struct eg_rules_sync *self)
{
  if (!self)
    return;
  eg_buffer_finish (&self->bytes);
  free (self);
}

/* Fetching. */

static void
reset_fetch (struct eg_rules_sync *self)
{
  self->peer = 0;
  self->wanted_version = 0;
  self->version = 0;
  eg_buffer_clear (&self->bytes);
}

static void
send_request (struct eg_rules_sync *self, int64_t now_us)
{
  struct eg_peer_message message = {.kind = EG_PEER_RULES_REQUEST};

  message.rules.base = eg_ruleset_version (self->ruleset);
  message.rules.total = EG_RULES_OBJECT_MAX;
  message.rules.offset = (uint32_t) self->bytes.len;
  self->retry_at_us = now_us + REQUEST_RETRY_US;
  self->request_count++;
  self->sink.send (self->sink.context, self->peer, &message);
}

void
eg_rules_sync_announced (struct eg_rules_sync *self,
                         uint64_t peer,
                         uint64_t version,
                         int64_t now_us)
{
  if (version <= eg_ruleset_version (self->ruleset)
      || version <= self->wanted_version)
    return;
  reset_fetch (self);
  self->peer = peer;
  self->wanted_version = version;
  self->request_count = 0;
  send_request (self, now_us);
}

static void
finish_fetch (struct eg_rules_sync *self)
{
  struct eg_str bytes = eg_buffer_view (&self->bytes);
  enum eg_status status;

  if (self->base > 0)
    status = eg_ruleset_apply_delta (self->ruleset, self->base, self->version,
                                     bytes);
  else
    status = eg_ruleset_apply (self->ruleset, self->version, bytes);
  eg_log (EG_LOG_INFO, "rules-spread",
          "event=rules-fetched version=%" PRIu64 " bytes=%zu delta=%s "
          "status=%s",
          self->version, bytes.len, self->base > 0 ? "yes" : "no",
          eg_status_name (status));
  reset_fetch (self);
}

/* Returns whether a part continues those received before. A part of another
   document restarts the fetch. */
static bool
continues_fetch (struct eg_rules_sync *self, const struct eg_rules_part *part)
{
  if (self->version != part->version || self->base != part->base
      || self->total != part->total)
    eg_buffer_clear (&self->bytes);
  self->version = part->version;
  self->base = part->base;
  self->total = part->total;
  return part->offset == self->bytes.len;
}

static void
receive_part (struct eg_rules_sync *self,
              const struct eg_peer_message *message,
              int64_t now_us)
{
  const struct eg_rules_part *part = &message->rules;

  if (message->from != self->peer || part->len == 0
      || part->version <= eg_ruleset_version (self->ruleset)
      || !continues_fetch (self, part))
    return;
  eg_buffer_append (&self->bytes, (struct eg_str){part->bytes, part->len});
  self->request_count = 0;
  self->retry_at_us = now_us + REQUEST_RETRY_US;
  if (self->bytes.len == self->total)
    finish_fetch (self);
  else if (self->bytes.len % BURST_BYTES == 0)
    send_request (self, now_us);
}

void
eg_rules_sync_tick (struct eg_rules_sync *self, int64_t now_us)
{
  if (self->peer == 0 || now_us < self->retry_at_us)
    return;
  if (self->request_count < REQUESTS_MAX)
    send_request (self, now_us);
  else
    reset_fetch (self);
}

/* Serving. */

static void
send_parts (struct eg_rules_sync *self,
            uint64_t to,
            uint64_t base,
            struct eg_str bytes,
            size_t offset)
{
  for (int i = 0; i < PARTS_PER_REQUEST && offset < bytes.len; i++)
    {
      struct eg_peer_message message = {.kind = EG_PEER_RULES_PART};
      struct eg_rules_part *part = &message.rules;
      size_t len = bytes.len - offset;

      if (len > EG_PEER_RULES_PART_BYTES_MAX)
        len = EG_PEER_RULES_PART_BYTES_MAX;
      part->base = base;
      part->version = eg_ruleset_version (self->ruleset);
      part->total = (uint32_t) bytes.len;
      part->offset = (uint32_t) offset;
      part->len = (uint32_t) len;
      memcpy (part->bytes, bytes.data + offset, len);
      self->sink.send (self->sink.context, to, &message);
      offset += len;
    }
}

static void
receive_request (struct eg_rules_sync *self,
                 const struct eg_peer_message *message)
{
  uint64_t base = message->rules.base;
  struct eg_str delta = eg_ruleset_delta (self->ruleset, base);
  struct eg_str full = eg_ruleset_json (self->ruleset);

  if (base >= eg_ruleset_version (self->ruleset)
      || full.len > EG_RULES_OBJECT_MAX)
    return;
  if (delta.len > 0 && delta.len < full.len)
    send_parts (self, message->from, base, delta, message->rules.offset);
  else
    send_parts (self, message->from, 0, full, message->rules.offset);
}

void
eg_rules_sync_receive (struct eg_rules_sync *self,
                       const struct eg_peer_message *message,
                       int64_t now_us)
{
  if (message->kind == EG_PEER_RULES_REQUEST)
    receive_request (self, message);
  else
    receive_part (self, message, now_us);
}
