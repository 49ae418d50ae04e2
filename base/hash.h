/**
 * @file
 * 64-bit non-cryptographic hashes for hash tables, sharding and fingerprints.
 */
#ifndef EG_BASE_HASH_H
#define EG_BASE_HASH_H

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Initial state of an FNV-1a hash (the offset basis). */
#define EG_HASH_START UINT64_C (0xcbf29ce484222325)

/** Feeds the bytes of @p s, then their count, into an FNV-1a hash. */
uint64_t eg_hash_add (uint64_t hash, struct eg_str s);

/** Returns the FNV-1a hash of @p s, finalized with eg_hash_mix(). */
uint64_t eg_hash_str (struct eg_str s);

/** Returns @p value passed through the SplitMix64 finalizer. */
uint64_t eg_hash_mix (uint64_t value);

EG_END_DECLS

#endif
