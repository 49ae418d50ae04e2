#include "standin/once_run.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "base/random.h"
#include "standin/load_client.h"
#include "standin/load_faults.h"
#include "standin/once_records.h"

#define MAX_POLL_WAIT_US (20 * EG_US_PER_MS)
#define MIN_REPEAT_DELAY_US (20 * EG_US_PER_MS)
#define EXECUTION_GRACE_US (500 * EG_US_PER_MS)
#define MAX_STALL_US (500 * EG_US_PER_MS)
#define MAX_RESPONSE_BYTES 65536
#define NEVER_US INT64_MAX
#define REQUEST_ID_BYTES 128
#define TICKET_BYTES 160
#define HEADER_BYTES 320

/* One in this many attempts has the other body, if the request has one. */
#define OTHER_BODY_ONE_IN 3

/* State of a request. */
struct request_state
{
  bool has_other_body;
  bool confirmed; /* A response confirmed that it was executed. */
  bool closed;    /* There will be no further attempt. */
  char ticket[TICKET_BYTES];
  size_t n_active;
  int64_t confirmed_us;
  int64_t next_us; /* When the next attempt is due, or NEVER_US; -1 before the
                      first attempt. */
};

struct run
{
  const struct eg_once_scenario *scenario;
  const char *name;
  struct eg_once_results *results;
  struct eg_load_client *client;
  struct eg_load_fault_injector *injector;
  struct eg_once_records *records;
  struct eg_random random;
  struct request_state *states;
  size_t n_arrived;
  size_t n_active; /* Exchanges in flight: attempts and ticket requests. */
  size_t n_open;   /* Requests that arrived and are not closed. */
  int64_t start_us;
  int64_t next_record_us;
};

/* One HTTP exchange of a request. */
struct exchange
{
  struct run *run;
  size_t request;
  size_t attempt; /* SIZE_MAX for a ticket request. */
  int64_t started_us;
  struct curl_slist *headers;
  struct eg_buffer body;
  struct eg_buffer response;
  char url[2 * HEADER_BYTES];
};

static int64_t
elapsed_us (const struct run *run)
{
  return eg_clock_now_us () - run->start_us;
}

static void
add_header (struct exchange *exchange, const char *name, const char *value)
{
  char line[HEADER_BYTES];

  snprintf (line, sizeof line, "%s: %s", name, value);
  exchange->headers = curl_slist_append (exchange->headers, line);
}

static void
free_exchange (struct exchange *exchange)
{
  curl_slist_free_all (exchange->headers);
  eg_buffer_finish (&exchange->body);
  eg_buffer_finish (&exchange->response);
  free (exchange);
}

static void
on_body (void *context, int http_status, struct eg_str bytes)
{
  struct exchange *exchange = context;

  (void) http_status;
  if (exchange->response.len + bytes.len <= MAX_RESPONSE_BYTES)
    eg_buffer_append (&exchange->response, bytes);
}

static int64_t
next_repeat_us (struct run *run)
{
  int64_t range_us = run->scenario->repeat_us;

  return elapsed_us (run) + MIN_REPEAT_DELAY_US
         + (int64_t) eg_random_below (&run->random, (uint64_t) range_us);
}

static void
close_request (struct run *run, struct request_state *state)
{
  if (state->closed)
    return;
  state->closed = true;
  state->next_us = NEVER_US;
  run->n_open--;
}

static struct exchange *
new_exchange (struct run *run, size_t request, size_t target, const char *path)
{
  struct exchange *exchange = calloc (1, sizeof *exchange);

  EG_INVARIANT (exchange != NULL);
  exchange->run = run;
  exchange->request = request;
  exchange->attempt = SIZE_MAX;
  exchange->started_us = elapsed_us (run);
  snprintf (exchange->url, sizeof exchange->url, "http://%s%s",
            run->scenario->base.targets[target].address, path);
  add_header (exchange, "X-Organisation", run->scenario->organisation);
  return exchange;
}

static void
start_exchange (struct exchange *exchange,
                void (*on_end) (void *context,
                                const struct eg_load_exchange_result *result))
{
  struct run *run = exchange->run;
  struct eg_load_exchange transfer = {
      .method = "POST",
      .url = exchange->url,
      .headers = exchange->headers,
      .body = eg_buffer_view (&exchange->body),
      .timeout_us = run->scenario->base.request_timeout_us,
      .at_most_once = true,
      .on_body = on_body,
      .on_end = on_end,
      .context = exchange,
  };

  run->n_active++;
  run->states[exchange->request].n_active++;
  eg_load_client_start (run->client, &transfer);
}

