#include "entry/explain.h"

#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/call_state.h"
#include "entry/entry.h"

/** What a search has found in a failure domain, or for a plain server. */
struct option
{
  const char *domain;
  double cost; /**< Infinite without a placement. */
  bool is_placed;
  struct eg_placement placement; /**< If @c is_placed. */
  struct eg_layer_range missing;
};

/** What a search has told; see struct eg_placement_observer. */
struct search_result
{
  struct option options[EG_EXPLAIN_OPTIONS_MAX]; /**< By cost. */
  size_t option_count;
  size_t options_omitted;
  size_t candidate_count;
  json_t *rejected;
  size_t rejected_omitted;
};

/** What is decided on the request. */
struct decision
{
  const char *action; /**< "send", "wait" or "reject". */
  const char *cause;  /**< NULL: nothing rules out a send. */
  unsigned status;    /**< Of a rejection. */
  int64_t retry_after_ms;
  struct eg_call_target target; /**< Of "send". */
};

/** An explanation in progress. */
struct explanation
{
  struct eg_entry *entry;
  const struct eg_explain_query *query;
  int64_t now_us;
  struct eg_call call; /**< As a real request would be; never started. */
  struct eg_http_head head;
  struct eg_placement_request placement_request;
  struct search_result search;
  struct eg_wait_preview wait;
  struct decision decision;
};

/* Returns @p text with at most EG_EXPLAIN_NAME_MAX bytes, as JSON. Bytes other
 * than ASCII are replaced if the text is not UTF-8. */
static json_t *
pack_text (struct eg_str text)
{
  char copy[EG_EXPLAIN_NAME_MAX];
  size_t len = text.len < sizeof copy ? text.len : sizeof copy;
  json_t *packed;

  if (!text.data)
    return json_string ("");
  /* A character is left out whole. */
  if (len < text.len)
    while (len > 0 && ((unsigned char) text.data[len] & 0xc0) == 0x80)
      len--;
  packed = json_stringn (text.data, len);
  if (packed)
    return packed;
  for (size_t i = 0; i < len; i++)
    if ((unsigned char) text.data[i] < 0x80)
      copy[i] = text.data[i];
    else
      copy[i] = '?';
  return json_stringn (copy, len);
}

static json_t *
pack_name (const char *name)
{
  return pack_text (eg_str_from (name));
}

/* A time of unknown age, or none, is written as null. */
static json_t *
pack_ms (int64_t us)
{
  return us < 0 ? json_null () : json_integer (us / EG_US_PER_MS);
}

/* Three decimals are enough for loads and times. */
static json_t *
pack_number (double value)
{
  return isfinite (value) ? json_real (round (value * 1000) / 1000)
                          : json_null ();
}

static unsigned
fail (struct eg_buffer *out, unsigned status, const char *message)
{
  json_t *answer = json_object ();
  char *text;

  json_object_set_new (answer, "error", pack_name (message));
  text = json_dumps (answer, JSON_COMPACT);
  eg_buffer_append (out, eg_str_from (text));
  free (text);
  json_decref (answer);
  return status;
}

static void
on_server (void *context,
           const struct eg_backend *backend,
           const char *obstacle)
{
  struct search_result *self = context;

  if (!obstacle)
    self->candidate_count++;
  else if (json_array_size (self->rejected) == EG_EXPLAIN_REJECTED_MAX)
    self->rejected_omitted++;
  else
    json_array_append_new (
        self->rejected,
        json_pack ("{s:o, s:o, s:s}", "server", pack_name (backend->record.id),
                   "failure_domain", pack_name (backend->record.domain),
                   "reason", obstacle));
}

