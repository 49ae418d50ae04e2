/**
 * @file
 * Encodes what is known of a suspect, for messages between VMs and for the
 * store. All times are ages.
 */
#ifndef EG_ENTRY_SUSPECT_CODEC_H
#define EG_ENTRY_SUSPECT_CODEC_H

#include <jansson.h>

#include "policy/crash_blame.h"

/** Returns a new document; its ages are those at @p now_us. */
json_t *eg_suspect_encode (const struct eg_suspect *self, int64_t now_us);

/**
 * Decodes a document whose ages were those at @p now_us.
 * @return false if it is invalid.
 */
bool eg_suspect_decode (struct eg_suspect *self,
                        const json_t *document,
                        int64_t now_us);

#endif
