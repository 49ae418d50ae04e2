#include "policy/crash_blame.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/status.h"

/* How often a piece of news is taken. */
#define NEWS_ROUNDS 4
/* Servers that end within this time of each other ended at the same moment: a
 * request that is sent again after a crash takes longer to crash the next. */
#define SAME_MOMENT_US 40000
/* Crashes more than needed after which a subject is blamed though others that
 * are as likely were in flight at exactly the same ones: all of them, or of
 * parts the narrowest. */
#define TIE_CRASHES 1
/* A part that was at so many crashes at one moment is blamed for that alone:
 * the next burst of requests with it would meet as many servers. */
#define BURST_CRASHES 5
/* What fewer crashes at one moment count for at the most: less than is needed,
 * so that those at another moment must follow. */
#define SMALL_BURST_MAX 3
/* Crashes of a part that a narrower one need not explain for requests without
 * the latter to be tried: as many may have another cause. */
#define MISSES_MAX 2
/* Time for a request on trial to show that it is sound, or to be known to have
 * crashed its server. */
#define TRIAL_US 1000000
/* Number of VMs that may try requests at the same time, at first. */
#define TRIAL_VMS 2
/* Most VMs that may try requests at the same time: what crashes servers may
 * come to all VMs at once, of which at most three more may be sent. */
#define TRIAL_VMS_MAX 3
/* After each such time without a crash one more VM may try, as the others may
 * have ended or get no requests. The third one can so show by twice
 * stableWindowMs (6 s at least) that a part is sound. */
#define TRIAL_STEP_US 2500000
/* Suspects of as many crashes are kept in a list of their own: most suspects
 * were at a single one, and are not compared with those that are to blame. */
#define REPEATED_MIN 2
/* By so much the time of service must be later than another VM knows it to be
 * news for that VM: messages give ages, which differ by their way. */
#define SERVED_NEWS_US 200000

struct entry
{
  struct eg_suspect suspect;
  struct eg_list by_change;
  struct eg_list news;     /* In eg_crash_blame.news if @c rounds_left > 0. */
  struct eg_list blamed;   /* In eg_crash_blame.blamed if it is blamed. */
  struct eg_list repeated; /* In eg_crash_blame.repeated if @c is_repeated. */
  bool is_repeated;        /* It was at REPEATED_MIN crashes or more. */
  unsigned rounds_left;
  int64_t changed_us;
  int64_t tried_us; /* When a request with it was last sent as a trial. */
};

bool
eg_crash_blame_init (struct eg_crash_blame *self,
                     const struct eg_crash_blame_config *config,
                     const struct eg_crash_blame_events *events)
{
  const struct eg_quarantine_config quarantine = {
      1, config->window_us, config->duration_us, config->suspects_max};

  memset (self, 0, sizeof *self);
  self->config = *config;
  if (self->config.suspects_max < 1)
    self->config.suspects_max = 1;
  for (int kind = 0; kind < EG_SUBJECT_KINDS; kind++)
    EG_INVARIANT (config->crashes_min[kind] >= REPEATED_MIN
                  && config->crashes_min[kind] <= EG_SUSPECT_CRASHES_MAX);
  if (events)
    self->events = *events;
  eg_map_init (&self->suspects);
  eg_map_init (&self->unconfirmed);
  eg_list_init (&self->by_change);
  eg_list_init (&self->news);
  eg_list_init (&self->blamed);
  eg_list_init (&self->repeated);
  self->check_due_us = INT64_MAX;
  self->quarantine = eg_quarantine_new (&quarantine);
  return self->quarantine != NULL;
}

/* Returns the key of a subject in the maps. */
static uint64_t
get_key (struct eg_subject subject)
{
  return eg_hash_mix (subject.id + (uint64_t) subject.kind);
}

static struct entry *
oldest (const struct eg_crash_blame *self)
{
  return EG_CONTAINER_OF (self->by_change.next, struct entry, by_change);
}

static void
remove_entry (struct eg_crash_blame *self, struct entry *entry)
{
  eg_map_remove (&self->suspects, get_key (entry->suspect.subject));
  eg_list_remove (&entry->by_change);
  if (entry->rounds_left > 0)
    eg_list_remove (&entry->news);
  if (entry->suspect.blamed_us > 0)
    eg_list_remove (&entry->blamed);
  if (entry->is_repeated)
    eg_list_remove (&entry->repeated);
  free (entry);
}

void
eg_crash_blame_finish (struct eg_crash_blame *self)
{
  while (!eg_list_is_empty (&self->by_change))
    remove_entry (self, oldest (self));
  eg_map_finish (&self->suspects);
  eg_map_finish (&self->unconfirmed);
  eg_quarantine_free (self->quarantine);
  self->quarantine = NULL;
}

