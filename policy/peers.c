#include "policy/peers.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/random.h"
#include "policy/load_broadcast.h"
#include "policy/rumours.h"

#define ASK_AGAIN_US (250 * EG_US_PER_MS)
#define DIGEST_US (5 * EG_US_PER_S)
#define RECONNECT_US (1 * EG_US_PER_S)
#define LOADS_US (1 * EG_US_PER_S)
#define SWEEP_US (10 * EG_US_PER_S)
/* A longer time between two ticks means that this node stood still, and not
   that the others fell silent. */
#define PAUSE_US (700 * EG_US_PER_MS)
/* Rumours sent in answer to one digest; the next digest brings the rest. */
#define DIFFERING_MAX 64

/* Rumours that wait to be put into messages. */
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
  uint64_t own;
  uint64_t incarnation;
  bool leaving;
  bool announced;
  bool view_changed;
  struct batch batch; /* To be passed on over the links. */
  uint64_t batch_from;
  size_t digest_turn;
  int64_t ticked_us;
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

  if (!member || id == self->own)
    return;
  message->from = self->own;
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

/* Returns one of the links, or 0 past the last. */
static uint64_t
link_at (const struct eg_overlay *overlay, size_t index)
{
  if (index < overlay->finger_count)
    return overlay->fingers[index];
  index -= overlay->finger_count;
  return index < overlay->domain_link_count ? overlay->domain_links[index] : 0;
}

/* Passes the batch on over all links but the one that it came by. */
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
    if (link != self->batch_from)
      send_to (self, link, &message);
  self->batch.count = 0;
}

static void
spread (struct eg_peers *self, const struct eg_rumour *rumour)
{
  if (self->batch.count == EG_PEER_RUMOURS_MAX)
    flush_batch (self);
  self->batch.rumours[self->batch.count++] = *rumour;
}

/* Rumours. */

/* Takes in what is news and passes it on. */
static bool
take_news (struct eg_peers *self,
           const struct eg_rumour *rumour,
           int64_t wall_ms)
{
  if (!eg_rumours_apply (self->rumours, rumour, wall_ms))
    return false;
  if (rumour->kind == EG_RUMOUR_MEMBER)
    self->view_changed |= eg_membership_apply (&self->membership, rumour);
  spread (self, rumour);
  return true;
}

/* Tells that this node lives, in the incarnation it has now. */
static void
announce (struct eg_peers *self, int64_t wall_ms)
{
  struct eg_rumour rumour;
  struct eg_member *member = eg_membership_find (&self->membership, self->own);

  member->incarnation = self->incarnation;
  member->state = self->leaving ? EG_MEMBER_LEFT : EG_MEMBER_LIVE;
  eg_member_to_rumour (member, &rumour);
  if (!eg_rumours_apply (self->rumours, &rumour, wall_ms))
    return;
  spread (self, &rumour);
}

/* Tells whether a rumour speaks of this node in a way that it must answer. */
static bool
is_false_about_self (const struct eg_peers *self,
                     const struct eg_rumour *rumour)
{
  if (rumour->kind != EG_RUMOUR_MEMBER || rumour->subject != self->own)
    return false;
  return rumour->number > self->incarnation
         || (rumour->number == self->incarnation
             && rumour->state != EG_MEMBER_LIVE);
}

static void
take_rumour (struct eg_peers *self,
             const struct eg_rumour *rumour,
             int64_t wall_ms)
{
  if (is_false_about_self (self, rumour))
    {
      if (self->leaving)
        return;
      self->incarnation = rumour->number + 1;
      announce (self, wall_ms);
      return;
    }
  if (rumour->kind == EG_RUMOUR_MEMBER && rumour->subject == self->own)
    return;
  if (take_news (self, rumour, wall_ms))
    self->sink.rumour (self->sink.context, rumour);
}

