#include "base/hash.h"

#define FNV_PRIME UINT64_C (0x100000001b3)

uint64_t
eg_hash_add (uint64_t hash, struct eg_str s)
{
  for (size_t i = 0; i < s.len; i++)
    hash = (hash ^ (unsigned char) s.data[i]) * FNV_PRIME;
  /* Including the length distinguishes ("ab", "c") from ("a", "bc"). */
  return (hash ^ s.len) * FNV_PRIME;
}

uint64_t
eg_hash_str (struct eg_str s)
{
  return eg_hash_mix (eg_hash_add (EG_HASH_START, s));
}

uint64_t
eg_hash_mix (uint64_t value)
{
  value += UINT64_C (0x9e3779b97f4a7c15);
  value = (value ^ (value >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  value = (value ^ (value >> 27)) * UINT64_C (0x94d049bb133111eb);
  return value ^ (value >> 31);
}
