#include "standin/load_scenario.h"

#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "standin/load_fields.h"

#define MAX_TIME_MS 86400000.0
#define MAX_RATE 1e6
#define MAX_PROMPT_BYTES 65536.0
#define MAX_TOKENS 65536.0
#define MAX_LAYERS 1024
#define MAX_PRIORITY 100.0

#define FIELD(type, member) offsetof (struct type, member)
#define TABLE(rows)                                                            \
  {                                                                            \
    rows, sizeof (rows) / sizeof *(rows)                                       \
  }

/** Parses an element of an array into the zeroed memory at @p item. */
typedef enum eg_status (*element_reader) (json_t *element,
                                          const char *path,
                                          void *item,
                                          struct eg_error *error);

static enum eg_status
read_array (json_t *array,
            const char *path,
            size_t item_bytes,
            element_reader read,
            void **items,
            size_t *n_items,
            struct eg_error *error)
{
  enum eg_status status = EG_OK;
  char element[EG_LOAD_PATH_BYTES];
  size_t count = json_array_size (array);

  if (!json_is_array (array))
    return eg_error_set (error, EG_INVALID, "%s: expected an array", path);
  *items = calloc (count + 1, item_bytes);
  EG_INVARIANT (*items != NULL);
  *n_items = count;
  for (size_t i = 0; i < count && status == EG_OK; i++)
    {
      eg_load_fields_element_path (path, i, element);
      status = read (json_array_get (array, i), element,
                     (char *) *items + i * item_bytes, error);
    }
  return status;
}

static enum eg_status
read_keyword (json_t *value,
              const char *path,
              const char *true_word,
              const char *false_word,
              bool *is_true,
              struct eg_error *error)
{
  const char *keyword = json_string_value (value);

  if (!keyword
      || (strcmp (keyword, true_word) != 0
          && strcmp (keyword, false_word) != 0))
    return eg_error_set (error, EG_INVALID, "%s: expected \"%s\" or \"%s\"",
                         path, true_word, false_word);
  *is_true = strcmp (keyword, true_word) == 0;
  return EG_OK;
}

static enum eg_status
read_target (json_t *value,
             const char *path,
             void *item,
             struct eg_error *error)
{
  static const struct eg_load_field rows[] = {
      {"address", EG_LOAD_FIELD_ADDRESS, true, FIELD (eg_load_target, address),
       1, EG_LOAD_ADDRESS_BYTES, NULL},
  };
  static const struct eg_load_fields table = TABLE (rows);

  return eg_load_fields_read (&table, value, path, item, error);
}

enum eg_status
eg_load_scenario_read_targets (json_t *value,
                               const char *path,
                               void *output,
                               struct eg_error *error)
{
  struct eg_load_scenario *self = output;

  return read_array (value, path, sizeof *self->targets, read_target,
                     (void **) &self->targets, &self->n_targets, error);
}

static enum eg_status
check_layers (json_t *layers, const char *path, struct eg_error *error)
{
  json_int_t first = json_integer_value (json_array_get (layers, 0));
  json_int_t last = json_integer_value (json_array_get (layers, 1));

  if (json_array_size (layers) != 2 || first < 1 || last < first
      || last > MAX_LAYERS)
    return eg_error_set (error, EG_INVALID,
                         "%s: expected [FIRST, LAST] counted from 1", path);
  return EG_OK;
}

static enum eg_status
read_layers (json_t *value,
             const char *path,
             void *output,
             struct eg_error *error)
{
  (void) output;
  return check_layers (value, path, error);
}

static enum eg_status
read_chain (json_t *value, const char *path, void *item, struct eg_error *error)
{
  static const struct eg_load_field rows[] = {
      {"address", EG_LOAD_FIELD_ADDRESS, true, 0, 1, EG_LOAD_ADDRESS_BYTES,
       NULL},
      {"layers", EG_LOAD_FIELD_NESTED, true, 0, 0, 0, read_layers},
  };
  static const struct eg_load_fields table = TABLE (rows);
  struct eg_load_chain *chain = item;
  char address[EG_LOAD_ADDRESS_BYTES];
  char element[EG_LOAD_PATH_BYTES];
  enum eg_status status;

  if (json_array_size (value) == 0)
    return eg_error_set (error, EG_INVALID, "%s: expected a list of stages",
                         path);
  for (size_t i = 0; i < json_array_size (value); i++)
    {
      eg_load_fields_element_path (path, i, element);
      status = eg_load_fields_read (&table, json_array_get (value, i), element,
                                    address, error);
      if (status != EG_OK)
        return status;
      if (i == 0)
        memcpy (chain->head, address, sizeof address);
    }
  chain->json = json_dumps (value, JSON_COMPACT);
  return EG_OK;
}

