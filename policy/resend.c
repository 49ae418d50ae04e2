#include "policy/resend.h"

/* Most runs of one request. A request may itself be what ends its runs. */
#define RUNS_MAX 6
/* Most sends of a request whose response has not started, with refusals and
 * with those that found no connection. It can be refused instead. */
#define SENDS_MAX 6
#define SEND_TRIES_MAX 10
/* The fastest response takes this long, so there is no point in sending a
 * request with less time left. */
#define TIME_LEFT_MIN_US 10000

static const struct
{
  const char *name;
  bool may_pass; /**< While the request waits. */
} limits[EG_RESEND_LIMITS] = {
    [EG_LIMIT_NONE] = {"none", false},
    [EG_LIMIT_NOT_REPEATABLE] = {"not-repeatable", false},
    [EG_LIMIT_SENDS] = {"sends", false},
    [EG_LIMIT_QUARANTINED] = {"quarantined", false},
    [EG_LIMIT_TRIAL] = {"trial", true},
    [EG_LIMIT_REFUSALS] = {"refusals", true},
    [EG_LIMIT_DEADLINE] = {"deadline", false},
    [EG_LIMIT_RETRY_BUDGET] = {"retry-budget", true},
    [EG_LIMIT_NO_SERVER] = {"no-server", true},
    [EG_LIMIT_SERVER_LIMITS] = {"server-limits", true},
    [EG_LIMIT_NO_SERVICE] = {"no-service", false},
    [EG_LIMIT_KEYS] = {"keys", true},
    [EG_LIMIT_STOPPING] = {"stopping", false},
};

const char *
eg_resend_limit_name (enum eg_resend_limit limit)
{
  return limits[limit].name;
}

enum eg_resend_limit
eg_resend_check (const struct eg_resend_context *context)
{
  if ((!context->repeatable && context->may_have_run)
      || (context->response_started && !context->resumable))
    return EG_LIMIT_NOT_REPEATABLE;
  if (context->deadline_us - context->now_us <= TIME_LEFT_MIN_US)
    return EG_LIMIT_DEADLINE;
  if (context->sends - context->refusals >= RUNS_MAX)
    return EG_LIMIT_SENDS;
  if (!context->response_started
      && (context->sends >= SENDS_MAX || context->tries >= SEND_TRIES_MAX))
    return EG_LIMIT_SENDS;
  return EG_LIMIT_NONE;
}

int64_t
eg_resend_pause_us (unsigned refusals)
{
  /* Other servers are tried at once. */
  static const int64_t pauses_us[] = {0, 0, 0, 100000, 200000, 400000};
  const unsigned last = sizeof pauses_us / sizeof pauses_us[0] - 1;

  return pauses_us[refusals < last ? refusals : last];
}

enum eg_resend_decision
eg_resend_give_up (const struct eg_resend_context *context,
                   enum eg_resend_limit limit)
{
  /* Lack of progress alone does not fail a request in flight, since the server
     may still respond. */
  if (context->in_flight)
    return EG_RESEND_WAIT;
  if (context->response_started)
    return limits[limit].may_pass && context->resumable ? EG_RESEND_LATER
                                                        : EG_RESEND_ABORT;
  if (!context->may_have_run)
    return EG_RESEND_REFUSE;
  return context->now_us >= context->deadline_us ? EG_RESEND_TIMEOUT
                                                 : EG_RESEND_FAIL;
}

enum eg_resend_decision
eg_resend_decide (const struct eg_resend_context *context)
{
  enum eg_resend_limit limit = eg_resend_check (context);

  return limit == EG_LIMIT_NONE ? EG_RESEND
                                : eg_resend_give_up (context, limit);
}