/* Keeps the options of least cost, in the order of their costs. */
static void
on_option (void *context, const struct eg_placement_option *found)
{
  struct search_result *self = context;
  double cost = found->placement ? found->cost : INFINITY;
  size_t at = self->option_count;

  while (at > 0 && self->options[at - 1].cost > cost)
    at--;
  self->options_omitted += self->option_count == EG_EXPLAIN_OPTIONS_MAX;
  if (at == EG_EXPLAIN_OPTIONS_MAX)
    return;
  if (self->option_count < EG_EXPLAIN_OPTIONS_MAX)
    self->option_count++;
  memmove (&self->options[at + 1], &self->options[at],
           (self->option_count - 1 - at) * sizeof self->options[at]);
  self->options[at] = (struct option){.domain = found->domain,
                                      .cost = cost,
                                      .is_placed = found->placement != NULL,
                                      .missing = found->missing};
  if (found->placement)
    self->options[at].placement = *found->placement;
}

/* Lets the search for servers tell what it considers. */
static void
search (struct explanation *self)
{
  const struct eg_service_config *service = eg_call_service (&self->call);
  const struct eg_placement_observer observer = {on_server, on_option,
                                                 &self->search};
  const struct eg_random random = self->entry->random;
  struct eg_placement chosen;

  self->placement_request = eg_call_placement_request (&self->call, service);
  self->placement_request.observer = &observer;
  eg_placement_choose (self->entry, &self->placement_request, self->now_us,
                       &chosen);
  self->placement_request.observer = NULL;
  /* The decision draws the same numbers. */
  self->entry->random = random;
}

static void
reject (struct explanation *self,
        unsigned status,
        const char *cause,
        int64_t retry_after_ms)
{
  self->decision.action = "reject";
  self->decision.status = status;
  self->decision.cause = cause;
  self->decision.retry_after_ms = retry_after_ms;
}

/* Refuses the request with a time to come back. */
static void
refuse (struct explanation *self, const char *cause)
{
  struct eg_shortage shortage =
      eg_entry_service (self->entry, self->call.service)->shortage;

  reject (self, 503, cause,
          eg_call_find_retry_after_ms (&self->call, &shortage, self->wait.wait,
                                       self->now_us));
}

static void
set_waiting (struct explanation *self, const char *cause)
{
  self->decision.action = "wait";
  self->decision.cause = cause;
}

/* Decides on a request that cannot be sent now. */
static void
give_up (struct explanation *self, const struct eg_call_step *step)
{
  self->call.limit = step->limit;
  switch (eg_call_give_up (&self->call, step->limit, self->now_us))
    {
    case EG_RESEND_REFUSE:
      if (eg_wait_preview_offer (&self->wait, &self->call, step->limit,
                                 self->now_us))
        set_waiting (self, step->cause);
      else
        refuse (self, step->cause);
      return;
    case EG_RESEND_TIMEOUT:
      reject (self, 504, step->cause, 0);
      return;
    default:
      reject (self, 502, step->cause, 0);
    }
}

/* Decides on a request that others do not go before. */
static void
decide_attempt (struct explanation *self)
{
  struct eg_peer_paths peers = self->entry->peer_paths;
  struct eg_call_step step = eg_call_decide (&self->call, &peers, self->now_us);

  switch (step.action)
    {
    case EG_CALL_SENDS:
      self->decision.action = "send";
      self->decision.target = step.target;
      return;
    case EG_CALL_HOLDS:
    case EG_CALL_ASKS_PEERS:
      set_waiting (self, step.cause);
      return;
    case EG_CALL_GIVES_UP:
      give_up (self, &step);
    }
}

/* Decides as the start of a call does. */
static void
decide (struct explanation *self)
{
  struct eg_call *call = &self->call;

  if (!eg_call_may_use_key (call, self->now_us))
    reject (self, 503, "keys-too-old", EG_RETRY_AFTER_CONFIGURATION_MS);
  else if (call->needs_key && call->organisation.len == 0)
    reject (self, 401, "key-unknown", 0);
  else if (!self->wait.queues)
    decide_attempt (self);
  else if (eg_wait_preview_offer (&self->wait, call, EG_LIMIT_NONE,
                                  self->now_us))
    set_waiting (self, "others-first");
  else
    refuse (self, "no-server");
}

static const char *
kind_name (enum eg_route_kind kind)
{
  switch (kind)
    {
    case EG_ROUTE_IDEMPOTENT:
      return "idempotent";
    case EG_ROUTE_NON_IDEMPOTENT:
      return "non-idempotent";
    case EG_ROUTE_STREAM:
      return "stream";
    }
  return "unknown";
}

