#include "standin/load_audit.h"

#include <stdlib.h>
#include <string.h>

#define MIN_RUNS 1024

/** Execution of a range of layers for one token. */
struct run
{
  const char *request; /* owned by the engine's record */
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
    return eg_error_set (error, EG_INVALID,
                         "execution record: \"runs\" is not an array");
  json_array_append (self->records, record);
  json_array_foreach (runs, i, item)
  {
    json_int_t position, attempt, first, last, sequence;

    if (json_unpack (item, "{s:s, s:I, s:I, s:I, s:I, s:I}", "request",
                     &run.request, "position", &position, "attempt", &attempt,
                     "first", &first, "last", &last, "sequence", &sequence)
        != 0)
      return eg_error_set (error, EG_INVALID,
                           "execution record: runs[%zu] is malformed", i);
    run.position = position;
    run.attempt = attempt;
    run.first = first;
    run.last = last;
    run.sequence = sequence;
    append_run (self, &run);
  }
  return EG_OK;
}

static int
order (int64_t a, int64_t b)
{
  return (a > b) - (a < b);
}

/* Sorts by request, position, descending attempt and first layer. */
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

/** Executions for one position of a request, highest attempt first. */
struct position
{
  const struct run *runs;
  size_t count;
};

static bool
is_same_position (const struct run *a, const struct run *b)
{
  return a->position == b->position && strcmp (a->request, b->request) == 0;
}

/* Returns the position whose last execution is at index end - 1. */
static struct position
position_before (const struct eg_load_audit *self, size_t end)
{
  struct position position = {self->runs + end - 1, 1};

  while (position.count < end
         && is_same_position (position.runs - 1, position.runs))
    {
      position.runs--;
      position.count++;
    }
  return position;
}

static void
count_missing (struct eg_load_audit *self, uint64_t tokens)
{
  if (self->result.unreadable_engines > 0)
    self->result.unverified += tokens;
  else
    self->result.missing += tokens;
}

static void
check_layers (struct eg_load_audit *self,
              const struct position *position,
              bool may_be_partial)
{
  const struct run *runs = position->runs;
  int64_t next = 1;
  bool repeated = false;
  bool missing = false;

  for (size_t i = 0; i < position->count && runs[i].attempt == runs[0].attempt;
       i++)
    {
      repeated |= runs[i].first < next;
      missing |= runs[i].first > next;
      if (runs[i].last >= next)
        next = runs[i].last + 1;
    }
  missing |= next != self->model_layers + 1;
  self->result.repeated += repeated;
  if (!missing)
    self->result.tokens++;
  else if (!may_be_partial)
    count_missing (self, 1);
  if (runs[position->count - 1].attempt != runs[0].attempt)
    self->result.other_attempts++;
}

/* Tells whether a layer was executed before a lower layer. */
static bool
has_layers_out_of_order (const struct position *position)
{
  const struct run *runs = position->runs;

  for (size_t i = 1; i < position->count; i++)
    if (runs[i].attempt == runs[i - 1].attempt
        && runs[i].sequence < runs[i - 1].sequence)
      return true;
  return false;
}

/* Tells whether a position was executed after the following position. */
static bool
is_after (const struct position *position, const struct position *later)
{
  for (size_t i = 0; i < position->count; i++)
    for (size_t j = 0; j < later->count; j++)
      if (position->runs[i].attempt == later->runs[j].attempt
          && position->runs[i].sequence > later->runs[j].sequence)
        return true;
  return false;
}

/*
 * The last token of an attempt may never have reached the caller, so its layers
 * may be incomplete, and a higher attempt may have restarted at an earlier
 * position.
 */
static void
check_position (struct eg_load_audit *self,
                const struct position *position,
                const struct position *later,
                int64_t highest_later_attempt)
{
  check_layers (self, position,
                highest_later_attempt < position->runs->attempt);
  self->result.out_of_order += has_layers_out_of_order (position)
                               || (later && is_after (position, later));
  if (later)
    count_missing (self, (uint64_t) (later->runs->position
                                     - position->runs->position - 1));
}

static void
check_positions (struct eg_load_audit *self)
{
  struct position later = {NULL, 0};
  int64_t highest_attempt = 0;

  for (size_t end = self->n_runs; end > 0;)
    {
      struct position position = position_before (self, end);
      bool is_last =
          !later.runs
          || strcmp (later.runs->request, position.runs->request) != 0;

      if (is_last)
        {
          self->result.requests++;
          highest_attempt = 0;
        }
      check_position (self, &position, is_last ? NULL : &later,
                      highest_attempt);
      if (position.runs->attempt > highest_attempt)
        highest_attempt = position.runs->attempt;
      later = position;
      end -= position.count;
    }
}

void
eg_load_audit_check (struct eg_load_audit *self, uint64_t received)
{
  const struct eg_load_audit_result *result = &self->result;
  uint64_t seen;

  if (self->n_runs > 0)
    {
      qsort (self->runs, self->n_runs, sizeof *self->runs, compare_runs);
      check_positions (self);
    }
  seen = result->tokens + result->missing + result->unverified;
  if (seen < received)
    count_missing (self, received - seen);
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
