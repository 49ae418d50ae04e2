#include "policy/claim_quota.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/status.h"
#include "policy/request.h"

#define PARTS 24 /* Of a lifetime; claims are forgotten part by part. */

struct organisation
{
  char name[EG_NAME_BYTES]; /* Empty: a free slot. */
  int64_t part;             /* The latest one counted in. */
  uint32_t counts[PARTS];
};

struct eg_claim_quota
{
  struct eg_claim_quota_config config;
  struct organisation *slots; /* Linear probing, at most half full. */
  size_t slot_mask;
  size_t count;
  int64_t part_us;
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
  self->part_us = config->lifetime_us / PARTS + 1;
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

/* Tells whether @p part lies within the lifetime that ends at @p now_part. */
static bool
is_counted (const struct organisation *slot, size_t index, int64_t now_part)
{
  int64_t back = (slot->part - (int64_t) index) % PARTS;
  int64_t part = slot->part - (back < 0 ? back + PARTS : back);

  return now_part - part < PARTS;
}

static uint32_t
sum (const struct organisation *slot, int64_t now_part)
{
  uint32_t total = 0;

  for (size_t i = 0; i < PARTS; i++)
    if (is_counted (slot, i, now_part))
      total += slot->counts[i];
  return total;
}

static void
move_to (struct organisation *slot, int64_t now_part)
{
  for (size_t i = 0; i < PARTS; i++)
    if (!is_counted (slot, i, now_part))
      slot->counts[i] = 0;
  if (now_part > slot->part)
    slot->part = now_part;
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
  int64_t part = now_us / self->part_us;

  *retry_after_us = (part + 1) * self->part_us - now_us;
  if (!has_room (self, slot, organisation))
    return false;
  if (slot->name[0] == '\0')
    {
      eg_str_copy (organisation, slot->name, sizeof slot->name);
      self->count++;
    }
  move_to (slot, part);
  if (sum (slot, part) >= self->config.claims_max)
    return false;
  slot->counts[part % PARTS]++;
  return true;
}

void
eg_claim_quota_return (struct eg_claim_quota *self,
                       struct eg_str organisation,
                       int64_t now_us)
{
  struct organisation *slot = find_slot (self, organisation);
  int64_t part = now_us / self->part_us;

  if (slot->name[0] == '\0')
    return;
  move_to (slot, part);
  for (int64_t i = 0; i < PARTS; i++)
    {
      uint32_t *count = &slot->counts[(part + PARTS - i) % PARTS];

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
  int64_t part = now_us / self->part_us;

  if (slots == NULL)
    return;
  self->slots = slots;
  self->count = 0;
  for (size_t i = 0; i <= self->slot_mask; i++)
    {
      if (old[i].name[0] == '\0' || sum (&old[i], part) == 0)
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

  return slot->name[0] == '\0' ? 0 : sum (slot, now_us / self->part_us);
}
