#include "policy/servers.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/status.h"
#include "policy/attempt_history.h"
#include "policy/replicas.h"

#define INITIAL_CAPACITY 64
#define BACKOFF_MIN_US INT64_C (250000)
#define BACKOFF_MAX_US INT64_C (30000000)
/* Consecutive failed attempts after which load reports no longer end a
   back-off: such a server answers polls but fails the actual work. */
#define FAILED_ATTEMPTS_MAX 3
/* Weight of the newest value in the moving average of the latency. */
#define LATENCY_SMOOTHING 0.1

/* A server with state that is private to the table. */
struct record
{
  struct eg_server server;
  struct eg_attempt_history *history; /* NULL until the first attempt. */
  struct eg_replica_ref ref;
  uint32_t next; /* Next in the bucket chain or the free list. */
  bool free;     /* Unused index. */
  /* Attempts still in flight that began before the first failure. */
  uint32_t in_flight_before_failure;
  unsigned failed_attempts; /* Consecutive, regardless of reports in between. */
  int64_t failed_us;        /* Time of the last failure. */
};

struct eg_servers
{
  struct record *records;
  uint32_t count;
  uint32_t capacity; /* A power of two; also the number of buckets. */
  uint32_t *buckets;
  uint32_t free_first; /* FIFO, so that an index is not reused at once. */
  uint32_t free_last;
  struct eg_replicas replicas;
};

struct eg_servers *
eg_servers_new (void)
{
  struct eg_servers *self = calloc (1, sizeof *self);

  if (!self)
    return NULL;
  self->free_first = EG_SERVER_NONE;
  self->free_last = EG_SERVER_NONE;
  eg_replicas_init (&self->replicas);
  return self;
}

void
eg_servers_free (struct eg_servers *self)
{
  if (!self)
    return;
  for (uint32_t i = 0; i < self->count; i++)
    free (self->records[i].history);
  eg_replicas_finish (&self->replicas);
  free (self->records);
  free (self->buckets);
  free (self);
}

static struct record *
record_at (const struct eg_servers *self, uint32_t index)
{
  EG_INVARIANT (index < self->count && !self->records[index].free);
  return &self->records[index];
}

static uint32_t *
bucket_of (const struct eg_servers *self, struct eg_str address)
{
  return &self->buckets[eg_hash_str (address) & (self->capacity - 1)];
}

static void
link_record (struct eg_servers *self, uint32_t index)
{
  struct record *record = &self->records[index];
  uint32_t *bucket = bucket_of (self, eg_str_from (record->server.address));

  record->next = *bucket;
  *bucket = index;
}

static void
unlink_record (struct eg_servers *self, uint32_t index)
{
  struct record *record = &self->records[index];
  uint32_t *link = bucket_of (self, eg_str_from (record->server.address));

  while (*link != index)
    link = &self->records[*link].next;
  *link = record->next;
}

/* Doubles the table. Requires an empty free list, so that every record is in a
   bucket. */
static bool
grow (struct eg_servers *self)
{
  uint32_t new_capacity =
      self->capacity ? self->capacity * 2 : INITIAL_CAPACITY;
  uint32_t *buckets = malloc (new_capacity * sizeof *buckets);
  struct record *records;

  if (!buckets)
    return false;
  records = realloc (self->records, new_capacity * sizeof *records);
  if (!records)
    {
      free (buckets);
      return false;
    }
  free (self->buckets);
  self->records = records;
  self->buckets = buckets;
  self->capacity = new_capacity;
  memset (buckets, 0xff, new_capacity * sizeof *buckets);
  for (uint32_t i = 0; i < self->count; i++)
    link_record (self, i);
  return true;
}

static uint32_t
allocate_index (struct eg_servers *self)
{
  uint32_t index = self->free_first;

  if (index != EG_SERVER_NONE)
    {
      self->free_first = self->records[index].next;
      if (self->free_first == EG_SERVER_NONE)
        self->free_last = EG_SERVER_NONE;
      return index;
    }
  if (self->count == self->capacity && !grow (self))
    return EG_SERVER_NONE;
  return self->count++;
}

static void
release_index (struct eg_servers *self, uint32_t index)
{
  struct record *record = &self->records[index];

  memset (record, 0, sizeof *record);
  record->free = true;
  record->next = EG_SERVER_NONE;
  if (self->free_last == EG_SERVER_NONE)
    self->free_first = index;
  else
    self->records[self->free_last].next = index;
  self->free_last = index;
}

/* Removes a server from the sets that placement searches. */
static void
remove_from_set (struct eg_servers *self, uint32_t index)
{
  struct record *record = &self->records[index];
  uint32_t position = record->ref.position;
  uint32_t moved = eg_replicas_remove (&record->ref);

  if (moved != EG_SERVER_NONE)
    self->records[moved].ref.position = position;
}

