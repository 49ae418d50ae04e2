#include "policy/client_memory.h"

#include "base/status.h"

/* Order in which connections are closed. */
enum rank
{
  RANK_SLOW,       /* Incomplete, and slow to become complete. */
  RANK_UNREAD,     /* The client does not read its response. */
  RANK_IDLE,       /* Without a request. */
  RANK_INCOMPLETE, /* Incomplete, but fast enough. */
  RANK_WAITING,    /* Complete. */
  RANK_SENT,       /* Sent to a server. */
  RANKS,
};

/** A connection with its rank. */
struct candidate
{
  struct eg_client_holder *holder;
  enum rank rank;
  uint64_t weight; /**< Within a rank, the heaviest is closed first. */
  size_t missing;  /**< Of the same weight, the least complete one. */
};

static struct eg_client_holder *
holder_at (const struct eg_list *at)
{
  return EG_CONTAINER_OF (at, struct eg_client_holder, all);
}

void
eg_client_memory_init (struct eg_client_memory *self)
{
  *self = (struct eg_client_memory){0};
  eg_list_init (&self->all);
}

void
eg_client_memory_set_budget (struct eg_client_memory *self,
                             size_t budget,
                             size_t alone_max)
{
  self->budget = budget;
  self->alone_max = alone_max > budget ? alone_max : budget;
}

void
eg_client_memory_add (struct eg_client_memory *self,
                      struct eg_client_holder *holder)
{
  holder->held = 0;
  eg_list_append (&self->all, &holder->all);
}

void
eg_client_memory_remove (struct eg_client_memory *self,
                         struct eg_client_holder *holder)
{
  eg_client_memory_hold (self, holder, 0);
  eg_list_remove (&holder->all);
}

void
eg_client_memory_hold (struct eg_client_memory *self,
                       struct eg_client_holder *holder,
                       size_t bytes)
{
  EG_INVARIANT (self->held >= holder->held);
  self->held = self->held - holder->held + bytes;
  holder->held = bytes;
  if (self->held > self->held_max)
    self->held_max = self->held;
}

static struct candidate
judge (struct eg_client_holder *holder, int64_t now_us)
{
  int64_t lag_us = eg_client_pace_lag_us (&holder->pace, now_us);
  struct candidate judged = {holder, RANK_SENT, (uint64_t) lag_us,
                             holder->missing};

  switch (holder->stage)
    {
    case EG_CLIENT_RECEIVING:
      judged.rank = lag_us >= EG_CLIENT_SLOW_US ? RANK_SLOW : RANK_INCOMPLETE;
      break;
    case EG_CLIENT_READING:
      judged.rank = lag_us >= EG_CLIENT_UNREAD_US ? RANK_UNREAD : RANK_SENT;
      break;
    case EG_CLIENT_IDLE:
      judged.rank = RANK_IDLE;
      break;
    case EG_CLIENT_WAITING:
      judged.rank = RANK_WAITING;
      break;
    case EG_CLIENT_SENT:
      break;
    }
  return judged;
}

static bool
is_before (const struct candidate *a, const struct candidate *b)
{
  if (!b->holder || a->rank != b->rank)
    return !b->holder || a->rank < b->rank;
  return a->weight != b->weight ? a->weight > b->weight
                                : a->missing > b->missing;
}

/* Of requests that arrive fast enough, the one that needs the most is closed,
 * so that small requests are not rejected for the sake of large ones. */
static void
weigh_by_size (struct candidate *self)
{
  if (self->rank >= RANK_INCOMPLETE)
    self->weight = self->holder->held + self->holder->missing;
}

static bool
is_alone (const struct eg_client_memory *self,
          const struct eg_client_holder *holder)
{
  for (const struct eg_list *at = self->all.next; at != &self->all;
       at = at->next)
    if (holder_at (at) != holder && holder_at (at)->held >= EG_CLIENT_HELD_MIN)
      return false;
  return true;
}

bool
eg_client_memory_admit (const struct eg_client_memory *self,
                        struct eg_client_holder *holder,
                        size_t extra,
                        int64_t now_us,
                        struct eg_client_holder **victim)
{
  struct candidate first = {0};

  if (self->held + extra <= self->budget)
    return true;
  if (self->held + extra <= self->alone_max && is_alone (self, holder))
    return true;
  for (const struct eg_list *at = self->all.next; at != &self->all;
       at = at->next)
    {
      struct candidate judged = judge (holder_at (at), now_us);

      weigh_by_size (&judged);
      if (judged.holder != holder
          && (judged.holder->in_call || judged.rank > RANK_INCOMPLETE
              || judged.holder->held < EG_CLIENT_HELD_MIN))
        continue;
      if (is_before (&judged, &first))
        first = judged;
    }
  *victim = first.holder ? first.holder : holder;
  return false;
}

struct eg_client_holder *
eg_client_memory_find_excess (const struct eg_client_memory *self,
                              int64_t now_us)
{
  struct candidate first = {0};

  if (self->held <= self->budget)
    return NULL;
  for (const struct eg_list *at = self->all.next; at != &self->all;
       at = at->next)
    {
      struct candidate judged = judge (holder_at (at), now_us);

      weigh_by_size (&judged);
      if (judged.holder->held >= EG_CLIENT_HELD_MIN
          && is_before (&judged, &first))
        first = judged;
    }
  if (!first.holder
      || (self->held <= self->alone_max && is_alone (self, first.holder)))
    return NULL;
  return first.holder;
}

/* Finds the address that has more than half of the connections of a group; it
 * is the one that is left when differing ones are struck out in pairs. */
static bool
find_majority (const struct eg_client_memory *self,
               unsigned group,
               uint32_t *address)
{
  size_t left = 0;
  size_t own = 0;
  size_t all = 0;

  for (const struct eg_list *at = self->all.next; at != &self->all;
       at = at->next)
    {
      const struct eg_client_holder *holder = holder_at (at);

      if (holder->group != group)
        continue;
      if (left == 0)
        *address = holder->address;
      left += holder->address == *address ? 1 : (size_t) -1;
    }
  for (const struct eg_list *at = self->all.next; at != &self->all;
       at = at->next)
    {
      const struct eg_client_holder *holder = holder_at (at);

      all += holder->group == group;
      own += holder->group == group && holder->address == *address;
    }
  return own * 2 > all && own < all;
}

struct eg_client_holder *
eg_client_memory_find_slot (const struct eg_client_memory *self,
                            unsigned group,
                            int64_t now_us)
{
  uint32_t address = 0;
  bool has_majority = find_majority (self, group, &address);
  struct candidate of_majority = {0};
  struct candidate first = {0};

  for (const struct eg_list *at = self->all.next; at != &self->all;
       at = at->next)
    {
      struct candidate judged = judge (holder_at (at), now_us);

      if (judged.holder->group != group || judged.rank >= RANK_WAITING)
        continue;
      if (is_before (&judged, &first))
        first = judged;
      if (has_majority && judged.holder->address == address
          && is_before (&judged, &of_majority))
        of_majority = judged;
    }
  return of_majority.holder ? of_majority.holder : first.holder;
}

struct eg_client_holder *
eg_client_memory_find_oldest (const struct eg_client_memory *self,
                              unsigned group)
{
  for (const struct eg_list *at = self->all.next; at != &self->all;
       at = at->next)
    if (holder_at (at)->group == group && !holder_at (at)->in_call)
      return holder_at (at);
  return NULL;
}