static json_t *
pack_vm (const struct explanation *self)
{
  const struct eg_entry *entry = self->entry;

  return json_pack ("{s:o, s:b, s:s, s:I, s:o}", "failure_domain",
                    pack_name (entry->settings->domain), "ready",
                    eg_entry_is_ready (entry, self->now_us), "reach",
                    eg_reach_state_name (entry->fleet.reach.state),
                    "configuration",
                    (json_int_t) entry->configuration.current->version,
                    "configuration_age_ms",
                    pack_ms (self->now_us - entry->configuration.as_of_us));
}

static json_t *
pack_request (const struct explanation *self)
{
  const struct eg_call *call = &self->call;

  return json_pack (
      "{s:o, s:s, s:o, s:o, s:i, s:I, s:I, s:I, s:I}", "route",
      pack_text (call->route.name), "kind", kind_name (call->route.kind),
      "service", pack_text (call->service), "organisation",
      call->organisation.len > 0 ? pack_text (call->organisation)
                                 : json_null (),
      "priority", (int) call->priority, "goal_ms",
      (json_int_t) (call->route.latency_goal_us / EG_US_PER_MS), "deadline_ms",
      (json_int_t) ((call->deadline_us - call->arrived_us) / EG_US_PER_MS),
      "prompt_tokens", (json_int_t) call->headers.prompt_tokens,
      "answer_tokens", (json_int_t) self->placement_request.answer_tokens);
}

static json_t *
pack_queue (const struct explanation *self)
{
  const struct eg_shed_request *request = &self->call.wait.request;

  if (!self->wait.enabled)
    return json_pack ("{s:b}", "enabled", false);
  return json_pack ("{s:b, s:I, s:I, s:I, s:o, s:o, s:i, s:o, s:s*}", "enabled",
                    true, "waiting", (json_int_t) self->wait.waiting,
                    "capacity", (json_int_t) self->wait.capacity, "ahead",
                    (json_int_t) self->wait.ahead, "rank",
                    json_real (eg_shed_rank (request, self->now_us)), "work",
                    pack_number (eg_shed_work (request)), "rejections",
                    (int) request->rejections, "wait_max_ms",
                    pack_ms (eg_shed_latest_us (request) - self->now_us),
                    "verdict", self->call.wait.verdict);
}

static bool
is_same (const struct eg_placement *a, const struct eg_placement *b)
{
  if (a->count != b->count)
    return false;
  for (uint32_t i = 0; i < a->count; i++)
    if (a->stages[i] != b->stages[i] || a->layers[i].from != b->layers[i].from
        || a->layers[i].to != b->layers[i].to)
      return false;
  return true;
}

static json_t *
pack_stage (const struct explanation *self,
            const struct eg_placement *placement,
            uint32_t index,
            double *first_event_us)
{
  const struct eg_backend *backend = placement->stages[index];
  struct eg_layer_range layers = placement->layers[index];
  struct eg_stage_figures figures = eg_placement_stage_figures (
      self->entry, &self->placement_request, placement, index, self->now_us);
  json_t *packed = json_pack ("{s:o, s:o, s:o, s:I, s:o, s:o}", "server",
                              pack_name (backend->record.id), "address",
                              pack_name (backend->record.address), "running",
                              pack_number (figures.running), "slots",
                              (json_int_t) backend->record.slots,
                              "report_age_ms", pack_ms (figures.report_age_us),
                              "others_age_ms", pack_ms (figures.others_age_us));

  *first_event_us += figures.first_event_us;
  if (layers.to > layers.from)
    {
      json_object_set_new (
          packed, "layers",
          json_pack ("[i, i]", (int) layers.from, (int) layers.to));
      json_object_set_new (packed, "memory_free",
                           pack_number (1 - figures.memory_used));
    }
  return packed;
}

