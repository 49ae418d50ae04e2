#include "policy/admission.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/heap.h"
#include "base/map.h"
#include "base/status.h"
#include "policy/class_scheduler.h"
#include "policy/fair_queue.h"
#include "policy/service_rate.h"

/* Retry-after value while no service rate has been observed. */
#define RETRY_AFTER_UNKNOWN_US EG_US_PER_S
#define RETRY_AFTER_MIN_US EG_US_PER_MS
#define RETRY_AFTER_MAX_US (300 * EG_US_PER_S)
/* Estimated waits are clamped to this, so that they fit a 64-bit count of
   microseconds. */
#define WAIT_MAX_S 1e9

/* A queued request. */
struct pending_request
{
  struct eg_heap_node deadline; /* Key: the deadline. */
  struct eg_fair_request entry;
  uint64_t request;
  int64_t arrived_us;
  unsigned class_index;
};

/* A class with its queue. */
struct class_state
{
  struct eg_admission_class config;
  struct eg_fair_queue queue;
};

/* Scheduling state before the last take, for eg_admission_requeue(). */
struct last_take
{
  bool valid;
  uint64_t request;
  unsigned class_index;
  double credits[EG_CLASSES_MAX];
  struct eg_fair_snapshot organisation;
};

struct eg_admission
{
  struct eg_admission_config config;
  struct class_state classes[EG_CLASSES_MAX];
  size_t class_count;
  struct eg_class_scheduler scheduler;
  struct eg_map requests; /* Keyed by request number. */
  struct eg_heap deadlines;
  struct eg_service_rate rate;
  struct last_take last;
  /* Freed with a delay, since the caller may still use its name. */
  struct eg_fair_organisation *emptied;
};

static bool
init_classes (struct eg_admission *self,
              const struct eg_admission_config *config)
{
  EG_INVARIANT (config->class_count >= 1
                && config->class_count <= EG_CLASSES_MAX);
  self->config = *config;
  self->class_count = 0;
  eg_class_scheduler_init (&self->scheduler);
  for (size_t i = 0; i < config->class_count; i++)
    {
      struct class_state *class = &self->classes[i];

      *class = (struct class_state){.config = config->classes[i]};
      if (!eg_fair_queue_init (&class->queue, config->quantum))
        return false;
      eg_class_scheduler_add (&self->scheduler, class->config.priority,
                              class->config.floor);
      self->class_count++;
    }
  eg_class_scheduler_normalize_floors (&self->scheduler);
  return true;
}

static void
finish_classes (struct eg_admission *self)
{
  for (size_t i = 0; i < self->class_count; i++)
    eg_fair_queue_finish (&self->classes[i].queue);
}

struct eg_admission *
eg_admission_new (const struct eg_admission_config *config)
{
  struct eg_admission *self = calloc (1, sizeof *self);

  if (!self)
    return NULL;
  eg_heap_init (&self->deadlines);
  eg_service_rate_init (&self->rate);
  eg_map_init (&self->requests);
  if (init_classes (self, config))
    return self;
  finish_classes (self);
  free (self);
  return NULL;
}

/* Defers freeing an organisation until no caller can be using its name. */
static void
free_later (struct eg_admission *self, struct eg_fair_organisation *emptied)
{
  if (!emptied)
    return;
  free (self->emptied);
  self->emptied = emptied;
}

static struct pending_request *
pending_from_deadline (struct eg_heap_node *node)
{
  return EG_CONTAINER_OF (node, struct pending_request, deadline);
}

static struct pending_request *
pending_from_entry (struct eg_fair_request *entry)
{
  return EG_CONTAINER_OF (entry, struct pending_request, entry);
}

/* Removes a request from the lookup tables, but not from its class queue. */
static void
unindex (struct eg_admission *self, struct pending_request *pending)
{
  eg_map_remove (&self->requests, pending->request);
  eg_heap_remove (&self->deadlines, &pending->deadline);
}

static void
update_class (struct eg_admission *self, unsigned index)
{
  eg_class_scheduler_set_waiting (&self->scheduler, index,
                                  self->classes[index].queue.count > 0);
}

static void
update_all_classes (struct eg_admission *self)
{
  for (unsigned i = 0; i < self->class_count; i++)
    update_class (self, i);
}

static void
remove_pending (struct eg_admission *self, struct pending_request *pending)
{
  struct class_state *class = &self->classes[pending->class_index];

  unindex (self, pending);
  free_later (self, eg_fair_queue_remove (&class->queue, &pending->entry));
  update_class (self, pending->class_index);
}

