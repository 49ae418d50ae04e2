#include "policy/share.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/map.h"

#define LOANS_MAX 16
#define OPEN_WANTS_MAX 16
/* Weight of the last period in the smoothed demand. */
#define DEMAND_WEIGHT 0.5
/* What a node keeps for itself above its demand, as a part of its demand and
   as a part of its base. */
#define KEEP_DEMAND 1.25
#define KEEP_BASE 0.1
/* Least part of a base that is worth a loan. */
#define LOAN_LEAST 0.05
#define MILLI 1000.0

struct loan
{
  double rate;
  int64_t until_us;
};

/* Loans that have not run out. */
struct loans
{
  struct loan loans[LOANS_MAX];
  size_t count;
};

struct share
{
  char organisation[EG_NAME_BYTES];
  double limit;
  bool set;         /* Since the last eg_shares_remove_unset(). */
  uint64_t arrived; /* Since the last tick. */
  double demand;    /* Smoothed, a second. */
  struct loans lent;
  struct loans borrowed;
};

/* A request for loans that a peer has not answered yet. */
struct open_want
{
  uint64_t lender;
  uint32_t number;
  int64_t asked_us;
};

struct eg_shares
{
  struct eg_map shares;
  double nodes;
  int64_t next_tick_us;
  uint32_t want_number;
  struct open_want wants[OPEN_WANTS_MAX];
  size_t next_want;
};

struct eg_shares *
eg_shares_new (void)
{
  struct eg_shares *self = calloc (1, sizeof *self);

  if (self)
    self->nodes = 1;
  return self;
}

void
eg_shares_free (struct eg_shares *self)
{
  struct share *share;
  size_t cursor = 0;

  if (!self)
    return;
  while ((share = eg_map_next (&self->shares, &cursor)))
    free (share);
  eg_map_finish (&self->shares);
  free (self);
}

void
eg_shares_set_nodes (struct eg_shares *self, size_t named, size_t live)
{
  double least = ceil ((double) named * (1 - EG_SHARE_DEAD_FRACTION_MAX));

  self->nodes = fmax (1, fmax (least, (double) live));
}

static struct share *
find (const struct eg_shares *self, struct eg_str organisation)
{
  return eg_map_get (&self->shares, eg_hash_str (organisation));
}

bool
eg_shares_set_limit (struct eg_shares *self,
                     struct eg_str organisation,
                     double rate_per_s)
{
  struct share *share = find (self, organisation);

  if (rate_per_s <= 0)
    {
      free (eg_map_remove (&self->shares, eg_hash_str (organisation)));
      return true;
    }
  if (!share)
    {
      share = calloc (1, sizeof *share);
      if (!share)
        return false;
      eg_str_copy (organisation, share->organisation,
                   sizeof share->organisation);
      eg_map_put (&self->shares, eg_hash_str (organisation), share);
    }
  share->limit = rate_per_s;
  share->set = true;
  return true;
}

static struct share *
find_unset (const struct eg_shares *self)
{
  struct share *share;
  size_t cursor = 0;

  while ((share = eg_map_next (&self->shares, &cursor)))
    if (!share->set)
      return share;
  return NULL;
}

void
eg_shares_remove_unset (struct eg_shares *self)
{
  struct share *share;
  size_t cursor = 0;

  while ((share = find_unset (self)))
    free (eg_map_remove (&self->shares,
                         eg_hash_str (eg_str_from (share->organisation))));
  while ((share = eg_map_next (&self->shares, &cursor)))
    share->set = false;
}

void
eg_shares_count_request (struct eg_shares *self, struct eg_str organisation)
{
  struct share *share = find (self, organisation);

  if (share)
    share->arrived++;
}

/* Loans. */

static double
sum_of (struct loans *loans, int64_t now_us)
{
  double sum = 0;

  for (size_t i = loans->count; i-- > 0;)
    if (loans->loans[i].until_us <= now_us)
      loans->loans[i] = loans->loans[--loans->count];
    else
      sum += loans->loans[i].rate;
  return sum;
}

static void
add_loan (struct loans *loans, double rate, int64_t until_us)
{
  loans->loans[loans->count++] = (struct loan){rate, until_us};
}

static double
base_of (const struct eg_shares *self, const struct share *share)
{
  return share->limit / self->nodes;
}

static double
rate_of (const struct eg_shares *self, struct share *share, int64_t now_us)
{
  return fmax (0, base_of (self, share) + sum_of (&share->borrowed, now_us)
                      - sum_of (&share->lent, now_us));
}

double
eg_shares_rate (struct eg_shares *self,
                struct eg_str organisation,
                int64_t now_us)
{
  struct share *share = find (self, organisation);

  return share ? rate_of (self, share, now_us) : 0;
}