/* Attempts. */

static void
parse_problem (struct eg_str response, struct eg_once_outcome *outcome)
{
  json_t *problem = json_loadb (response.data, response.len, 0, NULL);
  const char *type = json_string_value (json_object_get (problem, "type"));
  const char *ran = json_string_value (json_object_get (problem, "ran"));

  snprintf (outcome->type, sizeof outcome->type, "%s",
            type ? type : "malformed");
  for (int i = EG_ONCE_RAN_NO; ran && i < EG_ONCE_RAN_COUNT; i++)
    if (strcmp (ran, eg_once_ran_name ((enum eg_once_ran) i)) == 0)
      outcome->ran = (enum eg_once_ran) i;
  json_decref (problem);
}

static void
read_outcome (const struct exchange *exchange,
              const struct eg_load_exchange_result *result,
              struct eg_once_outcome *outcome)
{
  struct eg_str response = eg_buffer_view (&exchange->response);

  *outcome = (struct eg_once_outcome){0};
  if (result->transport_error)
    {
      snprintf (outcome->type, sizeof outcome->type, "%s",
                result->transport_error);
      return;
    }
  outcome->status = result->http_status;
  if (outcome->status == 200)
    outcome->own_body =
        eg_str_equal (response, eg_buffer_view (&exchange->body));
  else
    parse_problem (response, outcome);
}

static bool
may_repeat (const struct run *run, size_t request)
{
  return run->scenario->repeats
         && run->results->history.requests[request].kind != EG_ONCE_PLAIN;
}

/* A repeatable request gets one more attempt after it has been confirmed, to
   check that the repeat does not execute it again. */
static void
schedule_next (struct run *run, size_t request, int64_t started_us)
{
  struct request_state *state = &run->states[request];
  bool rechecked = state->confirmed && started_us >= state->confirmed_us;

  if (state->closed || state->n_active > 0)
    return;
  if (!may_repeat (run, request) || rechecked)
    close_request (run, state);
  else
    state->next_us = next_repeat_us (run);
}

static void
on_attempt_end (void *context, const struct eg_load_exchange_result *result)
{
  struct exchange *exchange = context;
  struct run *run = exchange->run;
  struct request_state *state = &run->states[exchange->request];
  struct eg_once_outcome outcome;

  read_outcome (exchange, result, &outcome);
  eg_once_history_end_attempt (&run->results->history, exchange->attempt,
                               &outcome, elapsed_us (run));
  run->n_active--;
  state->n_active--;
  if (!state->confirmed
      && (outcome.status == 200 || outcome.ran == EG_ONCE_RAN_YES))
    {
      state->confirmed = true;
      state->confirmed_us = elapsed_us (run);
    }
  schedule_next (run, exchange->request, exchange->started_us);
  free_exchange (exchange);
}

static void
add_request_headers (struct exchange *exchange)
{
  const struct run *run = exchange->run;
  enum eg_once_kind kind =
      run->results->history.requests[exchange->request].kind;
  char text[REQUEST_ID_BYTES];

  eg_once_records_format_request_id (run->name, exchange->attempt, text,
                                     sizeof text);
  add_header (exchange, "X-Request-Id", text);
  snprintf (text, sizeof text, "%" PRId64,
            run->scenario->deadline_us / EG_US_PER_MS);
  add_header (exchange, "X-Deadline-Ms", text);
  add_header (exchange, "Content-Type", "text/plain");
  snprintf (text, sizeof text, "%s-%zu", run->name, exchange->request);
  if (kind == EG_ONCE_KEY)
    add_header (exchange, "Idempotency-Key", text);
  else if (kind == EG_ONCE_TICKET)
    add_header (exchange, "X-Ticket", run->states[exchange->request].ticket);
}

static void
send_attempt (struct run *run, size_t request, size_t target, bool other_body)
{
  char path[HEADER_BYTES];
  char service_path[REQUEST_ID_BYTES];
  struct exchange *exchange;

  eg_once_records_format_path (run->name, request, service_path,
                               sizeof service_path);
  snprintf (path, sizeof path, "/services/%s%s", run->scenario->service,
            service_path);
  exchange = new_exchange (run, request, target, path);
  exchange->attempt =
      eg_once_history_add_attempt (&run->results->history, request, target,
                                   other_body, exchange->started_us);
  add_request_headers (exchange);
  eg_buffer_printf (&exchange->body, "%s %zu %s", run->name, request,
                    other_body ? "another body" : "its body");
  start_exchange (exchange, on_attempt_end);
}

static size_t
pick_target (struct run *run)
{
  return (size_t) eg_random_below (&run->random, run->scenario->base.n_targets);
}