/* A fact about a member that this node found out itself. */
static void
tell_member (struct eg_peers *self,
             const struct eg_member *member,
             enum eg_member_state state,
             uint64_t incarnation,
             int64_t wall_ms)
{
  struct eg_rumour rumour;

  eg_member_to_rumour (member, &rumour);
  rumour.state = state;
  rumour.number = incarnation;
  take_rumour (self, &rumour, wall_ms);
}

/* The view. */

static void
watch (struct eg_peers *self, int64_t now_us)
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

/* Ends each call from outside: works out new links, and sends the news. News
   goes over the old links as well, as to a member that has just left. */
static void
settle (struct eg_peers *self, int64_t now_us)
{
  if (self->view_changed)
    {
      eg_overlay_init (&self->overlay, &self->membership, self->own);
      watch (self, now_us);
      self->view_changed = false;
    }
  flush_batch (self);
  self->batch_from = 0;
}

/* Takes in that the sender of a message lives. */
static void
hear (struct eg_peers *self,
      struct eg_member *member,
      uint64_t incarnation,
      int64_t now_us,
      int64_t wall_ms)
{
  struct eg_rumour rumour;

  if (incarnation > member->incarnation)
    tell_member (self, member, EG_MEMBER_LIVE, incarnation, wall_ms);
  if (member->incarnation != incarnation)
    return;
  if (member->state == EG_MEMBER_LIVE)
    {
      member->heard_us = now_us;
      member->suspect = false;
      return;
    }
  /* It does not know yet that it counts as dead. */
  eg_member_to_rumour (member, &rumour);
  send_rumour (self, member->id, &rumour);
}

/* Messages. */

struct reception
{
  struct eg_member *from;
  const struct eg_peer_message *message;
  int64_t now_us;
  int64_t wall_ms;
};

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
receive_ask (struct eg_peers *self, const struct reception *reception)
{
  const struct eg_peer_message *ask = reception->message;
  const struct eg_member *subject =
      eg_membership_find (&self->membership, ask->subject);
  struct eg_peer_message answer = {.kind = EG_PEER_LIVENESS_REPLY};
  int64_t age_us;

  if (!subject || subject->state != EG_MEMBER_LIVE)
    return;
  age_us = reception->now_us - subject->heard_us;
  /* Nobody expects heartbeats of those that are not watched, so the first
     question makes this node probe, and the second finds the answer. */
  if (!subject->watched && age_us > EG_PEERS_SUSPECT_US)
    {
      send_kind (self, subject->id, EG_PEER_PROBE);
      return;
    }
  answer.subject = subject->id;
  answer.subject_incarnation = subject->incarnation;
  answer.age_ms = (uint32_t) (age_us / EG_US_PER_MS);
  send_to (self, ask->from, &answer);
  if (age_us > EG_PEERS_HEARTBEAT_US)
    send_kind (self, subject->id, EG_PEER_PROBE);
}

static void
receive_heard (struct eg_peers *self, const struct reception *reception)
{
  const struct eg_peer_message *heard = reception->message;
  struct eg_member *subject =
      eg_membership_find (&self->membership, heard->subject);
  int64_t heard_us = reception->now_us - heard->age_ms * EG_US_PER_MS;

  if (!subject || !subject->watched || subject->state != EG_MEMBER_LIVE
      || subject->incarnation != heard->subject_incarnation)
    return;
  if (heard_us > subject->heard_us)
    subject->heard_us = heard_us;
}

static void
receive_rumours (struct eg_peers *self, const struct reception *reception)
{
  for (size_t i = 0; i < reception->message->count; i++)
    take_rumour (self, &reception->message->rumours[i], reception->wall_ms);
}

/* Rumours that the sender of a digest lacks or has in an older state. */
struct answer
{
  struct eg_peers *peers;
  struct eg_peer_message message;
  uint64_t to;
  size_t total;
};

static void
send_answer (struct answer *answer)
{
  if (answer->message.count > 0)
    send_to (answer->peers, answer->to, &answer->message);
  answer->message.count = 0;
}

