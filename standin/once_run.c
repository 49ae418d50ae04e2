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

#define MAX_WAIT_US (20 * EG_US_PER_MS)
#define MIN_REPEAT_US (20 * EG_US_PER_MS)
#define SETTLE_US (500 * EG_US_PER_MS)
#define MAX_STALL_US (500 * EG_US_PER_MS)
#define MAX_ANSWER_BYTES 65536
#define NEVER_US INT64_MAX
#define ID_BYTES 128
#define TICKET_BYTES 160
#define LINE_BYTES 320
#define OTHER_BODY_ODDS 3

/* State of a request. */
struct plan
{
  bool has_other_body;
  bool settled; /* A response confirmed that it was executed. */
  bool over;
  char ticket[TICKET_BYTES];
  size_t active;
  int64_t settled_us;
  int64_t next_us; /* When the next attempt is due, or NEVER_US. */
};

struct run
{
  const struct eg_once_scenario *scenario;
  const char *name;
  struct eg_once_results *results;
  struct eg_load_client *client;
  struct eg_load_faults *faults;
  struct eg_once_records *records;
  struct eg_random random;
  struct plan *plans;
  size_t arrived;
  size_t active; /* Exchanges in flight: attempts and ticket requests. */
  size_t open;   /* Requests that arrived and are not closed. */
  int64_t start_us;
  int64_t next_record_us;
};

/* One HTTP exchange of a request. */
struct call
{
  struct run *run;
  size_t request;
  size_t sending; /* SIZE_MAX for a ticket request. */
  int64_t started_us;
  struct curl_slist *headers;
  struct eg_buffer body;
  struct eg_buffer answer;
  char url[2 * LINE_BYTES];
};

static int64_t
now_us (const struct run *run)
{
  return eg_clock_now_us () - run->start_us;
}

static void
add_header (struct call *call, const char *name, const char *value)
{
  char line[LINE_BYTES];

  snprintf (line, sizeof line, "%s: %s", name, value);
  call->headers = curl_slist_append (call->headers, line);
}

static void
free_call (struct call *call)
{
  curl_slist_free_all (call->headers);
  eg_buffer_finish (&call->body);
  eg_buffer_finish (&call->answer);
  free (call);
}

static void
take_body (void *context, int http_status, struct eg_str bytes)
{
  struct call *call = context;

  (void) http_status;
  if (call->answer.len + bytes.len <= MAX_ANSWER_BYTES)
    eg_buffer_append (&call->answer, bytes);
}

static int64_t
repeat_time_us (struct run *run)
{
  int64_t range_us = run->scenario->repeat_us;

  return now_us (run) + MIN_REPEAT_US
         + (int64_t) eg_random_below (&run->random, (uint64_t) range_us);
}

static void
close_request (struct run *run, struct plan *plan)
{
  if (plan->over)
    return;
  plan->over = true;
  plan->next_us = NEVER_US;
  run->open--;
}

static struct call *
new_call (struct run *run, size_t request, size_t target, const char *path)
{
  struct call *call = calloc (1, sizeof *call);

  EG_INVARIANT (call != NULL);
  call->run = run;
  call->request = request;
  call->sending = SIZE_MAX;
  call->started_us = now_us (run);
  snprintf (call->url, sizeof call->url, "http://%s%s",
            run->scenario->base.targets[target].address, path);
  add_header (call, "X-Organisation", run->scenario->organisation);
  return call;
}

static void
start_call (struct call *call,
            void (*on_end) (void *context, const struct eg_load_end *end))
{
  struct run *run = call->run;
  struct eg_load_exchange exchange = {
      .method = "POST",
      .url = call->url,
      .headers = call->headers,
      .body = eg_buffer_view (&call->body),
      .timeout_us = run->scenario->base.request_timeout_us,
      .at_most_once = true,
      .on_body = take_body,
      .on_end = on_end,
      .context = call,
  };

  run->active++;
  run->plans[call->request].active++;
  eg_load_client_start (run->client, &exchange);
}