/* Call it when the number of crashes of a suspect has changed. */
static void
update_repeated (struct eg_crash_blame *self, struct entry *entry)
{
  bool is_repeated = entry->suspect.crash_count >= REPEATED_MIN;

  if (is_repeated == entry->is_repeated)
    return;
  entry->is_repeated = is_repeated;
  if (is_repeated)
    eg_list_append (&self->repeated, &entry->repeated);
  else
    eg_list_remove (&entry->repeated);
}

/* Returns a link of the list of repeated suspects as an entry. */
static struct entry *
repeated_entry (const struct eg_list *link)
{
  return EG_CONTAINER_OF (link, struct entry, repeated);
}

static struct entry *
find_entry (const struct eg_crash_blame *self, struct eg_subject subject)
{
  return eg_map_get (&self->suspects, get_key (subject));
}

/* Returns the oldest entry that is not blamed and was at @p crashes_max crashes
 * at most, or NULL. */
static struct entry *
find_expendable (const struct eg_crash_blame *self, unsigned crashes_max)
{
  for (struct eg_list *at = self->by_change.next; at != &self->by_change;
       at = at->next)
    {
      struct entry *entry = EG_CONTAINER_OF (at, struct entry, by_change);

      if (entry->suspect.blamed_us == 0
          && entry->suspect.crash_count <= crashes_max)
        return entry;
    }
  return NULL;
}

/* What was at a single crash goes first: long prompts bring many parts that no
 * other request has. */
static void
evict_one (struct eg_crash_blame *self)
{
  struct entry *entry = find_expendable (self, 1);

  if (!entry)
    entry = find_expendable (self, EG_SUSPECT_CRASHES_MAX);
  remove_entry (self, entry ? entry : oldest (self));
}

static struct eg_served_slot *
get_slot (struct eg_crash_blame *self, uint64_t key)
{
  return &self->served[key % EG_SERVED_SLOTS];
}

static int64_t
get_served_us (struct eg_crash_blame *self, uint64_t key)
{
  const struct eg_served_slot *slot = get_slot (self, key);

  return slot->key == key ? slot->at_us : 0;
}

static struct entry *
add_entry (struct eg_crash_blame *self, struct eg_subject subject)
{
  uint64_t key = get_key (subject);
  struct entry *entry;

  if (self->suspects.count >= self->config.suspects_max)
    evict_one (self);
  entry = calloc (1, sizeof *entry);
  if (!entry)
    return NULL;
  entry->suspect.subject = subject;
  entry->suspect.served_us = get_served_us (self, key);
  eg_list_append (&self->by_change, &entry->by_change);
  eg_map_put (&self->suspects, key, entry);
  return entry;
}

/* Suspects of several crashes come first: the others are mostly victims. */
static void
set_changed (struct eg_crash_blame *self, struct entry *entry, int64_t now_us)
{
  entry->changed_us = now_us;
  eg_list_remove (&entry->by_change);
  eg_list_append (&self->by_change, &entry->by_change);
  if (entry->rounds_left > 0)
    eg_list_remove (&entry->news);
  entry->rounds_left = NEWS_ROUNDS;
  if (entry->suspect.crash_count > 1 || entry->suspect.blamed_us > 0)
    eg_list_prepend (&self->news, &entry->news);
  else
    eg_list_append (&self->news, &entry->news);
}

/* Returns the time until which crashes do not count against a subject. */
static int64_t
trusted_until (const struct eg_crash_blame *self,
               const struct eg_suspect *suspect)
{
  return suspect->served_us > 0 ? suspect->served_us + self->config.trust_us
                                : 0;
}

/* Of several runs on one server, one that delivered is enough. */
static bool
add_delivered (struct eg_crash *crash, bool delivered)
{
  bool is_new = delivered && !crash->delivered;

  crash->delivered |= delivered;
  return is_new;
}

/* Adds a crash in the order of time, the earliest first. */
static bool
add_crash (const struct eg_crash_blame *self,
           struct eg_suspect *suspect,
           const struct eg_crash *crash)
{
  unsigned at;

  if (crash->at_us <= trusted_until (self, suspect))
    return false;
  for (unsigned i = 0; i < suspect->crash_count; i++)
    if (suspect->crashes[i].server == crash->server)
      return add_delivered (&suspect->crashes[i], crash->delivered);
  if (suspect->crash_count == EG_SUSPECT_CRASHES_MAX)
    {
      if (crash->at_us < suspect->crashes[0].at_us)
        return false;
      memmove (suspect->crashes, suspect->crashes + 1,
               --suspect->crash_count * sizeof *suspect->crashes);
    }
  at = suspect->crash_count++;
  for (; at > 0 && suspect->crashes[at - 1].at_us > crash->at_us; at--)
    suspect->crashes[at] = suspect->crashes[at - 1];
  suspect->crashes[at] = *crash;
  return true;
}

