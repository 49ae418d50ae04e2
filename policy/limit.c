#include "policy/limit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/hash_table.h"
#include "base/status.h"

/* Smaller tables are not worth sweeping. */
#define SWEEP_COUNT_MIN 64

/* The state of one organisation. */
struct entry
{
  struct eg_hash_node node;
  struct eg_limit_rule rule;
  bool has_own_rule;  /* Has its own rule, not the default. */
  double level;       /* Requests that the bucket holds; infinite when new. */
  double refill_rate; /* Lowest rate since @c refilled_us; infinite if
                         unchanged. */
  int64_t refilled_us;
  uint32_t in_flight;
  size_t name_len;
  char name[];
};

struct eg_limits
{
  struct eg_hash_table entries;
  struct eg_limit_rule default_rule;
  size_t sweep_at; /* Adding an entry at this count triggers a sweep. */
};

struct eg_limits *
eg_limits_new (const struct eg_limit_rule *default_rule)
{
  struct eg_limits *self = calloc (1, sizeof *self);

  if (!self)
    return NULL;
  if (!eg_hash_table_init (&self->entries))
    {
      free (self);
      return NULL;
    }
  self->default_rule = *default_rule;
  self->sweep_at = SWEEP_COUNT_MIN;
  return self;
}

static bool
free_entry (struct eg_hash_node *node, void *context)
{
  (void) context;
  free (node);
  return true;
}

void
eg_limits_free (struct eg_limits *self)
{
  if (!self)
    return;
  eg_hash_table_filter (&self->entries, free_entry, NULL);
  eg_hash_table_finish (&self->entries);
  free (self);
}

static struct entry *
find_entry (const struct eg_limits *self, struct eg_str organisation)
{
  struct eg_hash_node *node =
      eg_hash_table_find (&self->entries, eg_hash_str (organisation));

  for (; node; node = eg_hash_node_next (node))
    {
      struct entry *entry = (struct entry *) node;
      struct eg_str name = {entry->name, entry->name_len};

      if (eg_str_equal (name, organisation))
        return entry;
    }
  return NULL;
}

static bool
is_rate_limited (const struct entry *entry)
{
  return entry->rule.rate_per_s > 0;
}

/* A bucket with a capacity below one request could never admit any. */
static double
effective_burst (const struct entry *entry)
{
  return fmax (entry->rule.burst, 1);
}

static struct entry *
add_entry (struct eg_limits *self, struct eg_str organisation)
{
  struct entry *entry = calloc (1, sizeof *entry + organisation.len);

  if (!entry)
    return NULL;
  entry->rule = self->default_rule;
  entry->refill_rate = INFINITY;
  entry->level = INFINITY;
  entry->name_len = organisation.len;
  if (organisation.len)
    memcpy (entry->name, organisation.data, organisation.len);
  eg_hash_table_insert (&self->entries, &entry->node,
                        eg_hash_str (organisation));
  return entry;
}

/* A change of rule carries no timestamp, so the time since the last refill is
   counted at the lowest of the rates: too many requests are never admitted. */
static void
change_rule (struct entry *entry, const struct eg_limit_rule *rule)
{
  if (is_rate_limited (entry))
    entry->refill_rate = fmin (entry->refill_rate, entry->rule.rate_per_s);
  entry->rule = *rule;
}

bool
eg_limits_set (struct eg_limits *self,
               struct eg_str organisation,
               const struct eg_limit_rule *rule)
{
  struct entry *entry = find_entry (self, organisation);

  if (!entry)
    entry = add_entry (self, organisation);
  if (!entry)
    return false;
  change_rule (entry, rule);
  entry->has_own_rule = true;
  return true;
}

static bool
apply_default (struct eg_hash_node *node, void *context)
{
  struct entry *entry = (struct entry *) node;

  if (!entry->has_own_rule)
    change_rule (entry, context);
  return false;
}

void
eg_limits_set_default (struct eg_limits *self, const struct eg_limit_rule *rule)
{
  self->default_rule = *rule;
  eg_hash_table_filter (&self->entries, apply_default, &self->default_rule);
}

void
eg_limits_clear (struct eg_limits *self, struct eg_str organisation)
{
  struct entry *entry = find_entry (self, organisation);

  if (!entry)
    return;
  change_rule (entry, &self->default_rule);
  entry->has_own_rule = false;
}

static void
refill (struct entry *entry, int64_t now_us)
{
  double elapsed_s = (double) (now_us - entry->refilled_us) / EG_US_PER_S;
  double rate = fmin (entry->refill_rate, entry->rule.rate_per_s);

  if (!is_rate_limited (entry))
    entry->level = INFINITY;
  else if (elapsed_s > 0)
    entry->level += elapsed_s * rate;
  entry->level = fmin (entry->level, effective_burst (entry));
  entry->refill_rate = INFINITY;
  if (now_us > entry->refilled_us)
    entry->refilled_us = now_us;
}

/* Rounded up, so that the bucket holds a whole request by then. */
static int64_t
time_to_next_us (const struct entry *entry)
{
  double wait_s = (1 - entry->level) / entry->rule.rate_per_s;

  return (int64_t) ceil (wait_s * EG_US_PER_S);
}

static struct entry *
find_or_add (struct eg_limits *self, struct eg_str organisation, int64_t now_us)
{
  struct entry *entry = find_entry (self, organisation);

  if (entry)
    return entry;
  if (self->entries.count >= self->sweep_at)
    eg_limits_sweep (self, now_us);
  return add_entry (self, organisation);
}

enum eg_refusal
eg_limits_acquire (struct eg_limits *self,
                   struct eg_str organisation,
                   int64_t now_us,
                   int64_t *retry_after_us)
{
  struct entry *entry = find_or_add (self, organisation, now_us);

  *retry_after_us = 0;
  if (!entry)
    return EG_REFUSAL_NO_CAPACITY;
  refill (entry, now_us);
  if (entry->rule.in_flight_max
      && entry->in_flight >= entry->rule.in_flight_max)
    return EG_REFUSAL_IN_FLIGHT_LIMIT;
  if (is_rate_limited (entry) && entry->level < 1)
    {
      *retry_after_us = time_to_next_us (entry);
      return EG_REFUSAL_RATE_LIMIT;
    }
  if (is_rate_limited (entry))
    entry->level -= 1;
  entry->in_flight++;
  return EG_REFUSAL_NONE;
}

void
eg_limits_release (struct eg_limits *self, struct eg_str organisation)
{
  struct entry *entry = find_entry (self, organisation);

  EG_INVARIANT (entry && entry->in_flight > 0);
  entry->in_flight--;
}

/* Frees an entry with a full bucket and nothing in flight, since it does not
   differ from a new one. */
static bool
free_if_idle (struct eg_hash_node *node, void *context)
{
  struct entry *entry = (struct entry *) node;
  const int64_t *now_us = context;

  if (entry->has_own_rule || entry->in_flight)
    return false;
  refill (entry, *now_us);
  if (is_rate_limited (entry) && entry->level < effective_burst (entry))
    return false;
  free (entry);
  return true;
}

void
eg_limits_sweep (struct eg_limits *self, int64_t now_us)
{
  eg_hash_table_filter (&self->entries, free_if_idle, &now_us);
  self->sweep_at = self->entries.count * 2;
  if (self->sweep_at < SWEEP_COUNT_MIN)
    self->sweep_at = SWEEP_COUNT_MIN;
}

size_t
eg_limits_count (const struct eg_limits *self)
{
  return self->entries.count;
}
