#include "policy/shedding.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

/* Part of its goal that a request may wait; the rest is for its service. */
#define WAIT_GOAL_FRACTION 0.5
/* A refusal costs a caller that comes back by itself less than one that does
 * not: the response is late rather than missing. */
#define RETURN_COST 0.5
/* Each priority counts this much more than the next one, in ranks. */
#define PRIORITY_STEP 4.0
/* Time constant of the decay of shares. */
#define DECAY_S 30.0
#define DECAY_INTERVAL_US (250 * EG_US_PER_MS)
/* A priority is served at least this fraction as often as the least often
 * served of the more urgent ones. */
#define PRIORITY_FLOOR 0.1
/* The stated floors are 0.5 of the route for a size class and 0.25 of all for
 * an organisation. Requests that are owed service still have to wait for room,
 * so they are put first some way above. */
#define SIZE_FLOOR 0.65
#define ORGANISATION_FLOOR 0.35
/* Multiple of an equal share from which an organisation goes after others. */
#define ORGANISATION_SHARE_MAX 2.0
/* Requests (decayed) by which an organisation counts as active. */
#define ACTIVE_MIN 0.5
/* A group without requests counts as served. */
#define SHARE_PRIOR 0.5
/* A request is refused on arrival if the estimated wait is this multiple of the
 * time that it may wait. The estimate is high: it includes the time between two
 * attempts to send what waits. */
#define LATE_FACTOR 1.5
/* The same for a request that was admitted by that estimate and is refused
 * early, because capacity has shrunk since. */
#define SHRINK_FACTOR 3.0
/* Without a served request for this long the rate says nothing: those that wait
 * may need what others do not. */
#define RATE_VALID_US EG_US_PER_S

static const char *const verdict_names[] = {
    [EG_SHED_WAITS] = "waits",
    [EG_SHED_REPLACES] = "replaces",
    [EG_SHED_LATE] = "late",
    [EG_SHED_FULL] = "full",
};

const char *
eg_shed_verdict_name (enum eg_shed_verdict verdict)
{
  return verdict_names[verdict];
}

double
eg_shed_work (const struct eg_shed_request *request)
{
  double work = request->answer_tokens * (1 - request->answer_done);

  if (!request->prompt_read)
    work += request->prompt_tokens * request->prompt_weight;
  return work > 1 ? work : 1;
}

static unsigned
priority_of (const struct eg_shed_request *request)
{
  return request->priority < EG_SHED_PRIORITIES ? request->priority
                                                : EG_SHED_PRIORITIES - 1;
}

/* Returns whether the caller has time to come back after a refusal. */
static bool
can_return (const struct eg_shed_request *request, int64_t now_us)
{
  return request->deadline_us - now_us > request->return_us;
}

double
eg_shed_rank (const struct eg_shed_request *request, int64_t now_us)
{
  double goal_us = request->goal_us > 0 ? (double) request->goal_us : 1;
  double waited = (double) (now_us - request->arrived_us) / goal_us;
  double cost = pow (PRIORITY_STEP, -(double) priority_of (request));

  if (can_return (request, now_us) && request->idempotent
      && request->repeatable)
    cost *= RETURN_COST;
  if (waited < 0)
    waited = 0;
  return cost * (1 + request->rejections + waited) / eg_shed_work (request);
}

int64_t
eg_shed_latest_us (const struct eg_shed_request *request)
{
  int64_t latest_us =
      request->arrived_us
      + (int64_t) ((double) request->goal_us * WAIT_GOAL_FRACTION);
  int64_t return_us = request->deadline_us - request->return_us;

  if (return_us > request->arrived_us && return_us < latest_us)
    latest_us = return_us;
  return latest_us < request->deadline_us ? latest_us : request->deadline_us;
}

void
eg_wait_queue_init (struct eg_wait_queue *self,
                    struct eg_wait_slot *slots,
                    size_t capacity)
{
  memset (self, 0, sizeof *self);
  self->slots = slots;
  self->capacity = capacity < EG_WAIT_QUEUE_MAX ? capacity : EG_WAIT_QUEUE_MAX;
  eg_service_rate_init (&self->rate);
}

static void
decay_share (struct eg_shed_share *share, double factor)
{
  share->offered *= factor;
  share->served *= factor;
}

static void
decay_route (struct eg_shed_route *route, double factor)
{
  decay_share (&route->all, factor);
  for (size_t i = 0; i < EG_SHED_SIZE_CLASSES; i++)
    decay_share (&route->classes[i], factor);
  for (size_t i = 0; i < EG_SHED_SIZES; i++)
    route->sizes[i] *= factor;
}

