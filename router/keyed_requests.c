#include "router/keyed_requests.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/map.h"
#include "base/status.h"
#include "router/sweeper.h"

#define QUOTA_SWEEP_US (300 * EG_US_PER_S)
#define CLAIMS_MAX 20000
#define CLAIM_ORGANISATIONS_MAX 16384
#define STORE_TIMEOUT_US EG_US_PER_S
static_assert (EG_CLAIM_OBJECT_KEY_MAX < EG_OBJECT_KEY_BYTES,
               "object keys of claims must fit into platform commands");
/* A tag is the request id followed by the low bits of the operation number. */
#define TAG_OPERATION_BITS 16
#define TAG_OPERATION_MASK ((UINT64_C (1) << TAG_OPERATION_BITS) - 1)

static const struct eg_claim_config claim_config = {
    .dispatch_max_us = 10 * EG_US_PER_S,
    .wait_max_us = 10 * EG_US_PER_S,
    .backoff_min_us = 5 * EG_US_PER_MS,
    .backoff_max_us = 200 * EG_US_PER_MS,
    .background_max_us = 60 * EG_US_PER_S,
    .retry_after_us = EG_US_PER_S,
    .answer_bytes_max = 65536,
};

static const struct eg_claim_quota_config quota_config = {
    .claims_max = CLAIMS_MAX,
    .organisations_max = CLAIM_ORGANISATIONS_MAX,
    .lifetime_us = EG_CLAIM_LIFETIME_US,
};

struct request
{
  struct eg_claim claim;
  struct eg_call *call; /* Owns the outcome that the claim refers to. */
  struct eg_buffer object_key;
  bool dispatched; /* The claim was acquired, and may remain in the store. */
  uint32_t unsent_operation; /* Rejected by a full platform ring; 0: none. */
};

struct eg_keyed_requests
{
  struct eg_platform_worker *platform;
  struct eg_keyed_requests_callbacks callbacks;
  struct eg_random random;
  uint64_t incarnation;
  struct eg_map requests;
  struct eg_claim_quota *quota;
  int64_t next_sweep_us;
  struct eg_buffer due_ids; /* Request ids of claims that are due. */
};

struct eg_keyed_requests *
eg_keyed_requests_new (struct eg_platform_worker *platform,
                       uint64_t incarnation,
                       uint64_t seed,
                       const struct eg_keyed_requests_callbacks *callbacks)
{
  struct eg_keyed_requests *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->platform = platform;
  self->callbacks = *callbacks;
  self->incarnation = incarnation;
  eg_random_init (&self->random, seed);
  self->quota = eg_claim_quota_new (&quota_config);
  EG_INVARIANT (self->quota != NULL);
  return self;
}

static void
free_request (struct request *request)
{
  eg_claim_finish (&request->claim);
  eg_buffer_finish (&request->object_key);
  eg_call_unref (request->call);
  free (request);
}

void
eg_keyed_requests_free (struct eg_keyed_requests *self)
{
  struct request *request;
  size_t cursor = 0;

  if (!self)
    return;
  while ((request = eg_map_next (&self->requests, &cursor)))
    free_request (request);
  eg_map_finish (&self->requests);
  eg_claim_quota_free (self->quota);
  eg_buffer_finish (&self->due_ids);
  free (self);
}

static const enum eg_platform_call action_calls[] = {
    [EG_CLAIM_ACTION_GET] = EG_PLATFORM_GET,
    [EG_CLAIM_ACTION_PUT_NEW] = EG_PLATFORM_CREATE,
    [EG_CLAIM_ACTION_PUT_MATCH] = EG_PLATFORM_UPDATE,
};

static void
send_to_store (struct eg_keyed_requests *self,
               struct request *request,
               const struct eg_claim_action *action)
{
  uint64_t tag = (request->call->id << TAG_OPERATION_BITS)
                 | (action->operation & TAG_OPERATION_MASK);
  struct eg_platform_command *command =
      eg_platform_command_new (action_calls[action->type], tag);

  eg_str_copy (eg_buffer_view (&request->object_key), command->key,
               sizeof command->key);
  command->version = action->version;
  command->timeout_us = STORE_TIMEOUT_US;
  if (action->record)
    eg_claim_record_encode (action->record, &command->value);
  if (eg_platform_worker_push (self->platform, command))
    return;
  eg_platform_command_free (command);
  request->unsent_operation = action->operation;
}

