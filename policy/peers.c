#include "policy/peers.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/random.h"
#include "policy/load_broadcast.h"
#include "policy/rumours.h"

#define PROBE_INTERVAL_US (250 * EG_US_PER_MS)
#define DIGEST_INTERVAL_US (5 * EG_US_PER_S)
#define RECONNECT_INTERVAL_US (1 * EG_US_PER_S)
#define LOADS_INTERVAL_US (1 * EG_US_PER_S)
#define SWEEP_INTERVAL_US (10 * EG_US_PER_S)
/* A longer gap between two ticks means that this process was paused, not that
   the other nodes went silent. */
#define PAUSE_US (700 * EG_US_PER_MS)
/* Maximum number of rumours sent in reply to a digest; the rest follow with the
   next digest. */
#define DIGEST_REPLY_RUMOURS_MAX 64

/* Rumours that wait to be sent. */
struct batch
{
  struct eg_rumour rumours[EG_PEER_RUMOURS_MAX];
  size_t count;
};

struct eg_peers
{
  struct eg_peers_sink sink;
  struct eg_membership membership;
  struct eg_overlay overlay;
  struct eg_rumours *rumours;
  struct eg_load_broadcast loads;
  struct eg_random random;
  uint64_t own_id;
  uint64_t incarnation;
  bool leaving;
  bool announced;
  bool view_changed;
  struct batch batch; /* To be forwarded over the links. */
  uint64_t batch_source;
  size_t next_digest_link;
  int64_t last_tick_us;
  int64_t next_heartbeat_us;
  int64_t next_digest_us;
  int64_t next_reconnect_us;
  int64_t next_loads_us;
  int64_t next_sweep_us;
};

/* Sending. */

static void
send_to (struct eg_peers *self, uint64_t id, struct eg_peer_message *message)
{
  const struct eg_member *member = eg_membership_find (&self->membership, id);

  if (!member || id == self->own_id)
    return;
  message->from = self->own_id;
  message->incarnation = self->incarnation;
  self->sink.send (self->sink.context, member, message);
}

static void
send_kind (struct eg_peers *self, uint64_t id, enum eg_peer_kind kind)
{
  struct eg_peer_message message = {.kind = kind};

  send_to (self, id, &message);
}

static void
send_rumour (struct eg_peers *self, uint64_t id, const struct eg_rumour *rumour)
{
  struct eg_peer_message message = {.kind = EG_PEER_RUMOURS, .count = 1};

  message.rumours[0] = *rumour;
  send_to (self, id, &message);
}

static void
send_digest (struct eg_peers *self, uint64_t id, bool reply)
{
  struct eg_peer_message message = {
      .kind = EG_PEER_DIGEST, .reply = reply, .count = EG_PEER_BUCKETS};

  eg_rumours_digest (self->rumours, message.buckets);
  send_to (self, id, &message);
}

/* Returns the link at an index, or 0 past the last one. */
static uint64_t
link_at (const struct eg_overlay *overlay, size_t index)
{
  if (index < overlay->finger_count)
    return overlay->fingers[index];
  index -= overlay->finger_count;
  return index < overlay->domain_link_count ? overlay->domain_links[index] : 0;
}

/* Forwards the batch over all links except the one that it came from. */
static void
flush_batch (struct eg_peers *self)
{
  struct eg_peer_message message = {.kind = EG_PEER_RUMOURS,
                                    .count = self->batch.count};
  uint64_t link;

  if (self->batch.count == 0)
    return;
  memcpy (message.rumours, self->batch.rumours,
          self->batch.count * sizeof *message.rumours);
  for (size_t i = 0; (link = link_at (&self->overlay, i)) != 0; i++)
    if (link != self->batch_source)
      send_to (self, link, &message);
  self->batch.count = 0;
}

static void
enqueue_rumour (struct eg_peers *self, const struct eg_rumour *rumour)
{
  if (self->batch.count == EG_PEER_RUMOURS_MAX)
    flush_batch (self);
  self->batch.rumours[self->batch.count++] = *rumour;
}

/* Rumours. */