/* Attempts. */

static void
read_refusal (struct eg_str answer, struct eg_once_end *end)
{
  json_t *problem = json_loadb (answer.data, answer.len, 0, NULL);
  const char *type = json_string_value (json_object_get (problem, "type"));
  const char *ran = json_string_value (json_object_get (problem, "ran"));

  snprintf (end->type, sizeof end->type, "%s", type ? type : "malformed");
  for (int i = EG_ONCE_RAN_NO; ran && i < EG_ONCE_RANS; i++)
    if (strcmp (ran, eg_once_ran_name ((enum eg_once_ran) i)) == 0)
      end->ran = (enum eg_once_ran) i;
  json_decref (problem);
}

static void
read_end (const struct call *call,
          const struct eg_load_end *transfer,
          struct eg_once_end *end)
{
  struct eg_str answer = eg_buffer_view (&call->answer);

  *end = (struct eg_once_end){0};
  if (transfer->transport)
    {
      snprintf (end->type, sizeof end->type, "%s", transfer->transport);
      return;
    }
  end->status = transfer->http_status;
  if (end->status == 200)
    end->own_body = eg_str_equal (answer, eg_buffer_view (&call->body));
  else
    read_refusal (answer, end);
}

static bool
may_repeat (const struct run *run, size_t request)
{
  return run->scenario->repeats
         && run->results->book.requests[request].kind != EG_ONCE_PLAIN;
}

/* A repeatable request gets one more attempt after it has been confirmed, to
   check that the repeat does not execute it again. */
static void
plan_next (struct run *run, size_t request, int64_t started_us)
{
  struct plan *plan = &run->plans[request];
  bool confirmed = plan->settled && started_us >= plan->settled_us;

  if (plan->over || plan->active > 0)
    return;
  if (!may_repeat (run, request) || confirmed)
    close_request (run, plan);
  else
    plan->next_us = repeat_time_us (run);
}

static void
end_sending (void *context, const struct eg_load_end *transfer)
{
  struct call *call = context;
  struct run *run = call->run;
  struct plan *plan = &run->plans[call->request];
  struct eg_once_end end;

  read_end (call, transfer, &end);
  eg_once_book_end (&run->results->book, call->sending, &end, now_us (run));
  run->active--;
  plan->active--;
  if (!plan->settled && (end.status == 200 || end.ran == EG_ONCE_RAN_YES))
    {
      plan->settled = true;
      plan->settled_us = now_us (run);
    }
  plan_next (run, call->request, call->started_us);
  free_call (call);
}

static void
mark_request (struct call *call)
{
  const struct run *run = call->run;
  enum eg_once_kind kind = run->results->book.requests[call->request].kind;
  char text[ID_BYTES];

  eg_once_records_write_id (run->name, call->sending, text, sizeof text);
  add_header (call, "X-Request-Id", text);
  snprintf (text, sizeof text, "%" PRId64,
            run->scenario->deadline_us / EG_US_PER_MS);
  add_header (call, "X-Deadline-Ms", text);
  add_header (call, "Content-Type", "text/plain");
  snprintf (text, sizeof text, "%s-%zu", run->name, call->request);
  if (kind == EG_ONCE_KEY)
    add_header (call, "Idempotency-Key", text);
  else if (kind == EG_ONCE_TICKET)
    add_header (call, "X-Ticket", run->plans[call->request].ticket);
}

static void
send_one (struct run *run, size_t request, size_t target, bool other_body)
{
  char path[LINE_BYTES];
  char at_service[ID_BYTES];
  struct call *call;

  eg_once_records_write_path (run->name, request, at_service,
                              sizeof at_service);
  snprintf (path, sizeof path, "/services/%s%s", run->scenario->service,
            at_service);
  call = new_call (run, request, target, path);
  call->sending = eg_once_book_send (&run->results->book, request, target,
                                     other_body, call->started_us);
  mark_request (call);
  eg_buffer_printf (&call->body, "%s %zu %s", run->name, request,
                    other_body ? "another body" : "its body");
  start_call (call, end_sending);
}

