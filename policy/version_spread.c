#include "policy/version_spread.h"

#include <string.h>

#include "base/clock.h"

/* VMs told of a new version at once: with three of them telling three others
 * each, all of a few hundred have heard after some steps of a tick. */
#define NEWS_FANOUT 3
#define TELL_INTERVAL_US (500 * EG_US_PER_MS)
/* Questions of a VM that has started. */
#define ASK_FANOUT 3
#define ASK_INTERVAL_US (100 * EG_US_PER_MS)
/* Time for answers to the first questions and their repetitions. */
#define ANSWER_WAIT_US (400 * EG_US_PER_MS)
/* Of VMs that have just started, this share has to answer within this time;
 * the others are taken to be gone. */
#define STARTING_SHARE 0.75
#define SILENCE_WAIT_US (100 * EG_US_PER_MS)
/* Time until the other VMs are known, or seem to be out of reach. */
#define PEERS_WAIT_US (2000 * EG_US_PER_MS)
/* A VM without others waits until its second list of them: those that joined
 * lately may be missing from a copy that the store came back from. */
#define ALONE_WAIT_US (800 * EG_US_PER_MS)
/* The store mostly delivers a new version within this time anyway. */
#define FETCH_DELAY_US (100 * EG_US_PER_MS)
#define FETCH_INTERVAL_US (250 * EG_US_PER_MS)
/* An offer that cannot be fetched for so long comes from a VM that is gone. */
#define OFFER_EXPIRY_US (2000 * EG_US_PER_MS)

void
eg_version_spread_init (struct eg_version_spread *self,
                        bool first_start,
                        int64_t now_us)
{
  memset (self, 0, sizeof *self);
  self->started_us = now_us;
  self->confirmed = first_start;
}

void
eg_version_spread_set_own (struct eg_version_spread *self, int64_t version)
{
  if (version <= self->own)
    return;
  self->own = version;
  self->has_news = true;
  if (self->offered <= version)
    self->offered = 0;
}

static struct eg_version_message
own_message (const struct eg_version_spread *self, bool asks)
{
  return (struct eg_version_message){self->own, asks, self->confirmed};
}

static size_t
limit_to (size_t count, int64_t peers)
{
  return count < (size_t) peers ? count : (size_t) peers;
}

/* Returns whether VMs that have just started have told enough. */
static bool
have_starting_answered (const struct eg_version_spread *self,
                        int64_t peers,
                        int64_t now_us)
{
  size_t asked = limit_to (EG_VERSION_ANSWERS_STARTING, peers);

  return self->heard >= asked
         || (now_us - self->peers_known_us >= SILENCE_WAIT_US
             && (double) self->heard >= STARTING_SHARE * (double) asked);
}

static bool
has_asked_enough (const struct eg_version_spread *self,
                  int64_t peers,
                  int64_t now_us)
{
  if (peers < 0)
    return now_us - self->started_us >= PEERS_WAIT_US;
  if (peers == 0)
    return now_us - self->started_us >= ALONE_WAIT_US;
  return self->answers >= limit_to (EG_VERSION_ANSWERS, peers)
         || have_starting_answered (self, peers, now_us)
         || now_us - self->peers_known_us >= ANSWER_WAIT_US;
}

static void
check_confirmed (struct eg_version_spread *self, int64_t peers, int64_t now_us)
{
  if (peers > 0 && self->peers_known_us == 0)
    self->peers_known_us = now_us;
  if (self->offered > 0 && now_us - self->offered_us >= OFFER_EXPIRY_US)
    self->offered = 0;
  if (!self->confirmed && self->offered == 0)
    self->confirmed = has_asked_enough (self, peers, now_us);
}

struct eg_version_round
eg_version_spread_check (struct eg_version_spread *self,
                         int64_t peers,
                         int64_t now_us)
{
  struct eg_version_round round = {0};

  check_confirmed (self, peers, now_us);
  if (peers <= 0)
    return round;
  if (!self->confirmed)
    {
      bool ask_many = self->heard > self->answers;

      if (self->asked_us > 0 && now_us - self->asked_us < ASK_INTERVAL_US
          && ask_many == self->asked_many)
        return round;
      self->asked_us = now_us;
      self->asked_many = ask_many;
      round.count = ask_many ? EG_VERSION_ANSWERS_STARTING : ASK_FANOUT;
    }
  else if (self->has_news)
    {
      self->has_news = false;
      round.count = NEWS_FANOUT;
    }
  else if (now_us - self->told_us >= TELL_INTERVAL_US)
    {
      self->told_us = now_us;
      round.count = 1;
    }
  round.count = limit_to (round.count, peers);
  round.message = own_message (self, !self->confirmed);
  return round;
}

/* Adds a sender to @p count of at most @p max different ones. */
static void
add_sender (uint64_t *senders, size_t *count, size_t max, uint64_t from)
{
  for (size_t i = 0; i < *count; i++)
    if (senders[i] == from)
      return;
  if (*count < max)
    senders[(*count)++] = from;
}

bool
eg_version_spread_receive (struct eg_version_spread *self,
                           uint64_t from,
                           const struct eg_version_message *message,
                           int64_t now_us,
                           struct eg_version_message *answer)
{
  if (message->confirmed)
    add_sender (self->answered_by, &self->answers, EG_VERSION_ANSWERS, from);
  add_sender (self->heard_from, &self->heard, EG_VERSION_ANSWERS_STARTING,
              from);
  if (message->version > self->own && message->version >= self->offered)
    {
      if (message->version > self->offered)
        self->offered_us = now_us;
      self->offered = message->version;
      self->offered_by = from;
    }
  *answer = own_message (self, false);
  return message->asks || message->version < self->own;
}

bool
eg_version_spread_take_fetch (struct eg_version_spread *self,
                              int64_t now_us,
                              uint64_t *from)
{
  int64_t delay_us = self->confirmed ? FETCH_DELAY_US : 0;

  if (self->offered == 0 || self->fetching
      || now_us - self->offered_us < delay_us
      || (self->fetched_us > 0
          && now_us - self->fetched_us < FETCH_INTERVAL_US))
    return false;
  self->fetching = true;
  self->fetched_us = now_us;
  *from = self->offered_by;
  return true;
}

void
eg_version_spread_fetch_ended (struct eg_version_spread *self)
{
  self->fetching = false;
}

bool
eg_version_spread_is_confirmed (const struct eg_version_spread *self)
{
  return self->confirmed;
}
