#include "entry/members.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "entry/entry.h"

#define MEMBER_KIND "eelgrasswood-vms"
/* A VM refreshes its object at this interval and expires after three missed
 * refreshes. */
#define WRITE_INTERVAL_US (60 * EG_US_PER_S)
#define EXPIRY_US (3 * WRITE_INTERVAL_US)
/* On the first start of the system the list is read when all VMs have written
 * their objects, else at once and again after that time; then rarely. */
#define FIRST_LIST_DELAY_US (600 * EG_US_PER_MS)
#define LIST_INTERVAL_US (10 * EG_US_PER_S)
#define RETRY_DELAY_US (1 * EG_US_PER_S)
/* Shortest time between two reads for a sender that the list lacks. VMs that
 * start ask every 100 ms, for 2 s at most. */
#define STRANGER_INTERVAL_US (250 * EG_US_PER_MS)
#define CALL_TIMEOUT_US (1500 * EG_US_PER_MS)
/* Lists are some seconds old and read at the interval above: a list older than
 * this shows that the store is out of reach, and a VM that joined longer ago is
 * in the lists of all others. */
#define LIST_OUTDATED_US (20 * EG_US_PER_S)
#define JOIN_WAIT_US (25 * EG_US_PER_S)
/* Assumed number of VMs until the list has been read: more than in most
 * systems, so that shares are too small rather than too large. */
#define INITIAL_COUNT 64
#define INITIAL_IN_DOMAIN 4
/* A failed reader is not called for this long, doubling with each further
 * failure, because a dead one costs a full time-out. */
#define READER_BACKOFF_US (1000 * EG_US_PER_MS)
#define BACKOFF_DOUBLINGS_MAX 5
/* Up to this many VMs in a failure domain share one reader; beyond that
 * there are two readers. */
#define SINGLE_READER_VMS_MAX 8

static struct eg_member *
find (struct eg_members *self, const char *name)
{
  for (struct eg_list *at = self->all.next; at != &self->all; at = at->next)
    {
      struct eg_member *member = EG_CONTAINER_OF (at, struct eg_member, all);

      if (strcmp (member->name, name) == 0)
        return member;
    }
  return NULL;
}

static void
update_member (struct eg_members *self, const json_t *object, int64_t now_us)
{
  const char *name = eg_store_object_name (object);
  const json_t *spec = eg_store_object_spec (object);
  const char *domain =
      json_string_value (json_object_get (spec, "failure_domain"));
  const char *address = json_string_value (json_object_get (spec, "address"));
  struct eg_endpoint endpoint;
  struct eg_member *member;
  int64_t revision;

  if (!name || !domain || !address
      || !eg_endpoint_parse (eg_str_from (address), &endpoint)
      || !eg_store_object_revision (object, &revision)
      || strlen (name) >= sizeof member->name
      || strlen (domain) >= sizeof member->domain)
    {
      eg_log (EG_LOG_WARNING, "members", "event=member-unreadable name=%s",
              name ? name : "-");
      return;
    }
  member = find (self, name);
  if (!member)
    {
      member = calloc (1, sizeof *member);
      EG_INVARIANT (member);
      eg_str_copy (eg_str_from (name), member->name, sizeof member->name);
      eg_list_append (&self->all, &member->all);
    }
  eg_str_copy (eg_str_from (domain), member->domain, sizeof member->domain);
  member->endpoint = endpoint;
  member->capacity = json_integer_value (json_object_get (spec, "capacity"));
  member->marked = true;
  if (member->revision != revision)
    member->seen_us = now_us;
  member->revision = revision;
}

static unsigned
reader_count_for (unsigned in_domain)
{
  return in_domain > SINGLE_READER_VMS_MAX ? 2 : 1;
}

/* VMs with the highest capacity rank first; ties are resolved by name. */
static bool
ranks_before (const struct eg_member *a, const struct eg_member *b)
{
  if (a->capacity != b->capacity)
    return a->capacity > b->capacity;
  return strcmp (a->name, b->name) < 0;
}