void
eg_admission_free (struct eg_admission *self)
{
  if (!self)
    return;
  while (eg_heap_first (&self->deadlines))
    {
      struct pending_request *pending =
          pending_from_deadline (eg_heap_first (&self->deadlines));

      remove_pending (self, pending);
      free (pending);
    }
  finish_classes (self);
  eg_map_finish (&self->requests);
  eg_heap_finish (&self->deadlines);
  free (self->emptied);
  free (self);
}

static struct eg_str
organisation_name (const struct eg_fair_organisation *organisation)
{
  return (struct eg_str){organisation->name, organisation->name_len};
}

/* Finds the class with the name of @p class; the last one if there is none. */
static unsigned
match_class (const struct eg_admission *self,
             const struct eg_admission_class *class)
{
  unsigned i = 0;

  while (i + 1 < self->class_count
         && strcmp (self->classes[i].config.name, class->name) != 0)
    i++;
  return i;
}

/* Appends all requests of @p from to a class, in the order of service. */
static void
move_requests (struct class_state *from,
               struct eg_admission *self,
               unsigned class_index)
{
  struct class_state *to = &self->classes[class_index];

  while (from->queue.count)
    {
      struct eg_fair_organisation *emptied;
      struct eg_fair_snapshot snapshot;
      struct eg_fair_request *entry =
          eg_fair_queue_take (&from->queue, &snapshot, &emptied);
      bool pushed;

      pushed = eg_fair_queue_push (
          &to->queue, organisation_name (entry->organisation), entry);
      EG_INVARIANT (pushed);
      pending_from_entry (entry)->class_index = class_index;
      free (emptied);
    }
}

/* Transfers the queue and credit of an old class to the new class of the same
   name. */
static void
transfer_queue (struct eg_admission *self,
                struct eg_admission *old,
                unsigned index)
{
  struct class_state *from = &old->classes[index];
  unsigned new_index = match_class (self, &from->config);
  struct class_state *to = &self->classes[new_index];
  struct eg_fair_queue empty = to->queue;

  if (strcmp (to->config.name, from->config.name) != 0)
    return;
  to->queue = from->queue;
  from->queue = empty;
  if (self->scheduler.floors[new_index] > 0)
    self->scheduler.credits[new_index] = old->scheduler.credits[index];
}

/* Updates the class index of each queued request. */
static void
renumber_requests (struct eg_admission *self, const unsigned *new_index)
{
  for (size_t i = 0; i < self->deadlines.count; i++)
    {
      struct pending_request *pending =
          pending_from_deadline (self->deadlines.nodes[i]);

      pending->class_index = new_index[pending->class_index];
    }
}

bool
eg_admission_configure (struct eg_admission *self,
                        const struct eg_admission_config *config)
{
  struct eg_admission old = *self;
  unsigned new_index[EG_CLASSES_MAX];

  if (!init_classes (self, config))
    {
      finish_classes (self);
      *self = old;
      return false;
    }
  for (unsigned i = 0; i < old.class_count; i++)
    {
      new_index[i] = match_class (self, &old.classes[i].config);
      transfer_queue (self, &old, i);
    }
  renumber_requests (self, new_index);
  for (size_t i = 0; i < self->class_count; i++)
    eg_fair_queue_set_quantum (&self->classes[i].queue, config->quantum);
  for (size_t i = 0; i < old.class_count; i++)
    {
      move_requests (&old.classes[i], self, (unsigned) self->class_count - 1);
      eg_fair_queue_finish (&old.classes[i].queue);
    }
  update_all_classes (self);
  self->last.valid = false;
  return true;
}

static unsigned
clamp_class (const struct eg_admission *self, unsigned class_index)
{
  unsigned last = (unsigned) self->class_count - 1;

  return class_index < last ? class_index : last;
}

static uint64_t
clamp_cost (uint64_t cost)
{
  if (cost < 1)
    return 1;
  return cost < EG_ADMISSION_COST_MAX ? cost : EG_ADMISSION_COST_MAX;
}

/* Sums the queued cost of the classes above and below a class, and the floors
   of the backlogged classes below it. */
static void
sum_other_classes (const struct eg_admission *self,
                   unsigned class_index,
                   double *higher_cost,
                   double *lower_cost,
                   double *lower_floors)
{
  bool is_lower = false;

  *higher_cost = 0;
  *lower_cost = 0;
  *lower_floors = 0;
  for (size_t i = 0; i < self->class_count; i++)
    {
      unsigned ranked = self->scheduler.ranked[i];
      const struct class_state *class = &self->classes[ranked];

      if (ranked == class_index)
        is_lower = true;
      else if (!is_lower)
        *higher_cost += (double) class->queue.queued_cost;
      else if (class->queue.count)
        {
          *lower_cost += (double) class->queue.queued_cost;
          *lower_floors += self->scheduler.floors[ranked];
        }
    }
}