static void
decay_organisations (struct eg_wait_queue *self, double factor)
{
  for (size_t i = 0; i < EG_SHED_PRIORITIES; i++)
    self->priorities[i].organisations = 0;
  for (size_t i = 0; i < EG_SHED_ORGANISATIONS; i++)
    {
      struct eg_shed_organisation *of = &self->organisations[i];

      decay_share (&of->share, factor);
      of->work *= factor;
      if (of->share.offered >= ACTIVE_MIN)
        self->priorities[of->priority].organisations++;
    }
}

/* Lets the time pass until @p now_us. */
static void
advance (struct eg_wait_queue *self, int64_t now_us)
{
  int64_t elapsed_us = now_us - self->decayed_us;
  double factor = exp (-(double) elapsed_us / EG_US_PER_S / DECAY_S);

  eg_service_rate_advance (&self->rate, now_us, self->count > 0);
  if (elapsed_us < DECAY_INTERVAL_US)
    return;
  self->decayed_us = now_us;
  for (size_t i = 0; i < EG_SHED_PRIORITIES; i++)
    {
      decay_share (&self->priorities[i].share, factor);
      self->priorities[i].work *= factor;
    }
  for (size_t i = 0; i < self->route_count; i++)
    decay_route (&self->routes[i], factor);
  decay_organisations (self, factor);
}

static struct eg_shed_route *
find_route (struct eg_wait_queue *self, uint64_t route)
{
  for (size_t i = 0; i < self->route_count; i++)
    if (self->routes[i].route == route)
      return &self->routes[i];
  if (self->route_count < EG_SHED_ROUTES_MAX)
    self->routes[self->route_count++].route = route;
  return &self->routes[self->route_count - 1];
}

static struct eg_shed_organisation *
find_organisation (struct eg_wait_queue *self,
                   const struct eg_shed_request *request)
{
  uint64_t hash = eg_hash_mix (request->organisation + priority_of (request));

  return &self->organisations[hash & (EG_SHED_ORGANISATIONS - 1)];
}

static size_t
size_index (const struct eg_shed_request *request)
{
  double index = 2 * log2 (eg_shed_work (request));

  return index < EG_SHED_SIZES - 1 ? (size_t) index : EG_SHED_SIZES - 1;
}

/* Requests of the same half-octave of work are of the same class: that of the
 * one in their middle. */
static enum eg_shed_size
find_size_class (const struct eg_shed_route *route,
                 const struct eg_shed_request *request)
{
  size_t index = size_index (request);
  double larger = route->sizes[index] / 2;
  double all = 0;

  for (size_t i = 0; i < EG_SHED_SIZES; i++)
    {
      all += route->sizes[i];
      if (i > index)
        larger += route->sizes[i];
    }
  if (larger <= 0.1 * all)
    return EG_SHED_LARGEST;
  return larger <= 0.3 * all ? EG_SHED_LARGE : EG_SHED_ORDINARY;
}

/* Counts a request in all groups that it belongs to. */
static void
count_offered (struct eg_wait_queue *self,
               const struct eg_shed_request *request)
{
  struct eg_shed_route *route = find_route (self, request->route);
  struct eg_shed_organisation *of = find_organisation (self, request);
  struct eg_shed_priority *priority = &self->priorities[priority_of (request)];

  route->sizes[size_index (request)]++;
  route->all.offered++;
  route->classes[find_size_class (route, request)].offered++;
  if (of->share.offered < ACTIVE_MIN)
    priority->organisations++;
  of->priority = priority_of (request);
  of->share.offered++;
  priority->share.offered++;
}

static double
share_ratio (const struct eg_shed_share *share)
{
  return (share->served + SHARE_PRIOR) / (share->offered + SHARE_PRIOR);
}

/* Returns whether a priority is served too seldom, compared with the more
 * urgent ones. */
static bool
is_priority_owed (const struct eg_wait_queue *self, unsigned priority)
{
  double least = 1;
  bool others = false;

  for (unsigned i = 0; i < priority; i++)
    if (self->priorities[i].share.offered >= ACTIVE_MIN)
      {
        double ratio = share_ratio (&self->priorities[i].share);

        others = true;
        if (ratio < least)
          least = ratio;
      }
  return others
         && share_ratio (&self->priorities[priority].share)
                < PRIORITY_FLOOR * least;
}

/* Returns whether the size class or the organisation of a request is served too
 * seldom, compared with its route or its priority. */
static bool
is_group_owed (struct eg_wait_queue *self,
               const struct eg_shed_request *request)
{
  const struct eg_shed_route *route = find_route (self, request->route);
  const struct eg_shed_share *of_size =
      &route->classes[find_size_class (route, request)];
  const struct eg_shed_organisation *of = find_organisation (self, request);
  const struct eg_shed_priority *priority =
      &self->priorities[priority_of (request)];

  return share_ratio (of_size) < SIZE_FLOOR * share_ratio (&route->all)
         || share_ratio (&of->share)
                < ORGANISATION_FLOOR * share_ratio (&priority->share);
}