static void
drop_crashes_until (struct eg_suspect *suspect, int64_t until_us)
{
  unsigned dropped = 0;

  while (dropped < suspect->crash_count
         && suspect->crashes[dropped].at_us <= until_us)
    dropped++;
  suspect->crash_count -= dropped;
  memmove (suspect->crashes, suspect->crashes + dropped,
           suspect->crash_count * sizeof *suspect->crashes);
}

static void
blame (struct eg_crash_blame *self,
       struct entry *entry,
       int64_t at_us,
       bool decided)
{
  bool was_blamed = entry->suspect.blamed_us > 0;

  entry->suspect.blamed_us = at_us;
  if (!was_blamed)
    eg_list_append (&self->blamed, &entry->blamed);
  eg_quarantine_add (self->quarantine, get_key (entry->suspect.subject),
                     at_us + self->config.duration_us);
  if (!was_blamed && self->events.blamed)
    self->events.blamed (self->events.context, &entry->suspect, decided);
}

static bool
set_served (struct eg_crash_blame *self, struct entry *entry, int64_t at_us)
{
  struct eg_suspect *suspect = &entry->suspect;
  bool counts = suspect->crash_count > 0 || suspect->blamed_us > 0;

  if (at_us <= suspect->served_us)
    return false;
  suspect->served_us = at_us;
  drop_crashes_until (suspect, trusted_until (self, suspect));
  update_repeated (self, entry);
  if (suspect->blamed_us > 0 && suspect->blamed_us <= at_us)
    {
      eg_quarantine_remove (self->quarantine, get_key (suspect->subject));
      if (self->events.cleared)
        self->events.cleared (self->events.context, suspect);
      eg_list_remove (&entry->blamed);
      suspect->blamed_us = 0;
    }
  /* It may have been the rival of another suspect. */
  if (counts)
    self->check_due_us = 0;
  return counts;
}

static unsigned
get_crashes_min (const struct eg_crash_blame *self,
                 const struct eg_suspect *suspect)
{
  return self->config.crashes_min[suspect->subject.kind];
}

static void
schedule_check (struct eg_crash_blame *self, const struct entry *entry)
{
  const struct eg_suspect *suspect = &entry->suspect;
  unsigned crashes_min = get_crashes_min (self, suspect);
  int64_t due_us;

  if (suspect->blamed_us > 0 || suspect->crash_count < crashes_min)
    return;
  due_us = suspect->crashes[crashes_min - 1].at_us + self->config.settle_us;
  if (due_us < self->check_due_us)
    self->check_due_us = due_us;
}

bool
eg_crash_blame_record_crash (struct eg_crash_blame *self,
                             struct eg_subject subject,
                             const struct eg_crash *crash,
                             int64_t now_us)
{
  const struct eg_suspect suspect = {
      .subject = subject, .crash_count = 1, .crashes = {*crash}};

  return eg_crash_blame_merge (self, &suspect, now_us);
}

bool
eg_crash_blame_record_part_crash (struct eg_crash_blame *self,
                                  uint64_t part,
                                  const struct eg_part_use *use,
                                  const struct eg_crash *crash,
                                  int64_t now_us)
{
  const struct eg_suspect suspect = {
      .subject = {EG_SUBJECT_PART, part},
      .place = use->place,
      .requests = UINT64_C (1) << eg_hash_mix (use->request) % 64,
      .crash_count = 1,
      .crashes = {*crash}};

  return eg_crash_blame_merge (self, &suspect, now_us);
}

void
eg_crash_blame_record_served (struct eg_crash_blame *self,
                              struct eg_subject subject,
                              int64_t now_us)
{
  uint64_t key = get_key (subject);
  struct entry *entry = find_entry (self, subject);

  *get_slot (self, key) = (struct eg_served_slot){key, now_us};
  if (entry && set_served (self, entry, now_us))
    set_changed (self, entry, now_us);
}

void
eg_crash_blame_record_idle (struct eg_crash_blame *self,
                            int64_t from_us,
                            int64_t to_us)
{
  for (size_t i = 0; i < EG_SERVED_SLOTS; i++)
    {
      struct eg_served_slot *slot = &self->served[i];

      if (slot->at_us == 0 || slot->at_us >= to_us
          || slot->at_us <= from_us - self->config.trust_us)
        continue;
      slot->at_us += to_us - (slot->at_us > from_us ? slot->at_us : from_us);
    }
}

/* Returns whether another VM counts crashes that this one knows not to count.
 */
static bool
is_served_news (const struct eg_suspect *own, const struct eg_suspect *theirs)
{
  return theirs->crash_count > 0
         && own->served_us > theirs->served_us + SERVED_NEWS_US;
}

/* Adds in what prompts a part was found. A place or a request more is no news
 * of its own: it goes out with the crashes, which it belongs to. */
