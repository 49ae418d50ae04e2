/**
 * @file
 * Messages between entry VMs as bytes: msgpack arrays with a version, bounded
 * in size and checked field by field.
 */
#ifndef EG_BUS_CODEC_H
#define EG_BUS_CODEC_H

#include "base/buffer.h"
#include "base/status.h"
#include "policy/peer_message.h"

EG_BEGIN_DECLS

/** Version of the protocol; messages of another one are refused. */
#define EG_BUS_VERSION 1
/** Longest message, in bytes. */
#define EG_BUS_MESSAGE_MAX 4096

/** Appends the bytes of @p message to @p bytes. */
void eg_bus_encode (const struct eg_peer_message *message,
                    struct eg_buffer *bytes);

/**
 * Reads a message.
 * @return EG_OK; EG_INVALID for anything that eg_bus_encode() does not write.
 */
enum eg_status eg_bus_decode (struct eg_str bytes,
                              struct eg_peer_message *message);

EG_END_DECLS

#endif