/* Stores a rumour and queues it for forwarding; false if it is not new. */
static bool
store_and_forward (struct eg_peers *self,
                   const struct eg_rumour *rumour,
                   int64_t wall_ms)
{
  if (!eg_rumours_apply (self->rumours, rumour, wall_ms))
    return false;
  if (rumour->kind == EG_RUMOUR_MEMBER)
    self->view_changed |= eg_membership_apply (&self->membership, rumour);
  enqueue_rumour (self, rumour);
  return true;
}

/* Spreads that this node is live, or leaves, in its current incarnation. */
static void
announce (struct eg_peers *self, int64_t wall_ms)
{
  struct eg_rumour rumour;
  struct eg_member *member =
      eg_membership_find (&self->membership, self->own_id);

  member->incarnation = self->incarnation;
  member->state = self->leaving ? EG_MEMBER_LEFT : EG_MEMBER_LIVE;
  eg_member_to_rumour (member, &rumour);
  if (!eg_rumours_apply (self->rumours, &rumour, wall_ms))
    return;
  enqueue_rumour (self, &rumour);
}

/* Tells whether a rumour about this node is wrong and must be refuted. */
static bool
must_refute (const struct eg_peers *self, const struct eg_rumour *rumour)
{
  if (rumour->kind != EG_RUMOUR_MEMBER || rumour->subject != self->own_id)
    return false;
  return rumour->number > self->incarnation
         || (rumour->number == self->incarnation
             && rumour->state != EG_MEMBER_LIVE);
}

static void
handle_rumour (struct eg_peers *self,
               const struct eg_rumour *rumour,
               int64_t wall_ms)
{
  if (must_refute (self, rumour))
    {
      if (self->leaving)
        return;
      self->incarnation = rumour->number + 1;
      announce (self, wall_ms);
      return;
    }
  if (rumour->kind == EG_RUMOUR_MEMBER && rumour->subject == self->own_id)
    return;
  if (store_and_forward (self, rumour, wall_ms))
    self->sink.rumour (self->sink.context, rumour);
}

/* Spreads a state of a member that this node has detected itself. */
static void
spread_member_state (struct eg_peers *self,
                     const struct eg_member *member,
                     enum eg_member_state state,
                     uint64_t incarnation,
                     int64_t wall_ms)
{
  struct eg_rumour rumour;

  eg_member_to_rumour (member, &rumour);
  rumour.state = state;
  rumour.number = incarnation;
  handle_rumour (self, &rumour, wall_ms);
}

/* Membership view. */

static void
update_watched (struct eg_peers *self, int64_t now_us)
{
  for (size_t i = 0; i < self->membership.count; i++)
    {
      struct eg_member *member = self->membership.members[i];
      bool watched = false;

      for (size_t j = 0; j < self->overlay.predecessor_count; j++)
        watched |= self->overlay.predecessors[j] == member->id;
      if (watched && !member->watched)
        member->heard_us = now_us;
      member->watched = watched;
      member->suspect = member->suspect && watched;
    }
}

/* Ends the handling of an event: recomputes the links if the view has changed,
   then forwards the queued rumours. */
static void
finish_event (struct eg_peers *self, int64_t now_us)
{
  if (self->view_changed)
    {
      eg_overlay_init (&self->overlay, &self->membership, self->own_id);
      update_watched (self, now_us);
      self->view_changed = false;
    }
  flush_batch (self);
  self->batch_source = 0;
}

/* Records that the sender of a message is alive. */
static void
record_alive (struct eg_peers *self,
              struct eg_member *member,
              uint64_t incarnation,
              int64_t now_us,
              int64_t wall_ms)
{
  struct eg_rumour rumour;

  if (incarnation > member->incarnation)
    spread_member_state (self, member, EG_MEMBER_LIVE, incarnation, wall_ms);
  if (member->incarnation != incarnation)
    return;
  if (member->state == EG_MEMBER_LIVE)
    {
      member->heard_us = now_us;
      member->suspect = false;
      return;
    }
  /* The sender does not know yet that it was declared dead, and can refute it.
   */
  eg_member_to_rumour (member, &rumour);
  send_rumour (self, member->id, &rumour);
}

