#include "policy/watch_assignment.h"

bool
eg_watch_assignment_includes (uint64_t server, unsigned rank, unsigned members)
{
  if (members <= EG_WATCHERS_PER_SERVER)
    return true;
  return (rank + members - (unsigned) (server % members)) % members
         < EG_WATCHERS_PER_SERVER;
}
