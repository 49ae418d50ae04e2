/**
 * @file
 * 64-bit hashes for tables, sharding and fingerprints; not cryptographic.
 */
#ifndef EG_BASE_HASH_H
#define EG_BASE_HASH_H

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** The state of an empty FNV-1a hash. */
#define EG_HASH_START UINT64_C (0xcbf29ce484222325)

/** Adds the bytes of @p s and their count to an FNV-1a hash. */
uint64_t eg_hash_add (uint64_t hash, struct eg_str s);

/** Returns the hash of @p s, with its bits mixed. */
uint64_t eg_hash_str (struct eg_str s);

/** Mixes the bits of @p value (the finalizer of SplitMix64). */
uint64_t eg_hash_mix (uint64_t value);

EG_END_DECLS

#endif
