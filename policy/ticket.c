#include "policy/ticket.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define NO_INDEX UINT32_MAX
#define HEX_DIGITS 16

enum entry_state
{
  FREE,
  ISSUED,
  RUNNING,
  FINISHED, /* The request ran. */
  IN_DOUBT, /* The request may have run. */
};

struct entry
{
  struct eg_ticket_number number;
  uint64_t fingerprint; /* Of the first request with the ticket. */
  int64_t expires_us;
  struct eg_buffer answer; /* Content type and body. */
  uint32_t type_len;
  uint32_t next; /* In the bucket, or in the free list. */
  uint32_t organisation;
  int16_t status;
  uint8_t state;
  bool has_fingerprint; /* Whether @c fingerprint is set. */
  bool has_answer;      /* Whether @c answer is set. */
};

struct organisation
{
  char name[EG_NAME_BYTES];
  uint32_t tickets;
  uint32_t next; /* In the bucket, or in the free list. */
};

struct eg_tickets
{
  struct eg_tickets_config config;
  struct entry *entries;
  struct organisation *organisations;
  uint32_t *entry_buckets;
  uint32_t *organisation_buckets;
  uint32_t bucket_mask;
  uint32_t free_entry;
  uint32_t free_organisation;
  size_t count;
  size_t answers_bytes;
};

static bool
parse_hex (struct eg_str *text, uint64_t *value)
{
  *value = 0;
  if (text->len < HEX_DIGITS)
    return false;
  for (size_t i = 0; i < HEX_DIGITS; i++)
    {
      const char *digits = "0123456789abcdef";
      const char *digit = strchr (digits, text->data[i]);

      if (digit == NULL || *digit == '\0')
        return false;
      *value = *value << 4 | (uint64_t) (digit - digits);
    }
  *text = (struct eg_str){text->data + HEX_DIGITS, text->len - HEX_DIGITS};
  return true;
}

bool
eg_ticket_parse (struct eg_ticket *self, struct eg_str text)
{
  struct eg_str address = eg_str_cut (&text, '-');
  struct eg_str incarnation = eg_str_cut (&text, '-');

  return address.len > 0
         && eg_str_copy (address, self->address, sizeof self->address)
         && parse_hex (&incarnation, &self->incarnation) && incarnation.len == 0
         && parse_hex (&text, &self->number.high)
         && parse_hex (&text, &self->number.low) && text.len == 0;
}

static uint32_t
power_of_two (size_t minimum)
{
  uint32_t power = 1;

  while (power < minimum)
    power *= 2;
  return power;
}

static void
init_lists (struct eg_tickets *self)
{
  size_t max = self->config.entries_max;

  for (size_t i = 0; i < max; i++)
    {
      uint32_t next = i + 1 < max ? (uint32_t) i + 1 : NO_INDEX;

      self->entries[i].next = next;
      self->organisations[i].next = next;
    }
  for (size_t i = 0; i <= self->bucket_mask; i++)
    {
      self->entry_buckets[i] = NO_INDEX;
      self->organisation_buckets[i] = NO_INDEX;
    }
  self->free_entry = 0;
  self->free_organisation = 0;
}

struct eg_tickets *
eg_tickets_new (const struct eg_tickets_config *config)
{
  struct eg_tickets *self = calloc (1, sizeof *self);
  size_t max = config->entries_max;
  uint32_t buckets = power_of_two (max);

  EG_INVARIANT (max > 0 && max < NO_INDEX / 2);
  if (self == NULL)
    return NULL;
  self->config = *config;
  self->bucket_mask = buckets - 1;
  self->entries = calloc (max, sizeof *self->entries);
  self->organisations = calloc (max, sizeof *self->organisations);
  self->entry_buckets = calloc (buckets, sizeof *self->entry_buckets);
  self->organisation_buckets =
      calloc (buckets, sizeof *self->organisation_buckets);
  if (!self->entries || !self->organisations || !self->entry_buckets
      || !self->organisation_buckets)
    {
      eg_tickets_free (self);
      return NULL;
    }
  init_lists (self);
  return self;
}