/* Moves a server to the set that matches its report, or to none if it may not
   get work. */
static void
update_set (struct eg_servers *self, uint32_t index)
{
  struct record *record = &self->records[index];

  remove_from_set (self, index);
  if (!record->server.reported || record->server.block_reasons)
    return;
  /* If this fails, the server gets no work until its next report, which tries
     again. */
  eg_replicas_insert (&self->replicas, &record->server, index, &record->ref);
}

uint32_t
eg_servers_add (struct eg_servers *self,
                struct eg_str address,
                struct eg_str failure_domain)
{
  uint32_t index = eg_servers_find (self, address);
  struct eg_server *server;

  if (index != EG_SERVER_NONE)
    {
      server = &self->records[index].server;
      if (!eg_str_equal (eg_str_from (server->failure_domain), failure_domain))
        {
          eg_str_copy (failure_domain, server->failure_domain, EG_NAME_BYTES);
          update_set (self, index);
        }
      return index;
    }
  if (address.len >= EG_ADDRESS_BYTES)
    return EG_SERVER_NONE;
  index = allocate_index (self);
  if (index == EG_SERVER_NONE)
    return index;
  memset (&self->records[index], 0, sizeof *self->records);
  server = &self->records[index].server;
  eg_str_copy (address, server->address, EG_ADDRESS_BYTES);
  eg_str_copy (failure_domain, server->failure_domain, EG_NAME_BYTES);
  link_record (self, index);
  return index;
}

uint32_t
eg_servers_find (const struct eg_servers *self, struct eg_str address)
{
  uint32_t index;

  if (self->capacity == 0)
    return EG_SERVER_NONE;
  index = *bucket_of (self, address);
  while (index != EG_SERVER_NONE
         && !eg_str_equal (eg_str_from (self->records[index].server.address),
                           address))
    index = self->records[index].next;
  return index;
}

uint32_t
eg_servers_count (const struct eg_servers *self)
{
  return self->count;
}

const struct eg_server *
eg_servers_get (const struct eg_servers *self, uint32_t index)
{
  return &self->records[index].server;
}

static bool
layers_are_valid (const struct eg_server_report *report)
{
  if (!report->model[0])
    return report->first_layer == 0 && report->last_layer == 0
           && report->model_layers == 0;
  return report->first_layer >= 1 && report->first_layer <= report->last_layer
         && report->last_layer <= report->model_layers
         && report->model_layers <= EG_REPORT_LAYERS_MAX;
}

/* Tells whether both reports place a server in the same set. */
static bool
in_same_set (const struct eg_server_report *a, const struct eg_server_report *b)
{
  return a->slots == b->slots && a->first_layer == b->first_layer
         && a->last_layer == b->last_layer && a->model_layers == b->model_layers
         && strcmp (a->service, b->service) == 0
         && strcmp (a->model, b->model) == 0
         && strcmp (a->version, b->version) == 0
         && strcmp (a->accelerator, b->accelerator) == 0;
}

static void
discard_old_events (struct record *record)
{
  struct eg_server *server = &record->server;

  if (!record->history)
    return;
  eg_attempt_history_discard_until (record->history, server->report.as_of_us);
  eg_attempt_history_totals (record->history, &server->sent_since,
                             &server->ended_since);
}

static void
set_blocked (struct eg_server *server,
             enum eg_server_block_reason reason,
             bool on)
{
  if (on)
    server->block_reasons |= (unsigned) reason;
  else
    server->block_reasons &= ~(unsigned) reason;
}

bool
eg_servers_report (struct eg_servers *self,
                   uint32_t index,
                   const struct eg_server_report *report,
                   int64_t now_us)
{
  struct record *record = record_at (self, index);
  struct eg_server *server = &record->server;
  unsigned block_reasons = server->block_reasons;
  bool same_set;

  if (!layers_are_valid (report)
      || (server->reported && report->as_of_us < server->report.as_of_us))
    return false;
  same_set = record->ref.set && in_same_set (&server->report, report);
  server->report = *report;
  server->reported = true;
  server->reported_us = now_us;
  discard_old_events (record);
  set_blocked (server, EG_SERVER_LEAVING_REPORT, report->draining);
  set_blocked (server, EG_SERVER_UNLOADED, report->unloaded);
  if (report->as_of_us > record->failed_us
      && record->failed_attempts < FAILED_ATTEMPTS_MAX)
    server->failures = 0;
  if (!same_set || block_reasons != server->block_reasons)
    update_set (self, index);
  return true;
}

