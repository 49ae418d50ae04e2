#include "entry/crash_watch.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "entry/entry.h"
#include "entry/suspect_codec.h"

/* What was in flight at so many crashes is refused. Parts are shared by more
 * requests, so that more of them are in flight by chance. */
#define REQUEST_CRASHES_MIN 3
#define PART_CRASHES_MIN 4
/* Crashes this soon after it was served do not count against a subject: while
 * servers crash, one that few requests have is not served all the time. */
#define TRUST_US (2 * EG_US_PER_S)
/* Long enough for a sound run elsewhere to show that it is, and for the news of
 * that to arrive. */
#define SETTLE_US EG_SOUND_RUN_US
/* Prompts of some 900 parts fill a head of 12 KB; the parts of several crashes
 * must find room, though most of them are in no other request. */
#define SUSPECTS_MAX 8192
/* A server that is not found to have ended within this time of a lost
 * connection has not crashed. The store tells after three missed heartbeats. */
#define CONFIRM_TIMEOUT_US (6 * EG_US_PER_S)
/* A server that has not ended this long after a short run was not crashed by
 * it: the end of a server shows within a few hundred milliseconds. */
#define SHORT_RUN_PROOF_US (1 * EG_US_PER_S)
/* A server that ends this long after the caller of a run has left has dropped
 * the run before. */
#define LEFT_RUN_PROOF_US (1 * EG_US_PER_S)
/* When the server of such a run is checked, unless something came from it. */
#define LEFT_RUN_CHECK_US (200 * EG_US_PER_MS)
#define LEFT_RUN_CHECK_AGAIN_US (700 * EG_US_PER_MS)
/* Runs beyond that are dropped, the oldest first. */
#define RUNS_MAX 1024
/* Parts of prompts of all runs; beyond that the oldest runs are dropped, too.
 */
#define RUN_PARTS_MAX 65536
/* When a request that another VM may try is to come again. */
#define TRIAL_WAIT_US (1 * EG_US_PER_S)
#define CRASH_MESSAGE_KIND "crashes"
#define NEWS_INTERVAL_US (100 * EG_US_PER_MS)
#define NEWS_MESSAGES_MAX 3
#define SUMMARY_INTERVAL_US (500 * EG_US_PER_MS)
/* As many suspects fit into a datagram, with all their crashes. */
#define SUSPECTS_PER_MESSAGE 12
/* News goes to all members, if they are as many at most, and otherwise to this
 * many random ones. */
#define FANOUT_ALL_MAX 16
#define FANOUT 6

/* How a run ended. */
enum run_end
{
  RUN_LOST,     /* Its connection ended. */
  RUN_COMPLETE, /* Well, but soon after it began. */
  RUN_LEFT,     /* Its caller left. */
};

/* A run whose server may have crashed under it or soon after. */
struct watched_run
{
  struct eg_list link;
  struct eg_backend *backend; /* Referenced. */
  int64_t start_ms;           /* Of the server. */
  int64_t ended_us;
  enum run_end end;
  bool delivered;                    /* Something, before it ended. */
  struct eg_crash_subjects subjects; /* Its parts follow. */
  uint64_t parts[];
};

static const char *const kind_names[EG_SUBJECT_KINDS] =
    {[EG_SUBJECT_REQUEST] = "request", [EG_SUBJECT_PART] = "part"};

static void
on_blamed (void *context, const struct eg_suspect *suspect, bool decided)
{
  struct eg_crash_watch *self = context;

  if (decided)
    eg_quarantine_store_add (&self->entry->quarantine_store, suspect);
  eg_log (EG_LOG_WARNING, "crashes",
          "event=quarantined kind=%s subject=%" PRIx64
          " crashes=%u for_s=%" PRId64,
          kind_names[suspect->subject.kind], suspect->subject.id,
          suspect->crash_count, EG_QUARANTINE_US / EG_US_PER_S);
}