static void
apply (struct eg_keyed_requests *self,
       struct request *request,
       const struct eg_claim_action *action)
{
  void *context = self->callbacks.context;

  switch (action->type)
    {
    case EG_CLAIM_ACTION_GET:
    case EG_CLAIM_ACTION_PUT_NEW:
    case EG_CLAIM_ACTION_PUT_MATCH:
      send_to_store (self, request, action);
      return;
    case EG_CLAIM_ACTION_DISPATCH:
      request->dispatched = true;
      self->callbacks.dispatch (context, request->call,
                                eg_claim_send_by_us (&request->claim));
      return;
    case EG_CLAIM_ACTION_ANSWER:
      self->callbacks.answer (context, request->call, &action->answer);
      return;
    case EG_CLAIM_ACTION_REFUSE:
      self->callbacks.refuse (context, request->call, action);
      return;
    }
}

/* Reports an operation that could not be submitted as lost, so that the claim
   retries it later; a lost reply triggers no action at once. */
static void
report_lost_operation (struct eg_keyed_requests *self,
                       struct request *request,
                       int64_t now_us)
{
  const struct eg_claim_event lost = {.type = EG_CLAIM_EVENT_NO_REPLY,
                                      .operation = request->unsent_operation};
  struct eg_claim_actions actions;

  if (request->unsent_operation == 0)
    return;
  request->unsent_operation = 0;
  eg_claim_update (&request->claim, &lost, now_us, &self->random, &actions);
  EG_INVARIANT (actions.count == 0);
}

static void
update (struct eg_keyed_requests *self,
        struct request *request,
        const struct eg_claim_event *event,
        int64_t now_us)
{
  struct eg_claim_actions actions;

  eg_claim_update (&request->claim, event, now_us, &self->random, &actions);
  for (size_t i = 0; i < actions.count; i++)
    apply (self, request, &actions.items[i]);
  report_lost_operation (self, request, now_us);
  if (!eg_claim_is_closed (&request->claim))
    return;
  if (!request->dispatched)
    eg_claim_quota_return (self->quota,
                           eg_str_from (request->call->organisation), now_us);
  eg_map_remove (&self->requests, request->call->id);
  free_request (request);
}

/* No request with such a key has ever been accepted, so none has run. */
static void
refuse_long_key (struct eg_keyed_requests *self, struct request *request)
{
  const struct eg_claim_action refusal = {
      .type = EG_CLAIM_ACTION_REFUSE,
      .refusal = EG_REFUSAL_MALFORMED,
      .ran = EG_RAN_NO,
  };

  self->callbacks.refuse (self->callbacks.context, request->call, &refusal);
  free_request (request);
}

/* An earlier request with the same key may have run, so the refusal reports
   that as unknown. */
static void
refuse_over_quota (struct eg_keyed_requests *self,
                   struct request *request,
                   int64_t retry_after_us)
{
  const struct eg_claim_action refusal = {
      .type = EG_CLAIM_ACTION_REFUSE,
      .refusal = EG_REFUSAL_RATE_LIMIT,
      .ran = EG_RAN_UNKNOWN,
      .retry_after_us = retry_after_us,
  };

  self->callbacks.refuse (self->callbacks.context, request->call, &refusal);
  free_request (request);
}

void
eg_keyed_requests_submit (struct eg_keyed_requests *self,
                          struct eg_call *call,
                          int64_t now_us)
{
  const struct eg_claim_event event = {.type = EG_CLAIM_EVENT_START};
  const struct eg_claim_start start = {
      .nonce = {self->incarnation, call->id},
      .fingerprint = eg_claim_fingerprint (eg_str_from (call->method),
                                           eg_buffer_view (&call->path),
                                           eg_buffer_view (&call->body)),
      .now_us = now_us,
      .claimed_wall_us = eg_clock_wall_us (),
      .deadline_us = call->arrived_us + call->budget_us,
  };
  struct request *request = calloc (1, sizeof *request);
  int64_t retry_after_us = 0;

  EG_INVARIANT (request != NULL);
  request->call = eg_call_ref (call);
  eg_outcome_init (&call->outcome, EG_OUTCOME_KEYED);
  if (!eg_claim_object_key (&request->object_key,
                            eg_str_from (call->organisation),
                            eg_str_from (call->key)))
    {
      refuse_long_key (self, request);
      return;
    }
  if (!eg_claim_quota_take (self->quota, eg_str_from (call->organisation),
                            now_us, &retry_after_us))
    {
      refuse_over_quota (self, request, retry_after_us);
      return;
    }
  eg_claim_init (&request->claim, &claim_config, &call->outcome, &start);
  eg_map_put (&self->requests, call->id, request);
  update (self, request, &event, now_us);
}