static void
rank_domain (struct eg_members *self)
{
  const struct eg_entry_settings *settings = self->entry->settings;
  const struct eg_member *own = find (self, settings->name);

  self->readers[0] = NULL;
  self->readers[1] = NULL;
  self->own_rank = 0;
  for (struct eg_list *at = self->all.next; at != &self->all; at = at->next)
    {
      struct eg_member *member = EG_CONTAINER_OF (at, struct eg_member, all);

      if (strcmp (member->domain, settings->domain) != 0)
        continue;
      self->own_rank += own && ranks_before (member, own);
      if (!self->readers[0] || ranks_before (member, self->readers[0]))
        {
          self->readers[1] = self->readers[0];
          self->readers[0] = member;
        }
      else if (!self->readers[1] || ranks_before (member, self->readers[1]))
        self->readers[1] = member;
    }
}

static bool
is_reader_of_domain (const struct eg_members *self,
                     const struct eg_member *member)
{
  unsigned before = 0;
  unsigned in_domain = 0;

  for (const struct eg_list *at = self->all.next; at != &self->all;
       at = at->next)
    {
      const struct eg_member *other =
          EG_CONTAINER_OF (at, struct eg_member, all);

      if (strcmp (other->domain, member->domain) != 0)
        continue;
      in_domain++;
      before += ranks_before (other, member);
    }
  return before < reader_count_for (in_domain);
}

static void
collect_readers (struct eg_members *self)
{
  static struct eg_log_rate rate;

  self->all_reader_count = 0;
  for (struct eg_list *at = self->all.next; at != &self->all; at = at->next)
    {
      struct eg_member *member = EG_CONTAINER_OF (at, struct eg_member, all);

      if (!is_reader_of_domain (self, member))
        continue;
      if (self->all_reader_count < EG_READERS_MAX)
        self->all_readers[self->all_reader_count++] = member->endpoint;
      else
        eg_log_capacity (&rate, "members", "readers", EG_READERS_MAX);
    }
}

static void
count_members (struct eg_members *self)
{
  self->count = 0;
  self->in_domain = 0;
  for (struct eg_list *at = self->all.next; at != &self->all; at = at->next)
    {
      self->count++;
      self->in_domain +=
          strcmp (EG_CONTAINER_OF (at, struct eg_member, all)->domain,
                  self->entry->settings->domain)
          == 0;
    }
  if (self->count == 0)
    self->count = 1;
  if (self->in_domain == 0)
    self->in_domain = 1;
}

/* Of members with the same endpoint, such as a VM and a former one at its
 * address, the one that has been known longer is found. */
static void
index_endpoints (struct eg_members *self)
{
  eg_map_finish (&self->by_endpoint);
  for (struct eg_list *at = self->all.next; at != &self->all; at = at->next)
    {
      struct eg_member *member = EG_CONTAINER_OF (at, struct eg_member, all);
      uint64_t key = eg_endpoint_key (member->endpoint);

      if (!eg_map_get (&self->by_endpoint, key))
        eg_map_put (&self->by_endpoint, key, member);
    }
}

static void
drop_expired (struct eg_members *self, int64_t now_us)
{
  struct eg_list kept;
  struct eg_list *link;

  eg_list_init (&kept);
  while ((link = eg_list_pop_front (&self->all)))
    {
      struct eg_member *member = EG_CONTAINER_OF (link, struct eg_member, all);

      if (member->marked && now_us - member->seen_us <= EXPIRY_US)
        eg_list_append (&kept, link);
      else
        free (member);
    }
  while ((link = eg_list_pop_front (&kept)))
    eg_list_append (&self->all, link);
  index_endpoints (self);
}

static void
list_failed (struct eg_members *self, int64_t now_us)
{
  self->list_due_us = now_us + RETRY_DELAY_US;
  *self->after = '\0';
}

static void
finish_list (struct eg_members *self, int64_t now_us)
{
  *self->after = '\0';
  drop_expired (self, now_us);
  self->lists_read++;
  self->as_of_us = self->list_sent_us;
  count_members (self);
  rank_domain (self);
  collect_readers (self);
  /* VMs that start at the same moment are not in each other's first list. */
  self->list_due_us =
      now_us + (self->lists_read == 1 ? FIRST_LIST_DELAY_US : LIST_INTERVAL_US);
  eg_log (EG_LOG_INFO, "members",
          "event=members-read count=%u in_domain=%u "
          "rank=%u",
          self->count, self->in_domain, self->own_rank);
}