/* Received messages. */

/* A received message and its context. */
struct reception
{
  struct eg_member *from;
  const struct eg_peer_message *message;
  int64_t now_us;
  int64_t wall_ms;
};

/* Any message shows that its sender is alive; a heartbeat does nothing more. */
static void
receive_heartbeat (struct eg_peers *self, const struct reception *reception)
{
  (void) self;
  (void) reception;
}

static void
receive_probe (struct eg_peers *self, const struct reception *reception)
{
  if (!self->leaving)
    send_kind (self, reception->message->from, EG_PEER_HEARTBEAT);
}

static void
receive_liveness_query (struct eg_peers *self,
                        const struct reception *reception)
{
  const struct eg_peer_message *query = reception->message;
  const struct eg_member *subject =
      eg_membership_find (&self->membership, query->subject);
  struct eg_peer_message reply = {.kind = EG_PEER_LIVENESS_REPLY};
  int64_t age_us;

  if (!subject || subject->state != EG_MEMBER_LIVE)
    return;
  age_us = reception->now_us - subject->heard_us;
  /* Members that are not watched send no heartbeats to this node. The first
     query makes it probe the member, and a later one finds the result. */
  if (!subject->watched && age_us > EG_PEERS_SUSPECT_US)
    {
      send_kind (self, subject->id, EG_PEER_PROBE);
      return;
    }
  reply.subject = subject->id;
  reply.subject_incarnation = subject->incarnation;
  reply.age_ms = (uint32_t) (age_us / EG_US_PER_MS);
  send_to (self, query->from, &reply);
  if (age_us > EG_PEERS_HEARTBEAT_US)
    send_kind (self, subject->id, EG_PEER_PROBE);
}

static void
receive_liveness_reply (struct eg_peers *self,
                        const struct reception *reception)
{
  const struct eg_peer_message *reply = reception->message;
  struct eg_member *subject =
      eg_membership_find (&self->membership, reply->subject);
  int64_t heard_us = reception->now_us - reply->age_ms * EG_US_PER_MS;

  if (!subject || !subject->watched || subject->state != EG_MEMBER_LIVE
      || subject->incarnation != reply->subject_incarnation)
    return;
  if (heard_us > subject->heard_us)
    subject->heard_us = heard_us;
}

static void
receive_rumours (struct eg_peers *self, const struct reception *reception)
{
  for (size_t i = 0; i < reception->message->count; i++)
    handle_rumour (self, &reception->message->rumours[i], reception->wall_ms);
}

/* Rumours that the sender of a digest lacks or has in an older state. */
struct digest_reply
{
  struct eg_peers *peers;
  struct eg_peer_message message;
  uint64_t to;
  size_t total;
};

static void
flush_reply (struct digest_reply *reply)
{
  if (reply->message.count > 0)
    send_to (reply->peers, reply->to, &reply->message);
  reply->message.count = 0;
}

static void
add_to_reply (void *context, const struct eg_rumour *rumour)
{
  struct digest_reply *reply = context;

  if (reply->total++ >= DIGEST_REPLY_RUMOURS_MAX)
    return;
  if (reply->message.count == EG_PEER_RUMOURS_MAX)
    flush_reply (reply);
  reply->message.rumours[reply->message.count++] = *rumour;
}

static void
receive_digest (struct eg_peers *self, const struct reception *reception)
{
  const struct eg_peer_message *digest = reception->message;
  struct digest_reply reply = {
      .peers = self,
      .message = {.kind = EG_PEER_RUMOURS},
      .to = digest->from,
  };
  uint32_t own[EG_PEER_BUCKETS];

  eg_rumours_digest (self->rumours, own);
  if (memcmp (own, digest->buckets, sizeof own) == 0)
    return;
  eg_rumours_foreach_differing (self->rumours, digest->buckets, add_to_reply,
                                &reply);
  flush_reply (&reply);
  if (!digest->reply)
    send_digest (self, digest->from, true);
}

