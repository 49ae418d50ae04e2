#include "policy/request.h"

static const struct eg_refusal_info refusals[EG_REFUSAL_COUNT] = {
    [EG_REFUSAL_NONE] = {"none", 200, "Answered"},
    [EG_REFUSAL_MALFORMED] = {"malformed", 400, "Malformed request"},
    [EG_REFUSAL_NO_ORGANISATION] = {"no-organisation", 401,
                                    "No organisation named"},
    [EG_REFUSAL_UNKNOWN_MODEL] = {"unknown-model", 404, "Unknown model"},
    [EG_REFUSAL_UNKNOWN_SERVICE] = {"unknown-service", 404, "Unknown service"},
    [EG_REFUSAL_CLAIM_CONFLICT] =
        {"claim-conflict", 409, "Earlier run not finished or outcome unknown"},
    [EG_REFUSAL_TOO_LARGE] = {"too-large", 413, "Request too large"},
    [EG_REFUSAL_KEY_REUSED] = {"key-reused", 422,
                               "Idempotency key used with another body"},
    [EG_REFUSAL_RATE_LIMIT] = {"rate-limit", 429, "Rate limit reached"},
    [EG_REFUSAL_IN_FLIGHT_LIMIT] = {"in-flight-limit", 429,
                                    "Too many requests in flight"},
    [EG_REFUSAL_QUEUE_FULL] = {"queue-full", 503, "Queue full"},
    [EG_REFUSAL_NO_CAPACITY] = {"no-capacity", 503, "No capacity"},
    [EG_REFUSAL_QUARANTINED] = {"quarantined", 503, "Request quarantined"},
    [EG_REFUSAL_STOPPING] = {"stopping", 503, "Entry VM is stopping"},
    [EG_REFUSAL_STORE_DOWN] = {"store-down", 503, "Platform store is down"},
    [EG_REFUSAL_BACKEND_FAILED] = {"backend-failed", 503,
                                   "Backend server failed"},
    [EG_REFUSAL_DEADLINE] = {"deadline", 504, "Deadline reached"},
};

static const char *const ran_names[] = {
    [EG_RAN_NO] = "no",
    [EG_RAN_UNKNOWN] = "unknown",
    [EG_RAN_YES] = "yes",
};

const struct eg_refusal_info *
eg_refusal_info (enum eg_refusal refusal)
{
  return &refusals[refusal];
}

const char *
eg_ran_name (enum eg_ran ran)
{
  return ran_names[ran];
}
