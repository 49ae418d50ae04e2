#include "policy/peer_choice.h"

#include "base/clock.h"

/* Time for which an answer holds. */
#define ANSWER_AGE_MAX_US EG_US_PER_S
/* A peer that failed is left out for this long. */
#define FAILED_US (500 * EG_US_PER_MS)
/* Peers are asked until nobody has needed one for this long. */
#define NEED_US EG_US_PER_S
/* Answers arrive within this time of the first question, also those of peers
 * that have to find out first. */
#define LEARN_US (200 * EG_US_PER_MS)
/* Interval of questions: until a peer is known to serve, until some are, and
 * later. */
#define FIRST_INTERVAL_US (50 * EG_US_PER_MS)
#define ASK_INTERVAL_US (100 * EG_US_PER_MS)
#define REFRESH_INTERVAL_US (250 * EG_US_PER_MS)
#define OPTIONS_WANTED 4
/* A peer of another failure domain is chosen at a load lower by this factor.
 * BASE_LOAD is added to all loads, as those of idle VMs differ by chance. */
#define REMOTE_DOMAIN_FACTOR 1.35
#define BASE_LOAD 8.0
#define NOISE 0.3

static struct eg_peer_option *
find_option (struct eg_peer_choice *self, uint64_t peer)
{
  for (size_t i = 0; i < self->count; i++)
    if (self->options[i].peer == peer)
      return &self->options[i];
  return NULL;
}

static struct eg_peer_option *
add_option (struct eg_peer_choice *self, uint64_t peer)
{
  struct eg_peer_option *option = &self->options[0];

  if (self->count < EG_PEER_OPTIONS_MAX)
    option = &self->options[self->count++];
  else
    for (size_t i = 1; i < self->count; i++)
      if (self->options[i].answered_us < option->answered_us)
        option = &self->options[i];
  *option = (struct eg_peer_option){.peer = peer};
  return option;
}

/* Finds a peer's option, or adds one. */
static struct eg_peer_option *
get_option (struct eg_peer_choice *self, uint64_t peer)
{
  struct eg_peer_option *option = find_option (self, peer);

  return option ? option : add_option (self, peer);
}

static bool
is_answer_valid (const struct eg_peer_option *option, int64_t now_us)
{
  return option->answered_us > 0
         && now_us - option->answered_us < ANSWER_AGE_MAX_US;
}

static bool
has_failed (const struct eg_peer_option *option, int64_t now_us)
{
  return option->failed_us > 0 && now_us - option->failed_us < FAILED_US;
}

static bool
may_use (const struct eg_peer_option *option, int64_t now_us)
{
  return option->serves && is_answer_valid (option, now_us)
         && !has_failed (option, now_us);
}

static size_t
count_usable (const struct eg_peer_choice *self, int64_t now_us)
{
  size_t usable = 0;

  for (size_t i = 0; i < self->count; i++)
    usable += may_use (&self->options[i], now_us);
  return usable;
}

bool
eg_peer_choice_has_server (const struct eg_peer_choice *self, int64_t now_us)
{
  return count_usable (self, now_us) > 0;
}

void
eg_peer_choice_need (struct eg_peer_choice *self, int64_t now_us)
{
  if (self->needed_us == 0 || now_us - self->needed_us >= NEED_US)
    self->needed_since_us = now_us;
  self->needed_us = now_us;
}

static int64_t
ask_interval_us (size_t usable)
{
  if (usable == 0)
    return FIRST_INTERVAL_US;
  return usable < OPTIONS_WANTED ? ASK_INTERVAL_US : REFRESH_INTERVAL_US;
}

size_t
eg_peer_choice_check (struct eg_peer_choice *self, int64_t now_us)
{
  if (self->needed_us == 0 || now_us - self->needed_us >= NEED_US
      || now_us - self->asked_us
             < ask_interval_us (count_usable (self, now_us)))
    return 0;
  self->asked_us = now_us;
  return EG_PEERS_ASKED;
}

void
eg_peer_choice_answered (struct eg_peer_choice *self,
                         const struct eg_peer_option *answer,
                         int64_t now_us)
{
  struct eg_peer_option *option = get_option (self, answer->peer);

  option->same_domain = answer->same_domain;
  option->serves = answer->serves;
  option->load = answer->load;
  option->load_per_request = answer->load_per_request;
  option->sent = 0;
  option->answered_us = now_us;
}

void
eg_peer_choice_refused (struct eg_peer_choice *self,
                        uint64_t peer,
                        int64_t now_us)
{
  struct eg_peer_option *option = get_option (self, peer);

  option->serves = false;
  option->answered_us = now_us;
}

void
eg_peer_choice_failed (struct eg_peer_choice *self,
                       uint64_t peer,
                       int64_t now_us)
{
  struct eg_peer_option *option = get_option (self, peer);

  option->failed_us = now_us;
}

static bool
is_listed (const uint64_t *peers, size_t count, uint64_t peer)
{
  for (size_t i = 0; i < count; i++)
    if (peers[i] == peer)
      return true;
  return false;
}

uint64_t
eg_peer_choice_take (struct eg_peer_choice *self,
                     const uint64_t *tried,
                     size_t tried_count,
                     struct eg_random *random,
                     int64_t now_us)
{
  struct eg_peer_option *best = NULL;
  double best_cost = 0;

  for (size_t i = 0; i < self->count; i++)
    {
      struct eg_peer_option *option = &self->options[i];
      double cost =
          BASE_LOAD + option->load + option->sent * option->load_per_request;

      if (!may_use (option, now_us)
          || is_listed (tried, tried_count, option->peer))
        continue;
      cost *= 1 + NOISE * eg_random_double (random);
      if (!option->same_domain)
        cost *= REMOTE_DOMAIN_FACTOR;
      if (best && cost >= best_cost)
        continue;
      best = option;
      best_cost = cost;
    }
  if (!best)
    return 0;
  best->sent++;
  return best->peer;
}

bool
eg_peer_choice_may_learn (const struct eg_peer_choice *self, int64_t now_us)
{
  return self->needed_us > 0 && now_us - self->needed_since_us < LEARN_US;
}

bool
eg_peer_choice_may_guess (const struct eg_peer_choice *self,
                          uint64_t peer,
                          int64_t now_us)
{
  if (!eg_peer_choice_may_learn (self, now_us))
    return false;
  for (size_t i = 0; i < self->count; i++)
    {
      const struct eg_peer_option *option = &self->options[i];

      if (option->peer == peer)
        return !has_failed (option, now_us)
               && (option->serves || !is_answer_valid (option, now_us));
    }
  return true;
}
