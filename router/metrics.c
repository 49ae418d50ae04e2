#include "router/metrics.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/hash.h"
#include "base/status.h"

/* Upper bounds of the exported histogram buckets, in microseconds. */
static const uint64_t bucket_bounds_us[] = {
    500,     1000,    2000,     5000,     10000,   20000,
    30000,   50000,   100000,   200000,   500000,  1000000,
    2000000, 5000000, 10000000, 30000000, 60000000};

#define BUCKET_BOUND_COUNT                                                     \
  (sizeof bucket_bounds_us / sizeof bucket_bounds_us[0])

void
eg_metrics_finish (struct eg_metrics *self)
{
  struct eg_metrics_series *series;
  size_t cursor = 0;

  while ((series = eg_map_next (&self->by_name, &cursor)))
    free (series);
  eg_map_finish (&self->by_name);
}

static uint64_t
series_key (struct eg_str organisation, struct eg_str class_name)
{
  return eg_hash_add (eg_hash_add (EG_HASH_START, organisation), class_name);
}

struct eg_metrics_series *
eg_metrics_series (struct eg_metrics *self,
                   struct eg_str organisation,
                   struct eg_str class_name)
{
  uint64_t key = series_key (organisation, class_name);
  struct eg_metrics_series *series = eg_map_get (&self->by_name, key);

  if (series)
    return series;
  if (self->count >= EG_METRICS_SERIES_MAX)
    {
      organisation = EG_STR ("other");
      key = series_key (organisation, class_name);
      series = eg_map_get (&self->by_name, key);
      if (series)
        return series;
    }
  series = calloc (1, sizeof *series);
  EG_INVARIANT (series != NULL);
  eg_str_copy (organisation, series->organisation, EG_NAME_BYTES);
  eg_str_copy (class_name, series->class_name, EG_NAME_BYTES);
  eg_map_put (&self->by_name, key, series);
  self->count++;
  return series;
}

void
eg_metrics_write_gauge (struct eg_buffer *text,
                        const struct eg_metrics_gauge *gauge)
{
  eg_buffer_printf (text, "# HELP %s %s\n# TYPE %s %s\n%s %.17g\n", gauge->name,
                    gauge->help, gauge->name, gauge->type, gauge->name,
                    gauge->value);
}

static void
write_label_value (struct eg_buffer *text, const char *value)
{
  for (; *value; value++)
    {
      if (*value == '"' || *value == '\\')
        eg_buffer_append (text, EG_STR ("\\"));
      eg_buffer_append (text, (struct eg_str){value, 1});
    }
}

static void
write_labels (struct eg_buffer *text, const struct eg_metrics_series *series)
{
  eg_buffer_append (text, EG_STR ("organisation=\""));
  write_label_value (text, series->organisation);
  eg_buffer_append (text, EG_STR ("\",class=\""));
  write_label_value (text, series->class_name);
  eg_buffer_append (text, EG_STR ("\""));
}

static void
write_counter (struct eg_buffer *text,
               const struct eg_metrics_series *series,
               const char *name,
               uint64_t value)
{
  eg_buffer_printf (text, "%s{", name);
  write_labels (text, series);
  eg_buffer_printf (text, "} %" PRIu64 "\n", value);
}

static void
write_outcomes (struct eg_buffer *text, const struct eg_metrics_series *series)
{
  for (int i = 0; i < EG_REFUSAL_COUNT; i++)
    {
      if (series->outcomes[i] == 0)
        continue;
      eg_buffer_append (text, EG_STR ("eelgrass_outcomes_total{"));
      write_labels (text, series);
      eg_buffer_printf (text, ",outcome=\"%s\"} %" PRIu64 "\n",
                        i == EG_REFUSAL_NONE ? "answered"
                                             : eg_refusal_info (i)->name,
                        series->outcomes[i]);
    }
}

static void
write_histogram (struct eg_buffer *text,
                 const struct eg_metrics_series *series,
                 const char *name,
                 const struct eg_histogram *histogram)
{
  for (size_t i = 0; i <= BUCKET_BOUND_COUNT; i++)
    {
      eg_buffer_printf (text, "%s_bucket{", name);
      write_labels (text, series);
      if (i < BUCKET_BOUND_COUNT)
        eg_buffer_printf (
            text, ",le=\"%g\"} %" PRIu64 "\n",
            (double) bucket_bounds_us[i] / 1e6,
            eg_histogram_cumulative_count (histogram, bucket_bounds_us[i]));
      else
        eg_buffer_printf (text, ",le=\"+Inf\"} %" PRIu64 "\n",
                          histogram->count);
    }
  eg_buffer_printf (text, "%s_sum{", name);
  write_labels (text, series);
  eg_buffer_printf (text, "} %g\n", (double) histogram->sum / 1e6);
  eg_buffer_printf (text, "%s_count{", name);
  write_labels (text, series);
  eg_buffer_printf (text, "} %" PRIu64 "\n", histogram->count);
}

/* The text format requires all samples of a metric to be grouped, so each of
   these tables is written metric by metric. */
static const struct
{
  const char *name;
  const char *help;
  size_t offset;
} counters[] = {
    {"eelgrass_requests_total", "Requests taken in",
     offsetof (struct eg_metrics_series, requests)},
    {"eelgrass_tokens_total", "Tokens passed to callers",
     offsetof (struct eg_metrics_series, tokens)},
    {"eelgrass_abandoned_total", "Requests whose caller left",
     offsetof (struct eg_metrics_series, abandoned)},
};

static const struct
{
  const char *name;
  const char *help;
  size_t offset;
} histograms[] = {
    {"eelgrass_first_token_seconds", "Time from arrival to the first token",
     offsetof (struct eg_metrics_series, first_token_us)},
    {"eelgrass_between_tokens_seconds", "Time between two tokens",
     offsetof (struct eg_metrics_series, between_tokens_us)},
    {"eelgrass_total_seconds", "Time from arrival to the end of the answer",
     offsetof (struct eg_metrics_series, total_us)},
};

void
eg_metrics_write (const struct eg_metrics *self, struct eg_buffer *text)
{
  const struct eg_metrics_series *series;
  size_t cursor;

  for (size_t i = 0; i < sizeof counters / sizeof counters[0]; i++)
    {
      eg_buffer_printf (text, "# HELP %s %s\n# TYPE %s counter\n",
                        counters[i].name, counters[i].help, counters[i].name);
      for (cursor = 0; (series = eg_map_next (&self->by_name, &cursor));)
        write_counter (
            text, series, counters[i].name,
            *(const uint64_t *) ((const char *) series + counters[i].offset));
    }
  eg_buffer_append (
      text, EG_STR ("# HELP eelgrass_outcomes_total How requests ended\n"
                    "# TYPE eelgrass_outcomes_total counter\n"));
  for (cursor = 0; (series = eg_map_next (&self->by_name, &cursor));)
    write_outcomes (text, series);
  for (size_t i = 0; i < sizeof histograms / sizeof histograms[0]; i++)
    {
      eg_buffer_printf (text, "# HELP %s %s\n# TYPE %s histogram\n",
                        histograms[i].name, histograms[i].help,
                        histograms[i].name);
      for (cursor = 0; (series = eg_map_next (&self->by_name, &cursor));)
        write_histogram (
            text, series, histograms[i].name,
            (const struct eg_histogram *) ((const char *) series
                                           + histograms[i].offset));
    }
}
