#include "policy/ownership.h"

#include "base/clock.h"
#include "base/hash.h"

/* Load entries a second that one failure domain shares. */
#define ENTRIES_PER_S 120

uint64_t
eg_ownership_find (const struct eg_membership *membership,
                   struct eg_str failure_domain,
                   uint64_t server)
{
  uint64_t domain = eg_hash_str (failure_domain);
  uint64_t best_weight = 0;
  uint64_t best = 0;

  for (size_t i = 0; i < membership->count; i++)
    {
      const struct eg_member *member = membership->members[i];
      uint64_t weight;

      if (member->domain != domain || member->state != EG_MEMBER_LIVE)
        continue;
      weight = eg_hash_mix (member->id ^ eg_hash_mix (server));
      if (best == 0 || weight > best_weight)
        {
          best_weight = weight;
          best = member->id;
        }
    }
  return best;
}

int64_t
eg_ownership_poll_interval (size_t servers, int64_t shortest_us)
{
  int64_t scaled_us = (int64_t) servers * EG_US_PER_S / ENTRIES_PER_S;

  return scaled_us > shortest_us ? scaled_us : shortest_us;
}