static enum eg_status
read_chains (json_t *value,
             const char *path,
             void *output,
             struct eg_error *error)
{
  struct eg_load_stream *stream = output;

  return read_array (value, path, sizeof *stream->chains, read_chain,
                     (void **) &stream->chains, &stream->n_chains, error);
}

static enum eg_status
read_single_chain (json_t *value,
                   const char *path,
                   void *output,
                   struct eg_error *error)
{
  struct eg_load_stream *stream = output;

  if (stream->n_chains > 0)
    return eg_error_set (error, EG_INVALID,
                         "%s: cannot be combined with \"chains\"", path);
  stream->chains = calloc (1, sizeof *stream->chains);
  EG_INVARIANT (stream->chains != NULL);
  stream->n_chains = 1;
  return read_chain (value, path, stream->chains, error);
}

static enum eg_status
read_direct (json_t *value,
             const char *path,
             void *output,
             struct eg_error *error)
{
  static const struct eg_load_field rows[] = {
      {"chains", EG_LOAD_FIELD_NESTED, false, 0, 0, 0, read_chains},
      {"chain", EG_LOAD_FIELD_NESTED, false, 0, 0, 0, read_single_chain},
      {"priority", EG_LOAD_FIELD_INTEGER, false,
       FIELD (eg_load_stream, priority), 0, MAX_PRIORITY, NULL},
  };
  static const struct eg_load_fields table = TABLE (rows);
  struct eg_load_stream *stream = output;
  enum eg_status status =
      eg_load_fields_read (&table, value, path, output, error);

  if (status == EG_OK && stream->n_chains == 0)
    return eg_error_set (error, EG_INVALID, "%s.chain: must be given", path);
  return status;
}

static enum eg_status
read_max_tokens (json_t *value,
                 const char *path,
                 void *output,
                 struct eg_error *error)
{
  static const struct eg_load_field rows[] = {
      {"min", EG_LOAD_FIELD_INTEGER, true, FIELD (eg_load_stream, min_tokens),
       1, MAX_TOKENS, NULL},
      {"max", EG_LOAD_FIELD_INTEGER, true, FIELD (eg_load_stream, max_tokens),
       1, MAX_TOKENS, NULL},
  };
  static const struct eg_load_fields table = TABLE (rows);
  struct eg_load_stream *stream = output;
  enum eg_status status = EG_OK;

  if (json_is_integer (value))
    stream->min_tokens = stream->max_tokens = json_integer_value (value);
  else
    status = eg_load_fields_read (&table, value, path, output, error);
  if (status != EG_OK)
    return status;
  if (stream->min_tokens < 1 || stream->max_tokens < stream->min_tokens
      || (double) stream->max_tokens > MAX_TOKENS)
    return eg_error_set (error, EG_INVALID,
                         "%s: expected a count from 1 to %g, or "
                         "{\"min\", \"max\"} in ascending order",
                         path, MAX_TOKENS);
  return EG_OK;
}

static enum eg_status
read_arrivals (json_t *value,
               const char *path,
               void *output,
               struct eg_error *error)
{
  struct eg_load_stream *stream = output;

  return read_keyword (value, path, "poisson", "uniform", &stream->poisson,
                       error);
}

static enum eg_status
check_stream (const struct eg_load_stream *stream,
              const char *path,
              struct eg_error *error)
{
  bool has_model = *stream->model != '\0';
  bool has_path = *stream->path != '\0';
  bool is_direct = stream->n_chains > 0;

  if (has_model + has_path + is_direct != 1)
    return eg_error_set (error, EG_INVALID,
                         "%s: expected exactly one of \"model\", \"path\" and "
                         "\"direct\"",
                         path);
  if (has_path && stream->path[0] != '/')
    return eg_error_set (error, EG_INVALID, "%s.path: must start with /", path);
  return EG_OK;
}

