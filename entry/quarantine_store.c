#include "entry/quarantine_store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"
#include "entry/suspect_codec.h"

#define QUARANTINE_KIND "eelgrasswood-quarantines"
#define CALL_TIMEOUT_US (1500 * EG_US_PER_MS)
#define RETRY_DELAY_US (500 * EG_US_PER_MS)
#define RETRY_DOUBLINGS_MAX 4
/* Interval between lists while other failure domains are not heard. */
#define LIST_INTERVAL_US (1000 * EG_US_PER_MS)

static const char *const kind_names[EG_SUBJECT_KINDS] =
    {[EG_SUBJECT_REQUEST] = "request", [EG_SUBJECT_PART] = "part"};

static void
format_name (struct eg_subject subject, char *name, size_t capacity)
{
  snprintf (name, capacity, "%s-%016" PRIx64, kind_names[subject.kind],
            subject.id);
}

static bool
parse_name (const char *name, struct eg_subject *subject)
{
  for (int kind = 0; name && kind < EG_SUBJECT_KINDS; kind++)
    {
      size_t len = strlen (kind_names[kind]);
      char *end;

      if (strncmp (name, kind_names[kind], len) != 0 || name[len] != '-')
        continue;
      subject->kind = (enum eg_subject_kind) kind;
      subject->id = strtoull (name + len + 1, &end, 16);
      return end > name + len + 1 && *end == '\0';
    }
  return false;
}

static void
add_change (struct eg_quarantine_store *self,
            struct eg_subject subject,
            int64_t blamed_us)
{
  if (self->change_count == EG_QUARANTINE_CHANGES_MAX)
    {
      eg_log (EG_LOG_WARNING, "crashes",
              "event=quarantine-not-stored outcome=queue-full waiting=%zu",
              self->change_count);
      return;
    }
  self->changes[self->change_count++] =
      (struct eg_quarantine_change){subject, blamed_us};
}

static void
drop_first_change (struct eg_quarantine_store *self)
{
  memmove (self->changes, self->changes + 1,
           --self->change_count * sizeof *self->changes);
}

/* A time further ahead than a quarantine lasts is none that a VM has written;
 * the quarantine would not end. */
static bool
is_time (const json_t *ms)
{
  return json_is_integer (ms) && json_integer_value (ms) >= 0
         && json_integer_value (ms)
                <= (eg_clock_wall_us () + EG_QUARANTINE_US) / EG_US_PER_MS;
}

/* Adds the crashes of a blamed part, and what may have caused them in its
 * place. A VM that knows them has them from runs of its own or from other VMs.
 */
static void
apply_suspects (struct eg_quarantine_store *self,
                struct eg_subject subject,
                const json_t *spec,
                int64_t now_us)
{
  struct eg_crash_blame *blame = &self->entry->crash_watch.blame;
  const json_t *written = json_object_get (spec, "written_ms");
  const json_t *document;
  int64_t age_us;
  size_t index;

  if (!is_time (written) || eg_crash_blame_crash_count (blame, subject) > 0
      || !eg_crash_blame_is_blamed (blame, subject, now_us, NULL))
    return;
  age_us = eg_clock_wall_us () - json_integer_value (written) * EG_US_PER_MS;
  if (age_us < 0)
    age_us = 0;
  json_array_foreach (json_object_get (spec, "suspects"), index, document)
  {
    struct eg_suspect suspect;

    if (eg_suspect_decode (&suspect, document, now_us - age_us))
      eg_crash_blame_merge (blame, &suspect, now_us);
    else
      eg_log (EG_LOG_WARNING, "crashes",
              "event=suspect-unreadable part=%016" PRIx64 " position=%zu",
              subject.id, index);
  }
}

/* The age is kept as a time of day, the only clock that VMs share. */
static void
apply_object (struct eg_quarantine_store *self,
              const json_t *object,
              int64_t now_us)
{
  const char *name = eg_store_object_name (object);
  const json_t *spec = eg_store_object_spec (object);
  const json_t *blamed = json_object_get (spec, "blamed_ms");
  struct eg_suspect suspect = {.blamed_us = 1};
  int64_t age_us;

  if (!parse_name (name, &suspect.subject) || !is_time (blamed))
    {
      eg_log (EG_LOG_WARNING, "crashes",
              "event=quarantine-unreadable name=%s blamed_ms=%" PRId64,
              name ? name : "-", (int64_t) json_integer_value (blamed));
      return;
    }
  age_us = eg_clock_wall_us () - json_integer_value (blamed) * EG_US_PER_MS;
  if (age_us >= EG_QUARANTINE_US)
    {
      add_change (self, suspect.subject, 0);
      return;
    }
  if (age_us < 0)
    age_us = 0;
  if (now_us > age_us)
    suspect.blamed_us = now_us - age_us;
  eg_crash_blame_merge (&self->entry->crash_watch.blame, &suspect, now_us);
  apply_suspects (self, suspect.subject, spec, now_us);
}

static void
handle_list (struct eg_quarantine_store *self, const json_t *document)
{
  const json_t *items = eg_store_page_objects (document);
  int64_t now_us = eg_clock_now_us ();
  const json_t *object;
  size_t index;

  if (eg_store_page_has_more (document))
    eg_log (EG_LOG_WARNING, "crashes",
            "event=quarantines-not-read-completely read=%zu",
            json_array_size (items));
  json_array_foreach (items, index, object) apply_object (self, object, now_us);
  self->read = true;
  self->list_due_us = now_us + LIST_INTERVAL_US;
}

