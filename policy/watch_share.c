#include "policy/watch_share.h"

bool
eg_watch_share_is_mine (uint64_t server, unsigned rank, unsigned members)
{
  if (members <= EG_WATCHERS)
    return true;
  return (rank + members - (unsigned) (server % members)) % members
         < EG_WATCHERS;
}
