/**
 * @file
 * Percent-encoding of URIs (RFC 3986, 2.1).
 */
#ifndef EG_NET_PERCENT_H
#define EG_NET_PERCENT_H

#include <stdbool.h>

#include "base/buffer.h"

/**
 * Appends @p text with its %XX sequences decoded.
 * @return false if one is not valid, or is a zero byte.
 */
bool eg_percent_decode (struct eg_str text, struct eg_buffer *out);

#endif
