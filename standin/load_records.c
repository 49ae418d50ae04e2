#include "standin/load_records.h"

#include <stdlib.h>

#include "base/buffer.h"
#include "base/clock.h"

#define FETCH_TIMEOUT_US (10 * EG_US_PER_S)
#define MAX_POLL_WAIT_US (50 * EG_US_PER_MS)

struct fetch
{
  struct eg_buffer body;
  bool fetched;
};

static void
on_body (void *context, int http_status, struct eg_str bytes)
{
  struct fetch *fetch = context;

  (void) http_status;
  eg_buffer_append (&fetch->body, bytes);
}

static void
on_end (void *context, const struct eg_load_exchange_result *result)
{
  struct fetch *fetch = context;

  fetch->fetched = !result->transport_error && result->http_status == 200;
}

static void
fetch_record (struct eg_load_client *client,
              const struct eg_load_record_source *source,
              struct fetch *fetch)
{
  struct eg_load_exchange exchange = {
      .method = "GET",
      .url = source->url,
      .timeout_us = FETCH_TIMEOUT_US,
      .on_body = on_body,
      .on_end = on_end,
      .context = fetch,
  };

  eg_load_client_start (client, &exchange);
}

static enum eg_status
add_record (struct eg_load_audit *audit,
            const struct fetch *fetch,
            struct eg_error *error)
{
  json_t *record = NULL;
  enum eg_status status;

  if (fetch->fetched)
    record = json_loadb (fetch->body.data, fetch->body.len, 0, NULL);
  status = eg_load_audit_add_engine (audit, record, error);
  json_decref (record);
  return status;
}

static uint64_t
count_received (const struct eg_load_results *results)
{
  uint64_t tokens = 0;

  for (size_t i = 0; i < results->n_samples; i++)
    tokens += results->samples[i].tokens;
  return tokens;
}

enum eg_status
eg_load_records_check (struct eg_load_client *client,
                       struct eg_load_results *results,
                       struct eg_error *error)
{
  const struct eg_load_scenario *scenario = results->scenario;
  struct eg_load_audit *audit = eg_load_audit_new (scenario->model_layers);
  struct fetch *fetches =
      calloc (scenario->n_record_sources + 1, sizeof *fetches);
  enum eg_status status = EG_OK;

  EG_INVARIANT (fetches != NULL);
  for (size_t i = 0; i < scenario->n_record_sources; i++)
    fetch_record (client, &scenario->record_sources[i], &fetches[i]);
  while (eg_load_client_active (client) > 0)
    eg_load_client_run (client, MAX_POLL_WAIT_US);
  for (size_t i = 0; i < scenario->n_record_sources && status == EG_OK; i++)
    status = add_record (audit, &fetches[i], error);
  if (status == EG_OK && scenario->n_record_sources > 0)
    {
      eg_load_audit_check (audit, count_received (results));
      results->audited = true;
      results->audit = *eg_load_audit_result (audit);
    }
  for (size_t i = 0; i < scenario->n_record_sources; i++)
    eg_buffer_finish (&fetches[i].body);
  free (fetches);
  eg_load_audit_free (audit);
  return status;
}