static bool
is_over_share (struct eg_wait_queue *self,
               const struct eg_shed_request *request)
{
  const struct eg_shed_priority *priority =
      &self->priorities[priority_of (request)];

  return priority->organisations > 1
         && find_organisation (self, request)->work
                    * (double) priority->organisations
                > ORGANISATION_SHARE_MAX * priority->work;
}

static struct eg_shed_place
find_place (struct eg_wait_queue *self,
            const struct eg_shed_request *request,
            uint64_t sequence,
            int64_t now_us)
{
  unsigned priority = priority_of (request);

  return (struct eg_shed_place){
      .tier = !is_priority_owed (self, priority),
      .priority = priority,
      .turn = is_group_owed (self, request)   ? 0
              : is_over_share (self, request) ? 2
                                              : 1,
      .rank = eg_shed_rank (request, now_us),
      .sequence = sequence,
  };
}

static bool
goes_before (const struct eg_shed_place *a, const struct eg_shed_place *b)
{
  if (a->tier != b->tier)
    return a->tier < b->tier;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  if (a->turn != b->turn)
    return a->turn < b->turn;
  if (a->rank != b->rank)
    return a->rank > b->rank;
  return a->sequence < b->sequence;
}

static void
update_places (struct eg_wait_queue *self, int64_t now_us)
{
  for (size_t i = 0; i < self->count; i++)
    {
      struct eg_wait_slot *slot = &self->slots[i];

      slot->place = find_place (self, &slot->request, slot->sequence, now_us);
    }
}

/* Returns how long a request has to wait by the present order and rate; 0 while
 * no rate is known. */
static double
estimate_wait_us (const struct eg_wait_queue *self,
                  const struct eg_shed_place *place,
                  int64_t now_us)
{
  double rate = eg_service_rate_get (&self->rate);
  double ahead = 0;

  if (rate <= 0 || now_us - self->served_us > RATE_VALID_US)
    return 0;
  for (size_t i = 0; i < self->count; i++)
    if (!self->slots[i].request.passed
        && goes_before (&self->slots[i].place, place))
      ahead += eg_shed_work (&self->slots[i].request);
  return ahead / rate * EG_US_PER_S;
}

static void
remove_slot (struct eg_wait_queue *self,
             size_t index,
             struct eg_shed_request *removed)
{
  if (removed)
    *removed = self->slots[index].request;
  self->slots[index] = self->slots[--self->count];
}

static void
add_slot (struct eg_wait_queue *self,
          const struct eg_shed_request *request,
          int64_t tried_us,
          int64_t next_us)
{
  self->slots[self->count++] = (struct eg_wait_slot){
      .request = *request,
      .latest_us = eg_shed_latest_us (request),
      .next_us = next_us,
      .tried_us = tried_us,
      .sequence = self->sequence++,
  };
}

static size_t
find_last (const struct eg_wait_queue *self)
{
  size_t last = 0;

  for (size_t i = 1; i < self->count; i++)
    if (goes_before (&self->slots[last].place, &self->slots[i].place))
      last = i;
  return last;
}

enum eg_shed_verdict
eg_wait_queue_offer (struct eg_wait_queue *self,
                     const struct eg_shed_request *request,
                     int64_t now_us,
                     struct eg_shed_request *victim)
{
  enum eg_shed_verdict verdict = EG_SHED_WAITS;
  struct eg_shed_place place;
  int64_t left_us = eg_shed_latest_us (request) - now_us;

  advance (self, now_us);
  count_offered (self, request);
  if (left_us <= 0)
    return EG_SHED_LATE;
  update_places (self, now_us);
  place = find_place (self, request, self->sequence, now_us);
  if (estimate_wait_us (self, &place, now_us) > LATE_FACTOR * (double) left_us)
    return EG_SHED_LATE;
  if (self->count >= self->capacity)
    {
      size_t last = find_last (self);

      if (self->capacity == 0
          || !goes_before (&place, &self->slots[last].place))
        return EG_SHED_FULL;
      remove_slot (self, last, victim);
      verdict = EG_SHED_REPLACES;
    }
  add_slot (self, request, 0, now_us);
  return verdict;
}

size_t
eg_wait_queue_count_ahead (struct eg_wait_queue *self,
                           const struct eg_shed_request *request,
                           int64_t now_us)
{
  struct eg_shed_place place;
  size_t count = 0;

  if (self->count == 0)
    return 0;
  advance (self, now_us);
  update_places (self, now_us);
  place = find_place (self, request, self->sequence, now_us);
  for (size_t i = 0; i < self->count; i++)
    count += !self->slots[i].request.passed
             && goes_before (&self->slots[i].place, &place);
  return count;
}

bool
eg_wait_queue_goes_first (struct eg_wait_queue *self,
                          const struct eg_shed_request *request,
                          int64_t now_us)
{
  return eg_wait_queue_count_ahead (self, request, now_us) == 0;
}