static void
on_cleared (void *context, const struct eg_suspect *suspect)
{
  struct eg_crash_watch *self = context;

  eg_quarantine_store_remove (&self->entry->quarantine_store, suspect);
  eg_log (EG_LOG_WARNING, "crashes",
          "event=quarantine-ended kind=%s subject=%" PRIx64
          " cause=\"it was served\"",
          kind_names[suspect->subject.kind], suspect->subject.id);
}

static struct watched_run *
run_from_link (struct eg_list *link)
{
  return EG_CONTAINER_OF (link, struct watched_run, link);
}

/* Frees a run that is not in the list any more. */
static void
free_run (struct eg_crash_watch *self, struct watched_run *run)
{
  self->run_count--;
  self->run_part_count -= run->subjects.part_count;
  if (run->end != RUN_LEFT)
    eg_crash_blame_record_confirmed (&self->blame, &run->subjects);
  eg_backend_unref (run->backend);
  free (run);
}

void
eg_crash_watch_finish (struct eg_crash_watch *self)
{
  struct eg_list *link;

  while ((link = eg_list_pop_front (&self->runs)))
    free_run (self, run_from_link (link));
  eg_crash_blame_finish (&self->blame);
}

/* The same on all VMs. */
static uint64_t
hash_start (const struct eg_backend *backend, int64_t start_ms)
{
  return eg_hash_mix (eg_hash_str (eg_str_from (backend->record.id))
                      ^ (uint64_t) start_ms);
}

static void
log_suspected (const struct watched_run *run,
               struct eg_subject subject,
               int64_t now_us)
{
  eg_log (EG_LOG_NOTICE, "crashes",
          "event=suspected kind=%s subject=%" PRIx64
          " server=%s start_ms=%" PRId64 " confirmed_ms=%" PRId64,
          kind_names[subject.kind], subject.id, run->backend->record.id,
          run->start_ms, (now_us - run->ended_us) / EG_US_PER_MS);
}

/* Most parts are in no other request, so that only those that were at several
 * crashes are logged. */
static void
count_crash (struct eg_crash_watch *self,
             const struct watched_run *run,
             int64_t now_us)
{
  const struct eg_crash crash = {hash_start (run->backend, run->start_ms),
                                 run->ended_us, run->delivered};
  const struct eg_crash_subjects *subjects = &run->subjects;
  struct eg_subject subject = {EG_SUBJECT_REQUEST, subjects->request};

  if (eg_crash_blame_record_crash (&self->blame, subject, &crash, now_us))
    log_suspected (run, subject, now_us);
  for (size_t i = 0; i < subjects->part_count; i++)
    {
      const struct eg_part_use use = {subjects->request, (uint32_t) i + 1};

      subject = (struct eg_subject){EG_SUBJECT_PART, subjects->parts[i]};
      if (eg_crash_blame_record_part_crash (&self->blame, subject.id, &use,
                                            &crash, now_us)
          && eg_crash_blame_crash_count (&self->blame, subject) > 1)
        log_suspected (run, subject, now_us);
    }
}

void
eg_crash_watch_served (struct eg_crash_watch *self,
                       const struct eg_crash_subjects *subjects,
                       int64_t now_us)
{
  eg_crash_blame_record_served (
      &self->blame, (struct eg_subject){EG_SUBJECT_REQUEST, subjects->request},
      now_us);
  for (size_t i = 0; i < subjects->part_count; i++)
    eg_crash_blame_record_served (
        &self->blame, (struct eg_subject){EG_SUBJECT_PART, subjects->parts[i]},
        now_us);
}

void
eg_crash_watch_path_back (struct eg_crash_watch *self,
                          int64_t lost_us,
                          int64_t now_us)
{
  eg_crash_blame_record_idle (&self->blame, lost_us, now_us);
}