static const struct eg_load_field stream_rows[] = {
    {"name", EG_LOAD_FIELD_STRING, true, FIELD (eg_load_stream, name), 1,
     EG_LOAD_NAME_BYTES, NULL},
    {"organisation", EG_LOAD_FIELD_STRING, true,
     FIELD (eg_load_stream, organisation), 1, EG_LOAD_NAME_BYTES, NULL},
    {"class", EG_LOAD_FIELD_STRING, false, FIELD (eg_load_stream, class_name),
     1, EG_LOAD_NAME_BYTES, NULL},
    {"model", EG_LOAD_FIELD_STRING, false, FIELD (eg_load_stream, model), 1,
     EG_LOAD_NAME_BYTES, NULL},
    {"path", EG_LOAD_FIELD_STRING, false, FIELD (eg_load_stream, path), 1,
     EG_LOAD_PATH_OR_URL_BYTES, NULL},
    {"method", EG_LOAD_FIELD_STRING, false, FIELD (eg_load_stream, method), 1,
     EG_LOAD_NAME_BYTES, NULL},
    {"body", EG_LOAD_FIELD_STRING, false, FIELD (eg_load_stream, body), 0,
     EG_LOAD_BODY_BYTES, NULL},
    {"rate_per_s", EG_LOAD_FIELD_NUMBER, true,
     FIELD (eg_load_stream, rate_per_s), 0, MAX_RATE, NULL},
    {"arrivals", EG_LOAD_FIELD_NESTED, false, 0, 0, 0, read_arrivals},
    {"stream", EG_LOAD_FIELD_BOOLEAN, false, FIELD (eg_load_stream, streamed),
     0, 0, NULL},
    {"idempotency_key", EG_LOAD_FIELD_BOOLEAN, false,
     FIELD (eg_load_stream, idempotency_key), 0, 0, NULL},
    {"prompt_bytes", EG_LOAD_FIELD_INTEGER, false,
     FIELD (eg_load_stream, prompt_bytes), 1, MAX_PROMPT_BYTES, NULL},
    {"max_tokens", EG_LOAD_FIELD_NESTED, false, 0, 0, 0, read_max_tokens},
    {"deadline_ms", EG_LOAD_FIELD_TIME_MS, false,
     FIELD (eg_load_stream, deadline_us), 1, MAX_TIME_MS, NULL},
    {"start_ms", EG_LOAD_FIELD_TIME_MS, false, FIELD (eg_load_stream, start_us),
     0, MAX_TIME_MS, NULL},
    {"end_ms", EG_LOAD_FIELD_TIME_MS, false, FIELD (eg_load_stream, end_us), 1,
     MAX_TIME_MS, NULL},
    {"direct", EG_LOAD_FIELD_NESTED, false, 0, 0, 0, read_direct},
};

static enum eg_status
read_stream (json_t *value,
             const char *path,
             void *item,
             struct eg_error *error)
{
  static const struct eg_load_fields table = TABLE (stream_rows);
  struct eg_load_stream *stream = item;
  enum eg_status status;

  *stream = (struct eg_load_stream){
      .method = "GET",
      .poisson = true,
      .streamed = true,
      .prompt_bytes = 64,
      .min_tokens = 32,
      .max_tokens = 32,
  };
  status = eg_load_fields_read (&table, value, path, item, error);
  return status == EG_OK ? check_stream (stream, path, error) : status;
}

static enum eg_status
read_streams (json_t *value,
              const char *path,
              void *output,
              struct eg_error *error)
{
  struct eg_load_scenario *self = output;

  return read_array (value, path, sizeof *self->streams, read_stream,
                     (void **) &self->streams, &self->n_streams, error);
}

static enum eg_status
read_phase (json_t *value, const char *path, void *item, struct eg_error *error)
{
  static const struct eg_load_field rows[] = {
      {"at_ms", EG_LOAD_FIELD_TIME_MS, true, FIELD (eg_load_phase, at_us), 0,
       MAX_TIME_MS, NULL},
      {"rate_factor", EG_LOAD_FIELD_NUMBER, true,
       FIELD (eg_load_phase, rate_factor), 0, MAX_RATE, NULL},
  };
  static const struct eg_load_fields table = TABLE (rows);

  return eg_load_fields_read (&table, value, path, item, error);
}

static enum eg_status
read_phases (json_t *value,
             const char *path,
             void *output,
             struct eg_error *error)
{
  struct eg_load_scenario *self = output;

