#include "policy/claim_quota.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/status.h"
#include "policy/request.h"

/* A lifetime is a sliding window of this many slices; the counts of a slice
 * expire together. */
#define SLICES 24

struct organisation
{
  char name[EG_NAME_BYTES]; /* Empty in a free slot. */
  int64_t slice;            /* The latest slice with a count. */
  uint32_t counts[SLICES];
};

struct eg_claim_quota
{
  struct eg_claim_quota_config config;
  struct organisation *slots; /* Linear probing, at most half full. */
  size_t slot_mask;
  size_t count;
  int64_t slice_us;
};

struct eg_claim_quota *
eg_claim_quota_new (const struct eg_claim_quota_config *config)
{
  struct eg_claim_quota *self = calloc (1, sizeof *self);
  size_t slots = 2;

  if (self == NULL)
    return NULL;
  while (slots < 2 * config->organisations_max)
    slots *= 2;
  self->config = *config;
  self->slot_mask = slots - 1;
  self->slice_us = config->lifetime_us / SLICES + 1;
  self->slots = calloc (slots, sizeof *self->slots);
  if (self->slots != NULL)
    return self;
  free (self);
  return NULL;
}

void
eg_claim_quota_free (struct eg_claim_quota *self)
{
  if (self == NULL)
    return;
  free (self->slots);
  free (self);
}

static struct organisation *
find_slot (const struct eg_claim_quota *self, struct eg_str name)
{
  size_t i = eg_hash_str (name) & self->slot_mask;

  while (self->slots[i].name[0] != '\0'
         && !eg_str_equal (eg_str_from (self->slots[i].name), name))
    i = (i + 1) & self->slot_mask;
  return &self->slots[i];
}

/* Returns whether the counts at @p index belong to the lifetime that ends with
 * @p now_slice. */
static bool
is_in_window (const struct organisation *slot, size_t index, int64_t now_slice)
{
  int64_t age = (slot->slice - (int64_t) index) % SLICES;
  int64_t slice = slot->slice - (age < 0 ? age + SLICES : age);

  return now_slice - slice < SLICES;
}

static uint32_t
count_claims (const struct organisation *slot, int64_t now_slice)
{
  uint32_t total = 0;

  for (size_t i = 0; i < SLICES; i++)
    if (is_in_window (slot, i, now_slice))
      total += slot->counts[i];
  return total;
}

static void
advance_to (struct organisation *slot, int64_t now_slice)
{
  for (size_t i = 0; i < SLICES; i++)
    if (!is_in_window (slot, i, now_slice))
      slot->counts[i] = 0;
  if (now_slice > slot->slice)
    slot->slice = now_slice;
}

static bool
has_room (const struct eg_claim_quota *self,
          const struct organisation *slot,
          struct eg_str name)
{
  return slot->name[0] != '\0'
         || (self->count < self->config.organisations_max && name.len > 0
             && name.len < EG_NAME_BYTES);
}

bool
eg_claim_quota_take (struct eg_claim_quota *self,
                     struct eg_str organisation,
                     int64_t now_us,
                     int64_t *retry_after_us)
{
  struct organisation *slot = find_slot (self, organisation);
  int64_t slice = now_us / self->slice_us;

  *retry_after_us = (slice + 1) * self->slice_us - now_us;
  if (!has_room (self, slot, organisation))
    return false;
  if (slot->name[0] == '\0')
    {
      eg_str_copy (organisation, slot->name, sizeof slot->name);
      self->count++;
    }
  advance_to (slot, slice);
  if (count_claims (slot, slice) >= self->config.claims_max)
    return false;
  slot->counts[slice % SLICES]++;
  return true;
}

void
eg_claim_quota_return (struct eg_claim_quota *self,
                       struct eg_str organisation,
                       int64_t now_us)
{
  struct organisation *slot = find_slot (self, organisation);
  int64_t slice = now_us / self->slice_us;

  if (slot->name[0] == '\0')
    return;
  advance_to (slot, slice);
  for (int64_t i = 0; i < SLICES; i++)
    {
      uint32_t *count = &slot->counts[(slice + SLICES - i) % SLICES];

      if (*count > 0)
        {
          (*count)--;
          return;
        }
    }
}

void
eg_claim_quota_sweep (struct eg_claim_quota *self, int64_t now_us)
{
  struct organisation *old = self->slots;
  struct organisation *slots = calloc (self->slot_mask + 1, sizeof *slots);
  int64_t slice = now_us / self->slice_us;

  if (slots == NULL)
    return;
  self->slots = slots;
  self->count = 0;
  for (size_t i = 0; i <= self->slot_mask; i++)
    {
      if (old[i].name[0] == '\0' || count_claims (&old[i], slice) == 0)
        continue;
      *find_slot (self, eg_str_from (old[i].name)) = old[i];
      self->count++;
    }
  free (old);
}

uint32_t
eg_claim_quota_count (const struct eg_claim_quota *self,
                      struct eg_str organisation,
                      int64_t now_us)
{
  const struct organisation *slot = find_slot (self, organisation);

  return slot->name[0] == '\0' ? 0
                               : count_claims (slot, now_us / self->slice_us);
}
