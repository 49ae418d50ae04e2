/**
 * @file
 * Outcomes as values: a status code, and the last message beside it.
 */
#ifndef EG_BASE_STATUS_H
#define EG_BASE_STATUS_H

#include <stdbool.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** How an operation ended. */
enum eg_status
{
  EG_OK = 0,
  EG_INVALID,     /**< The input breaks a stated rule. */
  EG_NOT_FOUND,   /**< The named thing does not exist. */
  EG_CONFLICT,    /**< Another change came first. */
  EG_FULL,        /**< A bound was reached. */
  EG_UNAVAILABLE, /**< The other side cannot be reached or refuses for now. */
  EG_TIMEOUT,     /**< No answer within the time allowed. */
  EG_UNKNOWN,     /**< It may or may not have taken effect. */
  EG_SYSTEM,      /**< The operating system or a library failed. */
};

/** Longest message kept, in bytes with the final zero. */
#define EG_ERROR_MESSAGE_BYTES 512

/** The status and message of the last failure. */
struct eg_error
{
  enum eg_status status;
  char message[EG_ERROR_MESSAGE_BYTES];
};

/** Returns the name of @p status, as logs and JSON show it. */
const char *eg_status_name (enum eg_status status);

/**
 * Records a failure; @p error may be NULL.
 * @return @p status, so that a caller can write `return eg_error_set (...)`.
 */
enum eg_status eg_error_set (struct eg_error *error,
                             enum eg_status status,
                             const char *format,
                             ...) __attribute__ ((format (printf, 3, 4)));

/** Stops the process with a message; for broken invariants alone. */
void eg_invariant_failed (const char *expression, const char *file, int line)
    __attribute__ ((noreturn));

/** Stops the process unless @p expression holds. */
#define EG_INVARIANT(expression)                                               \
  ((expression) ? (void) 0                                                     \
                : eg_invariant_failed (#expression, __FILE__, __LINE__))

EG_END_DECLS

#endif