static void
add_uses (struct eg_suspect *suspect, const struct eg_suspect *theirs)
{
  suspect->requests |= theirs->requests;
  if (theirs->place > 0
      && (suspect->place == 0 || theirs->place < suspect->place))
    suspect->place = theirs->place;
}

bool
eg_crash_blame_merge (struct eg_crash_blame *self,
                      const struct eg_suspect *theirs,
                      int64_t now_us)
{
  struct entry *entry = find_entry (self, theirs->subject);
  bool is_new = false;

  if (!entry && theirs->crash_count == 0 && theirs->blamed_us == 0)
    return false;
  if (!entry)
    entry = add_entry (self, theirs->subject);
  if (!entry)
    return false;
  is_new |= set_served (self, entry, theirs->served_us);
  add_uses (&entry->suspect, theirs);
  for (unsigned i = 0; i < theirs->crash_count; i++)
    is_new |= add_crash (self, &entry->suspect, &theirs->crashes[i]);
  update_repeated (self, entry);
  if (entry->suspect.blamed_us == 0
      && theirs->blamed_us > entry->suspect.served_us)
    {
      blame (self, entry, theirs->blamed_us, false);
      is_new = true;
    }
  if (is_new || is_served_news (&entry->suspect, theirs))
    set_changed (self, entry, now_us);
  schedule_check (self, entry);
  return is_new;
}

static bool
was_at_crash (const struct eg_suspect *suspect, uint64_t server)
{
  for (unsigned i = 0; i < suspect->crash_count; i++)
    if (suspect->crashes[i].server == server)
      return true;
  return false;
}

/* Returns how many of the crashes of @p suspect @p other was not at. */
static unsigned
count_misses (const struct eg_suspect *other, const struct eg_suspect *suspect)
{
  unsigned misses = 0;

  for (unsigned i = 0; i < suspect->crash_count; i++)
    misses += !was_at_crash (other, suspect->crashes[i].server);
  return misses;
}

/* A part is common to several requests, so that a blamed request does not
 * explain what happened to the others. A blamed part does not explain what
 * happened to one that was at all of its crashes and at more. */
static bool
may_explain (const struct eg_suspect *other, const struct eg_suspect *suspect)
{
  if (other == suspect || other->blamed_us == 0)
    return false;
  if (suspect->subject.kind == EG_SUBJECT_REQUEST)
    return true;
  return other->subject.kind == EG_SUBJECT_PART
         && (other->crash_count == 0 || suspect->served_us > other->served_us
             || count_misses (suspect, other) > 0
             || count_misses (other, suspect) == 0);
}

/* Returns whether something that is already blamed was in flight at a crash. */
static bool
is_explained (const struct eg_crash_blame *self,
              const struct eg_suspect *suspect,
              const struct eg_crash *crash)
{
  for (const struct eg_list *at = self->blamed.next; at != &self->blamed;
       at = at->next)
    {
      const struct eg_suspect *other =
          &EG_CONTAINER_OF (at, struct entry, blamed)->suspect;

      if (was_at_crash (other, crash->server) && may_explain (other, suspect))
        return true;
    }
  return false;
}

/* Crashes that count against a suspect. */
struct evidence
{
  struct eg_crash crashes[EG_SUSPECT_CRASHES_MAX];
  unsigned crash_count;
  unsigned count;      /* Of those that are independent of each other. */
  int64_t decisive_us; /* Time of the crash that made it enough. */
};

/* Returns whether the part was at every crash around a moment that this VM
 * knows of. A loss of power ends servers that run something else, too. */
static bool
was_at_all_of_moment (const struct eg_crash_blame *self,
                      const struct eg_suspect *suspect,
                      int64_t first_us)
{
  const struct entry *other;
  size_t cursor = 0;

  while ((other = eg_map_next (&self->suspects, &cursor)))
    for (unsigned i = 0; i < other->suspect.crash_count; i++)
      {
        const struct eg_crash *crash = &other->suspect.crashes[i];

        if (llabs (crash->at_us - first_us) < SAME_MOMENT_US
            && !was_at_crash (suspect, crash->server))
          return false;
      }
  return true;
}

/* Returns what @p len crashes at the same moment count for. */
static unsigned
weigh_moment (const struct eg_crash_blame *self,
              const struct eg_suspect *suspect,
              const struct eg_crash *crashes,
              unsigned len)
{
  bool delivered = false;

  for (unsigned i = 0; i < len; i++)
    delivered |= crashes[i].delivered;
  if (len < 2 || delivered || suspect->subject.kind == EG_SUBJECT_REQUEST
      || !was_at_all_of_moment (self, suspect, crashes->at_us))
    return 1;
  if (len >= BURST_CRASHES)
    return get_crashes_min (self, suspect) + TIE_CRASHES;
  return len < SMALL_BURST_MAX ? len : SMALL_BURST_MAX;
}

