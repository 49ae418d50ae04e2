/**
 * @file
 * Calls to the operators' listener of an entry VM; each waits for its answer.
 */
#ifndef EG_CTL_CALL_H
#define EG_CTL_CALL_H

#include <jansson.h>

#include "base/buffer.h"
#include "base/decls.h"
#include "ctl/ctl.h"

EG_BEGIN_DECLS

/** How a call ended. */
struct eg_ctl_answer
{
  int status;    /**< 0 if none came. */
  bool sent;     /**< Whether the node may have seen the request. */
  json_t *value; /**< NULL if the body is not JSON. */
  struct eg_buffer body;
  struct eg_error error; /**< Where no answer came. */
};

/** Calls; @p body is sent as JSON and may be NULL. */
void eg_ctl_call (const struct eg_ctl *ctl,
                  const char *method,
                  const char *path,
                  json_t *body,
                  struct eg_ctl_answer *answer);

/** Frees what an answer holds. */
void eg_ctl_answer_finish (struct eg_ctl_answer *self);

/**
 * Prints what an answer other than 200 says.
 * @return the exit code that it stands for.
 */
int eg_ctl_fail (const struct eg_ctl *ctl, const struct eg_ctl_answer *answer);

EG_END_DECLS

#endif
