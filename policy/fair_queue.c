#include "policy/fair_queue.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/status.h"

bool
eg_fair_queue_init (struct eg_fair_queue *self, uint64_t quantum)
{
  *self = (struct eg_fair_queue){0};
  self->quantum = quantum ? quantum : 1;
  eg_heap_init (&self->heap);
  return eg_hash_table_init (&self->organisations);
}

void
eg_fair_queue_finish (struct eg_fair_queue *self)
{
  EG_INVARIANT (self->count == 0);
  eg_hash_table_finish (&self->organisations);
  eg_heap_finish (&self->heap);
}

static struct eg_str
organisation_name (const struct eg_fair_organisation *organisation)
{
  return (struct eg_str){organisation->name, organisation->name_len};
}

static struct eg_fair_organisation *
organisation_from_node (struct eg_heap_node *node)
{
  return EG_CONTAINER_OF (node, struct eg_fair_organisation, heap_node);
}

static struct eg_fair_request *
first_request (const struct eg_fair_organisation *organisation)
{
  return EG_CONTAINER_OF (organisation->requests.next, struct eg_fair_request,
                          link);
}

/* Returns the first round in which the deficit covers the first request. */
static int64_t
next_round (const struct eg_fair_queue *self,
            const struct eg_fair_organisation *organisation)
{
  uint64_t cost = first_request (organisation)->cost;
  uint64_t missing =
      cost > organisation->deficit ? cost - organisation->deficit : 0;
  uint64_t rounds = missing / self->quantum + (missing % self->quantum != 0);
  int64_t round = organisation->credited_round + (int64_t) rounds;

  return round > self->round ? round : self->round;
}

/* Credits the quantum of each round up to the current one. */
static void
credit_rounds (struct eg_fair_queue *self,
               struct eg_fair_organisation *organisation)
{
  if (organisation->credited_round >= self->round)
    return;
  organisation->deficit +=
      (uint64_t) (self->round - organisation->credited_round) * self->quantum;
  organisation->credited_round = self->round;
}

static void
schedule (struct eg_fair_queue *self, struct eg_fair_organisation *organisation)
{
  organisation->heap_node.key = next_round (self, organisation);
  eg_heap_update (&self->heap, &organisation->heap_node);
}

void
eg_fair_queue_set_quantum (struct eg_fair_queue *self, uint64_t quantum)
{
  if (quantum < 1)
    quantum = 1;
  if (quantum == self->quantum)
    return;
  for (size_t i = 0; i < self->heap.count; i++)
    {
      struct eg_fair_organisation *organisation =
          organisation_from_node (self->heap.nodes[i]);

      /* The current round is credited later, with the new quantum. */
      if (organisation->credited_round < self->round - 1)
        {
          organisation->deficit +=
              (uint64_t) (self->round - 1 - organisation->credited_round)
              * self->quantum;
          organisation->credited_round = self->round - 1;
        }
    }
  self->quantum = quantum;
  for (size_t i = 0; i < self->heap.count; i++)
    organisation_from_node (self->heap.nodes[i])->heap_node.key =
        next_round (self, organisation_from_node (self->heap.nodes[i]));
  eg_heap_rebuild (&self->heap);
}

struct eg_fair_organisation *
eg_fair_queue_find (const struct eg_fair_queue *self, struct eg_str name)
{
  struct eg_hash_node *node =
      eg_hash_table_find (&self->organisations, eg_hash_str (name));

  for (; node; node = eg_hash_node_next (node))
    {
      struct eg_fair_organisation *organisation =
          EG_CONTAINER_OF (node, struct eg_fair_organisation, node);

      if (eg_str_equal (organisation_name (organisation), name))
        return organisation;
    }
  return NULL;
}

static struct eg_fair_organisation *
add_organisation (struct eg_fair_queue *self,
                  struct eg_str name,
                  const struct eg_fair_snapshot *snapshot)
{
  struct eg_fair_organisation *organisation =
      calloc (1, sizeof *organisation + name.len);

  if (!organisation)
    return NULL;
  organisation->heap_node.key = snapshot->credited_round;
  organisation->heap_node.order = snapshot->order;
  organisation->deficit = snapshot->deficit;
  organisation->credited_round = snapshot->credited_round;
  eg_list_init (&organisation->requests);
  organisation->name_len = name.len;
  if (name.len)
    memcpy (organisation->name, name.data, name.len);
  if (!eg_heap_insert (&self->heap, &organisation->heap_node))
    {
      free (organisation);
      return NULL;
    }
  eg_hash_table_insert (&self->organisations, &organisation->node,
                        eg_hash_str (name));
  return organisation;
}

static struct eg_fair_organisation *
find_or_add (struct eg_fair_queue *self, struct eg_str name)
{
  struct eg_fair_organisation *organisation = eg_fair_queue_find (self, name);
  /* A new organisation is first served in the next round: otherwise a steady
     stream of new ones could keep the current round from ending. */
  struct eg_fair_snapshot snapshot = {self->next_order, 0, self->round};

  if (organisation)
    return organisation;
  self->next_order++;
  return add_organisation (self, name, &snapshot);
}