  return read_array (value, path, sizeof *self->phases, read_phase,
                     (void **) &self->phases, &self->n_phases, error);
}

static enum eg_status
read_fault_body (json_t *value,
                 const char *path,
                 void *output,
                 struct eg_error *error)
{
  struct eg_load_fault *fault = output;

  if (!json_is_object (value))
    return eg_error_set (error, EG_INVALID, "%s: expected an object", path);
  fault->body = json_dumps (value, JSON_COMPACT);
  return EG_OK;
}

static enum eg_status
read_post (json_t *value,
           const char *path,
           void *output,
           struct eg_error *error)
{
  static const struct eg_load_field rows[] = {
      {"url", EG_LOAD_FIELD_STRING, true, FIELD (eg_load_fault, url), 1,
       EG_LOAD_PATH_OR_URL_BYTES, NULL},
      {"body", EG_LOAD_FIELD_NESTED, true, 0, 0, 0, read_fault_body},
  };
  static const struct eg_load_fields table = TABLE (rows);

  return eg_load_fields_read (&table, value, path, output, error);
}

static enum eg_status
read_delete (json_t *value,
             const char *path,
             void *output,
             struct eg_error *error)
{
  static const struct eg_load_field rows[] = {
      {"url", EG_LOAD_FIELD_STRING, true, FIELD (eg_load_fault, url), 1,
       EG_LOAD_PATH_OR_URL_BYTES, NULL},
  };
  static const struct eg_load_fields table = TABLE (rows);
  const struct eg_load_fault *fault = output;

  if (*fault->url)
    return eg_error_set (error, EG_INVALID,
                         "%s: cannot be combined with \"post\"", path);
  return eg_load_fields_read (&table, value, path, output, error);
}

static enum eg_status
read_signal (json_t *value,
             const char *path,
             void *output,
             struct eg_error *error)
{
  static const struct
  {
    const char *name;
    int number;
  } signals[] = {
      {"TERM", SIGTERM},
      {"KILL", SIGKILL},
      {"STOP", SIGSTOP},
      {"CONT", SIGCONT},
  };
  struct eg_load_fault *fault = output;

  for (size_t i = 0; i < sizeof signals / sizeof *signals; i++)
    if (json_is_string (value)
        && strcmp (json_string_value (value), signals[i].name) == 0)
      {
        fault->signal = signals[i].number;
        return EG_OK;
      }
  return eg_error_set (error, EG_INVALID,
                       "%s: expected \"TERM\", \"KILL\", \"STOP\" or \"CONT\"",
                       path);
}

static enum eg_status
read_kill (json_t *value,
           const char *path,
           void *output,
           struct eg_error *error)
{
  static const struct eg_load_field rows[] = {
      {"pid_file", EG_LOAD_FIELD_STRING, true, FIELD (eg_load_fault, pid_file),
       1, EG_LOAD_PATH_OR_URL_BYTES, NULL},
      {"signal", EG_LOAD_FIELD_NESTED, true, 0, 0, 0, read_signal},
  };
  static const struct eg_load_fields table = TABLE (rows);

  return eg_load_fields_read (&table, value, path, output, error);
}

static enum eg_status
read_fault (json_t *value, const char *path, void *item, struct eg_error *error)
{
  static const struct eg_load_field rows[] = {
      {"at_ms", EG_LOAD_FIELD_TIME_MS, true, FIELD (eg_load_fault, at_us), 0,
       MAX_TIME_MS, NULL},
      {"label", EG_LOAD_FIELD_STRING, true, FIELD (eg_load_fault, label), 1,
       EG_LOAD_NAME_BYTES, NULL},
      {"measured", EG_LOAD_FIELD_BOOLEAN, false,
       FIELD (eg_load_fault, measured), 0, 0, NULL},
      {"post", EG_LOAD_FIELD_NESTED, false, 0, 0, 0, read_post},
      {"delete", EG_LOAD_FIELD_NESTED, false, 0, 0, 0, read_delete},
      {"kill", EG_LOAD_FIELD_NESTED, false, 0, 0, 0, read_kill},
  };
  static const struct eg_load_fields table = TABLE (rows);
  struct eg_load_fault *fault = item;
  enum eg_status status;

  fault->measured = true;
  status = eg_load_fields_read (&table, value, path, item, error);
  if (status != EG_OK)
    return status;
  if ((*fault->url != '\0') == (*fault->pid_file != '\0'))
    return eg_error_set (error, EG_INVALID,
                         "%s: expected exactly one of \"post\", \"delete\" and "
                         "\"kill\"",
                         path);
  return EG_OK;
}

