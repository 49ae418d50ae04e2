/**
 * @file
 * Validates the length headers of MessagePack data before it is unpacked. The
 * library allocates memory by these headers, so a message of a few bytes could
 * make it allocate gigabytes.
 */
#ifndef EG_BUS_MSGPACK_LENGTHS_H
#define EG_BUS_MSGPACK_LENGTHS_H

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Returns whether no length header in @p bytes exceeds the remaining bytes. */
bool eg_msgpack_lengths_valid (struct eg_str bytes);

EG_END_DECLS

#endif