static void
weigh_evidence (const struct eg_crash_blame *self,
                const struct eg_suspect *suspect,
                struct evidence *evidence)
{
  unsigned crashes_min = get_crashes_min (self, suspect);

  evidence->count = 0;
  evidence->decisive_us = 0;
  for (unsigned first = 0, end; first < evidence->crash_count; first = end)
    {
      const struct eg_crash *crashes = &evidence->crashes[first];
      bool was_enough = evidence->count >= crashes_min;

      end = first + 1;
      while (end < evidence->crash_count
             && evidence->crashes[end].at_us - crashes->at_us < SAME_MOMENT_US)
        end++;
      evidence->count += weigh_moment (self, suspect, crashes, end - first);
      if (!was_enough)
        evidence->decisive_us = crashes->at_us;
    }
}

/* Collects the crashes that nothing else explains. */
static void
collect_evidence (const struct eg_crash_blame *self,
                  const struct eg_suspect *suspect,
                  struct evidence *evidence)
{
  evidence->crash_count = 0;
  for (unsigned i = 0; i < suspect->crash_count; i++)
    if (!is_explained (self, suspect, &suspect->crashes[i]))
      evidence->crashes[evidence->crash_count++] = suspect->crashes[i];
  weigh_evidence (self, suspect, evidence);
}

static bool
has_delivered (const struct eg_suspect *suspect)
{
  for (unsigned i = 0; i < suspect->crash_count; i++)
    if (suspect->crashes[i].delivered)
      return true;
  return false;
}

/* Returns less than 0 if fewer requests hold the part @p a than @p b, or if it
 * stands later in their prompts. */
static int
compare_width (const struct eg_suspect *a, const struct eg_suspect *b)
{
  int a_requests = __builtin_popcountll (a->requests);
  int b_requests = __builtin_popcountll (b->requests);

  if (a->place == 0 || b->place == 0)
    return 0;
  if (a_requests != b_requests)
    return a_requests - b_requests;
  return a->place > b->place ? -1 : a->place < b->place;
}

/* Returns less than 0 if more speaks against @p a than against @p b: it was
 * never served, or longer ago; none of its runs delivered anything before they
 * ended; it was at more crashes. */
static int
compare_evidence (const struct eg_suspect *a, const struct eg_suspect *b)
{
  bool a_delivered = has_delivered (a);
  bool b_delivered = has_delivered (b);

  if (a->served_us != b->served_us)
    return a->served_us < b->served_us ? -1 : 1;
  if (a_delivered != b_delivered)
    return b_delivered ? -1 : 1;
  return (int) b->crash_count - (int) a->crash_count;
}

/* Returns less than 0 if @p a is more likely to crash servers than @p b: more
 * speaks against it, or it is the narrower part. */
static int
compare_likelihood (const struct eg_suspect *a, const struct eg_suspect *b)
{
  int order = compare_evidence (a, b);

  return order != 0 ? order : compare_width (a, b);
}

/* Returns whether @p other, which was at all crashes of @p suspect, is at least
 * as likely to have caused them. */
static bool
is_rival (const struct eg_crash_blame *self,
          const struct eg_suspect *other,
          const struct eg_suspect *suspect,
          unsigned count)
{
  int order;

  if (other->subject.kind != suspect->subject.kind)
    return other->subject.kind == EG_SUBJECT_REQUEST;
  if (other->blamed_us > 0)
    return false;
  order = compare_evidence (other, suspect);
  if (order != 0)
    return order < 0;
  if (compare_width (other, suspect) < 0)
    return true;
  return count < get_crashes_min (self, suspect) + TIE_CRASHES;
}

static bool
has_rival (const struct eg_crash_blame *self,
           const struct eg_suspect *suspect,
           const struct evidence *evidence)
{
  for (const struct eg_list *at = self->repeated.next; at != &self->repeated;
       at = at->next)
    {
      const struct eg_suspect *other = &repeated_entry (at)->suspect;
      bool covers =
          other != suspect && other->crash_count >= evidence->crash_count;

      for (unsigned i = 0; covers && i < evidence->crash_count; i++)
        covers = was_at_crash (other, evidence->crashes[i].server);
      if (covers && is_rival (self, other, suspect, evidence->count))
        return true;
    }
  return false;
}

/* Schedules a check for @p due_us; returns whether that is still to come. */
static bool
is_due_later (struct eg_crash_blame *self, int64_t due_us, int64_t now_us)
{
  if (now_us >= due_us)
    return false;
  if (due_us < self->check_due_us)
    self->check_due_us = due_us;
  return true;
}

/* Returns whether a suspect may be blamed now; if not yet, schedules another
 * look at it. As many crashes as are needed were not all before the moment that
 * decides, so that nothing is due sooner than with the last of them. */
