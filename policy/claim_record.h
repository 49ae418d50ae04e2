/**
 * @file
 * The claim object that the platform's store keeps for one idempotency key,
 * and its JSON form.
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

/** Longest object key, in bytes without a final zero. */
#define EG_CLAIM_OBJECT_KEY_MAX 255
/** All claim objects have keys that start so. */
#define EG_CLAIM_PREFIX "claims/"
/** Groups of claim objects, each with a prefix of its own for listing. */
#define EG_CLAIM_BUCKETS 4096

/** Names one sending of one request, never used twice. */
struct eg_claim_nonce
{
  uint64_t incarnation; /**< Random, drawn by the entry VM as it starts. */
  uint64_t request;     /**< Serial number within the incarnation. */
};

/** How far the sending that holds a claim has come. */
enum eg_claim_state
{
  EG_CLAIM_CLAIMED,  /**< It may run, or have run. */
  EG_CLAIM_FINISHED, /**< Its attempt ended; see @c ran. */
  EG_CLAIM_RELEASED, /**< Its holder promised never to run. */
  EG_CLAIM_STATE_COUNT
};

/** A stored answer; views into memory of whoever made it. */
struct eg_claim_answer
{
  bool kept;  /**< Whether the rest holds anything. */
  int status; /**< HTTP status. */
  struct eg_str content_type;
  struct eg_str body;
};

/** The content of a claim object. */
struct eg_claim_record
{
  struct eg_claim_nonce nonce;
  uint64_t fingerprint; /**< Of method, path and body. */
  enum eg_claim_state state;
  enum eg_ran ran;         /**< Of a finished claim: yes or unknown. */
  int64_t claimed_wall_us; /**< For people alone; decides nothing. */
  struct eg_claim_answer answer;
};

/** Tells whether both name the same sending. */
bool eg_claim_nonce_equal (struct eg_claim_nonce a, struct eg_claim_nonce b);

/** Returns the fingerprint that tells one request from another. */
uint64_t eg_claim_fingerprint (struct eg_str method,
                               struct eg_str path,
                               struct eg_str body);

/**
 * Appends the object key of (organisation, idempotency key): distinct pairs
 * have distinct keys, of letters, digits, `-`, `_`, `~` and `/`.
 * @return false, with nothing appended, if the pair is too long: a byte that
 *         is not a letter, digit, `-` or `_` takes three.
 */
bool eg_claim_object_key (struct eg_buffer *target,
                          struct eg_str organisation,
                          struct eg_str key);

/** Appends the prefix that all object keys of @p bucket share. */
void eg_claim_bucket_prefix (struct eg_buffer *target, unsigned bucket);

/** Appends the JSON form. */
void eg_claim_record_encode (const struct eg_claim_record *self,
                             struct eg_buffer *target);

/**
 * Reads the JSON form.
 * @param storage gets the bytes that the answer's views point into.
 * @return EG_OK or EG_INVALID.
 */
enum eg_status eg_claim_record_decode (struct eg_claim_record *self,
                                       struct eg_str json,
                                       struct eg_buffer *storage,
                                       struct eg_error *error);

EG_END_DECLS

#endif
