/**
 * @file
 * The token that an engine stand-in generates, which a client can check.
 */
#ifndef EG_STANDIN_TOKEN_H
#define EG_STANDIN_TOKEN_H

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Bytes of a token's text, with the final zero. */
#define EG_TOKEN_BYTES 12

/**
 * Writes the token at @p position, counted from 1, of the answer to
 * @p prompt: `t`, eight hexadecimal digits and a space.
 */
void eg_token_text (struct eg_str prompt,
                    int64_t position,
                    char text[EG_TOKEN_BYTES]);

EG_END_DECLS

#endif
