/**
 * @file
 * Checks the lengths that MessagePack bytes claim before they are unpacked:
 * the library makes room for what is claimed, which may be gigabytes in a
 * message of a few bytes.
 */
#ifndef EG_BUS_MSGPACK_LENGTHS_H
#define EG_BUS_MSGPACK_LENGTHS_H

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Tells whether every length claimed in @p bytes fits the bytes that follow.
 */
bool eg_msgpack_lengths_valid (struct eg_str bytes);

EG_END_DECLS

#endif