static void
receive_loads (struct eg_peers *self, const struct reception *reception)
{
  for (size_t i = 0; i < reception->message->count; i++)
    {
      const struct eg_load_entry *entry = &reception->message->loads[i];

      eg_load_broadcast_add (&self->loads, &self->overlay, entry,
                             reception->now_us);
      self->sink.load (self->sink.context, entry);
    }
}

static void
pass_to_sink (struct eg_peers *self, const struct reception *reception)
{
  if (reception->from && reception->from->state == EG_MEMBER_LIVE)
    self->sink.share (self->sink.context, reception->from, reception->message);
}

static void (*const receivers[EG_PEER_KINDS]) (
    struct eg_peers *self,
    const struct reception *reception) = {
    [EG_PEER_HEARTBEAT] = receive_heartbeat,
    [EG_PEER_PROBE] = receive_probe,
    [EG_PEER_LIVENESS_QUERY] = receive_liveness_query,
    [EG_PEER_LIVENESS_REPLY] = receive_liveness_reply,
    [EG_PEER_RUMOURS] = receive_rumours,
    [EG_PEER_DIGEST] = receive_digest,
    [EG_PEER_LOADS] = receive_loads,
    [EG_PEER_SHARE_REQUEST] = pass_to_sink,
    [EG_PEER_SHARE_GRANT] = pass_to_sink,
    [EG_PEER_RULES_REQUEST] = pass_to_sink,
    [EG_PEER_RULES_PART] = pass_to_sink,
};

void
eg_peers_receive (struct eg_peers *self,
                  const struct eg_peer_message *message,
                  int64_t now_us,
                  int64_t wall_ms)
{
  struct reception reception = {
      .from = eg_membership_find (&self->membership, message->from),
      .message = message,
      .now_us = now_us,
      .wall_ms = wall_ms,
  };

  if (message->from == self->own_id)
    return;
  self->batch_source = message->from;
  if (reception.from)
    record_alive (self, reception.from, message->incarnation, now_us, wall_ms);
  receivers[message->kind](self, &reception);
  finish_event (self, now_us);
}

/* Timers. */

static void
send_heartbeats (struct eg_peers *self)
{
  for (size_t i = 0; i < self->overlay.successor_count; i++)
    send_kind (self, self->overlay.successors[i], EG_PEER_HEARTBEAT);
}

static bool
is_in_other_domain (const struct eg_peers *self, const struct eg_member *member)
{
  return eg_membership_find (&self->membership, self->own_id)->domain
         != member->domain;
}

static void
probe_suspect (struct eg_peers *self, const struct eg_member *member)
{
  uint64_t watchers[EG_OVERLAY_WATCHERS];
  size_t count = eg_overlay_watchers (&self->membership, member->id,
                                      self->own_id, watchers);
  struct eg_peer_message query = {
      .kind = EG_PEER_LIVENESS_QUERY,
      .subject = member->id,
      .subject_incarnation = member->incarnation,
  };

  send_kind (self, member->id, EG_PEER_PROBE);
  for (size_t i = 0; i < count; i++)
    send_to (self, watchers[i], &query);
  /* The path between two failure domains may be down while other domains still
     reach both. */
  if (is_in_other_domain (self, member))
    for (size_t i = 0; i < self->overlay.domain_link_count; i++)
      send_to (self, self->overlay.domain_links[i], &query);
}

static void
check_silence (struct eg_peers *self,
               struct eg_member *member,
               int64_t now_us,
               int64_t wall_ms)
{
  int64_t silence_us = now_us - member->heard_us;

  if (silence_us < EG_PEERS_SUSPECT_US)
    {
      member->suspect = false;
      return;
    }
  if (member->suspect && silence_us >= EG_PEERS_DEAD_US)
    {
      spread_member_state (self, member, EG_MEMBER_DEAD, member->incarnation,
                           wall_ms);
      return;
    }
  if (member->suspect && now_us - member->probed_us < PROBE_INTERVAL_US)
    return;
  member->suspect = true;
  member->probed_us = now_us;
  probe_suspect (self, member);
}