enum eg_status
eg_load_scenario_read_faults (json_t *value,
                              const char *path,
                              void *output,
                              struct eg_error *error)
{
  struct eg_load_scenario *self = output;

  return read_array (value, path, sizeof *self->faults, read_fault,
                     (void **) &self->faults, &self->n_faults, error);
}

static enum eg_status
read_choice (json_t *value,
             const char *path,
             void *output,
             struct eg_error *error)
{
  struct eg_load_scenario *self = output;

  return read_keyword (value, path, "random", "round-robin",
                       &self->random_choice, error);
}

static enum eg_status
read_recovery (json_t *value,
               const char *path,
               void *output,
               struct eg_error *error)
{
  static const struct eg_load_field rows[] = {
      {"window_ms", EG_LOAD_FIELD_TIME_MS, false,
       FIELD (eg_load_recovery_criteria, window_us), 100, MAX_TIME_MS, NULL},
      {"before_ms", EG_LOAD_FIELD_TIME_MS, false,
       FIELD (eg_load_recovery_criteria, before_us), 100, MAX_TIME_MS, NULL},
      {"level", EG_LOAD_FIELD_NUMBER, false,
       FIELD (eg_load_recovery_criteria, level), 0, 1, NULL},
  };
  static const struct eg_load_fields table = TABLE (rows);
  struct eg_load_scenario *self = output;

  return eg_load_fields_read (&table, value, path, &self->recovery, error);
}

static enum eg_status
read_record_source (json_t *value,
                    const char *path,
                    void *item,
                    struct eg_error *error)
{
  static const struct eg_load_field rows[] = {
      {"url", EG_LOAD_FIELD_STRING, true, FIELD (eg_load_record_source, url), 1,
       EG_LOAD_PATH_OR_URL_BYTES, NULL},
  };
  static const struct eg_load_fields table = TABLE (rows);

  return eg_load_fields_read (&table, value, path, item, error);
}

enum eg_status
eg_load_scenario_read_records (json_t *value,
                               const char *path,
                               void *output,
                               struct eg_error *error)
{
  struct eg_load_scenario *self = output;

  return read_array (value, path, sizeof *self->record_sources,
                     read_record_source, (void **) &self->record_sources,
                     &self->n_record_sources, error);
}

static enum eg_status
read_audit (json_t *value,
            const char *path,
            void *output,
            struct eg_error *error)
{
  static const struct eg_load_field rows[] = {
      {"records", EG_LOAD_FIELD_NESTED, true, 0, 0, 0,
       eg_load_scenario_read_records},
      {"model_layers", EG_LOAD_FIELD_INTEGER, true,
       FIELD (eg_load_scenario, model_layers), 1, MAX_LAYERS, NULL},
  };
  static const struct eg_load_fields table = TABLE (rows);

  return eg_load_fields_read (&table, value, path, output, error);
}

static const struct eg_load_field scenario_rows[] = {
    {"name", EG_LOAD_FIELD_STRING, true, FIELD (eg_load_scenario, name), 1,
     EG_LOAD_NAME_BYTES, NULL},
    {"targets", EG_LOAD_FIELD_NESTED, false, 0, 0, 0,
     eg_load_scenario_read_targets},
    {"choice", EG_LOAD_FIELD_NESTED, false, 0, 0, 0, read_choice},
    {"fail_over", EG_LOAD_FIELD_BOOLEAN, false,
     FIELD (eg_load_scenario, fail_over), 0, 0, NULL},
    {"health_interval_ms", EG_LOAD_FIELD_TIME_MS, false,
     FIELD (eg_load_scenario, health_interval_us), 0, MAX_TIME_MS, NULL},
    {"warm_up_ms", EG_LOAD_FIELD_TIME_MS, false,
     FIELD (eg_load_scenario, warm_up_us), 0, MAX_TIME_MS, NULL},
    {"duration_ms", EG_LOAD_FIELD_TIME_MS, true,
     FIELD (eg_load_scenario, duration_us), 1, MAX_TIME_MS, NULL},
    {"drain_ms", EG_LOAD_FIELD_TIME_MS, false,
     FIELD (eg_load_scenario, drain_us), 0, MAX_TIME_MS, NULL},
    {"request_timeout_ms", EG_LOAD_FIELD_TIME_MS, false,
     FIELD (eg_load_scenario, request_timeout_us), 1, MAX_TIME_MS, NULL},
    {"bound_tokens_per_s", EG_LOAD_FIELD_NUMBER, false,
     FIELD (eg_load_scenario, bound_tokens_per_s), 0, 1e9, NULL},
    {"recovery", EG_LOAD_FIELD_NESTED, false, 0, 0, 0, read_recovery},
    {"audit", EG_LOAD_FIELD_NESTED, false, 0, 0, 0, read_audit},
    {"streams", EG_LOAD_FIELD_NESTED, true, 0, 0, 0, read_streams},
    {"phases", EG_LOAD_FIELD_NESTED, false, 0, 0, 0, read_phases},
    {"faults", EG_LOAD_FIELD_NESTED, false, 0, 0, 0,
     eg_load_scenario_read_faults},
};