void
eg_tickets_free (struct eg_tickets *self)
{
  if (self == NULL)
    return;
  for (size_t i = 0; self->entries && i < self->config.entries_max; i++)
    eg_buffer_finish (&self->entries[i].answer);
  free (self->entries);
  free (self->organisations);
  free (self->entry_buckets);
  free (self->organisation_buckets);
  free (self);
}

static uint32_t *
entry_bucket (const struct eg_tickets *self, struct eg_ticket_number number)
{
  return &self->entry_buckets[number.low & self->bucket_mask];
}

static uint32_t *
organisation_bucket (const struct eg_tickets *self, struct eg_str name)
{
  return &self->organisation_buckets[eg_hash_str (name) & self->bucket_mask];
}

static struct entry *
find_entry (const struct eg_tickets *self, struct eg_ticket_number number)
{
  for (uint32_t i = *entry_bucket (self, number); i != NO_INDEX;
       i = self->entries[i].next)
    {
      struct entry *entry = &self->entries[i];

      if (entry->number.high == number.high && entry->number.low == number.low)
        return entry;
    }
  return NULL;
}

static uint32_t
find_organisation (const struct eg_tickets *self, struct eg_str name)
{
  uint32_t i = *organisation_bucket (self, name);

  while (i != NO_INDEX
         && !eg_str_equal (eg_str_from (self->organisations[i].name), name))
    i = self->organisations[i].next;
  return i;
}

static uint32_t
add_organisation (struct eg_tickets *self, struct eg_str name)
{
  uint32_t index = self->free_organisation;
  struct organisation *organisation = &self->organisations[index];
  uint32_t *bucket = organisation_bucket (self, name);

  self->free_organisation = organisation->next;
  eg_str_copy (name, organisation->name, sizeof organisation->name);
  organisation->tickets = 0;
  organisation->next = *bucket;
  *bucket = index;
  return index;
}

static void
remove_organisation (struct eg_tickets *self, uint32_t index)
{
  struct organisation *organisation = &self->organisations[index];
  uint32_t *link = organisation_bucket (self, eg_str_from (organisation->name));

  while (*link != index)
    link = &self->organisations[*link].next;
  *link = organisation->next;
  organisation->next = self->free_organisation;
  self->free_organisation = index;
}

static void
remove_entry (struct eg_tickets *self, struct entry *entry)
{
  uint32_t index = (uint32_t) (entry - self->entries);
  uint32_t *link = entry_bucket (self, entry->number);

  while (*link != index)
    link = &self->entries[*link].next;
  *link = entry->next;
  self->organisations[entry->organisation].tickets--;
  if (self->organisations[entry->organisation].tickets == 0)
    remove_organisation (self, entry->organisation);
  self->answers_bytes -= entry->answer.len;
  eg_buffer_finish (&entry->answer);
  *entry = (struct entry){.next = self->free_entry};
  self->free_entry = index;
  self->count--;
}

enum eg_status
eg_tickets_issue (struct eg_tickets *self,
                  struct eg_str organisation,
                  struct eg_ticket_number number,
                  int64_t now_us,
                  char text[EG_TICKET_TEXT_BYTES])
{
  uint32_t owner = find_organisation (self, organisation);
  uint32_t index = self->free_entry;
  uint32_t *bucket = entry_bucket (self, number);

  if (organisation.len >= EG_NAME_BYTES)
    return EG_INVALID;
  if (index == NO_INDEX || find_entry (self, number) != NULL)
    return EG_FULL;
  if (owner != NO_INDEX
      && self->organisations[owner].tickets >= self->config.organisation_max)
    return EG_FULL;
  if (owner == NO_INDEX)
    owner = add_organisation (self, organisation);
  self->organisations[owner].tickets++;
  self->free_entry = self->entries[index].next;
  self->entries[index] = (struct entry){
      .number = number,
      .expires_us = now_us + self->config.lifetime_us,
      .next = *bucket,
      .organisation = owner,
      .state = ISSUED,
  };
  *bucket = index;
  self->count++;
  snprintf (text, EG_TICKET_TEXT_BYTES,
            "%s-%016" PRIx64 "-%016" PRIx64 "%016" PRIx64, self->config.address,
            self->config.incarnation, number.high, number.low);
  return EG_OK;
}

