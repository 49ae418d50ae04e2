#include "policy/resend.h"

/* Most sends of one request that reach a server: two runs, and refusals by full
 * servers between them. */
#define SENDS_MAX 6
/* Most tries, those counted that found no connection. */
#define TRIES_MAX 10
/* Less time than this is not worth a send: a server's shortest answer. */
#define LEAST_TIME_US 10000

enum eg_resend_decision
eg_resend_give_up (const struct eg_resend_context *question)
{
  /* Silence is no reason to end an answer: a server may still give it. */
  if (question->in_flight)
    return EG_RESEND_WAIT;
  if (question->response_started)
    return EG_RESEND_ABORT;
  if (!question->may_have_run)
    return EG_RESEND_REFUSE;
  return question->now_us >= question->deadline_us ? EG_RESEND_TIMEOUT
                                                   : EG_RESEND_FAIL;
}

enum eg_resend_decision
eg_resend_decide (const struct eg_resend_context *question)
{
  bool harmless = question->repeatable || !question->may_have_run;
  bool wanted = !question->response_started || question->resumable;

  if (harmless && wanted && question->sends < SENDS_MAX
      && question->tries < TRIES_MAX
      && question->deadline_us - question->now_us > LEAST_TIME_US)
    return EG_RESEND;
  return eg_resend_give_up (question);
}