static void
on_list_reply (void *context, enum eg_store_outcome outcome, json_t *document)
{
  struct eg_members *self = context;
  int64_t now_us = eg_clock_now_us ();
  json_t *items = eg_store_page_objects (document);
  json_t *object;
  size_t index;

  if (outcome != EG_STORE_OK)
    {
      list_failed (self, now_us);
      return;
    }
  if (!*self->after)
    for (struct eg_list *at = self->all.next; at != &self->all; at = at->next)
      EG_CONTAINER_OF (at, struct eg_member, all)->marked = false;
  json_array_foreach (items, index, object)
      update_member (self, object, now_us);
  index_endpoints (self);
  switch (eg_store_page_next (document, self->after, sizeof self->after))
    {
    case EG_PAGE_MORE:
      self->list_due_us = now_us;
      return;
    case EG_PAGE_UNREACHABLE:
      list_failed (self, now_us);
      return;
    case EG_PAGE_LAST:
      finish_list (self, now_us);
      return;
    }
}

static void
on_own_reply (void *context, enum eg_store_outcome outcome, json_t *document)
{
  struct eg_members *self = context;
  int64_t now_us = eg_clock_now_us ();
  int64_t revision = 0;

  /* A conflict returns the current object, written before a restart. */
  if ((outcome == EG_STORE_OK || outcome == EG_STORE_CONFLICT) && document
      && eg_store_object_revision (document, &revision))
    {
      /* On the first start of the system, all VMs join before they serve. */
      if (outcome == EG_STORE_OK && !self->is_written
          && !self->entry->settings->first_start)
        self->joined_us = now_us;
      self->is_written = true;
      self->revision = revision;
      /* One that another writer has made undecodable is replaced at once, but
       * not in a loop if the store returns none that can be decoded. */
      if (eg_store_object_spec (document))
        self->write_due_us = now_us + WRITE_INTERVAL_US;
      else if (outcome == EG_STORE_CONFLICT)
        self->write_due_us = now_us;
      else
        self->write_due_us = now_us + RETRY_DELAY_US;
      return;
    }
  if (outcome == EG_STORE_MISSING)
    self->revision = 0;
  self->write_due_us = now_us + RETRY_DELAY_US;
}

void
eg_members_init (struct eg_members *self, struct eg_entry *entry)
{
  struct eg_store_reply_sink list_sink = {on_list_reply, self};
  struct eg_store_reply_sink own_sink = {on_own_reply, self};

  memset (self, 0, sizeof *self);
  self->entry = entry;
  eg_list_init (&self->all);
  self->count = INITIAL_COUNT;
  self->in_domain = INITIAL_IN_DOMAIN;
  EG_INVARIANT (eg_endpoint_parse (eg_str_from (entry->settings->listen_peers),
                                   &self->own_endpoint));
  eg_store_call_init (&self->list_call, &entry->store, &list_sink);
  eg_store_call_init (&self->own_call, &entry->store, &own_sink);
  self->list_due_us = eg_clock_now_us ();
  if (entry->settings->first_start)
    self->list_due_us += FIRST_LIST_DELAY_US;
}

void
eg_members_finish (struct eg_members *self)
{
  struct eg_list *link;

  eg_store_call_finish (&self->list_call);
  eg_store_call_finish (&self->own_call);
  eg_map_finish (&self->by_endpoint);
  while ((link = eg_list_pop_front (&self->all)))
    free (EG_CONTAINER_OF (link, struct eg_member, all));
}