static void
refuse (struct eg_ticket_result *result,
        enum eg_refusal refusal,
        const struct eg_outcome *outcome,
        int64_t retry_after_us)
{
  result->decision = EG_TICKET_REFUSE;
  result->refusal = refusal;
  result->ran = eg_outcome_ran (outcome);
  result->retry_after_us = retry_after_us;
}

/* This entry VM's own address with another incarnation belongs to an earlier
   process. It is not looked up in membership, which may know addresses without
   incarnations: the request would be forwarded to this process itself. */
static enum eg_ticket_issuer_state
issuer_state (const struct eg_tickets_config *config,
              const struct eg_ticket *ticket)
{
  struct eg_str address = eg_str_from (ticket->address);

  if (eg_str_equal (address, eg_str_from (config->address)))
    return EG_TICKET_ISSUER_GONE;
  return config->issuer_state (config->issuer_state_context, address,
                               ticket->incarnation);
}

static void
redeem_elsewhere (const struct eg_tickets *self,
                  const struct eg_outcome *outcome,
                  struct eg_ticket_result *result)
{
  const struct eg_tickets_config *config = &self->config;
  enum eg_ticket_issuer_state issuer = issuer_state (config, &result->ticket);

  if (issuer == EG_TICKET_ISSUER_LIVE)
    result->decision = EG_TICKET_FORWARD;
  else
    refuse (result, EG_REFUSAL_CLAIM_CONFLICT, outcome,
            issuer == EG_TICKET_ISSUER_GONE ? 0 : config->retry_after_us);
}

static void
redeem_ended (const struct entry *entry,
              struct eg_outcome *outcome,
              struct eg_ticket_result *result)
{
  bool ran = entry->state == FINISHED;

  eg_outcome_update (outcome, ran ? EG_OUTCOME_EVENT_RAN_ELSEWHERE
                                  : EG_OUTCOME_EVENT_CLAIMED_ELSEWHERE);
  if (!ran || !entry->has_answer)
    {
      refuse (result, EG_REFUSAL_CLAIM_CONFLICT, outcome, 0);
      return;
    }
  result->decision = EG_TICKET_ANSWER;
  result->answer = (struct eg_claim_answer){
      .kept = true,
      .status = entry->status,
      .content_type = {entry->answer.data, entry->type_len},
      .body = {entry->answer.data ? entry->answer.data + entry->type_len : NULL,
               entry->answer.len - entry->type_len},
  };
}

static void
redeem_issued (struct entry *entry,
               uint64_t fingerprint,
               int64_t now_us,
               struct eg_outcome *outcome,
               struct eg_ticket_result *result)
{
  eg_outcome_update (outcome, EG_OUTCOME_EVENT_CLAIMED);
  if (now_us >= entry->expires_us)
    {
      refuse (result, EG_REFUSAL_CLAIM_CONFLICT, outcome, 0);
      eg_outcome_update (outcome, EG_OUTCOME_EVENT_CLOSE);
      return;
    }
  entry->state = RUNNING;
  entry->fingerprint = fingerprint;
  entry->has_fingerprint = true;
  result->decision = EG_TICKET_RUN;
}

static void
redeem_here (struct eg_tickets *self,
             struct entry *entry,
             uint64_t fingerprint,
             int64_t now_us,
             struct eg_outcome *outcome,
             struct eg_ticket_result *result)
{
  if (entry->has_fingerprint && entry->fingerprint != fingerprint)
    {
      eg_outcome_update (outcome, EG_OUTCOME_EVENT_BODY_MISMATCH);
      refuse (result, EG_REFUSAL_KEY_REUSED, outcome, 0);
    }
  else if (entry->state == ISSUED)
    redeem_issued (entry, fingerprint, now_us, outcome, result);
  else if (entry->state == RUNNING)
    refuse (result, EG_REFUSAL_CLAIM_CONFLICT, outcome,
            self->config.retry_after_us);
  else
    redeem_ended (entry, outcome, result);
}

