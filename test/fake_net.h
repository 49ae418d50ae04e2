/**
 * @file
 * A network of peers in one process, with its own time: messages are lost,
 * delayed, repeated and cut as a seed decides.
 */
#ifndef EG_TEST_FAKE_NET_H
#define EG_TEST_FAKE_NET_H

#include "base/random.h"
#include "policy/peers.h"

EG_BEGIN_DECLS

#define FAKE_NET_DELAY_MAX_MS 64

struct fake_net;
struct fake_packet;

/** Messages that arrive in the same millisecond. */
struct fake_slot
{
  struct fake_packet **packets;
  size_t count;
  size_t capacity;
};

/** One entry VM. */
struct fake_node
{
  struct fake_net *net;
  struct eg_peers *peers;
  char address[EG_ADDRESS_BYTES];
  char failure_domain[EG_NAME_BYTES];
  uint64_t id;
  bool killed;
  bool paused;
  unsigned group;   /**< Nodes of different groups are cut off, */
  bool reaches_all; /**< but for nodes that reach all groups. */
  unsigned phase_ms;
  uint64_t sent_by_kind[EG_PEER_KINDS];
  uint64_t sent_bytes;
  uint64_t received_by_kind[EG_PEER_KINDS];
  uint64_t received_bytes;
  uint64_t loads;
  uint64_t news[EG_RUMOUR_KINDS];
};

/** The network. */
struct fake_net
{
  struct fake_node *nodes;
  size_t count;
  struct eg_random random;
  struct fake_slot due[FAKE_NET_DELAY_MAX_MS];
  int64_t now_ms;
  uint64_t cut_from; /**< Ids of the ends of a link that loses all; or 0. */
  uint64_t cut_to;
  unsigned loss_permille;
  unsigned repeat_permille;
  unsigned delay_max_ms; /**< Below FAKE_NET_DELAY_MAX_MS; at least 1. */
  size_t (*size_of) (const struct eg_peer_message *message); /**< Or NULL. */
};

/** Makes nodes spread over failure domains, which all have the whole list. */
void fake_net_init (struct fake_net *self,
                    size_t count,
                    size_t domains,
                    uint64_t seed);

/** Frees the nodes and what is under way. */
void fake_net_finish (struct fake_net *self);

/** Lets time pass. */
void fake_net_run (struct fake_net *self, int64_t ms);

/** Starts the process of a node anew. */
void fake_net_restart (struct fake_net *self, size_t node);

/** Gives all nodes the list without the nodes that were killed. */
void fake_net_publish_list (struct fake_net *self);

/** Returns what a node thinks of another; 0 if it does not know it. */
int fake_net_state (const struct fake_net *self, size_t node, size_t of);

EG_END_DECLS

#endif