void
eg_servers_set_blocked (struct eg_servers *self,
                        uint32_t index,
                        enum eg_server_block_reason reason,
                        bool on)
{
  struct eg_server *server;
  unsigned block_reasons;

  if (index == EG_SERVER_NONE)
    return;
  server = &record_at (self, index)->server;
  block_reasons = server->block_reasons;
  set_blocked (server, reason, on);
  if (block_reasons != server->block_reasons)
    update_set (self, index);
}

static void
record_event (struct record *record, bool begin, int64_t now_us)
{
  struct eg_server *server = &record->server;

  if (now_us <= server->report.as_of_us && server->reported)
    return;
  if (begin)
    server->sent_since++;
  else
    server->ended_since++;
  if (!record->history)
    record->history = calloc (1, sizeof *record->history);
  if (record->history)
    eg_attempt_history_add (record->history, begin, now_us);
}

void
eg_servers_begin_attempt (struct eg_servers *self,
                          uint32_t index,
                          int64_t now_us)
{
  struct record *record = record_at (self, index);

  record->server.in_flight++;
  record_event (record, true, now_us);
}

static int64_t
backoff_after (unsigned failures)
{
  int64_t delay = BACKOFF_MIN_US;

  while (--failures > 0 && delay < BACKOFF_MAX_US)
    delay *= 2;
  return delay < BACKOFF_MAX_US ? delay : BACKOFF_MAX_US;
}

/* Starts or extends the back-off and returns whether it did so. When a server
   dies, many attempts fail at about the same time: only a failure after the end
   of the back-off extends it. */
static bool
record_failure (struct record *record, int64_t now_us)
{
  struct eg_server *server = &record->server;

  record->failed_us = now_us;
  if (server->failures > 0 && now_us < server->retry_at_us)
    return false;
  if (server->failures == 0)
    record->in_flight_before_failure = server->in_flight;
  server->failures++;
  server->retry_at_us = now_us + backoff_after (server->failures);
  return true;
}

void
eg_servers_end_attempt (struct eg_servers *self,
                        uint32_t index,
                        bool failed,
                        int64_t now_us)
{
  struct record *record = record_at (self, index);
  struct eg_server *server = &record->server;

  EG_INVARIANT (server->in_flight > 0);
  server->in_flight--;
  if (record->in_flight_before_failure > 0)
    record->in_flight_before_failure--;
  record_event (record, false, now_us);
  if (failed)
    {
      if (record_failure (record, now_us))
        record->failed_attempts++;
      return;
    }
  record->failed_attempts = 0;
  server->failures = 0;
}

void
eg_servers_record_failure (struct eg_servers *self,
                           uint32_t index,
                           int64_t now_us)
{
  record_failure (record_at (self, index), now_us);
}

void
eg_servers_observe_latency (struct eg_servers *self,
                            uint32_t index,
                            int64_t took_us)
{
  struct eg_server *server = &record_at (self, index)->server;

  if (server->latency_us <= 0)
    server->latency_us = (double) took_us;
  else
    server->latency_us +=
        LATENCY_SMOOTHING * ((double) took_us - server->latency_us);
}

bool
eg_servers_usable (const struct eg_servers *self,
                   uint32_t index,
                   int64_t now_us)
{
  const struct record *record;
  const struct eg_server *server;

  if (index >= self->count)
    return false;
  record = &self->records[index];
  server = &record->server;
  if (record->free || !server->reported || server->block_reasons)
    return false;
  if (server->failures == 0)
    return true;
  /* One attempt at a time until one succeeds. */
  return now_us >= server->retry_at_us
         && server->in_flight <= record->in_flight_before_failure;
}

uint32_t
eg_servers_load (const struct eg_servers *self, uint32_t index)
{
  const struct eg_server *server = &self->records[index].server;
  int64_t load = (int64_t) server->report.running + server->report.queued
                 + server->sent_since - server->ended_since;

  return load > server->in_flight ? (uint32_t) load : server->in_flight;
}

void
eg_servers_sweep (struct eg_servers *self, int64_t now_us)
{
  (void) now_us;
  for (uint32_t i = 0; i < self->count; i++)
    {
      struct record *record = &self->records[i];

      if (record->free || record->server.in_flight > 0
          || !(record->server.block_reasons & EG_SERVER_GONE))
        continue;
      remove_from_set (self, i);
      unlink_record (self, i);
      free (record->history);
      release_index (self, i);
    }
  eg_replicas_sweep (&self->replicas);
}

const struct eg_replicas *
eg_servers_replicas (const struct eg_servers *self)
{
  return &self->replicas;
}

const struct eg_replica_set *
eg_servers_replica_set (const struct eg_servers *self, uint32_t index)
{
  return index < self->count ? self->records[index].ref.set : NULL;
}