static void
set_placement (const struct explanation *self,
               const struct eg_placement *placement,
               json_t *packed)
{
  json_t *stages = json_array ();
  double first_event_us = 0;

  for (uint32_t i = 0; i < placement->count; i++)
    json_array_append_new (stages,
                           pack_stage (self, placement, i, &first_event_us));
  json_object_set_new (packed, "load", pack_number (placement->load));
  /* There is no model of the times of plain servers. */
  if (placement->layers[0].to > placement->layers[0].from)
    json_object_set_new (packed, "first_event_ms",
                         pack_number (first_event_us / EG_US_PER_MS));
  json_object_set_new (packed, "stages", stages);
}

static json_t *
pack_option (const struct explanation *self, size_t index)
{
  const struct option *option = &self->search.options[index];
  const struct decision *decision = &self->decision;
  bool is_path = self->placement_request.service->has_engine
                 && self->placement_request.service->engine.layers > 0;
  json_t *packed =
      json_pack ("{s:o}", "failure_domain", pack_name (option->domain));

  if (!option->is_placed)
    {
      json_object_set_new (packed, "chosen", json_false ());
      json_object_set_new (packed, "reason", json_string ("no-complete-path"));
      json_object_set_new (packed, "missing_layers",
                           json_pack ("[i, i]", (int) option->missing.from,
                                      (int) option->missing.to));
      return packed;
    }
  json_object_set_new (packed, "chosen",
                       json_boolean (strcmp (decision->action, "send") == 0
                                     && !decision->target.peer
                                     && is_same (&option->placement,
                                                 &decision->target.placement)));
  if (index > 0)
    json_object_set_new (packed, "reason", json_string ("higher-cost"));
  if (is_path)
    json_object_set_new (packed, "cost_ms",
                         pack_number (option->cost / EG_US_PER_MS));
  set_placement (self, &option->placement, packed);
  return packed;
}

static json_t *
pack_options (const struct explanation *self)
{
  json_t *options = json_array ();

  for (size_t i = 0; i < self->search.option_count; i++)
    json_array_append_new (options, pack_option (self, i));
  return options;
}

static json_t *
pack_decision (const struct explanation *self)
{
  const struct decision *decision = &self->decision;
  json_t *packed = json_pack ("{s:s}", "action", decision->action);

  if (decision->cause)
    json_object_set_new (packed, "cause", json_string (decision->cause));
  if (decision->status > 0)
    json_object_set_new (packed, "status",
                         json_integer ((json_int_t) decision->status));
  if (decision->retry_after_ms > 0)
    json_object_set_new (packed, "retry_after_ms",
                         json_integer (decision->retry_after_ms));
  if (strcmp (decision->action, "send") != 0)
    return packed;
  if (decision->target.peer)
    json_object_set_new (packed, "peer",
                         pack_name (decision->target.peer->name));
  else
    json_object_set_new (
        packed, "server",
        pack_name (decision->target.placement.stages[0]->record.id));
  return packed;
}

static void
write_answer (const struct explanation *self, struct eg_buffer *out)
{
  json_t *answer =
      json_pack ("{s:o, s:o, s:o, s:o, s:I, s:I, s:O, s:I, s:o}", "vm",
                 pack_vm (self), "request", pack_request (self), "queue",
                 pack_queue (self), "options", pack_options (self),
                 "options_omitted", (json_int_t) self->search.options_omitted,
                 "candidates", (json_int_t) self->search.candidate_count,
                 "rejected", self->search.rejected, "rejected_omitted",
                 (json_int_t) self->search.rejected_omitted, "decision",
                 pack_decision (self));
  char *text = json_dumps (answer, JSON_COMPACT | JSON_REAL_PRECISION (9));

  eg_buffer_append (out, eg_str_from (text));
  free (text);
  json_decref (answer);
}

/* Makes the head that the request would have, but for its fields. */
static void
set_head (struct explanation *self)
{
  eg_http_head_init (&self->head);
  eg_buffer_append (&self->head.text, self->query->path);
  self->head.target_len = self->query->path.len;
  self->head.method = "GET";
}

