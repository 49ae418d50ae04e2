#include "policy/ticket.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define NONE UINT32_MAX
#define HEX_DIGITS 16

enum entry_state
{
  FREE,
  GIVEN,
  RUNNING,
  FINISHED,
  IN_DOUBT,
};

struct entry
{
  struct eg_ticket_number number;
  uint64_t fingerprint; /* Of the first request that brought the ticket. */
  int64_t expires_us;
  struct eg_buffer answer; /* Content type, then body. */
  uint32_t type_len;
  uint32_t next; /* In the bucket, or in the free list. */
  uint32_t organisation;
  int16_t status;
  uint8_t state;
  bool bound; /* Whether fingerprint is set. */
  bool kept;  /* Whether the answer is. */
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
      uint32_t next = i + 1 < max ? (uint32_t) i + 1 : NONE;

      self->entries[i].next = next;
      self->organisations[i].next = next;
    }
  for (size_t i = 0; i <= self->bucket_mask; i++)
    {
      self->entry_buckets[i] = NONE;
      self->organisation_buckets[i] = NONE;
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

  EG_INVARIANT (max > 0 && max < NONE / 2);
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
  for (uint32_t i = *entry_bucket (self, number); i != NONE;
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

  while (i != NONE
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
drop_organisation (struct eg_tickets *self, uint32_t index)
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
drop_entry (struct eg_tickets *self, struct entry *entry)
{
  uint32_t index = (uint32_t) (entry - self->entries);
  uint32_t *link = entry_bucket (self, entry->number);

  while (*link != index)
    link = &self->entries[*link].next;
  *link = entry->next;
  self->organisations[entry->organisation].tickets--;
  if (self->organisations[entry->organisation].tickets == 0)
    drop_organisation (self, entry->organisation);
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
  if (index == NONE || find_entry (self, number) != NULL)
    return EG_FULL;
  if (owner != NONE
      && self->organisations[owner].tickets >= self->config.organisation_max)
    return EG_FULL;
  if (owner == NONE)
    owner = add_organisation (self, organisation);
  self->organisations[owner].tickets++;
  self->free_entry = self->entries[index].next;
  self->entries[index] = (struct entry){
      .number = number,
      .expires_us = now_us + self->config.lifetime_us,
      .next = *bucket,
      .organisation = owner,
      .state = GIVEN,
  };
  *bucket = index;
  self->count++;
  snprintf (text, EG_TICKET_TEXT_BYTES,
            "%s-%016" PRIx64 "-%016" PRIx64 "%016" PRIx64, self->config.address,
            self->config.incarnation, number.high, number.low);
  return EG_OK;
}

static void
refuse (struct eg_ticket_result *verdict,
        enum eg_refusal refusal,
        const struct eg_outcome *outcome,
        int64_t retry_after_us)
{
  verdict->decision = EG_TICKET_REFUSE;
  verdict->refusal = refusal;
  verdict->ran = eg_outcome_ran (outcome);
  verdict->retry_after_us = retry_after_us;
}

/* Our address with another incarnation is an earlier process here, whatever a
   list of VMs says: forwarding would come back to us. */
static enum eg_ticket_issuer_state
find_home (const struct eg_tickets_config *config,
           const struct eg_ticket *ticket)
{
  struct eg_str address = eg_str_from (ticket->address);

  if (eg_str_equal (address, eg_str_from (config->address)))
    return EG_TICKET_ISSUER_GONE;
  return config->issuer_state (config->issuer_state_context, address,
                               ticket->incarnation);
}

static void
use_elsewhere (const struct eg_tickets *self,
               const struct eg_outcome *outcome,
               struct eg_ticket_result *verdict)
{
  const struct eg_tickets_config *config = &self->config;
  enum eg_ticket_issuer_state home = find_home (config, &verdict->ticket);

  if (home == EG_TICKET_ISSUER_LIVE)
    verdict->decision = EG_TICKET_FORWARD;
  else
    refuse (verdict, EG_REFUSAL_CLAIM_CONFLICT, outcome,
            home == EG_TICKET_ISSUER_GONE ? 0 : config->retry_after_us);
}

static void
use_ended (const struct entry *entry,
           struct eg_outcome *outcome,
           struct eg_ticket_result *verdict)
{
  bool ran = entry->state == FINISHED;

  eg_outcome_update (outcome, ran ? EG_OUTCOME_EVENT_RAN_ELSEWHERE
                                  : EG_OUTCOME_EVENT_CLAIMED_ELSEWHERE);
  if (!ran || !entry->kept)
    {
      refuse (verdict, EG_REFUSAL_CLAIM_CONFLICT, outcome, 0);
      return;
    }
  verdict->decision = EG_TICKET_ANSWER;
  verdict->answer = (struct eg_claim_answer){
      .kept = true,
      .status = entry->status,
      .content_type = {entry->answer.data, entry->type_len},
      .body = {entry->answer.data ? entry->answer.data + entry->type_len : NULL,
               entry->answer.len - entry->type_len},
  };
}

static void
use_given (struct entry *entry,
           uint64_t fingerprint,
           int64_t now_us,
           struct eg_outcome *outcome,
           struct eg_ticket_result *verdict)
{
  eg_outcome_update (outcome, EG_OUTCOME_EVENT_CLAIMED);
  if (now_us >= entry->expires_us)
    {
      refuse (verdict, EG_REFUSAL_CLAIM_CONFLICT, outcome, 0);
      eg_outcome_update (outcome, EG_OUTCOME_EVENT_CLOSE);
      return;
    }
  entry->state = RUNNING;
  entry->fingerprint = fingerprint;
  entry->bound = true;
  verdict->decision = EG_TICKET_RUN;
}

static void
use_here (struct eg_tickets *self,
          struct entry *entry,
          uint64_t fingerprint,
          int64_t now_us,
          struct eg_outcome *outcome,
          struct eg_ticket_result *verdict)
{
  if (entry->bound && entry->fingerprint != fingerprint)
    {
      eg_outcome_update (outcome, EG_OUTCOME_EVENT_BODY_MISMATCH);
      refuse (verdict, EG_REFUSAL_KEY_REUSED, outcome, 0);
    }
  else if (entry->state == GIVEN)
    use_given (entry, fingerprint, now_us, outcome, verdict);
  else if (entry->state == RUNNING)
    refuse (verdict, EG_REFUSAL_CLAIM_CONFLICT, outcome,
            self->config.retry_after_us);
  else
    use_ended (entry, outcome, verdict);
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
                   struct eg_ticket_result *verdict)
{
  struct entry *entry;

  *verdict = (struct eg_ticket_result){0};
  if (!eg_ticket_parse (&verdict->ticket, text))
    {
      eg_outcome_update (outcome, EG_OUTCOME_EVENT_BODY_MISMATCH);
      refuse (verdict, EG_REFUSAL_MALFORMED, outcome, 0);
      return;
    }
  if (verdict->ticket.incarnation != self->config.incarnation)
    {
      use_elsewhere (self, outcome, verdict);
      return;
    }
  entry = find_entry (self, verdict->ticket.number);
  if (entry == NULL || !belongs_to (self, entry, organisation))
    refuse (verdict, EG_REFUSAL_CLAIM_CONFLICT, outcome, 0);
  else
    use_here (self, entry, fingerprint, now_us, outcome, verdict);
}

static void
keep_answer (struct eg_tickets *self,
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
  entry->kept = true;
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
      entry->state = GIVEN;
      return;
    }
  eg_outcome_update (outcome, EG_OUTCOME_EVENT_CLOSE);
  entry->state = eg_outcome_ran (outcome) == EG_RAN_YES ? FINISHED : IN_DOUBT;
  entry->expires_us = now_us + self->config.keep_us;
  if (entry->state == FINISHED && answer != NULL)
    keep_answer (self, entry, answer);
}

/* A ticket that was never used is kept a while longer, so that its holder can
 * be told that it did not run. */
static bool
is_past (const struct eg_tickets *self,
         const struct entry *entry,
         int64_t now_us)
{
  if (entry->state == GIVEN)
    return now_us >= entry->expires_us + self->config.keep_us;
  return (entry->state == FINISHED || entry->state == IN_DOUBT)
         && now_us >= entry->expires_us;
}

void
eg_tickets_sweep (struct eg_tickets *self, int64_t now_us)
{
  for (size_t i = 0; i < self->config.entries_max; i++)
    if (is_past (self, &self->entries[i], now_us))
      drop_entry (self, &self->entries[i]);
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