static bool
pick_body (struct run *run, size_t request)
{
  return run->states[request].has_other_body
         && eg_random_below (&run->random, OTHER_BODY_ONE_IN) == 0;
}

/* Sends the first attempts, one to each target, at the same time. */
static void
send_first_attempts (struct run *run, size_t request)
{
  size_t n_targets = run->scenario->base.n_targets;
  size_t first = pick_target (run);
  bool single =
      !run->scenario->duplicates
      || run->results->history.requests[request].kind == EG_ONCE_PLAIN;

  for (size_t i = 0; i < (single ? 1 : n_targets); i++)
    send_attempt (run, request, (first + i) % n_targets,
                  pick_body (run, request));
}

/* Tickets. */

static bool
parse_ticket (struct exchange *exchange,
              const struct eg_load_exchange_result *result)
{
  struct request_state *state = &exchange->run->states[exchange->request];
  json_t *object =
      json_loadb (exchange->response.data, exchange->response.len, 0, NULL);
  const char *ticket = json_string_value (json_object_get (object, "ticket"));
  bool is_valid = !result->transport_error && result->http_status == 200
                  && ticket
                  && eg_str_copy (eg_str_from (ticket), state->ticket,
                                  sizeof state->ticket);

  json_decref (object);
  return is_valid;
}

static void
on_ticket_end (void *context, const struct eg_load_exchange_result *result)
{
  struct exchange *exchange = context;
  struct run *run = exchange->run;
  struct request_state *state = &run->states[exchange->request];
  struct eg_once_results *results = run->results;

  run->n_active--;
  state->n_active--;
  if (parse_ticket (exchange, result))
    {
      results->ticket_us[results->n_tickets++] =
          elapsed_us (run) - exchange->started_us;
      if (!state->closed)
        send_first_attempts (run, exchange->request);
    }
  else
    schedule_next (run, exchange->request, exchange->started_us);
  free_exchange (exchange);
}

static void
request_ticket (struct run *run, size_t request)
{
  start_exchange (new_exchange (run, request, pick_target (run), "/v1/tickets"),
                  on_ticket_end);
}

/* Main loop. */

static int64_t
arrival_us (const struct run *run, size_t request)
{
  int64_t requests = run->scenario->requests;

  return (int64_t) ((double) run->scenario->base.duration_us * (double) request
                    / (double) requests);
}

static void
send_due (struct run *run, size_t request)
{
  struct request_state *state = &run->states[request];
  enum eg_once_kind kind = run->results->history.requests[request].kind;
  bool is_repeat = state->next_us >= 0;

  state->next_us = NEVER_US;
  if (kind == EG_ONCE_TICKET && !*state->ticket)
    request_ticket (run, request);
  else if (is_repeat)
    send_attempt (run, request, pick_target (run), pick_body (run, request));
  else
    send_first_attempts (run, request);
}

static void
send_repeats (struct run *run, int64_t now_us)
{
  for (size_t i = 0; run->scenario->repeats && i < run->n_arrived; i++)
    if (run->states[i].next_us <= now_us)
      send_due (run, i);
}

static void
start_arrivals (struct run *run, int64_t now_us)
{
  size_t requests = run->results->history.n_requests;

  while (run->n_arrived < requests
         && arrival_us (run, run->n_arrived) <= now_us)
    {
      run->n_open++;
      send_due (run, run->n_arrived++);
    }
}

static void
read_records (struct run *run, int64_t now_us)
{
  int64_t interval_us = run->scenario->record_interval_us;

  if (interval_us == 0 || now_us < run->next_record_us)
    return;
  run->next_record_us = now_us + interval_us;
  eg_once_records_read (run->records);
}