static void
add_to_answer (void *context, const struct eg_rumour *rumour)
{
  struct answer *answer = context;

  if (answer->total++ >= DIFFERING_MAX)
    return;
  if (answer->message.count == EG_PEER_RUMOURS_MAX)
    send_answer (answer);
  answer->message.rumours[answer->message.count++] = *rumour;
}

static void
receive_digest (struct eg_peers *self, const struct reception *reception)
{
  const struct eg_peer_message *digest = reception->message;
  struct answer answer = {
      .peers = self,
      .message = {.kind = EG_PEER_RUMOURS},
      .to = digest->from,
  };
  uint32_t own[EG_PEER_BUCKETS];

  eg_rumours_digest (self->rumours, own);
  if (memcmp (own, digest->buckets, sizeof own) == 0)
    return;
  eg_rumours_foreach_differing (self->rumours, digest->buckets, add_to_answer,
                                &answer);
  send_answer (&answer);
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
receive_for_owner (struct eg_peers *self, const struct reception *reception)
{
  if (reception->from && reception->from->state == EG_MEMBER_LIVE)
    self->sink.share (self->sink.context, reception->from, reception->message);
}

static void (*const receivers[EG_PEER_KINDS]) (
    struct eg_peers *self,
    const struct reception *reception) = {
    [EG_PEER_HEARTBEAT] = receive_heartbeat,
    [EG_PEER_PROBE] = receive_probe,
    [EG_PEER_LIVENESS_QUERY] = receive_ask,
    [EG_PEER_LIVENESS_REPLY] = receive_heard,
    [EG_PEER_RUMOURS] = receive_rumours,
    [EG_PEER_DIGEST] = receive_digest,
    [EG_PEER_LOADS] = receive_loads,
    [EG_PEER_SHARE_REQUEST] = receive_for_owner,
    [EG_PEER_SHARE_GRANT] = receive_for_owner,
    [EG_PEER_RULES_REQUEST] = receive_for_owner,
    [EG_PEER_RULES_PART] = receive_for_owner,
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

  if (message->from == self->own)
    return;
  self->batch_from = message->from;
  if (reception.from)
    hear (self, reception.from, message->incarnation, now_us, wall_ms);
  receivers[message->kind](self, &reception);
  settle (self, now_us);
}

/* Time. */

static void
send_heartbeats (struct eg_peers *self)
{
  for (size_t i = 0; i < self->overlay.successor_count; i++)
    send_kind (self, self->overlay.successors[i], EG_PEER_HEARTBEAT);
}

static bool
is_elsewhere (const struct eg_peers *self, const struct eg_member *member)
{
  return eg_membership_find (&self->membership, self->own)->domain
         != member->domain;
}

static void
ask_about (struct eg_peers *self, const struct eg_member *member)
{
  uint64_t watchers[EG_OVERLAY_WATCHERS];
  size_t count =
      eg_overlay_watchers (&self->membership, member->id, self->own, watchers);
  struct eg_peer_message ask = {
      .kind = EG_PEER_LIVENESS_QUERY,
      .subject = member->id,
      .subject_incarnation = member->incarnation,
  };

  send_kind (self, member->id, EG_PEER_PROBE);
  for (size_t i = 0; i < count; i++)
    send_to (self, watchers[i], &ask);
  /* The way between two failure domains may be cut while others reach both. */
  if (is_elsewhere (self, member))
    for (size_t i = 0; i < self->overlay.domain_link_count; i++)
      send_to (self, self->overlay.domain_links[i], &ask);
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
      tell_member (self, member, EG_MEMBER_DEAD, member->incarnation, wall_ms);
      return;
    }
  if (member->suspect && now_us - member->asked_us < ASK_AGAIN_US)
    return;
  member->suspect = true;
  member->asked_us = now_us;
  ask_about (self, member);
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

/* Forgives the others the time for which this node stood still itself. */
static void
excuse_pause (struct eg_peers *self, int64_t now_us)
{
  int64_t gap_us = now_us - self->ticked_us;

  self->ticked_us = now_us;
  if (gap_us < PAUSE_US)
    return;
  for (size_t i = 0; i < self->membership.count; i++)
    {
      struct eg_member *member = self->membership.members[i];

      member->heard_us += gap_us;
      member->asked_us += gap_us;
    }
}

/* Compares rumours with the next link in turn. */
static void
compare_rumours (struct eg_peers *self)
{
  uint64_t link = link_at (&self->overlay, self->digest_turn++);

  if (link == 0)
    {
      self->digest_turn = 1;
      link = link_at (&self->overlay, 0);
    }
  if (link != 0)
    send_digest (self, link, false);
}

/* Tries one of the dead, which may be live behind a healed partition. */
static void
try_dead (struct eg_peers *self)
{
  size_t count = self->membership.count;
  size_t start = eg_random_below (&self->random, count);

  for (size_t i = 0; i < count; i++)
    {
      const struct eg_member *member =
          self->membership.members[(start + i) % count];

      if (member->state != EG_MEMBER_DEAD || member->id == self->own)
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

/* Tells whether something is due, and when it will be again. */
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
  excuse_pause (self, now_us);
  if (self->leaving)
    return;
  if (is_due (&self->next_heartbeat_us, EG_PEERS_HEARTBEAT_US, now_us))
    send_heartbeats (self);
  check_watched (self, now_us, wall_ms);
  settle (self, now_us);
  if (is_due (&self->next_digest_us, DIGEST_US, now_us))
    compare_rumours (self);
  if (is_due (&self->next_reconnect_us, RECONNECT_US, now_us))
    try_dead (self);
  if (is_due (&self->next_loads_us, LOADS_US, now_us))
    flush_loads (self, now_us);
  if (is_due (&self->next_sweep_us, SWEEP_US, now_us))
    eg_rumours_sweep (self->rumours, wall_ms);
}

/* Calls of this node. */

/* Brings members that the list has just named up to what was told of them. */
static void
recall_rumours (struct eg_peers *self)
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
                     const struct eg_listed_member *names,
                     size_t count,
                     int64_t now_us)
{
  struct eg_rumour rumour;

  if (eg_membership_apply_list (&self->membership, names, count, self->own))
    self->view_changed = true;
  recall_rumours (self);
  /* The first list gives the first links to announce this node over. */
  if (!self->announced && self->membership.count > 1)
    {
      self->announced = true;
      eg_member_to_rumour (eg_membership_find (&self->membership, self->own),
                           &rumour);
      spread (self, &rumour);
    }
  settle (self, now_us);
}

bool
eg_peers_broadcast (struct eg_peers *self,
                    const struct eg_rumour *rumour,
                    int64_t wall_ms)
{
  bool news = take_news (self, rumour, wall_ms);

  flush_batch (self);
  return news;
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
  return self->own;
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

/* Spreads the times of nodes that start together. */
static void
draw_first_times (struct eg_peers *self, int64_t now_us)
{
  self->ticked_us = now_us;
  self->next_heartbeat_us =
      now_us + (int64_t) eg_random_below (&self->random, EG_PEERS_HEARTBEAT_US);
  self->next_digest_us =
      now_us + (int64_t) eg_random_below (&self->random, DIGEST_US);
  self->next_reconnect_us =
      now_us + (int64_t) eg_random_below (&self->random, RECONNECT_US);
  self->next_loads_us =
      now_us + (int64_t) eg_random_below (&self->random, LOADS_US);
  self->next_sweep_us = now_us + SWEEP_US;
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
  self->own = member->id;
  member->incarnation = config->incarnation;
  eg_member_to_rumour (member, &rumour);
  eg_rumours_apply (self->rumours, &rumour, 0);
  eg_overlay_init (&self->overlay, &self->membership, self->own);
  eg_random_init (&self->random, config->seed ^ self->own);
  draw_first_times (self, now_us);
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