static bool
may_be_blamed (struct eg_crash_blame *self,
               const struct eg_suspect *suspect,
               int64_t now_us)
{
  struct evidence evidence;
  unsigned crashes_min = get_crashes_min (self, suspect);
  int64_t settle_us = self->config.settle_us;
  int64_t earliest_us;

  if (suspect->blamed_us > 0 || suspect->crash_count < crashes_min)
    return false;
  earliest_us = suspect->crashes[crashes_min - 1].at_us - SAME_MOMENT_US;
  if (is_due_later (self, earliest_us + settle_us, now_us))
    return false;
  collect_evidence (self, suspect, &evidence);
  return evidence.count >= crashes_min
         && !is_due_later (self, evidence.decisive_us + settle_us, now_us)
         && !has_rival (self, suspect, &evidence);
}

static struct entry *
find_most_likely (struct eg_crash_blame *self, int64_t now_us)
{
  struct entry *found = NULL;

  for (struct eg_list *at = self->repeated.next; at != &self->repeated;
       at = at->next)
    {
      struct entry *entry = repeated_entry (at);

      if ((!found || compare_likelihood (&entry->suspect, &found->suspect) < 0)
          && may_be_blamed (self, &entry->suspect, now_us))
        found = entry;
    }
  return found;
}

static void
decide_blame (struct eg_crash_blame *self, struct entry *entry, int64_t now_us)
{
  blame (self, entry, now_us, true);
  set_changed (self, entry, now_us);
}

static bool
was_at_same_crashes (const struct eg_suspect *a, const struct eg_suspect *b)
{
  if (a->crash_count != b->crash_count)
    return false;
  for (unsigned i = 0; i < a->crash_count; i++)
    if (!was_at_crash (b, a->crashes[i].server))
      return false;
  return true;
}

/* Blames what nothing tells from a suspect that was just blamed: any of them
 * may be the cause, and the others explain its crashes from now on. */
static void
blame_equals (struct eg_crash_blame *self,
              const struct eg_suspect *blamed,
              int64_t now_us)
{
  for (struct eg_list *at = self->repeated.next; at != &self->repeated;
       at = at->next)
    {
      struct entry *entry = repeated_entry (at);

      if (entry->suspect.blamed_us == 0
          && entry->suspect.subject.kind == blamed->subject.kind
          && was_at_same_crashes (&entry->suspect, blamed)
          && compare_likelihood (&entry->suspect, blamed) == 0)
        decide_blame (self, entry, now_us);
    }
}

static void
forget_old (struct eg_crash_blame *self, int64_t now_us)
{
  while (!eg_list_is_empty (&self->by_change)
         && now_us - oldest (self)->changed_us > self->config.window_us)
    remove_entry (self, oldest (self));
}

void
eg_crash_blame_check (struct eg_crash_blame *self, int64_t now_us)
{
  struct entry *entry;

  forget_old (self, now_us);
  if (now_us < self->check_due_us)
    return;
  self->check_due_us = INT64_MAX;
  /* Each verdict may explain the crashes of others. */
  while ((entry = find_most_likely (self, now_us)))
    {
      decide_blame (self, entry, now_us);
      blame_equals (self, &entry->suspect, now_us);
    }
}

bool
eg_crash_blame_is_blamed (const struct eg_crash_blame *self,
                          struct eg_subject subject,
                          int64_t now_us,
                          int64_t *retry_after_us)
{
  return eg_quarantine_is_active (self->quarantine, get_key (subject), now_us,
                                  retry_after_us);
}

unsigned
eg_crash_blame_crash_count (const struct eg_crash_blame *self,
                            struct eg_subject subject)
{
  const struct entry *entry = find_entry (self, subject);

  return entry ? entry->suspect.crash_count : 0;
}

/* Returns whether a part is among the first @p count ones of a prompt. */
static bool
is_among (const struct eg_crash_subjects *subjects, size_t count, uint64_t part)
{
  for (size_t i = 0; i < count; i++)
    if (subjects->parts[i] == part)
      return true;
  return false;
}

static bool
holds (const struct eg_crash_subjects *subjects, uint64_t part)
{
  return is_among (subjects, subjects->part_count, part);
}

/* Returns the suspect to judge for the part at a position, or NULL: none, or it
 * also stands earlier in the prompt. */
static struct entry *
find_part (const struct eg_crash_blame *self,
           const struct eg_crash_subjects *subjects,
           size_t position)
{
  uint64_t part = subjects->parts[position];
  struct entry *entry =
      find_entry (self, (struct eg_subject){EG_SUBJECT_PART, part});

  return entry && !is_among (subjects, position, part) ? entry : NULL;
}

static bool
is_of_one_request (const struct eg_suspect *part)
{
  return __builtin_popcountll (part->requests) < 2;
}

