/**
 * @file
 * Blocking requests to the operators' listener of an entry VM.
 */
#ifndef EG_CTL_CALL_H
#define EG_CTL_CALL_H

#include <jansson.h>

#include "base/buffer.h"
#include "base/decls.h"
#include "ctl/ctl.h"

EG_BEGIN_DECLS

/** Result of a request. */
struct eg_ctl_answer
{
  int status;    /**< HTTP status; 0 if there was no answer. */
  bool sent;     /**< Whether the node may have received the request. */
  json_t *value; /**< NULL if the body is not JSON. */
  struct eg_buffer body;
  struct eg_error error; /**< Set if there was no answer. */
};

/** Sends a request; @p body is sent as JSON and may be NULL. */
void eg_ctl_call (const struct eg_ctl *ctl,
                  const char *method,
                  const char *path,
                  json_t *body,
                  struct eg_ctl_answer *answer);

/** Frees the members of an answer. */
void eg_ctl_answer_finish (struct eg_ctl_answer *self);

/**
 * Prints the error in an answer with a status other than 200.
 * @return the corresponding exit code.
 */
int eg_ctl_report_failure (const struct eg_ctl *ctl,
                           const struct eg_ctl_answer *answer);

EG_END_DECLS

#endif