void
eg_shares_visit (struct eg_shares *self,
                 int64_t now_us,
                 void (*visit) (void *context,
                                struct eg_str organisation,
                                double limit_per_s,
                                double rate_per_s),
                 void *context)
{
  struct share *share;
  size_t cursor = 0;

  while ((share = eg_map_next (&self->shares, &cursor)))
    visit (context, eg_str_from (share->organisation), share->limit,
           rate_of (self, share, now_us));
}

bool
eg_shares_tick (struct eg_shares *self, int64_t now_us)
{
  struct share *share;
  size_t cursor = 0;

  if (now_us < self->next_tick_us)
    return false;
  self->next_tick_us = now_us + EG_SHARE_TICK_US;
  while ((share = eg_map_next (&self->shares, &cursor)))
    {
      double seen =
          (double) share->arrived * EG_US_PER_S / (double) EG_SHARE_TICK_US;

      share->demand += DEMAND_WEIGHT * (seen - share->demand);
      share->arrived = 0;
    }
  return true;
}

/* Borrowing. */

static uint32_t
to_milli (double rate)
{
  double milli = floor (rate * MILLI);

  return milli < UINT32_MAX ? (uint32_t) milli : UINT32_MAX;
}

bool
eg_shares_request (struct eg_shares *self,
                   uint64_t lender,
                   int64_t now_us,
                   struct eg_peer_message *message)
{
  struct share *share;
  size_t cursor = 0;

  *message = (struct eg_peer_message){.kind = EG_PEER_SHARE_REQUEST};
  while (message->count < EG_PEER_SHARES_MAX
         && (share = eg_map_next (&self->shares, &cursor)))
    {
      double missing =
          share->demand * KEEP_DEMAND - rate_of (self, share, now_us);

      if (missing < base_of (self, share) * LOAN_LEAST
          || share->borrowed.count == LOANS_MAX)
        continue;
      message->shares[message->count++] = (struct eg_share_entry){
          eg_hash_str (eg_str_from (share->organisation)), to_milli (missing)};
    }
  if (message->count == 0)
    return false;
  message->request_number = ++self->want_number;
  self->wants[self->next_want++ % OPEN_WANTS_MAX] =
      (struct open_want){lender, message->request_number, now_us};
  return true;
}

bool
eg_shares_lend (struct eg_shares *self,
                const struct eg_peer_message *want,
                int64_t now_us,
                struct eg_peer_message *grant)
{
  *grant = (struct eg_peer_message){.kind = EG_PEER_SHARE_GRANT,
                                    .request_number = want->request_number};
  for (size_t i = 0; i < want->count; i++)
    {
      struct share *share =
          eg_map_get (&self->shares, want->shares[i].organisation);
      double base;
      double spare;
      uint32_t milli;

      if (!share || share->lent.count == LOANS_MAX)
        continue;
      base = base_of (self, share);
      /* What was borrowed may run out before a loan does. */
      spare = base - sum_of (&share->lent, now_us)
              - fmax (share->demand * KEEP_DEMAND, base * KEEP_BASE);
      if (spare < base * LOAN_LEAST)
        continue;
      milli = to_milli (fmin (spare, want->shares[i].rate_milli / MILLI));
      if (milli == 0)
        continue;
      add_loan (&share->lent, milli / MILLI, now_us + EG_SHARE_LEASE_US);
      grant->shares[grant->count++] =
          (struct eg_share_entry){want->shares[i].organisation, milli};
    }
  return grant->count > 0;
}

/* Closes the request that a grant answers; NULL if there is none. */
static const struct open_want *
close_want (struct eg_shares *self, const struct eg_peer_message *grant)
{
  for (size_t i = 0; i < OPEN_WANTS_MAX; i++)
    {
      struct open_want *want = &self->wants[i];

      if (want->lender != grant->from || want->number != grant->request_number)
        continue;
      want->lender = 0;
      return want;
    }
  return NULL;
}

void
eg_shares_borrow (struct eg_shares *self,
                  const struct eg_peer_message *grant,
                  int64_t now_us)
{
  const struct open_want *want = close_want (self, grant);

  if (!want)
    return;
  for (size_t i = 0; i < grant->count; i++)
    {
      struct share *share =
          eg_map_get (&self->shares, grant->shares[i].organisation);
      double rate = grant->shares[i].rate_milli / MILLI;

      if (!share)
        continue;
      sum_of (&share->borrowed, now_us);
      /* The lender counts from when it was asked, which was not earlier. */
      if (share->borrowed.count < LOANS_MAX)
        add_loan (&share->borrowed, rate, want->asked_us + EG_SHARE_LEASE_US);
    }
}