static void
check_watched (struct eg_peers *self, int64_t now_us, int64_t wall_ms)
{
  for (size_t i = 0; i < self->overlay.predecessor_count; i++)
    {
      struct eg_member *member =
          eg_membership_find (&self->membership, self->overlay.predecessors[i]);

      if (member && member->state == EG_MEMBER_LIVE)
        check_silence (self, member, now_us, wall_ms);
    }
}

/* Excludes a pause of this process from the silence of the other nodes. */
static void
discount_pause (struct eg_peers *self, int64_t now_us)
{
  int64_t gap_us = now_us - self->last_tick_us;

  self->last_tick_us = now_us;
  if (gap_us < PAUSE_US)
    return;
  for (size_t i = 0; i < self->membership.count; i++)
    {
      struct eg_member *member = self->membership.members[i];

      member->heard_us += gap_us;
      member->probed_us += gap_us;
    }
}

/* Sends a digest over the next link, in round-robin order. */
static void
send_next_digest (struct eg_peers *self)
{
  uint64_t link = link_at (&self->overlay, self->next_digest_link++);

  if (link == 0)
    {
      self->next_digest_link = 1;
      link = link_at (&self->overlay, 0);
    }
  if (link != 0)
    send_digest (self, link, false);
}

/* Sends a digest to a dead member, which may be reachable again after a
   partition has healed. */
static void
probe_dead_member (struct eg_peers *self)
{
  size_t count = self->membership.count;
  size_t start = eg_random_below (&self->random, count);

  for (size_t i = 0; i < count; i++)
    {
      const struct eg_member *member =
          self->membership.members[(start + i) % count];

      if (member->state != EG_MEMBER_DEAD || member->id == self->own_id)
        continue;
      send_digest (self, member->id, false);
      return;
    }
}

static void
flush_loads (struct eg_peers *self, int64_t now_us)
{
  struct eg_peer_message message = {.kind = EG_PEER_LOADS};

  for (size_t i = 0; i < self->overlay.finger_count; i++)
    while (eg_load_broadcast_next (&self->loads, i, now_us, &message))
      send_to (self, self->overlay.fingers[i], &message);
}

/* Tells whether a timer has expired, and rearms it. */
static bool
is_due (int64_t *next_us, int64_t interval_us, int64_t now_us)
{
  if (now_us < *next_us)
    return false;
  *next_us = now_us + interval_us;
  return true;
}

void
eg_peers_tick (struct eg_peers *self, int64_t now_us, int64_t wall_ms)
{
  discount_pause (self, now_us);
  if (self->leaving)
    return;
  if (is_due (&self->next_heartbeat_us, EG_PEERS_HEARTBEAT_US, now_us))
    send_heartbeats (self);
  check_watched (self, now_us, wall_ms);
  finish_event (self, now_us);
  if (is_due (&self->next_digest_us, DIGEST_INTERVAL_US, now_us))
    send_next_digest (self);
  if (is_due (&self->next_reconnect_us, RECONNECT_INTERVAL_US, now_us))
    probe_dead_member (self);
  if (is_due (&self->next_loads_us, LOADS_INTERVAL_US, now_us))
    flush_loads (self, now_us);
  if (is_due (&self->next_sweep_us, SWEEP_INTERVAL_US, now_us))
    eg_rumours_sweep (self->rumours, wall_ms);
}

/* Public functions. */

/* Applies stored rumours to members that were just added from the list. */
static void
apply_stored_rumours (struct eg_peers *self)
{
  for (size_t i = 0; i < self->membership.count; i++)
    {
      const struct eg_member *member = self->membership.members[i];
      const struct eg_rumour *rumour;

      if (member->incarnation != 0)
        continue;
      rumour = eg_rumours_find (self->rumours, EG_RUMOUR_MEMBER, member->id);
      if (rumour)
        self->view_changed |= eg_membership_apply (&self->membership, rumour);
    }
}

void
eg_peers_apply_list (struct eg_peers *self,
                     const struct eg_listed_member *list,
                     size_t count,
                     int64_t now_us)
{
  struct eg_rumour rumour;

  if (eg_membership_apply_list (&self->membership, list, count, self->own_id))
    self->view_changed = true;
  apply_stored_rumours (self);
  /* The first list provides the links over which to announce this node. */
  if (!self->announced && self->membership.count > 1)
    {
      self->announced = true;
      eg_member_to_rumour (eg_membership_find (&self->membership, self->own_id),
                           &rumour);
      enqueue_rumour (self, &rumour);
    }
  finish_event (self, now_us);
}