struct eg_crash_verdict
eg_crash_watch_judge (const struct eg_crash_watch *self,
                      const struct eg_crash_subjects *subjects,
                      int64_t now_us)
{
  struct eg_crash_verdict verdict =
      eg_crash_blame_judge (&self->blame, subjects, now_us);

  if (verdict.ruling == EG_CRASH_TRY && verdict.vms_max > 0
      && eg_members_rank_for (&self->entry->members, verdict.subject.id)
             >= verdict.vms_max)
    {
      verdict.ruling = EG_CRASH_HOLD;
      verdict.retry_after_us = TRIAL_WAIT_US;
    }
  return verdict;
}

void
eg_crash_watch_sent (struct eg_crash_watch *self,
                     const struct eg_crash_subjects *subjects,
                     int64_t now_us)
{
  struct eg_crash_verdict verdict =
      eg_crash_blame_judge (&self->blame, subjects, now_us);

  if (verdict.ruling != EG_CRASH_TRY)
    return;
  eg_log (EG_LOG_NOTICE, "crashes",
          "event=trial kind=%s subject=%" PRIx64 " fingerprint=%016" PRIx64,
          kind_names[verdict.subject.kind], verdict.subject.id,
          subjects->request);
  eg_crash_blame_record_sent (&self->blame, subjects, now_us);
}

void
eg_crash_watch_not_run (struct eg_crash_watch *self,
                        const struct eg_crash_subjects *subjects,
                        int64_t sent_us)
{
  eg_crash_blame_record_not_run (&self->blame, subjects, sent_us);
}

/* Returns whether a run with so many parts has no room. */
static bool
is_full (const struct eg_crash_watch *self, size_t part_count)
{
  return self->run_count >= RUNS_MAX
         || self->run_part_count + part_count > RUN_PARTS_MAX;
}

static void
watch_run (struct eg_crash_watch *self,
           struct eg_backend *backend,
           const struct eg_crash_subjects *subjects,
           enum run_end end,
           bool delivered,
           int64_t now_us)
{
  const size_t part_count = subjects->part_count;
  struct watched_run *run;

  if (eg_backend_is_leaving (backend))
    return;
  /* Many callers may leave at the same time; that says little. */
  if (end == RUN_LEFT && is_full (self, part_count))
    return;
  while (self->run_count > 0 && is_full (self, part_count))
    free_run (self, run_from_link (eg_list_pop_front (&self->runs)));
  run = calloc (1, sizeof *run + part_count * sizeof *run->parts);
  EG_INVARIANT (run);
  run->backend = backend;
  run->start_ms = backend->record.start_ms;
  run->ended_us = now_us;
  run->end = end;
  run->delivered = delivered;
  if (part_count > 0)
    memcpy (run->parts, subjects->parts, part_count * sizeof *run->parts);
  run->subjects =
      (struct eg_crash_subjects){subjects->request, run->parts, part_count};
  self->run_part_count += part_count;
  if (end != RUN_LEFT)
    eg_crash_blame_record_unconfirmed (&self->blame, &run->subjects);
  eg_backend_ref (backend);
  eg_list_append (&self->runs, &run->link);
  self->run_count++;
}

void
eg_crash_watch_run_lost (struct eg_crash_watch *self,
                         struct eg_backend *backend,
                         const struct eg_crash_subjects *subjects,
                         bool delivered,
                         int64_t now_us)
{
  watch_run (self, backend, subjects, RUN_LOST, delivered, now_us);
}

void
eg_crash_watch_run_ended (struct eg_crash_watch *self,
                          struct eg_backend *backend,
                          const struct eg_crash_subjects *subjects,
                          int64_t now_us)
{
  watch_run (self, backend, subjects, RUN_COMPLETE, true, now_us);
}

void
eg_crash_watch_run_left (struct eg_crash_watch *self,
                         struct eg_backend *backend,
                         const struct eg_crash_subjects *subjects,
                         bool delivered,
                         int64_t now_us)
{
  watch_run (self, backend, subjects, RUN_LEFT, delivered, now_us);
}

