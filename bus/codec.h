/**
 * @file
 * Encodes and decodes messages between entry VMs: versioned MessagePack arrays
 * of limited size. Every field is validated.
 */
#ifndef EG_BUS_CODEC_H
#define EG_BUS_CODEC_H

#include "base/buffer.h"
#include "base/status.h"
#include "policy/peer_message.h"

EG_BEGIN_DECLS

/** Protocol version; messages of any other version are rejected. */
#define EG_BUS_VERSION 1
/** Maximum size of a message in bytes. */
#define EG_BUS_MESSAGE_MAX 4096

/** Appends the encoded @p message to @p bytes. */
void eg_bus_encode (const struct eg_peer_message *message,
                    struct eg_buffer *bytes);

/**
 * Decodes a message.
 * @return EG_OK; EG_INVALID if the bytes are not a valid message.
 */
enum eg_status eg_bus_decode (struct eg_str bytes,
                              struct eg_peer_message *message);

EG_END_DECLS

#endif
