#include "test/fake_net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define START_MS 1000000

struct fake_packet
{
  uint64_t to;
  size_t from;
  size_t size;
  struct eg_peer_message message;
};

/* The list is the last member of a message, so that the rest need not be
   copied: the longest list is much longer than most. */
static size_t
bytes_used (const struct eg_peer_message *message)
{
  static const size_t element[EG_PEER_KINDS] = {
      [EG_PEER_RUMOURS] = sizeof message->rumours[0],
      [EG_PEER_DIGEST] = sizeof message->buckets[0],
      [EG_PEER_LOADS] = sizeof message->loads[0],
      [EG_PEER_SHARE_REQUEST] = sizeof message->shares[0],
      [EG_PEER_SHARE_GRANT] = sizeof message->shares[0],
  };

  return offsetof (struct eg_peer_message, rumours)
         + message->count * element[message->kind];
}

static void
put (struct fake_net *self, int64_t at_ms, struct fake_packet *packet)
{
  struct fake_slot *slot = &self->due[at_ms % FAKE_NET_DELAY_MAX_MS];

  if (slot->count == slot->capacity)
    {
      slot->capacity = slot->capacity * 2 + 8;
      slot->packets = realloc (slot->packets, slot->capacity * sizeof (void *));
    }
  slot->packets[slot->count++] = packet;
}

static void
enqueue (struct fake_net *self,
         size_t from,
         uint64_t to,
         const struct eg_peer_message *message,
         size_t size)
{
  size_t used = bytes_used (message);
  struct fake_packet *packet =
      malloc (offsetof (struct fake_packet, message) + used);
  int64_t delay_ms =
      1 + (int64_t) eg_random_below (&self->random, self->delay_max_ms);

  packet->to = to;
  packet->from = from;
  packet->size = size;
  memcpy (&packet->message, message, used);
  put (self, self->now_ms + delay_ms, packet);
}

static void
on_send (void *context,
         const struct eg_member *to,
         const struct eg_peer_message *message)
{
  struct fake_node *node = context;
  struct fake_net *net = node->net;
  size_t size = net->size_of ? net->size_of (message) : 0;

  node->sent_by_kind[message->kind]++;
  node->sent_bytes += size;
  if (eg_random_below (&net->random, 1000) < net->loss_permille
      || (node->id == net->cut_from && to->id == net->cut_to))
    return;
  enqueue (net, (size_t) (node - net->nodes), to->id, message, size);
  if (eg_random_below (&net->random, 1000) < net->repeat_permille)
    enqueue (net, (size_t) (node - net->nodes), to->id, message, size);
}

static void
on_news (void *context, const struct eg_rumour *rumour)
{
  struct fake_node *node = context;

  node->news[rumour->kind]++;
}

static void
on_load (void *context, const struct eg_load_entry *entry)
{
  struct fake_node *node = context;

  (void) entry;
  node->loads++;
}

static void
on_share (void *context,
          const struct eg_member *from,
          const struct eg_peer_message *message)
{
  (void) context;
  (void) from;
  (void) message;
}

static struct eg_peers *
make_peers (struct fake_node *node)
{
  const struct eg_peers_sink sink = {
      .send = on_send,
      .rumour = on_news,
      .load = on_load,
      .share = on_share,
      .context = node,
  };
  const struct eg_peers_config config = {
      .address = eg_str_from (node->address),
      .failure_domain = eg_str_from (node->failure_domain),
      .incarnation = (uint64_t) node->net->now_ms,
      .seed = eg_random_next (&node->net->random),
  };

  return eg_peers_new (&config, &sink, node->net->now_ms * EG_US_PER_MS);
}

void
fake_net_publish_list (struct fake_net *self)
{
  struct eg_listed_member *names = calloc (self->count, sizeof *names);
  size_t count = 0;

  for (size_t i = 0; i < self->count; i++)
    if (!self->nodes[i].killed)
      names[count++] = (struct eg_listed_member){
          eg_str_from (self->nodes[i].address),
          eg_str_from (self->nodes[i].failure_domain)};
  for (size_t i = 0; i < self->count; i++)
    eg_peers_apply_list (self->nodes[i].peers, names, count,
                         self->now_ms * EG_US_PER_MS);
  free (names);
}

