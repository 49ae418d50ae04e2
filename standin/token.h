/**
 * @file
 * Reproducible tokens of the engine stand-ins, which clients can verify.
 */
#ifndef EG_STANDIN_TOKEN_H
#define EG_STANDIN_TOKEN_H

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** Size of a token string, with the terminating null byte. */
#define EG_TOKEN_BYTES 12

/**
 * Writes the token at @p position, numbered from 1, of the output for
 * @p prompt: `t`, eight hexadecimal digits and a space.
 */
void eg_token_text (struct eg_str prompt,
                    int64_t position,
                    char text[EG_TOKEN_BYTES]);

EG_END_DECLS

#endif
