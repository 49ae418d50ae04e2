/**
 * @file
 * Simulated network of peers in one process, with virtual time. Loss, delay and
 * duplication of messages are drawn from a seeded random generator.
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

/** A simulated entry VM. */
struct fake_node
{
  struct fake_net *net;
  struct eg_peers *peers;
  char address[EG_ADDRESS_BYTES];
  char failure_domain[EG_NAME_BYTES];
  uint64_t id;
  bool killed;
  bool paused;
  unsigned group;    /**< Partition; a node reaches only those in its own. */
  bool reaches_all;  /**< It reaches all partitions, and they reach it. */
  unsigned phase_ms; /**< Offset of its ticks. */
  uint64_t sent_by_kind[EG_PEER_KINDS];
  uint64_t sent_bytes;
  uint64_t received_by_kind[EG_PEER_KINDS];
  uint64_t received_bytes;
  uint64_t loads;
  uint64_t rumours[EG_RUMOUR_KINDS];
};

/** The network. */
struct fake_net
{
  struct fake_node *nodes;
  size_t count;
  struct eg_random random;
  struct fake_slot due[FAKE_NET_DELAY_MAX_MS];
  int64_t now_ms;
  uint64_t cut_from; /**< Sender on a link that drops everything; or 0. */
  uint64_t cut_to;   /**< Receiver on this link. */
  unsigned loss_permille;
  unsigned duplicate_permille;
  unsigned delay_max_ms; /**< Below FAKE_NET_DELAY_MAX_MS; at least 1. */
  size_t (*size_of) (const struct eg_peer_message *message); /**< Or NULL. */
};

/**
 * Creates nodes in several failure domains, each with the list of all nodes.
 */
void fake_net_init (struct fake_net *self,
                    size_t count,
                    size_t domains,
                    uint64_t seed);

/** Frees the nodes and the messages in flight. */
void fake_net_finish (struct fake_net *self);

/** Advances the virtual time. */
void fake_net_run (struct fake_net *self, int64_t ms);

/** Restarts a node, which loses its state. */
void fake_net_restart (struct fake_net *self, size_t node);

/** Gives all nodes the list of the nodes that are not killed. */
void fake_net_publish_list (struct fake_net *self);

/** Returns the state of a node as seen by another one; 0 if it is not known. */
int fake_net_state (const struct fake_net *self, size_t node, size_t subject);

EG_END_DECLS

#endif
