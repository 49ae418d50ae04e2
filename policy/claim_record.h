/**
 * @file
 * The claim object that the platform's store holds for one idempotency key, its
 * object key and its JSON encoding.
 */
#ifndef EG_POLICY_CLAIM_RECORD_H
#define EG_POLICY_CLAIM_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "base/decls.h"
#include "base/status.h"
#include "base/str.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Longest object key in bytes, without the terminating zero. */
#define EG_CLAIM_OBJECT_KEY_MAX 255
/** Prefix of the keys of all claim objects. */
#define EG_CLAIM_PREFIX "claims/"
/** Number of buckets; each has a key prefix and is listed separately. */
#define EG_CLAIM_BUCKETS 4096

/** Identifies one submission of one request; never reused. */
struct eg_claim_nonce
{
  uint64_t incarnation; /**< Random, drawn when the entry VM starts. */
  uint64_t request;     /**< Serial number within the incarnation. */
};

/** State of the submission that holds a claim. */
enum eg_claim_state
{
  EG_CLAIM_CLAIMED,  /**< It may run or have run. */
  EG_CLAIM_FINISHED, /**< Its attempt has ended; see @c ran. */
  EG_CLAIM_RELEASED, /**< It has not run and never will. */
  EG_CLAIM_STATE_COUNT
};

/** A stored answer; the views point into memory of the caller. */
struct eg_claim_answer
{
  bool kept;  /**< Whether the other fields are set. */
  int status; /**< HTTP status. */
  struct eg_str content_type;
  struct eg_str body;
};

/** The content of a claim object. */
struct eg_claim_record
{
  struct eg_claim_nonce nonce;
  uint64_t fingerprint; /**< Hash of method, path and body. */
  enum eg_claim_state state;
  enum eg_ran ran;         /**< In a finished claim: yes or unknown. */
  int64_t claimed_wall_us; /**< For operators only; no decision uses it. */
  struct eg_claim_answer answer;
};

/** Returns whether both identify the same submission. */
bool eg_claim_nonce_equal (struct eg_claim_nonce a, struct eg_claim_nonce b);

/** Returns a hash that distinguishes requests that use the same key. */
uint64_t eg_claim_fingerprint (struct eg_str method,
                               struct eg_str path,
                               struct eg_str body);

/**
 * Appends the object key of (organisation, idempotency key). Distinct pairs
 * have distinct keys, which consist of letters, digits, `-`, `_`, `~` and `/`.
 * @return false, with nothing appended, if the object key would be too long.
 *         Bytes other than letters, digits, `-` and `_` are escaped and take
 *         three bytes each.
 */
bool eg_claim_object_key (struct eg_buffer *target,
                          struct eg_str organisation,
                          struct eg_str key);

/** Appends the prefix of all object keys in @p bucket. */
void eg_claim_bucket_prefix (struct eg_buffer *target, unsigned bucket);

/** Appends the record as JSON. */
void eg_claim_record_encode (const struct eg_claim_record *self,
                             struct eg_buffer *target);

/**
 * Parses a record from JSON.
 * @param storage receives the bytes that the views of the answer point into.
 * @return EG_OK or EG_INVALID.
 */
enum eg_status eg_claim_record_decode (struct eg_claim_record *self,
                                       struct eg_str json,
                                       struct eg_buffer *storage,
                                       struct eg_error *error);

EG_END_DECLS

#endif