static bool
is_of_one_moment (const struct eg_suspect *suspect)
{
  return suspect->crashes[suspect->crash_count - 1].at_us
             - suspect->crashes[0].at_us
         < SAME_MOMENT_US;
}

/* Returns whether @p other may be what crashed servers in place of the blamed
 * part. What was at fewer than REPEATED_MIN crashes misses too many of the four
 * or more of a blamed part. */
static bool
explains_as_well (const struct eg_suspect *other,
                  const struct eg_suspect *blamed)
{
  unsigned misses_max = compare_width (other, blamed) < 0 ? MISSES_MAX : 0;

  return other != blamed && other->subject.kind == EG_SUBJECT_PART
         && other->crash_count + misses_max >= blamed->crash_count
         && other->served_us <= blamed->served_us && !is_of_one_request (other)
         && count_misses (other, blamed) <= misses_max;
}

size_t
eg_crash_blame_collect_rivals (const struct eg_crash_blame *self,
                               struct eg_subject subject,
                               const struct eg_suspect **suspects,
                               size_t max)
{
  const struct entry *entry = find_entry (self, subject);
  size_t count = 0;

  if (!entry || entry->suspect.blamed_us == 0 || !entry->is_repeated
      || max == 0)
    return 0;
  suspects[count++] = &entry->suspect;
  for (const struct eg_list *at = self->repeated.next;
       at != &self->repeated && count < max; at = at->next)
    {
      const struct eg_suspect *other = &repeated_entry (at)->suspect;

      if (explains_as_well (other, &entry->suspect))
        suspects[count++] = other;
    }
  return count;
}

/* Returns whether a run of the request would tell whether the blamed part or
 * another one crashes servers. */
static bool
would_tell (const struct eg_crash_blame *self,
            const struct eg_suspect *blamed,
            const struct eg_crash_subjects *subjects)
{
  for (const struct eg_list *at = self->repeated.next; at != &self->repeated;
       at = at->next)
    {
      const struct eg_suspect *other = &repeated_entry (at)->suspect;

      if (explains_as_well (other, blamed)
          && !holds (subjects, other->subject.id))
        return true;
    }
  return false;
}

static int64_t
last_crash_us (const struct eg_suspect *suspect)
{
  return suspect->crashes[suspect->crash_count - 1].at_us;
}

/* Returns how many VMs may try a request with a part, of which @p vms may do so
 * at once. */
static uint32_t
count_trial_vms (const struct eg_suspect *suspect, uint32_t vms, int64_t now_us)
{
  int64_t reached = 1 + (now_us - last_crash_us (suspect)) / TRIAL_STEP_US;

  if (reached >= TRIAL_VMS_MAX)
    return TRIAL_VMS_MAX;
  return reached > vms ? (uint32_t) reached : vms;
}

static uintptr_t
count_unconfirmed (const struct eg_crash_blame *self, uint64_t key)
{
  return (uintptr_t) eg_map_get (&self->unconfirmed, key);
}

/* Judges a request with a part that is blamed, or was at as many crashes. */
static struct eg_crash_verdict
judge_part (const struct eg_crash_blame *self,
            const struct entry *entry,
            const struct eg_crash_subjects *subjects,
            int64_t now_us)
{
  const struct eg_suspect *suspect = &entry->suspect;
  struct eg_crash_verdict verdict = {.subject = suspect->subject};
  bool is_known = suspect->crash_count >= get_crashes_min (self, suspect);
  bool is_doubtful = false;
  int64_t trial_left_us = entry->tried_us + TRIAL_US - now_us;

  if (eg_crash_blame_is_blamed (self, suspect->subject, now_us,
                                &verdict.retry_after_us))
    {
      is_doubtful = is_known && is_of_one_moment (suspect);
      /* Of a verdict from the store the crashes are not known. */
      verdict.ruling = EG_CRASH_REFUSE;
      if (!is_known || (!is_doubtful && !would_tell (self, suspect, subjects)))
        return verdict;
    }
  else if (!is_known)
    return verdict;
  verdict.ruling = EG_CRASH_TRY;
  verdict.retry_after_us = 0;
  verdict.vms_max =
      count_trial_vms (suspect, is_doubtful ? 1 : TRIAL_VMS, now_us);
  if (entry->tried_us > 0 && trial_left_us > 0)
    verdict.retry_after_us = trial_left_us;
  else if (count_unconfirmed (self, get_key (suspect->subject)) > 0)
    verdict.retry_after_us = TRIAL_US;
  if (verdict.retry_after_us > 0)
    verdict.ruling = EG_CRASH_HOLD;
  return verdict;
}