static size_t
any_target (struct run *run)
{
  return (size_t) eg_random_below (&run->random, run->scenario->base.n_targets);
}

static bool
any_body (struct run *run, size_t request)
{
  return run->plans[request].has_other_body
         && eg_random_below (&run->random, OTHER_BODY_ODDS) == 0;
}

/* Sends the first attempts, one to each target, at the same time. */
static void
send_first (struct run *run, size_t request)
{
  size_t n_targets = run->scenario->base.n_targets;
  size_t first = any_target (run);
  bool alone = !run->scenario->duplicates
               || run->results->book.requests[request].kind == EG_ONCE_PLAIN;

  for (size_t i = 0; i < (alone ? 1 : n_targets); i++)
    send_one (run, request, (first + i) % n_targets, any_body (run, request));
}

/* Tickets. */

static bool
take_ticket (struct call *call, const struct eg_load_end *end)
{
  struct plan *plan = &call->run->plans[call->request];
  json_t *object = json_loadb (call->answer.data, call->answer.len, 0, NULL);
  const char *ticket = json_string_value (json_object_get (object, "ticket"));
  bool taken =
      !end->transport && end->http_status == 200 && ticket
      && eg_str_copy (eg_str_from (ticket), plan->ticket, sizeof plan->ticket);

  json_decref (object);
  return taken;
}

static void
end_ticket (void *context, const struct eg_load_end *end)
{
  struct call *call = context;
  struct run *run = call->run;
  struct plan *plan = &run->plans[call->request];
  struct eg_once_results *results = run->results;

  run->active--;
  plan->active--;
  if (take_ticket (call, end))
    {
      results->ticket_us[results->n_tickets++] =
          now_us (run) - call->started_us;
      if (!plan->over)
        send_first (run, call->request);
    }
  else
    plan_next (run, call->request, call->started_us);
  free_call (call);
}

static void
ask_ticket (struct run *run, size_t request)
{
  start_call (new_call (run, request, any_target (run), "/v1/tickets"),
              end_ticket);
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
  struct plan *plan = &run->plans[request];
  enum eg_once_kind kind = run->results->book.requests[request].kind;
  bool is_repeat = plan->next_us >= 0;

  plan->next_us = NEVER_US;
  if (kind == EG_ONCE_TICKET && !*plan->ticket)
    ask_ticket (run, request);
  else if (is_repeat)
    send_one (run, request, any_target (run), any_body (run, request));
  else
    send_first (run, request);
}

static void
send_repeats (struct run *run, int64_t now)
{
  for (size_t i = 0; run->scenario->repeats && i < run->arrived; i++)
    if (run->plans[i].next_us <= now)
      send_due (run, i);
}

static void
send_arrivals (struct run *run, int64_t now)
{
  size_t requests = run->results->book.n_requests;

  while (run->arrived < requests && arrival_us (run, run->arrived) <= now)
    {
      run->open++;
      send_due (run, run->arrived++);
    }
}

static void
read_records (struct run *run, int64_t now)
{
  int64_t interval_us = run->scenario->record_interval_us;

  if (interval_us == 0 || now < run->next_record_us)
    return;
  run->next_record_us = now + interval_us;
  eg_once_records_read (run->records);
}

