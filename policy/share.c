#include "policy/share.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/map.h"

#define LOANS_MAX 16
#define PENDING_REQUESTS_MAX 16
/* Weight of the last period in the moving average of the demand. */
#define DEMAND_SMOOTHING 0.5
/* Multiple of its demand that an entry VM aims at, borrowing or lending. */
#define RESERVE_DEMAND_FACTOR 1.25
/* A lender keeps at least this fraction of its base rate. */
#define RESERVE_BASE_FRACTION 0.1
/* Smaller loans, as a fraction of the base rate, are not worth a message. */
#define LOAN_MIN_FRACTION 0.05
#define MILLI_PER_UNIT 1000.0

struct loan
{
  double rate; /* In 1/s. */
  int64_t until_us;
};

/* Loans; expired ones are removed by sum_loans(). */
struct loans
{
  struct loan loans[LOANS_MAX];
  size_t count;
};

struct share
{
  char organisation[EG_NAME_BYTES];
  double limit;      /* Over all entry VMs, in 1/s. */
  bool set;          /* Since the last eg_shares_remove_unset(). */
  uint64_t requests; /* Since the last tick. */
  double demand;     /* Moving average, in 1/s. */
  struct loans lent;
  struct loans borrowed;
};

/* A request for loans that is not answered yet. */
struct pending_request
{
  uint64_t lender;
  uint32_t number;
  int64_t sent_us;
};

struct eg_shares
{
  struct eg_map shares;
  double nodes;
  int64_t next_tick_us;
  uint32_t last_request;
  struct pending_request pending[PENDING_REQUESTS_MAX];
  size_t next_pending;
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
eg_shares_set_nodes (struct eg_shares *self, size_t listed, size_t live)
{
  double min_nodes = ceil ((double) listed * (1 - EG_SHARE_DEAD_FRACTION_MAX));

  self->nodes = fmax (1, fmax (min_nodes, (double) live));
}

static struct share *
find_share (const struct eg_shares *self, struct eg_str organisation)
{
  return eg_map_get (&self->shares, eg_hash_str (organisation));
}

bool
eg_shares_set_limit (struct eg_shares *self,
                     struct eg_str organisation,
                     double rate_per_s)
{
  struct share *share = find_share (self, organisation);

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
  struct share *share = find_share (self, organisation);

  if (share)
    share->requests++;
}

/* Loans. */

/* Removes expired loans and returns the sum of the others, in 1/s. */
static double
sum_loans (struct loans *loans, int64_t now_us)
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
base_rate (const struct eg_shares *self, const struct share *share)
{
  return share->limit / self->nodes;
}

static double
current_rate (const struct eg_shares *self, struct share *share, int64_t now_us)
{
  return fmax (0, base_rate (self, share) + sum_loans (&share->borrowed, now_us)
                      - sum_loans (&share->lent, now_us));
}

double
eg_shares_rate (struct eg_shares *self,
                struct eg_str organisation,
                int64_t now_us)
{
  struct share *share = find_share (self, organisation);

  return share ? current_rate (self, share, now_us) : 0;
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
           current_rate (self, share, now_us));
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
      double rate =
          (double) share->requests * EG_US_PER_S / (double) EG_SHARE_TICK_US;

      share->demand += DEMAND_SMOOTHING * (rate - share->demand);
      share->requests = 0;
    }
  return true;
}

/* Borrowing. */

static uint32_t
to_milli (double rate)
{
  double milli = floor (rate * MILLI_PER_UNIT);

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
      double missing = share->demand * RESERVE_DEMAND_FACTOR
                       - current_rate (self, share, now_us);

      if (missing < base_rate (self, share) * LOAN_MIN_FRACTION
          || share->borrowed.count == LOANS_MAX)
        continue;
      message->shares[message->count++] = (struct eg_share_entry){
          eg_hash_str (eg_str_from (share->organisation)), to_milli (missing)};
    }
  if (message->count == 0)
    return false;
  message->request_number = ++self->last_request;
  self->pending[self->next_pending++ % PENDING_REQUESTS_MAX] =
      (struct pending_request){lender, message->request_number, now_us};
  return true;
}

bool
eg_shares_lend (struct eg_shares *self,
                const struct eg_peer_message *request,
                int64_t now_us,
                struct eg_peer_message *grant)
{
  *grant = (struct eg_peer_message){.kind = EG_PEER_SHARE_GRANT,
                                    .request_number = request->request_number};
  for (size_t i = 0; i < request->count; i++)
    {
      struct share *share =
          eg_map_get (&self->shares, request->shares[i].organisation);
      double base;
      double spare;
      uint32_t milli;

      if (!share || share->lent.count == LOANS_MAX)
        continue;
      base = base_rate (self, share);
      /* Borrowed rate is not lent: it may expire before the new loan does. */
      spare = base - sum_loans (&share->lent, now_us)
              - fmax (share->demand * RESERVE_DEMAND_FACTOR,
                      base * RESERVE_BASE_FRACTION);
      if (spare < base * LOAN_MIN_FRACTION)
        continue;
      milli = to_milli (
          fmin (spare, request->shares[i].rate_milli / MILLI_PER_UNIT));
      if (milli == 0)
        continue;
      add_loan (&share->lent, milli / MILLI_PER_UNIT,
                now_us + EG_SHARE_LEASE_US);
      grant->shares[grant->count++] =
          (struct eg_share_entry){request->shares[i].organisation, milli};
    }
  return grant->count > 0;
}

/* Closes and returns the pending request that a grant answers, or NULL. */
static const struct pending_request *
close_request (struct eg_shares *self, const struct eg_peer_message *grant)
{
  for (size_t i = 0; i < PENDING_REQUESTS_MAX; i++)
    {
      struct pending_request *request = &self->pending[i];

      if (request->lender != grant->from
          || request->number != grant->request_number)
        continue;
      request->lender = 0;
      return request;
    }
  return NULL;
}

void
eg_shares_borrow (struct eg_shares *self,
                  const struct eg_peer_message *grant,
                  int64_t now_us)
{
  const struct pending_request *request = close_request (self, grant);

  if (!request)
    return;
  for (size_t i = 0; i < grant->count; i++)
    {
      struct share *share =
          eg_map_get (&self->shares, grant->shares[i].organisation);
      double rate = grant->shares[i].rate_milli / MILLI_PER_UNIT;

      if (!share)
        continue;
      sum_loans (&share->borrowed, now_us);
      /* The lender counts from the arrival of the request, which is later. */
      if (share->borrowed.count < LOANS_MAX)
        add_loan (&share->borrowed, rate, request->sent_us + EG_SHARE_LEASE_US);
    }
}