static double
min_double (double a, double b)
{
  return a < b ? a : b;
}

/* Returns the seconds of work ahead of a new request; negative if the rate is
   not known. The result is the least of three upper bounds: once the higher
   classes are drained, the class gets all capacity but the floors of the lower
   ones; it gets its own floor at all times; and no request waits for more than
   the total queued work. */
static double
estimate_wait_s (const struct eg_admission *self,
                 const struct eg_admission_item *item)
{
  unsigned index = clamp_class (self, item->class_index);
  const struct class_state *class = &self->classes[index];
  double rate = eg_service_rate_get (&self->rate);
  double higher;
  double lower;
  double lower_floors;
  double ahead;
  double wait_s;

  if (rate <= 0)
    return -1;
  sum_other_classes (self, index, &higher, &lower, &lower_floors);
  ahead = (double) eg_fair_queue_cost_ahead (&class->queue, item->organisation,
                                             clamp_cost (item->cost));
  wait_s = (higher + ahead + lower) / rate;
  if (lower_floors < 1)
    wait_s =
        min_double (wait_s, (higher + ahead) / (rate * (1 - lower_floors)));
  if (self->scheduler.floors[index] > 0)
    wait_s =
        min_double (wait_s, ahead / (rate * self->scheduler.floors[index]));
  return min_double (wait_s, WAIT_MAX_S);
}

int64_t
eg_admission_estimate (const struct eg_admission *self,
                       const struct eg_admission_item *item)
{
  double wait_s = estimate_wait_s (self, item);

  return wait_s < 0 ? -1 : (int64_t) (wait_s * EG_US_PER_S);
}

static bool
has_room (const struct eg_admission *self, const struct eg_admission_item *item)
{
  const struct class_state *class =
      &self->classes[clamp_class (self, item->class_index)];
  const struct eg_fair_organisation *organisation =
      eg_fair_queue_find (&class->queue, item->organisation);
  size_t own = organisation ? organisation->count : 0;

  return class->queue.count < class->config.queue_max
         && own < self->config.organisation_queue_max;
}

static int64_t
clamp_retry_after (int64_t wait_us)
{
  if (wait_us < RETRY_AFTER_MIN_US)
    return RETRY_AFTER_MIN_US;
  return wait_us < RETRY_AFTER_MAX_US ? wait_us : RETRY_AFTER_MAX_US;
}

/* Decides on a new request, and when a refused one should be retried. */
static enum eg_refusal
decide (const struct eg_admission *self,
        const struct eg_admission_item *item,
        int64_t now_us,
        int64_t *retry_after_us)
{
  int64_t wait_us = eg_admission_estimate (self, item);
  int64_t budget_us = item->deadline_us - now_us;

  *retry_after_us =
      wait_us < 0 ? RETRY_AFTER_UNKNOWN_US : clamp_retry_after (wait_us);
  if (item->deadline_us <= now_us)
    return EG_REFUSAL_DEADLINE;
  if (!has_room (self, item))
    return EG_REFUSAL_QUEUE_FULL;
  if (wait_us > budget_us)
    {
      *retry_after_us = clamp_retry_after (wait_us - budget_us);
      return EG_REFUSAL_DEADLINE;
    }
  *retry_after_us = 0;
  return EG_REFUSAL_NONE;
}

/* Creates a request that is in the lookup tables, but not in its class queue
   yet. */
static struct pending_request *
new_pending (struct eg_admission *self, const struct eg_admission_item *item)
{
  struct pending_request *pending = calloc (1, sizeof *pending);

  EG_INVARIANT (!eg_map_get (&self->requests, item->request));
  if (!pending)
    return NULL;
  pending->request = item->request;
  pending->arrived_us = item->arrived_us;
  pending->class_index = clamp_class (self, item->class_index);
  pending->entry.cost = clamp_cost (item->cost);
  pending->deadline.key = item->deadline_us;
  pending->deadline.order = item->request;
  if (!eg_heap_insert (&self->deadlines, &pending->deadline))
    {
      free (pending);
      return NULL;
    }
  eg_map_put (&self->requests, item->request, pending);
  return pending;
}

static void
advance (struct eg_admission *self, int64_t now_us)
{
  eg_service_rate_advance (&self->rate, now_us, self->requests.count > 0);
}