bool
eg_peers_broadcast (struct eg_peers *self,
                    const struct eg_rumour *rumour,
                    int64_t wall_ms)
{
  bool is_new = store_and_forward (self, rumour, wall_ms);

  flush_batch (self);
  return is_new;
}

void
eg_peers_share_load (struct eg_peers *self,
                     const struct eg_load_entry *entry,
                     int64_t now_us)
{
  struct eg_load_entry own = *entry;
  size_t others = self->overlay.size > 0 ? self->overlay.size - 1 : 0;

  own.range = (uint8_t) (others < UINT8_MAX ? others : UINT8_MAX);
  eg_load_broadcast_add (&self->loads, &self->overlay, &own, now_us);
}

void
eg_peers_send (struct eg_peers *self,
               uint64_t to,
               struct eg_peer_message *message)
{
  const struct eg_member *member = eg_membership_find (&self->membership, to);

  if (member && member->state == EG_MEMBER_LIVE)
    send_to (self, to, message);
}

void
eg_peers_leave (struct eg_peers *self, int64_t wall_ms)
{
  if (self->leaving)
    return;
  self->leaving = true;
  announce (self, wall_ms);
  flush_batch (self);
}

uint64_t
eg_peers_own_id (const struct eg_peers *self)
{
  return self->own_id;
}

const struct eg_membership *
eg_peers_membership (const struct eg_peers *self)
{
  return &self->membership;
}

const struct eg_overlay *
eg_peers_overlay (const struct eg_peers *self)
{
  return &self->overlay;
}

const struct eg_rumour *
eg_peers_rumour (const struct eg_peers *self,
                 enum eg_rumour_kind kind,
                 uint64_t subject)
{
  return eg_rumours_find (self->rumours, kind, subject);
}

/* Construction. */

/* Desynchronises the timers of nodes that start at the same time. */
static void
randomise_timers (struct eg_peers *self, int64_t now_us)
{
  self->last_tick_us = now_us;
  self->next_heartbeat_us =
      now_us + (int64_t) eg_random_below (&self->random, EG_PEERS_HEARTBEAT_US);
  self->next_digest_us =
      now_us + (int64_t) eg_random_below (&self->random, DIGEST_INTERVAL_US);
  self->next_reconnect_us =
      now_us + (int64_t) eg_random_below (&self->random, RECONNECT_INTERVAL_US);
  self->next_loads_us =
      now_us + (int64_t) eg_random_below (&self->random, LOADS_INTERVAL_US);
  self->next_sweep_us = now_us + SWEEP_INTERVAL_US;
}

struct eg_peers *
eg_peers_new (const struct eg_peers_config *config,
              const struct eg_peers_sink *sink,
              int64_t now_us)
{
  struct eg_peers *self = calloc (1, sizeof *self);
  struct eg_rumour rumour;
  struct eg_member *member;

  if (!self)
    return NULL;
  self->sink = *sink;
  self->incarnation = config->incarnation;
  self->rumours = eg_rumours_new ();
  member = eg_membership_add (&self->membership, config->address,
                              config->failure_domain);
  if (!self->rumours || !member)
    {
      eg_peers_free (self);
      return NULL;
    }
  self->own_id = member->id;
  member->incarnation = config->incarnation;
  eg_member_to_rumour (member, &rumour);
  eg_rumours_apply (self->rumours, &rumour, 0);
  eg_overlay_init (&self->overlay, &self->membership, self->own_id);
  eg_random_init (&self->random, config->seed ^ self->own_id);
  randomise_timers (self, now_us);
  return self;
}

void
eg_peers_free (struct eg_peers *self)
{
  if (!self)
    return;
  eg_load_broadcast_finish (&self->loads);
  eg_rumours_free (self->rumours);
  eg_membership_finish (&self->membership);
  free (self);
}
