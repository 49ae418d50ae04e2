/**
 * @file
 * What entry VMs say to each other, as values: one struct for each message,
 * with every list bounded.
 */
#ifndef EG_POLICY_PEER_MESSAGE_H
#define EG_POLICY_PEER_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Most rumours in one message. */
#define EG_PEER_RUMOURS_MAX 16
/** Buckets that the rumours of a node are compared by. */
#define EG_PEER_BUCKETS 64
/** Most load entries in one message. */
#define EG_PEER_LOADS_MAX 64
/** Most entries about shares of limits in one message. */
#define EG_PEER_SHARES_MAX 32

/** States of a member; of two with the same incarnation the later wins. */
enum eg_member_state
{
  EG_MEMBER_LIVE = 1,
  EG_MEMBER_DEAD,
  EG_MEMBER_LEFT,
};

/** What a rumour is about. */
enum eg_rumour_kind
{
  EG_RUMOUR_MEMBER,      /**< An entry VM; state is enum eg_member_state. */
  EG_RUMOUR_QUARANTINE,  /**< A fingerprint; state 1 holds, 2 is released. */
  EG_RUMOUR_RULES,       /**< A version of the rules that can be had. */
  EG_RUMOUR_DRAIN,       /**< A backend server; state 1 leaves, 2 is back. */
  EG_RUMOUR_UNREACHABLE, /**< A backend server; 1 is silent, 2 answers again. */
  EG_RUMOUR_KINDS,
};

/** States of rumours that are not about members. */
enum eg_rumour_state
{
  EG_RUMOUR_ON = 1,
  EG_RUMOUR_OFF = 2,
};

/** Highest state of any rumour. */
#define EG_RUMOUR_STATE_MAX 3

/**
 * One fact about one subject. Of two about the same subject the one with the
 * higher number wins, and the one with the higher state among equals.
 */
struct eg_rumour
{
  enum eg_rumour_kind kind;
  uint32_t state;
  uint64_t subject;   /**< Id of the member, fingerprint, or server's id. */
  uint64_t number;    /**< Incarnation, version, or wall time in ms. */
  int64_t expires_ms; /**< Wall time after which it is void; 0 is never. */
  char address[EG_ADDRESS_BYTES];     /**< Of a member or a server. */
  char failure_domain[EG_NAME_BYTES]; /**< Of a member. */
};

/** Load of one backend server. */
struct eg_load_entry
{
  uint32_t server; /**< Low half of the hash of its address. */
  uint16_t running;
  uint8_t queued;      /**< 255 stands for more, too. */
  uint8_t kv_free;     /**< In 255ths of the total. */
  uint8_t flags;       /**< enum eg_load_flag bits. */
  uint8_t description; /**< Changes with service, model, version and layers. */
  uint8_t range;       /**< Successors that the receiver passes it on to. */
  uint8_t age;         /**< Since it was true, in EG_LOAD_AGE_UNIT_US. */
};

/** Unit of the age of a load entry; ages stop at 255 of them. */
#define EG_LOAD_AGE_UNIT_US (100 * INT64_C (1000))

/** Flags of a load entry. */
enum eg_load_flag
{
  EG_LOAD_DRAINING = 1 << 0,
  EG_LOAD_FAILED = 1 << 1, /**< The poll got no answer. */
};

/** Flags that are defined. */
#define EG_LOAD_FLAGS_ALL 3

/** One line about an organisation's limit. */
struct eg_share_entry
{
  uint64_t organisation; /**< Hash of its name. */
  uint32_t rate_milli;   /**< Thousandths of a request a second. */
};

/** Longest rules object, in bytes: the store takes no longer ones. */
#define EG_RULES_OBJECT_MAX UINT32_C (1048576)
/** Most bytes of the rules in one message. */
#define EG_PEER_RULES_PART_BYTES_MAX ((size_t) 3072)

/** A part of the rules document or of a delta, or the wish for one. */
struct eg_rules_part
{
  uint64_t base; /**< REQUEST: version that the sender has; PART: 0 for a whole
                      document, else the version that a delta begins from. */
  uint64_t version; /**< PART: that the parts make. */
  uint32_t total;   /**< PART: bytes of all parts. */
  uint32_t offset;  /**< Of this part, or of the one asked for. */
  uint32_t len;     /**< PART: bytes of this one. */
  char bytes[EG_PEER_RULES_PART_BYTES_MAX];
};

/** Kinds of messages. */
enum eg_peer_kind
{
  EG_PEER_HEARTBEAT,      /**< The sender lives. */
  EG_PEER_PROBE,          /**< Answer with a heartbeat at once. */
  EG_PEER_LIVENESS_QUERY, /**< When did you last hear from subject? */
  EG_PEER_LIVENESS_REPLY, /**< The subject was heard age_ms ago. */
  EG_PEER_RUMOURS,
  EG_PEER_DIGEST, /**< Hashes of the sender's rumours, by bucket. */
  EG_PEER_LOADS,
  EG_PEER_SHARE_REQUEST, /**< Rates that the sender would borrow. */
  EG_PEER_SHARE_GRANT,   /**< Rates lent to the receiver. */
  EG_PEER_RULES_REQUEST, /**< The sender wants newer rules. */
  EG_PEER_RULES_PART,
  EG_PEER_KINDS,
};

/** One message. */
struct eg_peer_message
{
  enum eg_peer_kind kind;
  uint64_t from;        /**< Id of the sender. */
  uint64_t incarnation; /**< Of the sender. */
  uint64_t subject;     /**< LIVENESS_QUERY, LIVENESS_REPLY. */
  uint64_t subject_incarnation;
  uint32_t age_ms; /**< LIVENESS_REPLY. */
  bool reply;      /**< DIGEST: answers another, and gets none. */
  uint32_t
      request_number; /**< SHARE_REQUEST, and SHARE_GRANT that answers it. */
  size_t count;       /**< Of the list that the kind has. */
  union
  {
    struct eg_rumour rumours[EG_PEER_RUMOURS_MAX];
    uint32_t buckets[EG_PEER_BUCKETS];
    struct eg_load_entry loads[EG_PEER_LOADS_MAX];
    struct eg_share_entry shares[EG_PEER_SHARES_MAX];
    struct eg_rules_part rules;
  };
};

EG_END_DECLS

#endif
