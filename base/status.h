/**
 * @file
 * Status codes and error messages.
 */
#ifndef EG_BASE_STATUS_H
#define EG_BASE_STATUS_H

#include <stdbool.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Result of an operation. */
enum eg_status
{
  EG_OK = 0,
  EG_INVALID,     /**< The input violates a documented rule. */
  EG_NOT_FOUND,   /**< The named object does not exist. */
  EG_CONFLICT,    /**< A concurrent change was made first. */
  EG_FULL,        /**< A limit was reached. */
  EG_UNAVAILABLE, /**< The peer is unreachable or refuses temporarily. */
  EG_TIMEOUT,     /**< No response within the time limit. */
  EG_UNKNOWN,     /**< The operation may or may not have taken effect. */
  EG_SYSTEM,      /**< The operating system or a library failed. */
};

/** Size of an error message in bytes, including the terminating zero. */
#define EG_ERROR_MESSAGE_BYTES 512

/** Status and message of a failure. */
struct eg_error
{
  enum eg_status status;
  char message[EG_ERROR_MESSAGE_BYTES];
};

/** Returns the name of @p status, as used in logs and JSON. */
const char *eg_status_name (enum eg_status status);

/**
 * Sets @p error, which may be NULL.
 * @return @p status, so that a caller can write `return eg_error_set (...)`.
 */
enum eg_status eg_error_set (struct eg_error *error,
                             enum eg_status status,
                             const char *format,
                             ...) __attribute__ ((format (printf, 3, 4)));

/** Prints a message and aborts the process; used by EG_INVARIANT(). */
void eg_invariant_failed (const char *expression, const char *file, int line)
    __attribute__ ((noreturn));

/** Aborts the process unless @p expression is true. */
#define EG_INVARIANT(expression)                                               \
  ((expression) ? (void) 0                                                     \
                : eg_invariant_failed (#expression, __FILE__, __LINE__))

EG_END_DECLS

#endif
