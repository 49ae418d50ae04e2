/**
 * @file
 * Messages between entry VMs, decoded into one struct in which every list is
 * bounded.
 */
#ifndef EG_POLICY_PEER_MESSAGE_H
#define EG_POLICY_PEER_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Maximum number of rumours in one message. */
#define EG_PEER_RUMOURS_MAX 16
/** Number of hash buckets by which two nodes compare their rumours. */
#define EG_PEER_BUCKETS 64
/** Maximum number of load entries in one message. */
#define EG_PEER_LOADS_MAX 64
/** Maximum number of share entries in one message. */
#define EG_PEER_SHARES_MAX 32

/**
 * States of a member. Within an incarnation a higher state overrides a lower
 * one.
 */
enum eg_member_state
{
  EG_MEMBER_LIVE = 1,
  EG_MEMBER_DEAD,
  EG_MEMBER_LEFT,
};

/** Subject of a rumour. */
enum eg_rumour_kind
{
  EG_RUMOUR_MEMBER,      /**< An entry VM; state is enum eg_member_state. */
  EG_RUMOUR_QUARANTINE,  /**< A fingerprint; state 1: refused, 2: released. */
  EG_RUMOUR_RULES,       /**< An available version of the rules. */
  EG_RUMOUR_DRAIN,       /**< A backend server; state 1: leaving, 2: back. */
  EG_RUMOUR_UNREACHABLE, /**< A backend server; state 1: silent, 2: answers. */
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
 * A fact about a subject. Of two rumours about the same subject the one with
 * the higher number wins, and if these are equal the one with the higher state.
 */
struct eg_rumour
{
  enum eg_rumour_kind kind;
  uint32_t state;
  uint64_t subject;   /**< Id of the member, fingerprint, or server's id. */
  uint64_t number;    /**< Incarnation, version, or wall time in ms. */
  int64_t expires_ms; /**< Wall time of expiry in ms; 0: never. */
  char address[EG_ADDRESS_BYTES];     /**< Of a member or a server. */
  char failure_domain[EG_NAME_BYTES]; /**< Of a member. */
};

/** Load of one backend server. */
struct eg_load_entry
{
  uint32_t server; /**< Low half of the hash of its address. */
  uint16_t running;
  uint8_t queued;  /**< Saturates at 255. */
  uint8_t kv_free; /**< In 255ths of the total. */
  uint8_t flags;   /**< enum eg_load_flag bits. */
  /** Hash of the service, model, version, accelerator, layers and slots. */
  uint8_t description;
  uint8_t range; /**< Successors that the receiver must cover. */
  uint8_t age;   /**< In EG_LOAD_AGE_UNIT_US; saturates at 255. */
};

/** Unit of the age of a load entry. */
#define EG_LOAD_AGE_UNIT_US (100 * INT64_C (1000))

/** Flags of a load entry. */
enum eg_load_flag
{
  EG_LOAD_DRAINING = 1 << 0,
  EG_LOAD_FAILED = 1 << 1, /**< The poll got no answer. */
};

/** All defined flags. */
#define EG_LOAD_FLAGS_ALL 3

/** Share of an organisation's rate limit. */
struct eg_share_entry
{
  uint64_t organisation; /**< Hash of its name. */
  uint32_t rate_milli;   /**< In thousandths of a request per second. */
};

/** Maximum size of a rules object in bytes, a limit of the object store. */
#define EG_RULES_OBJECT_MAX UINT32_C (1048576)
/** Maximum number of bytes of the rules in one message. */
#define EG_PEER_RULES_PART_BYTES_MAX ((size_t) 3072)

/** A part of the rules document or of a delta, or a request for one. */
struct eg_rules_part
{
  uint64_t base;    /**< Request: version that the sender has. Part: base
                         version of a delta; 0 for a whole document. */
  uint64_t version; /**< Part: resulting version. */
  uint32_t total;   /**< Part: bytes of all parts. */
  uint32_t offset;  /**< Of this part, or of the requested one. */
  uint32_t len;     /**< Part: bytes of this part. */
  char bytes[EG_PEER_RULES_PART_BYTES_MAX];
};

/** Kinds of messages. */
enum eg_peer_kind
{
  EG_PEER_HEARTBEAT,      /**< The sender is alive. */
  EG_PEER_PROBE,          /**< Asks for an immediate heartbeat. */
  EG_PEER_LIVENESS_QUERY, /**< Asks when the subject was last heard. */
  EG_PEER_LIVENESS_REPLY, /**< The subject was heard age_ms ago. */
  EG_PEER_RUMOURS,
  EG_PEER_DIGEST, /**< Bucket hashes of the sender's rumours. */
  EG_PEER_LOADS,
  EG_PEER_SHARE_REQUEST, /**< Rates that the sender wants to borrow. */
  EG_PEER_SHARE_GRANT,   /**< Rates lent to the receiver. */
  EG_PEER_RULES_REQUEST, /**< Requests newer rules. */
  EG_PEER_RULES_PART,
  EG_PEER_KINDS,
};

/** One message. */
struct eg_peer_message
{
  enum eg_peer_kind kind;
  uint64_t from;        /**< Id of the sender. */
  uint64_t incarnation; /**< Of the sender. */
  uint64_t subject;     /**< Of a liveness query or reply. */
  uint64_t subject_incarnation;
  uint32_t age_ms;         /**< Of a liveness reply. */
  bool reply;              /**< Of a digest: is a reply, and gets none. */
  uint32_t request_number; /**< Of a share request and its grant. */
  size_t count;            /**< Length of the list of this kind. */
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