struct eg_crash_verdict
eg_crash_blame_judge (const struct eg_crash_blame *self,
                      const struct eg_crash_subjects *subjects,
                      int64_t now_us)
{
  struct eg_crash_verdict worst = {
      .subject = {EG_SUBJECT_REQUEST, subjects->request}};

  if (eg_crash_blame_is_blamed (self, worst.subject, now_us,
                                &worst.retry_after_us))
    {
      worst.ruling = EG_CRASH_REFUSE;
      return worst;
    }
  for (size_t i = 0; i < subjects->part_count; i++)
    {
      const struct entry *entry = find_part (self, subjects, i);
      struct eg_crash_verdict verdict;

      if (!entry)
        continue;
      verdict = judge_part (self, entry, subjects, now_us);
      if (verdict.ruling == EG_CRASH_REFUSE)
        return verdict;
      if (verdict.ruling > worst.ruling
          || (verdict.ruling == worst.ruling && verdict.vms_max > 0
              && (worst.vms_max == 0 || verdict.vms_max < worst.vms_max)))
        worst = verdict;
    }
  return worst;
}

void
eg_crash_blame_record_sent (struct eg_crash_blame *self,
                            const struct eg_crash_subjects *subjects,
                            int64_t now_us)
{
  for (size_t i = 0; i < subjects->part_count; i++)
    {
      struct entry *entry = find_part (self, subjects, i);

      if (entry
          && judge_part (self, entry, subjects, now_us).ruling == EG_CRASH_TRY)
        entry->tried_us = now_us;
    }
}

void
eg_crash_blame_record_not_run (struct eg_crash_blame *self,
                               const struct eg_crash_subjects *subjects,
                               int64_t sent_us)
{
  for (size_t i = 0; i < subjects->part_count; i++)
    {
      struct entry *entry = find_entry (
          self, (struct eg_subject){EG_SUBJECT_PART, subjects->parts[i]});

      /* The trial may be that of another request. */
      if (entry && entry->tried_us == sent_us)
        entry->tried_us = 0;
    }
}

void
eg_crash_blame_record_unconfirmed (struct eg_crash_blame *self,
                                   const struct eg_crash_subjects *subjects)
{
  for (size_t i = 0; i < subjects->part_count; i++)
    {
      uint64_t key =
          get_key ((struct eg_subject){EG_SUBJECT_PART, subjects->parts[i]});

      /* The map holds the numbers in place of pointers to them. */
      eg_map_put (&self->unconfirmed, key,
                  (void *) (count_unconfirmed (self, key) + 1));
    }
}

void
eg_crash_blame_record_confirmed (struct eg_crash_blame *self,
                                 const struct eg_crash_subjects *subjects)
{
  for (size_t i = 0; i < subjects->part_count; i++)
    {
      uint64_t key =
          get_key ((struct eg_subject){EG_SUBJECT_PART, subjects->parts[i]});
      uintptr_t count = count_unconfirmed (self, key);

      if (count > 1)
        eg_map_put (&self->unconfirmed, key, (void *) (count - 1));
      else
        eg_map_remove (&self->unconfirmed, key);
    }
}

void
eg_crash_blame_visit_blamed (const struct eg_crash_blame *self,
                             void (*visit) (void *context,
                                            const struct eg_suspect *suspect),
                             void *context)
{
  for (const struct eg_list *at = self->blamed.next; at != &self->blamed;
       at = at->next)
    visit (context, &EG_CONTAINER_OF (at, struct entry, blamed)->suspect);
}

bool
eg_crash_blame_has_news (const struct eg_crash_blame *self)
{
  return !eg_list_is_empty (&self->news);
}

size_t
eg_crash_blame_take_news (struct eg_crash_blame *self,
                          const struct eg_suspect **suspects,
                          size_t max)
{
  struct eg_list again;
  struct eg_list *link;
  size_t count = 0;

  eg_list_init (&again);
  while (count < max && (link = eg_list_pop_front (&self->news)))
    {
      struct entry *entry = EG_CONTAINER_OF (link, struct entry, news);

      suspects[count++] = &entry->suspect;
      if (--entry->rounds_left > 0)
        eg_list_append (&again, link);
    }
  while ((link = eg_list_pop_front (&again)))
    eg_list_append (&self->news, link);
  return count;
}

static bool
is_in_summary (const struct eg_suspect *suspect)
{
  return suspect->blamed_us > 0 || suspect->crash_count > 1;
}

size_t
eg_crash_blame_take_summary (struct eg_crash_blame *self,
                             const struct eg_suspect **suspects,
                             size_t max)
{
  size_t position = 0;
  size_t count = 0;

  for (struct eg_list *at = self->by_change.next;
       at != &self->by_change && count < max; at = at->next)
    {
      const struct entry *entry = EG_CONTAINER_OF (at, struct entry, by_change);

      if (is_in_summary (&entry->suspect)
          && position++ >= self->summary_position)
        suspects[count++] = &entry->suspect;
    }
  self->summary_position = count == max ? self->summary_position + count : 0;
  return count;
}