static int64_t
earlier_us (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static void
run_iteration (struct run *run)
{
  int64_t now_us = elapsed_us (run);
  int64_t next_us = now_us + MAX_POLL_WAIT_US;
  int64_t stall_us;

  eg_load_fault_injector_run (run->injector, now_us);
  start_arrivals (run, now_us);
  send_repeats (run, now_us);
  read_records (run, now_us);
  if (run->n_arrived < run->results->history.n_requests)
    next_us = earlier_us (next_us, arrival_us (run, run->n_arrived));
  next_us =
      earlier_us (next_us, eg_load_fault_injector_next_us (run->injector));
  eg_load_client_run (run->client, next_us - elapsed_us (run));
  stall_us = elapsed_us (run) - now_us - MAX_POLL_WAIT_US;
  if (stall_us > run->results->longest_stall_us)
    run->results->longest_stall_us = stall_us;
}

static bool
is_finished (const struct run *run)
{
  const struct eg_load_scenario *base = &run->scenario->base;
  int64_t now_us = elapsed_us (run);

  if (run->n_arrived < run->results->history.n_requests
      || eg_load_fault_injector_next_us (run->injector) != INT64_MAX)
    return false;
  return run->n_open == 0 || now_us >= base->duration_us + base->drain_us;
}

static void
drain_exchanges (struct run *run)
{
  for (size_t i = 0; i < run->n_arrived; i++)
    close_request (run, &run->states[i]);
  while (run->n_active > 0)
    run_iteration (run);
}

/* Requests queued at entry VMs may still be executed until their deadline. */
static void
read_final_records (struct run *run)
{
  int64_t until_us =
      elapsed_us (run) + run->scenario->deadline_us + EXECUTION_GRACE_US;

  while (elapsed_us (run) < until_us
         || eg_once_records_active (run->records) > 0)
    run_iteration (run);
  eg_once_records_read (run->records);
  while (eg_once_records_active (run->records) > 0)
    eg_load_client_run (run->client, MAX_POLL_WAIT_US);
  run->results->records_are_complete =
      eg_once_records_are_complete (run->records);
}

static void
choose_kinds (struct run *run)
{
  const struct eg_once_scenario *scenario = run->scenario;
  struct eg_once_history *history = &run->results->history;

  for (size_t i = 0; i < history->n_requests; i++)
    {
      double kind_draw = eg_random_double (&run->random);
      double body_draw = eg_random_double (&run->random);

      if (kind_draw < scenario->ticket_share)
        history->requests[i].kind = EG_ONCE_TICKET;
      else if (kind_draw < scenario->ticket_share + scenario->plain_share)
        history->requests[i].kind = EG_ONCE_PLAIN;
      run->states[i].has_other_body = history->requests[i].kind != EG_ONCE_PLAIN
                                      && body_draw < scenario->other_body_share;
      run->states[i].next_us = -1; /* First attempt. */
    }
}

static void
count_missing_tickets (struct run *run)
{
  for (size_t i = 0; i < run->n_arrived; i++)
    if (run->results->history.requests[i].kind == EG_ONCE_TICKET
        && !*run->states[i].ticket)
      run->results->tickets_missing++;
}

static void
run_event_loop (struct run *run)
{
  run->start_us = eg_clock_now_us ();
  run->records = eg_once_records_new (run->scenario, run->name, run->client,
                                      &run->results->history, run->start_us);
  while (!is_finished (run))
    run_iteration (run);
  drain_exchanges (run);
  read_final_records (run);
  count_missing_tickets (run);
  eg_load_client_abort (run->client, "unfinished");
}

enum eg_status
eg_once_run (const struct eg_once_scenario *scenario,
             const char *name,
             uint64_t seed,
             struct eg_once_results *results,
             struct eg_error *error)
{
  struct run run = {.scenario = scenario, .name = name, .results = results};
  size_t requests = (size_t) scenario->requests;
  enum eg_status status = EG_SYSTEM;

  memset (results, 0, sizeof *results);
  results->scenario = scenario;
  eg_once_history_init (&results->history, requests);
  results->load.scenario = &scenario->base;
  results->load.faults =
      calloc (scenario->base.n_faults + 1, sizeof *results->load.faults);
  results->ticket_us = calloc (requests, sizeof *results->ticket_us);
  run.states = calloc (requests, sizeof *run.states);
  EG_INVARIANT (results->load.faults && results->ticket_us && run.states);
  run.client = eg_load_client_new (error);
  if (!run.client)
    goto out;
  run.injector =
      eg_load_fault_injector_new (&scenario->base, run.client, &results->load);
  eg_random_init (&run.random, seed);
  choose_kinds (&run);
  run_event_loop (&run);
  eg_once_history_check (&results->history, &results->findings);
  status = EG_OK;
out:
  eg_once_records_free (run.records);
  eg_load_fault_injector_free (run.injector);
  eg_load_client_free (run.client);
  free (run.states);
  return status;
}

bool
eg_once_results_run_is_valid (const struct eg_once_results *self)
{
  for (size_t i = 0; i < self->scenario->base.n_faults; i++)
    if (!self->load.faults[i].done)
      return false;
  return self->records_are_complete && self->longest_stall_us <= MAX_STALL_US;
}

void
eg_once_results_finish (struct eg_once_results *self)
{
  eg_once_history_finish (&self->history);
  free (self->load.faults);
  free (self->ticket_us);
  memset (self, 0, sizeof *self);
}