static void
write_own (struct eg_members *self, int64_t now_us)
{
  const struct eg_entry_settings *settings = self->entry->settings;
  bool create = self->revision == 0;
  char path[128];
  json_t *spec =
      json_pack ("{s:s, s:s, s:I, s:I}", "failure_domain", settings->domain,
                 "address", settings->listen_peers, "capacity",
                 (json_int_t) (settings->link_mbps * settings->cpu_share),
                 "written_us", (json_int_t) now_us);
  json_t *object = eg_store_object (settings->name, self->revision, spec);

  snprintf (path, sizeof path, MEMBER_KIND "%s%s", create ? "" : "/",
            create ? "" : settings->name);
  self->write_due_us = now_us + RETRY_DELAY_US;
  if (!eg_store_call_start (&self->own_call, create ? "POST" : "PUT", path,
                            object, CALL_TIMEOUT_US))
    eg_log (EG_LOG_WARNING, "members", "event=member-not-written");
  json_decref (object);
}

void
eg_members_check (struct eg_members *self, int64_t now_us)
{
  char path[EG_STORE_PATH_BYTES];

  eg_store_call_check (&self->list_call, now_us);
  eg_store_call_check (&self->own_call, now_us);
  if (now_us >= self->write_due_us
      && !eg_store_call_is_active (&self->own_call))
    write_own (self, now_us);
  if (now_us < self->list_due_us || eg_store_call_is_active (&self->list_call))
    return;
  eg_store_list_path (path, sizeof path, MEMBER_KIND, self->after, true);
  if (!*self->after)
    self->list_sent_us = now_us;
  self->list_due_us = now_us + RETRY_DELAY_US;
  if (!eg_store_call_start (&self->list_call, "GET", path, NULL,
                            CALL_TIMEOUT_US))
    eg_log (EG_LOG_WARNING, "members", "event=members-not-read");
}

void
eg_members_store_restored (struct eg_members *self, int64_t now_us)
{
  self->revision = 0;
  self->write_due_us = now_us;
  self->list_due_us = now_us + FIRST_LIST_DELAY_US;
}

unsigned
eg_members_count (const struct eg_members *self)
{
  return self->count;
}

struct eg_rate_sharers
eg_members_sharers (const struct eg_members *self, int64_t now_us)
{
  return (struct eg_rate_sharers){
      .vms = self->count,
      .is_new = self->joined_us > 0 && now_us - self->joined_us < JOIN_WAIT_US,
      .outdated = now_us - self->as_of_us >= LIST_OUTDATED_US,
      .uptime_us = now_us - self->entry->started_us};
}

/* The member with the highest value is the first. */
static uint64_t
order_for (uint64_t subject, const char *name)
{
  return eg_hash_mix (eg_hash_str (eg_str_from (name)) ^ subject);
}

uint32_t
eg_members_rank_for (const struct eg_members *self, uint64_t subject)
{
  uint64_t own = order_for (subject, self->entry->settings->name);
  uint32_t rank = 0;

  for (const struct eg_list *at = self->all.next; at != &self->all;
       at = at->next)
    rank +=
        order_for (subject, EG_CONTAINER_OF (at, struct eg_member, all)->name)
        > own;
  return rank;
}

unsigned
eg_members_in_domain (const struct eg_members *self)
{
  return self->in_domain;
}

unsigned
eg_members_reader_count (const struct eg_members *self)
{
  return reader_count_for (self->in_domain);
}

struct eg_member *
eg_members_choose_reader (struct eg_members *self, int64_t now_us)
{
  unsigned first = self->own_rank % eg_members_reader_count (self);

  for (unsigned i = 0; i < 2; i++)
    {
      struct eg_member *reader = self->readers[(first + i) % 2];

      if (reader && now_us >= reader->failed_until_us)
        return reader;
    }
  return NULL;
}

struct eg_member *
eg_members_responding_reader (struct eg_members *self)
{
  return self->readers[0] && self->readers[0]->failures == 0 ? self->readers[0]
                                                             : NULL;
}

const struct eg_member *
eg_members_find_endpoint (const struct eg_members *self, uint64_t key)
{
  return eg_map_get (&self->by_endpoint, key);
}

bool
eg_members_is_own (const struct eg_members *self, struct eg_endpoint endpoint)
{
  return eg_endpoint_key (endpoint) == eg_endpoint_key (self->own_endpoint);
}