static bool
belongs_to (const struct eg_tickets *self,
            const struct entry *entry,
            struct eg_str organisation)
{
  struct eg_str owner =
      eg_str_from (self->organisations[entry->organisation].name);

  return eg_str_equal (owner, organisation);
}

void
eg_tickets_redeem (struct eg_tickets *self,
                   struct eg_str text,
                   struct eg_str organisation,
                   uint64_t fingerprint,
                   int64_t now_us,
                   struct eg_outcome *outcome,
                   struct eg_ticket_result *result)
{
  struct entry *entry;

  *result = (struct eg_ticket_result){0};
  if (!eg_ticket_parse (&result->ticket, text))
    {
      eg_outcome_update (outcome, EG_OUTCOME_EVENT_BODY_MISMATCH);
      refuse (result, EG_REFUSAL_MALFORMED, outcome, 0);
      return;
    }
  if (result->ticket.incarnation != self->config.incarnation)
    {
      redeem_elsewhere (self, outcome, result);
      return;
    }
  entry = find_entry (self, result->ticket.number);
  if (entry == NULL || !belongs_to (self, entry, organisation))
    refuse (result, EG_REFUSAL_CLAIM_CONFLICT, outcome, 0);
  else
    redeem_here (self, entry, fingerprint, now_us, outcome, result);
}

static void
store_answer (struct eg_tickets *self,
              struct entry *entry,
              const struct eg_claim_answer *answer)
{
  size_t len = answer->content_type.len + answer->body.len;

  if (!answer->kept || len > self->config.answer_bytes_max
      || self->answers_bytes + len > self->config.answers_bytes_max)
    return;
  eg_buffer_append (&entry->answer, answer->content_type);
  eg_buffer_append (&entry->answer, answer->body);
  entry->type_len = (uint32_t) answer->content_type.len;
  entry->status = (int16_t) answer->status;
  entry->has_answer = true;
  self->answers_bytes += len;
}

void
eg_tickets_complete (struct eg_tickets *self,
                     const struct eg_ticket *ticket,
                     struct eg_outcome *outcome,
                     const struct eg_claim_answer *answer,
                     int64_t now_us)
{
  struct entry *entry = find_entry (self, ticket->number);

  if (entry == NULL || entry->state != RUNNING)
    return;
  if (eg_outcome_may_send (outcome))
    {
      eg_outcome_update (outcome, EG_OUTCOME_EVENT_CLOSE);
      entry->state = ISSUED;
      return;
    }
  eg_outcome_update (outcome, EG_OUTCOME_EVENT_CLOSE);
  entry->state = eg_outcome_ran (outcome) == EG_RAN_YES ? FINISHED : IN_DOUBT;
  entry->expires_us = now_us + self->config.keep_us;
  if (entry->state == FINISHED && answer != NULL)
    store_answer (self, entry, answer);
}

/* A ticket that was never redeemed is kept for keep_us after its lifetime, so
 * that a late request can be told that it did not run. */
static bool
is_expired (const struct eg_tickets *self,
            const struct entry *entry,
            int64_t now_us)
{
  if (entry->state == ISSUED)
    return now_us >= entry->expires_us + self->config.keep_us;
  return (entry->state == FINISHED || entry->state == IN_DOUBT)
         && now_us >= entry->expires_us;
}

void
eg_tickets_sweep (struct eg_tickets *self, int64_t now_us)
{
  for (size_t i = 0; i < self->config.entries_max; i++)
    if (is_expired (self, &self->entries[i], now_us))
      remove_entry (self, &self->entries[i]);
}

size_t
eg_tickets_count (const struct eg_tickets *self)
{
  return self->count;
}

size_t
eg_tickets_bytes (const struct eg_tickets *self)
{
  size_t each = sizeof *self->entries + sizeof *self->organisations;
  size_t buckets = (size_t) self->bucket_mask + 1;

  return sizeof *self + self->config.entries_max * each
         + buckets * 2 * sizeof *self->entry_buckets;
}
