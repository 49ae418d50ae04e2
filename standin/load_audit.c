#include "standin/load_audit.h"

#include <stdlib.h>
#include <string.h>

#define MIN_EXECUTIONS 1024

/** Execution of a range of layers for one token. */
struct execution
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
  struct execution *executions;
  size_t n_executions;
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
  free (self->executions);
  free (self);
}

static void
append_execution (struct eg_load_audit *self, const struct execution *execution)
{
  if (self->n_executions == self->capacity)
    {
      self->capacity = self->capacity ? 2 * self->capacity : MIN_EXECUTIONS;
      self->executions =
          realloc (self->executions, self->capacity * sizeof *self->executions);
      EG_INVARIANT (self->executions != NULL);
    }
  self->executions[self->n_executions++] = *execution;
}

enum eg_status
eg_load_audit_add_engine (struct eg_load_audit *self,
                          json_t *record,
                          struct eg_error *error)
{
  json_t *executions = json_object_get (record, "runs");
  struct execution execution = {0};
  json_t *item;
  size_t i;

  self->result.engines++;
  if (!record)
    {
      self->result.unreadable_engines++;
      return EG_OK;
    }
  if (!json_is_array (executions))
    return eg_error_set (error, EG_INVALID,
                         "execution record: \"runs\" is not an array");
  json_array_append (self->records, record);
  json_array_foreach (executions, i, item)
  {
    json_int_t position, attempt, first, last, sequence;

    if (json_unpack (item, "{s:s, s:I, s:I, s:I, s:I, s:I}", "request",
                     &execution.request, "position", &position, "attempt",
                     &attempt, "first", &first, "last", &last, "sequence",
                     &sequence)
        != 0)
      return eg_error_set (error, EG_INVALID,
                           "execution record: runs[%zu] is malformed", i);
    execution.position = position;
    execution.attempt = attempt;
    execution.first = first;
    execution.last = last;
    execution.sequence = sequence;
    append_execution (self, &execution);
  }
  return EG_OK;
}

static int
compare_int64 (int64_t a, int64_t b)
{
  return (a > b) - (a < b);
}

/* Sorts by request, position, descending attempt and first layer. */
static int
compare_executions (const void *a, const void *b)
{
  const struct execution *left = a;
  const struct execution *right = b;
  int result = strcmp (left->request, right->request);

  if (result == 0)
    result = compare_int64 (left->position, right->position);
  if (result == 0)
    result = compare_int64 (right->attempt, left->attempt);
  if (result == 0)
    result = compare_int64 (left->first, right->first);
  return result;
}

/** Executions for one position of a request, highest attempt first. */
struct position
{
  const struct execution *executions;
  size_t count;
};

static bool
is_same_position (const struct execution *a, const struct execution *b)
{
  return a->position == b->position && strcmp (a->request, b->request) == 0;
}

/* Returns the position whose last execution is at index end - 1. */
static struct position
position_ending_at (const struct eg_load_audit *self, size_t end)
{
  struct position position = {self->executions + end - 1, 1};

  while (position.count < end
         && is_same_position (position.executions - 1, position.executions))
    {
      position.executions--;
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
              bool may_be_incomplete)
{
  const struct execution *executions = position->executions;
  int64_t next = 1;
  bool repeated = false;
  bool missing = false;

  for (size_t i = 0;
       i < position->count && executions[i].attempt == executions[0].attempt;
       i++)
    {
      repeated |= executions[i].first < next;
      missing |= executions[i].first > next;
      if (executions[i].last >= next)
        next = executions[i].last + 1;
    }
  missing |= next != self->model_layers + 1;
  self->result.repeated += repeated;
  if (!missing)
    self->result.tokens++;
  else if (!may_be_incomplete)
    count_missing (self, 1);
  if (executions[position->count - 1].attempt != executions[0].attempt)
    self->result.other_attempts++;
}

/* Tells whether a layer was executed before a lower layer. */
static bool
has_layers_out_of_order (const struct position *position)
{
  const struct execution *executions = position->executions;

  for (size_t i = 1; i < position->count; i++)
    if (executions[i].attempt == executions[i - 1].attempt
        && executions[i].sequence < executions[i - 1].sequence)
      return true;
  return false;
}

/* Tells whether a position was executed after the following position. */
static bool
was_executed_after (const struct position *position,
                    const struct position *later)
{
  for (size_t i = 0; i < position->count; i++)
    for (size_t j = 0; j < later->count; j++)
      if (position->executions[i].attempt == later->executions[j].attempt
          && position->executions[i].sequence > later->executions[j].sequence)
        return true;
  return false;
}

/*
 * The last token of an attempt may never have reached the client, so its layers
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
                highest_later_attempt < position->executions->attempt);
  self->result.out_of_order +=
      has_layers_out_of_order (position)
      || (later && was_executed_after (position, later));
  if (later)
    count_missing (self, (uint64_t) (later->executions->position
                                     - position->executions->position - 1));
}

static void
check_positions (struct eg_load_audit *self)
{
  struct position later = {NULL, 0};
  int64_t highest_attempt = 0;

  for (size_t end = self->n_executions; end > 0;)
    {
      struct position position = position_ending_at (self, end);
      bool is_last =
          !later.executions
          || strcmp (later.executions->request, position.executions->request)
                 != 0;

      if (is_last)
        {
          self->result.requests++;
          highest_attempt = 0;
        }
      check_position (self, &position, is_last ? NULL : &later,
                      highest_attempt);
      if (position.executions->attempt > highest_attempt)
        highest_attempt = position.executions->attempt;
      later = position;
      end -= position.count;
    }
}

void
eg_load_audit_check (struct eg_load_audit *self, uint64_t received)
{
  const struct eg_load_audit_result *result = &self->result;
  uint64_t accounted;

  if (self->n_executions > 0)
    {
      qsort (self->executions, self->n_executions, sizeof *self->executions,
             compare_executions);
      check_positions (self);
    }
  accounted = result->tokens + result->missing + result->unverified;
  if (accounted < received)
    count_missing (self, received - accounted);
}

const struct eg_load_audit_result *
eg_load_audit_result (const struct eg_load_audit *self)
{
  return &self->result;
}

bool
eg_load_audit_failed (const struct eg_load_audit_result *result)
{
  return result->missing + result->repeated + result->out_of_order > 0;
}
