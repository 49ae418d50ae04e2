#include "standin/load_audit.h"

#include <stdlib.h>
#include <string.h>

#define MIN_RUNS 1024

/** One range of layers run for one token. */
struct run
{
  const char *request; /* held by the engine's record */
  int64_t position;
  int64_t attempt;
  int64_t first;
  int64_t last;
  int64_t sequence;
};

struct eg_load_audit
{
  int64_t model_layers;
  struct run *runs;
  size_t n_runs;
  size_t capacity;
  bool sorted;
  json_t *records;
  struct eg_load_audit_result result;
};

struct eg_load_audit *
eg_load_audit_new (int64_t model_layers)
{
  struct eg_load_audit *self = calloc (1, sizeof *self);

  EG_INVARIANT (self != NULL);
  self->model_layers = model_layers;
  self->records = json_array ();
  return self;
}

void
eg_load_audit_free (struct eg_load_audit *self)
{
  if (!self)
    return;
  json_decref (self->records);
  free (self->runs);
  free (self);
}

static void
append_run (struct eg_load_audit *self, const struct run *run)
{
  if (self->n_runs == self->capacity)
    {
      self->capacity = self->capacity ? 2 * self->capacity : MIN_RUNS;
      self->runs = realloc (self->runs, self->capacity * sizeof *self->runs);
      EG_INVARIANT (self->runs != NULL);
    }
  self->runs[self->n_runs++] = *run;
}

enum eg_status
eg_load_audit_add_engine (struct eg_load_audit *self,
                          json_t *record,
                          struct eg_error *error)
{
  json_t *runs = json_object_get (record, "runs");
  struct run run = {0};
  json_t *item;
  size_t i;

  self->result.engines++;
  if (!record)
    {
      self->result.unreadable_engines++;
      return EG_OK;
    }
  if (!json_is_array (runs))
    return eg_error_set (error, EG_INVALID, "record: no array \"runs\"");
  json_array_append (self->records, record);
  json_array_foreach (runs, i, item)
  {
    json_int_t position, attempt, first, last, sequence;

    if (json_unpack (item, "{s:s, s:I, s:I, s:I, s:I, s:I}", "request",
                     &run.request, "position", &position, "attempt", &attempt,
                     "first", &first, "last", &last, "sequence", &sequence)
        != 0)
      return eg_error_set (error, EG_INVALID, "record: runs[%zu]: malformed",
                           i);
    run.position = position;
    run.attempt = attempt;
    run.first = first;
    run.last = last;
    run.sequence = sequence;
    append_run (self, &run);
  }
  self->sorted = false;
  return EG_OK;
}

static int
order (int64_t a, int64_t b)
{
  return (a > b) - (a < b);
}

/* By request and position, the highest attempt first, then by layers. */
static int
compare_runs (const void *a, const void *b)
{
  const struct run *left = a;
  const struct run *right = b;
  int result = strcmp (left->request, right->request);

  if (result == 0)
    result = order (left->position, right->position);
  if (result == 0)
    result = order (right->attempt, left->attempt);
  if (result == 0)
    result = order (left->first, right->first);
  return result;
}

/* Returns the first run that does not come before `key`. */
static const struct run *
lower_bound (const struct eg_load_audit *self, const struct run *key)
{
  size_t from = 0;
  size_t to = self->n_runs;

  while (from < to)
    {
      size_t middle = from + (to - from) / 2;

      if (compare_runs (&self->runs[middle], key) < 0)
        from = middle + 1;
      else
        to = middle;
    }
  return self->runs + from;
}

static const struct run *
runs_of (const struct eg_load_audit *self,
         const char *request,
         int64_t position,
         size_t *count)
{
  struct run key = {
      .request = request, .position = position, .attempt = INT64_MAX};
  const struct run *first = lower_bound (self, &key);
  const struct run *end;

  key.position++;
  end = lower_bound (self, &key);
  *count = (size_t) (end - first);
  return first;
}

static void
check_layers (struct eg_load_audit *self, const struct run *runs, size_t count)
{
  int64_t next = 1;
  bool repeated = false;
  bool missing = count == 0;

  for (size_t i = 0; i < count && runs[i].attempt == runs[0].attempt; i++)
    {
      repeated |= runs[i].first < next;
      missing |= runs[i].first > next;
      if (runs[i].last >= next)
        next = runs[i].last + 1;
    }
  missing |= next != self->model_layers + 1;
  self->result.repeated += repeated;
  if (missing && self->result.unreadable_engines > 0)
    self->result.unverified++;
  else
    self->result.missing += missing;
  if (count > 0 && runs[count - 1].attempt != runs[0].attempt)
    self->result.other_attempts++;
}

/* Tells whether a position ran after the one that follows it, or a layer
   before the one below. */
static bool
is_out_of_order (const struct run *runs,
                 size_t count,
                 const struct run *later,
                 size_t n_later)
{
  for (size_t i = 1; i < count; i++)
    if (runs[i].attempt == runs[i - 1].attempt
        && runs[i].sequence < runs[i - 1].sequence)
      return true;
  for (size_t i = 0; i < count; i++)
    for (size_t j = 0; j < n_later; j++)
      if (runs[i].attempt == later[j].attempt
          && runs[i].sequence > later[j].sequence)
        return true;
  return false;
}

void
eg_load_audit_check (struct eg_load_audit *self,
                     const char *request,
                     int64_t tokens)
{
  const struct run *runs;
  size_t count;

  if (!self->sorted && self->n_runs > 0)
    qsort (self->runs, self->n_runs, sizeof *self->runs, compare_runs);
  self->sorted = true;
  runs = runs_of (self, request, 1, &count);
  for (int64_t position = 1; position <= tokens; position++)
    {
      size_t n_later;
      const struct run *later = runs_of (self, request, position + 1, &n_later);

      self->result.tokens++;
      check_layers (self, runs, count);
      self->result.out_of_order +=
          is_out_of_order (runs, count, later, n_later);
      runs = later;
      count = n_later;
    }
}

const struct eg_load_audit_result *
eg_load_audit_result (const struct eg_load_audit *self)
{
  return &self->result;
}

bool
eg_load_audit_is_bad (const struct eg_load_audit_result *result)
{
  return result->missing + result->repeated + result->out_of_order > 0;
}