/* Returns the first request that holds up others; SIZE_MAX: none. */
static size_t
find_first (const struct eg_wait_queue *self)
{
  size_t first = SIZE_MAX;

  for (size_t i = 0; i < self->count; i++)
    if (!self->slots[i].request.passed
        && (first == SIZE_MAX
            || goes_before (&self->slots[i].place, &self->slots[first].place)))
      first = i;
  return first;
}

static bool
is_due (const struct eg_wait_slot *slot, bool is_first, int64_t now_us)
{
  return slot->next_us <= now_us || (is_first && slot->tried_us < now_us);
}

bool
eg_wait_queue_take (struct eg_wait_queue *self,
                    int64_t now_us,
                    struct eg_shed_request *taken)
{
  size_t next = SIZE_MAX;
  size_t first;

  advance (self, now_us);
  update_places (self, now_us);
  first = find_first (self);
  for (size_t i = 0; i < self->count; i++)
    if (is_due (&self->slots[i], i == first, now_us)
        && (next == SIZE_MAX
            || goes_before (&self->slots[i].place, &self->slots[next].place)))
      next = i;
  if (next == SIZE_MAX)
    return false;
  remove_slot (self, next, taken);
  return true;
}

bool
eg_wait_queue_put_back (struct eg_wait_queue *self,
                        const struct eg_shed_request *request,
                        int64_t now_us,
                        int64_t next_us)
{
  if (self->count >= self->capacity)
    return false;
  add_slot (self, request, now_us, next_us);
  return true;
}

bool
eg_wait_queue_remove (struct eg_wait_queue *self, uint64_t id, int64_t now_us)
{
  advance (self, now_us);
  for (size_t i = 0; i < self->count; i++)
    if (self->slots[i].request.id == id)
      {
        remove_slot (self, i, NULL);
        return true;
      }
  return false;
}

static bool
is_expired (const struct eg_wait_queue *self,
            const struct eg_wait_slot *slot,
            int64_t now_us)
{
  int64_t left_us = slot->latest_us - now_us;

  return left_us <= 0
         || (can_return (&slot->request, now_us)
             && estimate_wait_us (self, &slot->place, now_us)
                    > SHRINK_FACTOR * (double) left_us);
}

bool
eg_wait_queue_take_expired (struct eg_wait_queue *self,
                            int64_t now_us,
                            struct eg_shed_request *expired)
{
  advance (self, now_us);
  update_places (self, now_us);
  for (size_t i = 0; i < self->count; i++)
    if (is_expired (self, &self->slots[i], now_us))
      {
        remove_slot (self, i, expired);
        return true;
      }
  return false;
}

/* Counts work that was served while requests waited. */
static void
note_rate (struct eg_wait_queue *self,
           const struct eg_shed_request *request,
           int64_t now_us)
{
  struct eg_shed_place place =
      find_place (self, request, self->sequence, now_us);

  eg_service_rate_add (&self->rate, (uint64_t) eg_shed_work (request));
  self->served_us = now_us;
  update_places (self, now_us);
  for (size_t i = 0; i < self->count; i++)
    if (goes_before (&self->slots[i].place, &place))
      self->slots[i].request.passed = true;
}

void
eg_wait_queue_served (struct eg_wait_queue *self,
                      const struct eg_shed_request *request,
                      bool waited,
                      int64_t now_us)
{
  double work = eg_shed_work (request);
  struct eg_shed_route *route;
  struct eg_shed_organisation *of;
  struct eg_shed_priority *priority;

  advance (self, now_us);
  if (!waited)
    count_offered (self, request);
  if (waited || self->count > 0)
    note_rate (self, request, now_us);
  route = find_route (self, request->route);
  route->all.served++;
  route->classes[find_size_class (route, request)].served++;
  of = find_organisation (self, request);
  of->share.served++;
  of->work += work;
  priority = &self->priorities[priority_of (request)];
  priority->share.served++;
  priority->work += work;
}

int64_t
eg_wait_queue_retry_after_us (struct eg_wait_queue *self,
                              const struct eg_shed_request *request,
                              int64_t now_us)
{
  double rate;
  double work = 0;
  int64_t left_us = request->deadline_us - now_us;
  int64_t wait_us = 0;

  advance (self, now_us);
  rate = eg_service_rate_get (&self->rate);
  for (size_t i = 0; i < self->count; i++)
    work += eg_shed_work (&self->slots[i].request);
  /* An estimate may exceed any time a caller has. */
  if (rate > 0)
    wait_us = work / rate * EG_US_PER_S < (double) left_us / 2
                  ? (int64_t) (work / rate * EG_US_PER_S)
                  : left_us / 2;
  return wait_us > request->return_us ? wait_us : request->return_us;
}