static bool
has_ended (const struct watched_run *run)
{
  return run->backend->ended_us > 0
         || run->backend->record.start_ms != run->start_ms;
}

/* Returns whether nothing more is to be found out about a run that was complete
 * soon after it began. */
static bool
check_complete_run (struct eg_crash_watch *self,
                    const struct watched_run *run,
                    int64_t now_us)
{
  if (has_ended (run))
    return true;
  if (now_us - run->ended_us < SHORT_RUN_PROOF_US)
    return false;
  /* Whether a server that refuses connections has ended may show only later,
   * when a server can be connected to, or when no peer reaches one either. */
  if (run->backend->refused_us > 0)
    return now_us - run->ended_us >= CONFIRM_TIMEOUT_US;
  eg_crash_watch_served (self, &run->subjects, now_us);
  return true;
}

/* Counts a run whose caller left if its server is found to have ended soon
 * after. A record that is removed so soon is that of a server that leaves. */
static bool
check_left_run (struct eg_crash_watch *self,
                const struct watched_run *run,
                int64_t now_us)
{
  int64_t age_us = now_us - run->ended_us;
  int64_t since_us =
      run->ended_us
      + (age_us < LEFT_RUN_CHECK_AGAIN_US ? LEFT_RUN_CHECK_US
                                          : LEFT_RUN_CHECK_AGAIN_US);

  if (has_ended (run))
    {
      if (run->backend->listed)
        count_crash (self, run, now_us);
      return true;
    }
  if (now_us > since_us && !eg_backend_is_seen (run->backend, since_us))
    eg_backend_check_alive (run->backend, since_us, now_us);
  return age_us >= LEFT_RUN_PROOF_US;
}

/* Counts a lost run whose server is known to have ended. Returns whether
 * nothing more is to be found out about it. */
static bool
check_lost_run (struct eg_crash_watch *self,
                const struct watched_run *run,
                int64_t now_us)
{
  struct eg_backend *backend = run->backend;

  if (has_ended (run))
    {
      count_crash (self, run, now_us);
      return true;
    }
  if (backend->alive_us > run->ended_us || eg_backend_is_leaving (backend)
      || now_us - run->ended_us >= CONFIRM_TIMEOUT_US)
    return true;
  eg_backend_check_alive (backend, run->ended_us, now_us);
  return false;
}

static void
on_message (void *context,
            struct eg_endpoint from,
            const json_t *message,
            int64_t now_us)
{
  struct eg_crash_watch *self = context;
  const json_t *suspects = json_object_get (message, "suspects");
  const json_t *document;
  size_t index;

  (void) from;
  json_array_foreach (suspects, index, document)
  {
    struct eg_suspect suspect;

    if (eg_suspect_decode (&suspect, document, now_us))
      eg_crash_blame_merge (&self->blame, &suspect, now_us);
    else
      eg_log (EG_LOG_WARNING, "crashes", "event=message-unreadable");
  }
}

/* Formats a message; to be freed with free(). */
static char *
format_message (const struct eg_suspect *const *suspects,
                size_t count,
                int64_t now_us)
{
  json_t *list = json_array ();
  json_t *message;
  char *text;

  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, eg_suspect_encode (suspects[i], now_us));
  message =
      json_pack ("{s:s, s:o}", "kind", CRASH_MESSAGE_KIND, "suspects", list);
  text = json_dumps (message, JSON_COMPACT);
  json_decref (message);
  return text;
}

/* Sends a message to the member at @p position, unless that is this VM. */
static void
send_to_member (struct eg_crash_watch *self, size_t position, const char *text)
{
  const struct eg_members *members = &self->entry->members;
  const struct eg_list *at = members->all.next;

  for (; at != &members->all && position > 0; position--)
    at = at->next;
  if (at != &members->all
      && !eg_members_is_own (
          members, EG_CONTAINER_OF (at, struct eg_member, all)->endpoint))
    eg_vm_messages_send (&self->entry->vm_messages,
                         EG_CONTAINER_OF (at, struct eg_member, all)->endpoint,
                         eg_str_from (text));
}

