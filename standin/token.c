#include "standin/token.h"

#include <stdio.h>

#include "base/hash.h"

void
eg_token_text (struct eg_str prompt,
               int64_t position,
               char text[EG_TOKEN_BYTES])
{
  uint64_t hash = eg_hash_mix (eg_hash_str (prompt) + (uint64_t) position);

  snprintf (text, EG_TOKEN_BYTES, "t%08x ", (unsigned) (hash >> 32));
}