static enum eg_claim_event_type
write_reply_event (enum eg_status status)
{
  if (status == EG_OK)
    return EG_CLAIM_EVENT_WRITTEN;
  if (status == EG_CONFLICT || status == EG_NOT_FOUND)
    return EG_CLAIM_EVENT_CONFLICT;
  return EG_CLAIM_EVENT_NO_REPLY;
}

static enum eg_claim_event_type
read_reply_event (const struct eg_platform_reply *reply,
                  struct eg_claim_record *record,
                  struct eg_buffer *storage)
{
  struct eg_error error;

  if (reply->status == EG_NOT_FOUND)
    return EG_CLAIM_EVENT_MISSING;
  if (reply->status != EG_OK)
    return EG_CLAIM_EVENT_NO_REPLY;
  if (eg_claim_record_decode (record, eg_buffer_view (&reply->value), storage,
                              &error)
      == EG_OK)
    return EG_CLAIM_EVENT_FOUND;
  eg_log (EG_LOG_ERROR, "keyed", "event=bad-claim key=%s cause=%s", reply->key,
          error.message);
  return EG_CLAIM_EVENT_NO_REPLY;
}

bool
eg_keyed_requests_store_reply (struct eg_keyed_requests *self,
                               const struct eg_platform_reply *reply,
                               int64_t now_us)
{
  struct request *request =
      eg_map_get (&self->requests, reply->tag >> TAG_OPERATION_BITS);
  struct eg_buffer storage = {0};
  struct eg_claim_record record;
  struct eg_claim_event event = {
      .operation = (uint32_t) (reply->tag & TAG_OPERATION_MASK),
      .version = reply->version,
      .record = &record,
  };

  if (!request)
    return false;
  event.type = reply->call == EG_PLATFORM_GET
                   ? read_reply_event (reply, &record, &storage)
                   : write_reply_event (reply->status);
  update (self, request, &event, now_us);
  eg_buffer_finish (&storage);
  return true;
}

void
eg_keyed_requests_answered (struct eg_keyed_requests *self,
                            uint64_t id,
                            const struct eg_claim_answer *answer,
                            int64_t now_us)
{
  const struct eg_claim_event event = {.type = EG_CLAIM_EVENT_ANSWERED,
                                       .answer = *answer};
  struct request *request = eg_map_get (&self->requests, id);

  if (request)
    update (self, request, &event, now_us);
}

void
eg_keyed_requests_refused (struct eg_keyed_requests *self,
                           uint64_t id,
                           enum eg_refusal refusal,
                           int64_t now_us)
{
  const struct eg_claim_event event = {.type = EG_CLAIM_EVENT_REFUSE,
                                       .refusal = refusal};
  struct request *request = eg_map_get (&self->requests, id);

  if (request)
    update (self, request, &event, now_us);
}

/* Collects the ids first, as updates may remove claims from the table. */
static void
collect_due (struct eg_keyed_requests *self, int64_t now_us)
{
  struct request *request;
  size_t cursor = 0;

  eg_buffer_clear (&self->due_ids);
  while ((request = eg_map_next (&self->requests, &cursor)))
    if (eg_claim_wake_us (&request->claim) <= now_us)
      eg_buffer_append (&self->due_ids,
                        (struct eg_str){(const char *) &request->call->id,
                                        sizeof request->call->id});
}

void
eg_keyed_requests_tick (struct eg_keyed_requests *self, int64_t now_us)
{
  const struct eg_claim_event event = {.type = EG_CLAIM_EVENT_TIME};
  struct request *request;
  uint64_t id;

  if (now_us >= self->next_sweep_us)
    {
      self->next_sweep_us = now_us + QUOTA_SWEEP_US;
      eg_claim_quota_sweep (self->quota, now_us);
    }
  collect_due (self, now_us);
  for (size_t at = 0; at < self->due_ids.len; at += sizeof id)
    {
      memcpy (&id, self->due_ids.data + at, sizeof id);
      request = eg_map_get (&self->requests, id);
      if (request)
        update (self, request, &event, now_us);
    }
}

size_t
eg_keyed_requests_count (const struct eg_keyed_requests *self)
{
  return self->requests.count;
}