void
fake_net_init (struct fake_net *self,
               size_t count,
               size_t domains,
               uint64_t seed)
{
  *self =
      (struct fake_net){.count = count, .now_ms = START_MS, .delay_max_ms = 3};
  eg_random_init (&self->random, seed);
  self->nodes = calloc (count, sizeof *self->nodes);
  for (size_t i = 0; i < count; i++)
    {
      struct fake_node *node = &self->nodes[i];

      node->net = self;
      node->phase_ms = (unsigned) eg_random_below (&self->random, 100);
      snprintf (node->address, sizeof node->address, "10.%u.%u.%u:7000",
                (unsigned) (i % domains) & UINT8_MAX,
                (unsigned) (i / domains / 250) & UINT8_MAX,
                (unsigned) (i / domains % 250));
      snprintf (node->failure_domain, sizeof node->failure_domain, "domain-%zu",
                i % domains);
      node->peers = make_peers (node);
      node->id = eg_peers_own_id (node->peers);
    }
  fake_net_publish_list (self);
}

void
fake_net_finish (struct fake_net *self)
{
  for (size_t i = 0; i < FAKE_NET_DELAY_MAX_MS; i++)
    {
      for (size_t j = 0; j < self->due[i].count; j++)
        free (self->due[i].packets[j]);
      free (self->due[i].packets);
    }
  for (size_t i = 0; i < self->count; i++)
    eg_peers_free (self->nodes[i].peers);
  free (self->nodes);
}

static struct fake_node *
node_by_id (struct fake_net *self, uint64_t id)
{
  for (size_t i = 0; i < self->count; i++)
    if (self->nodes[i].id == id)
      return &self->nodes[i];
  return NULL;
}

static bool
is_cut (const struct fake_node *a, const struct fake_node *b)
{
  return a->group != b->group && !a->reaches_all && !b->reaches_all;
}

static void
deliver (struct fake_net *self, struct fake_packet *packet)
{
  struct fake_node *node = node_by_id (self, packet->to);

  if (!node || node->killed || is_cut (node, &self->nodes[packet->from]))
    {
      free (packet);
      return;
    }
  if (node->paused)
    {
      /* Waits in the socket until the process runs again. */
      put (self, self->now_ms + FAKE_NET_DELAY_MAX_MS - 1, packet);
      return;
    }
  node->received_by_kind[packet->message.kind]++;
  node->received_bytes += packet->size;
  eg_peers_receive (node->peers, &packet->message, self->now_ms * EG_US_PER_MS,
                    self->now_ms);
  free (packet);
}

static void
step (struct fake_net *self)
{
  struct fake_slot *due;

  self->now_ms++;
  due = &self->due[self->now_ms % FAKE_NET_DELAY_MAX_MS];
  for (size_t i = 0; i < due->count; i++)
    deliver (self, due->packets[i]);
  due->count = 0;
  for (size_t i = 0; i < self->count; i++)
    {
      struct fake_node *node = &self->nodes[i];

      if (!node->killed && !node->paused
          && (self->now_ms + node->phase_ms) % 100 == 0)
        eg_peers_tick (node->peers, self->now_ms * EG_US_PER_MS, self->now_ms);
    }
}

void
fake_net_run (struct fake_net *self, int64_t ms)
{
  for (int64_t i = 0; i < ms; i++)
    step (self);
}

void
fake_net_restart (struct fake_net *self, size_t node)
{
  eg_peers_free (self->nodes[node].peers);
  self->nodes[node].killed = false;
  self->nodes[node].peers = make_peers (&self->nodes[node]);
  fake_net_publish_list (self);
}

int
fake_net_state (const struct fake_net *self, size_t node, size_t of)
{
  const struct eg_member *member = eg_membership_find (
      eg_peers_membership (self->nodes[node].peers), self->nodes[of].id);

  return member ? (int) member->state : 0;
}