static int64_t
earlier (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static void
step (struct run *run)
{
  int64_t now = now_us (run);
  int64_t next_us = now + MAX_WAIT_US;
  int64_t stall_us;

  eg_load_faults_run (run->faults, now);
  send_arrivals (run, now);
  send_repeats (run, now);
  read_records (run, now);
  if (run->arrived < run->results->book.n_requests)
    next_us = earlier (next_us, arrival_us (run, run->arrived));
  next_us = earlier (next_us, eg_load_faults_next_us (run->faults));
  eg_load_client_run (run->client, next_us - now_us (run));
  stall_us = now_us (run) - now - MAX_WAIT_US;
  if (stall_us > run->results->longest_stall_us)
    run->results->longest_stall_us = stall_us;
}

static bool
is_over (const struct run *run)
{
  const struct eg_load_scenario *base = &run->scenario->base;
  int64_t now = now_us (run);

  if (run->arrived < run->results->book.n_requests
      || eg_load_faults_next_us (run->faults) != INT64_MAX)
    return false;
  return run->open == 0 || now >= base->duration_us + base->drain_us;
}

static void
wait_for_calls (struct run *run)
{
  for (size_t i = 0; i < run->arrived; i++)
    close_request (run, &run->plans[i]);
  while (run->active > 0)
    step (run);
}

/* Requests queued at entry VMs may still be executed until their deadline. */
static void
read_last_records (struct run *run)
{
  int64_t until_us = now_us (run) + run->scenario->deadline_us + SETTLE_US;

  while (now_us (run) < until_us || eg_once_records_active (run->records) > 0)
    step (run);
  eg_once_records_read (run->records);
  while (eg_once_records_active (run->records) > 0)
    eg_load_client_run (run->client, MAX_WAIT_US);
  run->results->records_are_whole = eg_once_records_are_whole (run->records);
}

static void
choose_kinds (struct run *run)
{
  const struct eg_once_scenario *scenario = run->scenario;
  struct eg_once_book *book = &run->results->book;

  for (size_t i = 0; i < book->n_requests; i++)
    {
      double which = eg_random_double (&run->random);
      double other = eg_random_double (&run->random);

      if (which < scenario->ticket_share)
        book->requests[i].kind = EG_ONCE_TICKET;
      else if (which < scenario->ticket_share + scenario->plain_share)
        book->requests[i].kind = EG_ONCE_PLAIN;
      run->plans[i].has_other_body = book->requests[i].kind != EG_ONCE_PLAIN
                                     && other < scenario->other_body_share;
      run->plans[i].next_us = -1; /* First attempt. */
    }
}

static void
count_ticketless (struct run *run)
{
  for (size_t i = 0; i < run->arrived; i++)
    if (run->results->book.requests[i].kind == EG_ONCE_TICKET
        && !*run->plans[i].ticket)
      run->results->ticketless++;
}

static void
loop (struct run *run)
{
  run->start_us = eg_clock_now_us ();
  run->records = eg_once_records_new (run->scenario, run->name, run->client,
                                      &run->results->book, run->start_us);
  while (!is_over (run))
    step (run);
  wait_for_calls (run);
  read_last_records (run);
  count_ticketless (run);
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
  eg_once_book_init (&results->book, requests);
  results->load.scenario = &scenario->base;
  results->load.faults =
      calloc (scenario->base.n_faults + 1, sizeof *results->load.faults);
  results->ticket_us = calloc (requests, sizeof *results->ticket_us);
  run.plans = calloc (requests, sizeof *run.plans);
  EG_INVARIANT (results->load.faults && results->ticket_us && run.plans);
  run.client = eg_load_client_new (error);
  if (!run.client)
    goto out;
  run.faults = eg_load_faults_new (&scenario->base, run.client, &results->load);
  eg_random_init (&run.random, seed);
  choose_kinds (&run);
  loop (&run);
  eg_once_book_check (&results->book, &results->findings);
  status = EG_OK;
out:
  eg_once_records_free (run.records);
  eg_load_faults_free (run.faults);
  eg_load_client_free (run.client);
  free (run.plans);
  return status;
}

bool
eg_once_results_went_as_planned (const struct eg_once_results *self)
{
  for (size_t i = 0; i < self->scenario->base.n_faults; i++)
    if (!self->load.faults[i].done)
      return false;
  return self->records_are_whole && self->longest_stall_us <= MAX_STALL_US;
}

void
eg_once_results_finish (struct eg_once_results *self)
{
  eg_once_book_finish (&self->book);
  free (self->load.faults);
  free (self->ticket_us);
  memset (self, 0, sizeof *self);
}