/* Returns the bit length of @p cost. */
static unsigned
bucket_of (uint64_t cost)
{
  return cost ? 64 - (unsigned) __builtin_clzll (cost) : 0;
}

/* Sets the queued cost of an organisation and updates the bucket sums. */
static void
set_queued_cost (struct eg_fair_queue *self,
                 struct eg_fair_organisation *organisation,
                 uint64_t queued_cost)
{
  unsigned before = bucket_of (organisation->queued_cost);
  unsigned after = bucket_of (queued_cost);

  if (organisation->queued_cost)
    {
      self->bucket_counts[before]--;
      self->bucket_costs[before] -= organisation->queued_cost;
    }
  if (queued_cost)
    {
      self->bucket_counts[after]++;
      self->bucket_costs[after] += queued_cost;
    }
  self->queued_cost += queued_cost - organisation->queued_cost;
  organisation->queued_cost = queued_cost;
}

static void
attach_request (struct eg_fair_queue *self,
                struct eg_fair_organisation *organisation,
                struct eg_fair_request *request)
{
  request->organisation = organisation;
  organisation->count++;
  self->count++;
  set_queued_cost (self, organisation,
                   organisation->queued_cost + request->cost);
  schedule (self, organisation);
}

bool
eg_fair_queue_push (struct eg_fair_queue *self,
                    struct eg_str organisation,
                    struct eg_fair_request *request)
{
  struct eg_fair_organisation *entry = find_or_add (self, organisation);

  if (!entry)
    return false;
  eg_list_append (&entry->requests, &request->link);
  attach_request (self, entry, request);
  return true;
}

bool
eg_fair_queue_requeue (struct eg_fair_queue *self,
                       struct eg_str organisation,
                       struct eg_fair_request *request,
                       const struct eg_fair_snapshot *snapshot)
{
  struct eg_fair_organisation *entry = eg_fair_queue_find (self, organisation);

  if (!entry && snapshot)
    entry = add_organisation (self, organisation, snapshot);
  else
    {
      entry = find_or_add (self, organisation);
      if (entry)
        entry->deficit += request->cost;
    }
  if (!entry)
    return false;
  eg_list_prepend (&entry->requests, &request->link);
  attach_request (self, entry, request);
  return true;
}

struct eg_fair_organisation *
eg_fair_queue_remove (struct eg_fair_queue *self,
                      struct eg_fair_request *request)
{
  struct eg_fair_organisation *organisation = request->organisation;

  eg_list_remove (&request->link);
  organisation->count--;
  self->count--;
  set_queued_cost (self, organisation,
                   organisation->queued_cost - request->cost);
  if (organisation->count)
    {
      schedule (self, organisation);
      return NULL;
    }
  eg_heap_remove (&self->heap, &organisation->heap_node);
  eg_hash_table_remove (&self->organisations, &organisation->node);
  return organisation;
}

struct eg_fair_request *
eg_fair_queue_take (struct eg_fair_queue *self,
                    struct eg_fair_snapshot *snapshot,
                    struct eg_fair_organisation **emptied)
{
  struct eg_fair_organisation *organisation =
      organisation_from_node (eg_heap_first (&self->heap));
  struct eg_fair_request *request = first_request (organisation);

  self->round = organisation->heap_node.key;
  credit_rounds (self, organisation);
  EG_INVARIANT (organisation->deficit >= request->cost);
  snapshot->order = organisation->heap_node.order;
  snapshot->deficit = organisation->deficit;
  snapshot->credited_round = organisation->credited_round;
  organisation->deficit -= request->cost;
  *emptied = eg_fair_queue_remove (self, request);
  return request;
}

static uint64_t
min_cost (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

/* Sums the queued costs of all organisations, each capped at @p limit. The
   bucket that @p limit falls into is approximated from above. */
static uint64_t
sum_capped (const struct eg_fair_queue *self, uint64_t limit)
{
  unsigned last = bucket_of (limit);
  uint64_t sum = 0;

  for (unsigned i = 0; i < EG_FAIR_QUEUE_BUCKETS; i++)
    {
      if (!self->bucket_counts[i])
        continue;
      if (i < last)
        sum += self->bucket_costs[i];
      else
        sum += min_cost (self->bucket_costs[i], self->bucket_counts[i] * limit);
    }
  return sum;
}

uint64_t
eg_fair_queue_cost_ahead (const struct eg_fair_queue *self,
                          struct eg_str organisation,
                          uint64_t cost)
{
  const struct eg_fair_organisation *known =
      eg_fair_queue_find (self, organisation);
  uint64_t own = known ? known->queued_cost : 0;
  uint64_t rounds = (own + cost + self->quantum - 1) / self->quantum;

  return sum_capped (self, rounds * self->quantum);
}