bool
eg_members_is_local (const struct eg_members *self,
                     const struct eg_member *member)
{
  return strcmp (member->domain, self->entry->settings->domain) == 0;
}

static struct eg_stranger *
find_stranger (struct eg_members *self, uint64_t endpoint)
{
  struct eg_stranger *stranger;

  for (size_t i = 0; i < EG_STRANGERS_MAX; i++)
    if (self->strangers[i].endpoint == endpoint)
      return &self->strangers[i];
  stranger = &self->strangers[self->next_stranger++ % EG_STRANGERS_MAX];
  *stranger = (struct eg_stranger){endpoint, 0, STRANGER_INTERVAL_US};
  return stranger;
}

bool
eg_members_admit (struct eg_members *self,
                  struct eg_endpoint sender,
                  int64_t now_us)
{
  int64_t earliest_us = self->list_sent_us + STRANGER_INTERVAL_US;
  struct eg_stranger *stranger;

  if (eg_members_find_endpoint (self, eg_endpoint_key (sender)))
    return true;
  stranger = find_stranger (self, eg_endpoint_key (sender));
  if (self->lists_read == 0 || now_us < stranger->next_read_us)
    return false;
  if (earliest_us < now_us)
    earliest_us = now_us;
  if (earliest_us < self->list_due_us)
    self->list_due_us = earliest_us;
  stranger->next_read_us = earliest_us + stranger->interval_us;
  if (stranger->interval_us < LIST_INTERVAL_US)
    stranger->interval_us *= 2;
  return false;
}

void
eg_members_count_foreign (struct eg_members *self,
                          enum eg_foreign_input input,
                          struct eg_endpoint sender,
                          int64_t now_us)
{
  static const char *const events[] = {
      [EG_FOREIGN_MESSAGE] = "message-foreign",
      [EG_FOREIGN_READ] = "peer-foreign",
  };
  struct in_addr ip = {sender.ip};

  eg_metrics_count (&self->entry->metrics, EG_COUNT_MESSAGES_FOREIGN);
  if (eg_log_rate_admits (&self->foreign[input], now_us))
    eg_log (EG_LOG_WARNING, "members",
            "event=%s from=%s:%u lists_read=%u times=%" PRIu64, events[input],
            inet_ntoa (ip), ntohs (sender.port), self->lists_read,
            self->foreign[input].count);
}

const struct eg_member *
eg_members_find_host (const struct eg_members *self,
                      struct eg_endpoint endpoint)
{
  for (const struct eg_list *at = self->all.next; at != &self->all;
       at = at->next)
    {
      const struct eg_member *member =
          EG_CONTAINER_OF (at, struct eg_member, all);

      if (member->endpoint.ip == endpoint.ip)
        return member;
    }
  return NULL;
}

bool
eg_members_is_reader (const struct eg_members *self)
{
  return self->own_rank < eg_members_reader_count (self);
}

void
eg_members_record_peer_outcome (struct eg_members *self,
                                struct eg_endpoint endpoint,
                                enum eg_store_outcome outcome,
                                int64_t now_us)
{
  for (size_t i = 0; i < 2; i++)
    {
      struct eg_member *reader = self->readers[i];

      if (!reader
          || eg_endpoint_key (reader->endpoint) != eg_endpoint_key (endpoint))
        continue;
      reader->is_proven = eg_store_outcome_is_answer (outcome);
      if (reader->is_proven)
        reader->failures = 0;
      else if (outcome == EG_STORE_REFUSED)
        /* The reader is up, and will have data again once the store responds
         * to it. */
        reader->failed_until_us = now_us + READER_BACKOFF_US;
      else
        {
          unsigned doublings = reader->failures < BACKOFF_DOUBLINGS_MAX
                                   ? reader->failures
                                   : BACKOFF_DOUBLINGS_MAX;

          reader->failed_until_us = now_us + (READER_BACKOFF_US << doublings);
          reader->failures++;
          eg_log (EG_LOG_INFO, "members",
                  "event=reader-failed reader=%s failures=%u", reader->name,
                  reader->failures);
        }
    }
}