enum eg_refusal
eg_admission_offer (struct eg_admission *self,
                    const struct eg_admission_item *item,
                    int64_t now_us,
                    int64_t *retry_after_us)
{
  struct pending_request *pending;
  enum eg_refusal refusal;

  advance (self, now_us);
  refusal = decide (self, item, now_us, retry_after_us);
  if (refusal != EG_REFUSAL_NONE)
    return refusal;
  pending = new_pending (self, item);
  if (pending
      && eg_fair_queue_push (&self->classes[pending->class_index].queue,
                             item->organisation, &pending->entry))
    {
      update_class (self, pending->class_index);
      return EG_REFUSAL_NONE;
    }
  if (pending)
    unindex (self, pending);
  free (pending);
  *retry_after_us = RETRY_AFTER_UNKNOWN_US;
  return EG_REFUSAL_QUEUE_FULL;
}

/* Undoes the charges of the last take, if it took this request. */
static const struct eg_fair_snapshot *
undo_last_take (struct eg_admission *self,
                const struct pending_request *pending)
{
  if (!self->last.valid || self->last.request != pending->request
      || self->last.class_index != pending->class_index)
    return NULL;
  self->last.valid = false;
  memcpy (self->scheduler.credits, self->last.credits,
          sizeof self->last.credits);
  return &self->last.organisation;
}

void
eg_admission_requeue (struct eg_admission *self,
                      const struct eg_admission_item *item)
{
  struct pending_request *pending = new_pending (self, item);
  const struct eg_fair_snapshot *snapshot;
  bool requeued;

  /* An accepted request can no longer be refused, so running out of memory is
     fatal. */
  EG_INVARIANT (pending);
  snapshot = undo_last_take (self, pending);
  requeued =
      eg_fair_queue_requeue (&self->classes[pending->class_index].queue,
                             item->organisation, &pending->entry, snapshot);
  EG_INVARIANT (requeued);
  update_all_classes (self);
}

static void
fill_item (const struct pending_request *pending,
           struct eg_admission_item *item)
{
  *item = (struct eg_admission_item){
      .request = pending->request,
      .class_index = pending->class_index,
      .organisation = organisation_name (pending->entry.organisation),
      .cost = pending->entry.cost,
      .arrived_us = pending->arrived_us,
      .deadline_us = pending->deadline.key,
  };
}

/* Dequeues the next request of a class, whose queue must not be empty. */
static void
take_from_class (struct eg_admission *self,
                 unsigned index,
                 bool owed,
                 struct eg_admission_item *item)
{
  struct last_take *last = &self->last;
  struct eg_fair_organisation *emptied;
  struct pending_request *pending = pending_from_entry (eg_fair_queue_take (
      &self->classes[index].queue, &last->organisation, &emptied));

  last->valid = true;
  last->request = pending->request;
  last->class_index = index;
  memcpy (last->credits, self->scheduler.credits, sizeof last->credits);
  eg_class_scheduler_charge (&self->scheduler, index, owed,
                             pending->entry.cost);
  update_class (self, index);
  unindex (self, pending);
  free_later (self, emptied);
  fill_item (pending, item);
  free (pending);
}

bool
eg_admission_take (struct eg_admission *self,
                   int64_t now_us,
                   struct eg_admission_item *item)
{
  unsigned index;
  bool owed;

  advance (self, now_us);
  if (!eg_class_scheduler_choose (&self->scheduler, &index, &owed))
    return false;
  take_from_class (self, index, owed, item);
  return true;
}

bool
eg_admission_take_above (struct eg_admission *self,
                         unsigned class_index,
                         int64_t now_us,
                         struct eg_admission_item *item)
{
  unsigned index;

  advance (self, now_us);
  if (!eg_class_scheduler_choose_above (&self->scheduler, class_index, &index))
    return false;
  take_from_class (self, index, false, item);
  return true;
}

bool
eg_admission_take_expired (struct eg_admission *self,
                           int64_t now_us,
                           struct eg_admission_item *item)
{
  struct eg_heap_node *first = eg_heap_first (&self->deadlines);
  struct pending_request *pending;

  advance (self, now_us);
  if (!first || first->key > now_us)
    return false;
  pending = pending_from_deadline (first);
  remove_pending (self, pending);
  fill_item (pending, item);
  free (pending);
  return true;
}

bool
eg_admission_remove (struct eg_admission *self, uint64_t request)
{
  struct pending_request *pending = eg_map_get (&self->requests, request);

  if (!pending)
    return false;
  remove_pending (self, pending);
  free (pending);
  return true;
}

void
eg_admission_record_served (struct eg_admission *self,
                            uint64_t cost,
                            int64_t now_us)
{
  advance (self, now_us);
  if (self->requests.count)
    eg_service_rate_add (&self->rate, cost);
}

size_t
eg_admission_depth (const struct eg_admission *self, unsigned class_index)
{
  if (class_index >= self->class_count)
    return 0;
  return self->classes[class_index].queue.count;
}