static enum eg_status
check_scenario (const struct eg_load_scenario *self, struct eg_error *error)
{
  if (self->n_streams == 0)
    return eg_error_set (error, EG_INVALID, "streams: must not be empty");
  for (size_t i = 0; i < self->n_streams; i++)
    if (self->n_targets == 0 && self->streams[i].n_chains == 0)
      return eg_error_set (error, EG_INVALID,
                           "targets: must not be empty unless all streams are "
                           "direct");
  for (size_t i = 1; i < self->n_phases; i++)
    if (self->phases[i].at_us <= self->phases[i - 1].at_us)
      return eg_error_set (
          error, EG_INVALID,
          "phases[%zu].at_ms: must be later than the previous one", i);
  for (size_t i = 1; i < self->n_faults; i++)
    if (self->faults[i].at_us < self->faults[i - 1].at_us)
      return eg_error_set (
          error, EG_INVALID,
          "faults[%zu].at_ms: must not be earlier than the previous "
          "one",
          i);
  return EG_OK;
}

static enum eg_status
read_scenario (struct eg_load_scenario *self,
               json_t *document,
               const json_error_t *json_error,
               struct eg_error *error)
{
  static const struct eg_load_fields table = TABLE (scenario_rows);
  enum eg_status status;

  *self = (struct eg_load_scenario){
      .drain_us = 10 * EG_US_PER_S,
      .request_timeout_us = 60 * EG_US_PER_S,
      .recovery = {EG_US_PER_S, 3 * EG_US_PER_S, 0.95},
  };
  if (!document)
    return eg_error_set (error, EG_INVALID, "line %d: %s", json_error->line,
                         json_error->text);
  status = eg_load_fields_read (&table, document, "", self, error);
  return status == EG_OK ? check_scenario (self, error) : status;
}

int64_t
eg_load_scenario_end_us (const struct eg_load_scenario *self)
{
  return self->warm_up_us + self->duration_us;
}

enum eg_status
eg_load_scenario_init (struct eg_load_scenario *self,
                       const char *text,
                       struct eg_error *error)
{
  json_error_t json_error;
  json_t *document = json_loads (text, JSON_REJECT_DUPLICATES, &json_error);
  enum eg_status status = read_scenario (self, document, &json_error, error);

  json_decref (document);
  return status;
}

enum eg_status
eg_load_scenario_init_file (struct eg_load_scenario *self,
                            const char *path,
                            struct eg_error *error)
{
  json_error_t json_error;
  json_t *document = json_load_file (path, JSON_REJECT_DUPLICATES, &json_error);
  enum eg_status status = read_scenario (self, document, &json_error, error);

  json_decref (document);
  return status;
}

void
eg_load_scenario_finish (struct eg_load_scenario *self)
{
  for (size_t i = 0; i < self->n_streams; i++)
    {
      for (size_t j = 0; j < self->streams[i].n_chains; j++)
        free (self->streams[i].chains[j].json);
      free (self->streams[i].chains);
    }
  for (size_t i = 0; i < self->n_faults; i++)
    free (self->faults[i].body);
  free (self->targets);
  free (self->record_sources);
  free (self->streams);
  free (self->phases);
  free (self->faults);
  *self = (struct eg_load_scenario){0};
}