static void
on_reply (void *context, enum eg_store_outcome outcome, json_t *document)
{
  struct eg_quarantine_store *self = context;
  int64_t now_us = eg_clock_now_us ();

  if (outcome == EG_STORE_REFUSED || outcome == EG_STORE_NO_REPLY
      || (self->listing && (outcome != EG_STORE_OK || !document)))
    {
      self->resume_us = now_us + (RETRY_DELAY_US << self->failures);
      if (self->failures < RETRY_DOUBLINGS_MAX)
        self->failures++;
      return;
    }
  self->failures = 0;
  if (self->listing)
    {
      handle_list (self, document);
      return;
    }
  /* A conflict says that another VM has written the same quarantine. */
  if (outcome == EG_STORE_INVALID)
    eg_log (EG_LOG_WARNING, "crashes",
            "event=quarantine-not-stored outcome=%s waiting=%zu",
            eg_store_outcome_name (outcome), self->change_count);
  drop_first_change (self);
}

void
eg_quarantine_store_init (struct eg_quarantine_store *self,
                          struct eg_entry *entry)
{
  struct eg_store_reply_sink sink = {on_reply, self};

  memset (self, 0, sizeof *self);
  self->entry = entry;
  eg_store_call_init (&self->call, &entry->store, &sink);
}

void
eg_quarantine_store_finish (struct eg_quarantine_store *self)
{
  eg_store_call_finish (&self->call);
}

void
eg_quarantine_store_add (struct eg_quarantine_store *self,
                         const struct eg_suspect *suspect)
{
  if (eg_members_is_reader (&self->entry->members))
    add_change (self, suspect->subject, suspect->blamed_us);
}

void
eg_quarantine_store_remove (struct eg_quarantine_store *self,
                            const struct eg_suspect *suspect)
{
  if (eg_members_is_reader (&self->entry->members))
    add_change (self, suspect->subject, 0);
}

static void
visit_blamed (void *context, const struct eg_suspect *suspect)
{
  eg_quarantine_store_add (context, suspect);
}

void
eg_quarantine_store_restored (struct eg_quarantine_store *self)
{
  eg_crash_blame_visit_blamed (&self->entry->crash_watch.blame, visit_blamed,
                               self);
}

static int64_t
wall_ms (int64_t age_us)
{
  return (eg_clock_wall_us () - age_us) / EG_US_PER_MS;
}

static json_t *
pack_quarantine (const struct eg_quarantine_store *self,
                 const struct eg_quarantine_change *change,
                 int64_t now_us)
{
  const struct eg_suspect *suspects[EG_QUARANTINE_SUSPECTS_MAX];
  json_t *list = json_array ();
  size_t count = 0;

  if (change->subject.kind == EG_SUBJECT_PART)
    count = eg_crash_blame_collect_rivals (&self->entry->crash_watch.blame,
                                           change->subject, suspects,
                                           EG_QUARANTINE_SUSPECTS_MAX);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, eg_suspect_encode (suspects[i], now_us));
  return json_pack ("{s:I, s:I, s:o}", "blamed_ms",
                    (json_int_t) wall_ms (now_us - change->blamed_us),
                    "written_ms", (json_int_t) wall_ms (0), "suspects", list);
}

static bool
start_change (struct eg_quarantine_store *self, int64_t now_us)
{
  const struct eg_quarantine_change *change = &self->changes[0];
  char name[64];
  char path[128];
  json_t *object = NULL;
  bool started;

  format_name (change->subject, name, sizeof name);
  if (change->blamed_us > 0)
    object = eg_store_object (name, 0, pack_quarantine (self, change, now_us));
  snprintf (path, sizeof path, QUARANTINE_KIND "%s%s", object ? "" : "/",
            object ? "" : name);
  started = eg_store_call_start (&self->call, object ? "POST" : "DELETE", path,
                                 object, CALL_TIMEOUT_US);
  json_decref (object);
  return started;
}

/* Returns whether what other VMs know may reach this failure domain by the
 * store alone; its reader tells the others. */
static bool
is_list_due (const struct eg_quarantine_store *self, int64_t now_us)
{
  const struct eg_entry *entry = self->entry;

  return !self->read
         || (now_us >= self->list_due_us
             && eg_members_is_reader (&entry->members)
             && !eg_load_gossip_hears_all_domains (&entry->load_gossip,
                                                   now_us));
}

void
eg_quarantine_store_check (struct eg_quarantine_store *self, int64_t now_us)
{
  char path[EG_STORE_PATH_BYTES];
  bool started;

  eg_store_call_check (&self->call, now_us);
  if (eg_store_call_is_active (&self->call) || now_us < self->resume_us
      || self->entry->members.lists_read == 0)
    return;
  self->listing = is_list_due (self, now_us);
  eg_store_list_path (path, sizeof path, QUARANTINE_KIND, "", self->read);
  if (self->listing)
    started =
        eg_store_call_start (&self->call, "GET", path, NULL, CALL_TIMEOUT_US);
  else if (self->change_count > 0)
    started = start_change (self, now_us);
  else
    return;
  if (!started)
    self->resume_us = now_us + RETRY_DELAY_US;
}