static void
set_call (struct explanation *self)
{
  const struct eg_explain_query *query = self->query;
  struct eg_call *call = &self->call;

  eg_call_init (call, self->entry, NULL);
  call->configuration =
      eg_configuration_ref (self->entry->configuration.current);
  call->head = &self->head;
  call->body = EG_STR ("");
  call->arrived_us = self->now_us;
  call->cause = "";
  call->headers.host = eg_request_host (query->host);
  call->headers.timeout_us =
      query->deadline_ms < 0 ? -1 : query->deadline_ms * EG_US_PER_MS;
  call->headers.prompt_tokens = query->prompt_tokens;
  call->headers.answer_tokens_hint = query->answer_tokens;
}

static const char *
find_route_fault (const struct eg_call *call)
{
  const struct eg_configuration *configuration = call->configuration;

  for (size_t i = 0; i < configuration->route_count; i++)
    if (eg_http_same_name (call->headers.host,
                           configuration->routes[i].host.data))
      return "no route: the host has routes, but none for this path";
  return "no route: the host is unknown";
}

static const struct eg_organisation *
find_organisation (const struct eg_configuration *configuration,
                   struct eg_str name)
{
  for (size_t i = 0; i < configuration->organisation_count; i++)
    if (eg_str_equal (configuration->organisations[i].name, name))
      return &configuration->organisations[i];
  return NULL;
}

/* Sets what is known of the request before it is sent; returns what rules it
 * out, or NULL. */
static const char *
route_request (struct explanation *self)
{
  struct eg_call *call = &self->call;
  const struct eg_route *route = eg_call_find_route (call);
  const struct eg_organisation *organisation = NULL;

  if (!route)
    return find_route_fault (call);
  if (route->unusable)
    return "the route has errors; the log names them in configuration-defect";
  if (self->query->organisation.len > 0)
    {
      organisation =
          find_organisation (call->configuration, self->query->organisation);
      if (!organisation)
        return "the organisation is unknown";
    }
  eg_call_set_route (call, route);
  if (call->needs_key && organisation)
    eg_call_set_organisation (call, organisation);
  eg_call_prepare (call);
  return NULL;
}

static unsigned
explain (struct explanation *self, struct eg_buffer *out)
{
  const struct eg_random random = self->entry->random;
  const char *fault;

  set_head (self);
  set_call (self);
  self->search.rejected = json_array ();
  fault = route_request (self);
  if (!fault)
    {
      search (self);
      eg_wait_preview_init (&self->wait, &self->call, self->now_us);
      decide (self);
      write_answer (self, out);
      eg_wait_preview_finish (&self->wait);
    }
  self->entry->random = random;
  json_decref (self->search.rejected);
  eg_call_finish (&self->call);
  eg_http_head_finish (&self->head);
  return fault ? fail (out, 404, fault) : 200;
}

static void
log_answer (const struct explanation *self, unsigned status)
{
  static struct eg_log_rate rate;
  const char *action =
      self && self->decision.action ? self->decision.action : "none";
  const char *cause =
      self && self->decision.cause ? self->decision.cause : "none";

  if (eg_log_rate_admits (&rate, eg_clock_now_us ()))
    eg_log (EG_LOG_INFO, "explain",
            "event=request-explained status=%u action=%s cause=%s "
            "times=%" PRIu64,
            status, action, cause, rate.count);
}

unsigned
eg_explain_answer (struct eg_entry *entry,
                   struct eg_str target,
                   struct eg_buffer *out)
{
  struct eg_explain_query query;
  struct eg_error error;
  struct explanation *explanation = NULL;
  unsigned status;

  if (!eg_explain_query_parse (&query, target, &error))
    {
      status = fail (out, 400, error.message);
      goto cleanup;
    }
  if (!eg_entry_has_configuration (entry))
    {
      status = fail (out, 503, "this VM knows no configuration yet");
      goto cleanup;
    }
  explanation = calloc (1, sizeof *explanation);
  EG_INVARIANT (explanation);
  explanation->entry = entry;
  explanation->query = &query;
  explanation->now_us = eg_clock_now_us ();
  status = explain (explanation, out);
cleanup:
  log_answer (explanation, status);
  free (explanation);
  eg_explain_query_finish (&query);
  return status;
}