static void
send_news (struct eg_crash_watch *self, int64_t now_us)
{
  const struct eg_suspect *suspects[SUSPECTS_PER_MESSAGE];
  size_t count =
      eg_crash_blame_take_news (&self->blame, suspects, SUSPECTS_PER_MESSAGE);
  char *text = format_message (suspects, count, now_us);
  unsigned members = eg_members_count (&self->entry->members);
  unsigned fanout = members > FANOUT_ALL_MAX ? FANOUT : members;

  for (unsigned i = 0; i < fanout; i++)
    send_to_member (
        self,
        fanout == members ? i : eg_random_below (&self->entry->random, members),
        text);
  free (text);
}

static bool
send_due_news (void *context, int64_t now_us)
{
  struct eg_crash_watch *self = context;
  int sent = 0;

  while (sent < NEWS_MESSAGES_MAX && eg_crash_blame_has_news (&self->blame))
    {
      send_news (self, now_us);
      sent++;
    }
  return sent > 0;
}

/* Tells one VM, each in its turn, what it may have missed: one that was cut off
 * or has started again knows it after a few messages. */
static void
send_summary (struct eg_crash_watch *self, int64_t now_us)
{
  const struct eg_suspect *suspects[SUSPECTS_PER_MESSAGE];
  size_t count = eg_crash_blame_take_summary (&self->blame, suspects,
                                              SUSPECTS_PER_MESSAGE);
  char *text;

  if (count == 0)
    return;
  text = format_message (suspects, count, now_us);
  send_to_member (
      self, self->summary_member++ % eg_members_count (&self->entry->members),
      text);
  free (text);
}

void
eg_crash_watch_init (struct eg_crash_watch *self, struct eg_entry *entry)
{
  const struct eg_crash_blame_config config = {
      .crashes_min = {[EG_SUBJECT_REQUEST] = REQUEST_CRASHES_MIN,
                      [EG_SUBJECT_PART] = PART_CRASHES_MIN},
      .settle_us = SETTLE_US,
      .trust_us = TRUST_US,
      .window_us = EG_QUARANTINE_US,
      .duration_us = EG_QUARANTINE_US,
      .suspects_max = SUSPECTS_MAX};
  const struct eg_crash_blame_events events = {on_blamed, on_cleared, self};
  const struct eg_vm_message_type type = {.name = EG_STR (CRASH_MESSAGE_KIND),
                                          .receive = on_message,
                                          .send = send_due_news,
                                          .period_us = NEWS_INTERVAL_US,
                                          .context = self};

  memset (self, 0, sizeof *self);
  self->entry = entry;
  eg_list_init (&self->runs);
  EG_INVARIANT (eg_crash_blame_init (&self->blame, &config, &events));
  EG_INVARIANT (eg_vm_messages_register (&entry->vm_messages, &type));
}

void
eg_crash_watch_check (struct eg_crash_watch *self, int64_t now_us)
{
  static bool (*const checks[]) (struct eg_crash_watch * self,
                                 const struct watched_run *run,
                                 int64_t now_us) = {
      [RUN_LOST] = check_lost_run,
      [RUN_COMPLETE] = check_complete_run,
      [RUN_LEFT] = check_left_run,
  };

  for (struct eg_list *at = self->runs.next; at != &self->runs;)
    {
      struct watched_run *run = run_from_link (at);

      at = at->next;
      if (checks[run->end](self, run, now_us))
        {
          eg_list_remove (&run->link);
          free_run (self, run);
        }
    }
  eg_crash_blame_check (&self->blame, now_us);
  if (self->entry->members.lists_read == 0)
    return;
  if (now_us - self->summary_sent_us >= SUMMARY_INTERVAL_US)
    {
      self->summary_sent_us = now_us;
      send_summary (self, now_us);
    }
}
