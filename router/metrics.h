/**
 * @file
 * Counters and histograms by organisation and class, limited in number.
 */
#ifndef EG_ROUTER_METRICS_H
#define EG_ROUTER_METRICS_H

#include "base/buffer.h"
#include "base/histogram.h"
#include "base/map.h"
#include "policy/request.h"

/**
 * Maximum number of separate series; further ones are merged into one per
 * class, under the organisation "other".
 */
#define EG_METRICS_SERIES_MAX 128

/** Metrics of one organisation and class. */
struct eg_metrics_series
{
  char organisation[EG_NAME_BYTES];
  char class_name[EG_NAME_BYTES];
  uint64_t requests;
  uint64_t tokens;
  uint64_t abandoned;
  /** Requests by outcome; EG_REFUSAL_NONE counts complete answers. */
  uint64_t outcomes[EG_REFUSAL_COUNT];
  struct eg_histogram first_token_us;
  struct eg_histogram between_tokens_us;
  struct eg_histogram total_us;
};

/** All series; valid if zero-initialised. */
struct eg_metrics
{
  struct eg_map by_name;
  size_t count;
};

/** A process-wide metric with a single sample. */
struct eg_metrics_gauge
{
  const char *name;
  const char *type; /**< "counter" or "gauge". */
  const char *help;
  double value;
};

void eg_metrics_finish (struct eg_metrics *self);

/** Finds or creates the series of an organisation and class; never NULL. */
struct eg_metrics_series *eg_metrics_series (struct eg_metrics *self,
                                             struct eg_str organisation,
                                             struct eg_str class_name);

/** Appends a metric in the Prometheus text format. */
void eg_metrics_write_gauge (struct eg_buffer *text,
                             const struct eg_metrics_gauge *gauge);

/** Appends all series in the Prometheus text format. */
void eg_metrics_write (const struct eg_metrics *self, struct eg_buffer *text);

#endif
