#include "entry/placement.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry.h"

/* Time for a token to get from one server to the next in a failure domain:
 * 0.2 ms according to the users' data sheets, plus half of that as the wait
 * for the next forward pass. */
#define HOP_LATENCY_US 300.0
/* Cost factor of a first server in another failure domain. Requests stay in
 * their own domain while its load is up to about a third higher. */
#define REMOTE_DOMAIN_FACTOR 1.35
/* Memory utilisation above which the cost no longer increases. */
#define KV_UTILISATION_MAX 0.95
/* Validity of load figures from other entry VMs. */
#define PEER_LOAD_AGE_MAX_US (1000 * EG_US_PER_MS)
/* Cost factor of a stage that already holds the stream's state and does not
 * process the prompt again. */
#define KEPT_STAGE_FACTOR 0.05
/* Fraction of a server's slots this VM relies on. Requests of other VMs are
 * known about 200 ms late, in which a twentieth of the streams are replaced. */
#define USABLE_SLOTS_FRACTION 0.95
/* Time per token of a stream on the users' accelerators. */
#define TOKEN_US 17000.0
/* Waiting time is weighted higher than processing time: it delays the first
 * event, whose goal is a fifth of a stream's duration. */
#define WAIT_WEIGHT 5.0
/* Requests added to the load of a plain server in another failure domain, so
 * that a local one with the same load is preferred. */
#define REMOTE_DOMAIN_LOAD 0.5
/* Maximum random addition to the load of a plain server, which spreads requests
 * over servers with nearly the same load. */
#define LOAD_JITTER 0.05
/* Requests added to the load of a plain server, and cost added to that of a
 * path, in proportion to the part of the (first) server's limit that is used
 * up. A higher cost leaves limits unused and fills the other servers. */
#define LIMITED_LOAD 1.0
#define LIMITED_COST_US 50000.0
/* Validity of the load reported in a response. */
#define LOAD_AGE_MAX_US (500 * EG_US_PER_MS)

static bool
serves (const struct eg_backend *backend,
        const struct eg_placement_request *request,
        int64_t now_us)
{
  return eg_str_equal (backend->record.service, request->service->name)
         && eg_backend_is_usable (backend, now_us);
}

static bool
was_used (const struct eg_backend *backend,
          const struct eg_placement_request *request)
{
  for (size_t i = 0; i < request->used_count; i++)
    if (request->used[i] == backend)
      return true;
  return false;
}

/* Adds the load from other VMs to this VM's own. Without recent figures,
 * each VM of the failure domain is assumed to cause as much load as this
 * one. */
static double
add_peer_load (const struct eg_entry *entry,
               const struct eg_backend *backend,
               double own,
               double others)
{
  if (eg_clock_now_us () - backend->others_us < PEER_LOAD_AGE_MAX_US)
    return own + others;
  return own * eg_members_in_domain (&entry->members);
}

/* Expected fraction of a server's memory in use, including this request. */
static double
kv_share (const struct eg_entry *entry,
          const struct eg_backend *backend,
          const struct eg_engine_model *engine,
          double tokens)
{
  const struct eg_accelerator *accelerator =
      eg_engine_accelerator (engine, backend->record.accelerator);
  uint32_t layers = backend->record.layers.to - backend->record.layers.from;
  double capacity = accelerator
                        ? eg_engine_kv_capacity (engine, accelerator, layers)
                        : engine->kv_tokens * layers;

  double running =
      add_peer_load (entry, backend, backend->kv_running, backend->kv_others);

  if (capacity <= 0)
    return 1;
  return (running + tokens * layers) / capacity;
}

/* Expected wait for a slot on the first server. Each slot becomes free once
 * per stream duration. */
static double
slot_wait_us (const struct eg_entry *entry,
              const struct eg_backend *backend,
              const struct eg_placement_request *request)
{
  double slots = backend->record.slots * USABLE_SLOTS_FRACTION;
  double first = add_peer_load (entry, backend, backend->first_running,
                                backend->first_others)
                 + 1;

  if (slots <= 0 || first <= slots)
    return 0;
  return (first - slots) / slots * request->answer_tokens * TOKEN_US;
}

/* Returns whether a first server's pause and limit allow this request. */
static bool
may_send (struct eg_entry *entry,
          struct eg_backend *backend,
          const struct eg_placement_request *request,
          int64_t now_us)
{
  return !eg_server_room_is_paused (&backend->room, now_us)
         && (backend == request->lent
             || eg_server_limits_may_send (entry, backend, now_us));
}

/* Returns the part of a first server's limit that is used up, by which it is
 * avoided: the last requests that it takes are for those that have no other
 * one. */
static double
limit_used (struct eg_entry *entry,
            struct eg_backend *backend,
            const struct eg_placement_request *request,
            int64_t now_us)
{
  if (backend == request->lent)
    return 0;
  return 1 - eg_server_limits_left (entry, backend, now_us);
}

/* Tells the observer of a search about a server. */
static void
observe_server (const struct eg_placement_request *request,
                const struct eg_backend *backend,
                const char *obstacle)
{
  if (request->observer
      && eg_str_equal (backend->record.service, request->service->name))
    request->observer->server (request->observer->context, backend, obstacle);
}

static void
observe_option (const struct eg_placement_request *request,
                const struct eg_placement_option *option)
{
  if (request->observer)
    request->observer->option (request->observer->context, option);
}

/* Returns why a server may not be the only or the first one of a request; NULL:
 * it may. The number of first servers that a request may be sent to is limited,
 * and one of them may have asked for a pause or named a limit. */
static const char *
find_first_obstacle (struct eg_entry *entry,
                     struct eg_backend *backend,
                     const struct eg_placement_request *request,
                     int64_t now_us)
{
  if (request->only_used && !was_used (backend, request))
    return "servers-used-up";
  if (eg_server_room_is_paused (&backend->room, now_us))
    return "paused";
  if (!may_send (entry, backend, request, now_us))
    return "server-limit";
  return NULL;
}

/* Forward passes take longer, and preemption becomes more likely, as a
 * server fills up. */
static double
load_cost_factor (double share)
{
  double left = 1 - (share < KV_UTILISATION_MAX ? share : KV_UTILISATION_MAX);

  return 1 / (left * left);
}

/* Expected time in a layer until @p answer_tokens of the answer are ready. */
static double
layer_time_us (const struct eg_entry *entry,
               const struct eg_backend *backend,
               const struct eg_placement_request *request,
               uint32_t answer_tokens,
               int64_t now_us)
{
  const struct eg_engine_model *engine = &request->service->engine;
  const struct eg_accelerator *accelerator =
      eg_engine_accelerator (engine, backend->record.accelerator);
  double tokens = (double) request->prompt_tokens + request->answer_tokens;
  double step = accelerator ? accelerator->step_factor : 1;
  double prefill = accelerator ? accelerator->prefill_factor : 1;
  double work_us = answer_tokens * engine->step_us * step;

  if (engine->prefill_tokens_per_us > 0)
    work_us += request->prompt_tokens / engine->prefill_tokens_per_us * prefill;
  return work_us / engine->layers * eg_backend_slowness (backend, now_us)
         * load_cost_factor (kv_share (entry, backend, engine, tokens));
}

static double
layer_cost_us (const struct eg_entry *entry,
               const struct eg_backend *backend,
               const struct eg_placement_request *request,
               int64_t now_us)
{
  return layer_time_us (entry, backend, request, request->answer_tokens, now_us)
         * (1 + eg_backend_penalty (backend, now_us));
}

/** Candidates of one search, with the failure domains numbered. */
struct search
{
  struct eg_backend *backends[EG_PATH_CANDIDATES_MAX];
  struct eg_path_candidate candidates[EG_PATH_CANDIDATES_MAX];
  size_t count;
  const char *domains[EG_PATH_DOMAINS_MAX];
  uint32_t domain_count;
};

static uint32_t
domain_number (struct search *search, const char *name)
{
  for (uint32_t i = 0; i < search->domain_count; i++)
    if (strcmp (search->domains[i], name) == 0)
      return i;
  if (search->domain_count == EG_PATH_DOMAINS_MAX)
    {
      static struct eg_log_rate rate;

      eg_log_capacity (&rate, "placement", "path-domains", EG_PATH_DOMAINS_MAX);
      return EG_PATH_DOMAINS_MAX;
    }
  search->domains[search->domain_count] = name;
  return search->domain_count++;
}

static bool
is_full (const struct search *search)
{
  static struct eg_log_rate rate;

  if (search->count < EG_PATH_CANDIDATES_MAX)
    return false;
  eg_log_capacity (&rate, "placement", "path-candidates",
                   EG_PATH_CANDIDATES_MAX);
  return true;
}

/* Returns why a server is no candidate for a path; NULL: it is one. */
static const char *
find_path_obstacle (struct eg_entry *entry,
                    struct eg_backend *backend,
                    const struct eg_placement_request *request,
                    int64_t now_us)
{
  struct eg_layer_range layers = backend->record.layers;
  const char *obstacle = eg_backend_find_obstacle (backend, now_us);

  if (obstacle)
    return obstacle;
  if (layers.to <= layers.from || layers.to > request->service->engine.layers)
    return "no-layers";
  return layers.from == 0
             ? find_first_obstacle (entry, backend, request, now_us)
             : NULL;
}

static void
collect_candidates (struct eg_entry *entry,
                    const struct eg_placement_request *request,
                    int64_t now_us,
                    struct search *search)
{
  struct eg_list *all = &entry->fleet.all;

  search->count = 0;
  search->domain_count = 0;
  domain_number (search, entry->settings->domain);
  for (struct eg_list *at = all->next; at != all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);
      struct eg_layer_range layers = backend->record.layers;
      const char *obstacle;
      uint32_t domain = 0;

      if (!eg_str_equal (backend->record.service, request->service->name))
        continue;
      obstacle = find_path_obstacle (entry, backend, request, now_us);
      if (!obstacle && is_full (search))
        obstacle = "path-candidates";
      if (!obstacle)
        domain = domain_number (search, backend->record.domain);
      if (domain == EG_PATH_DOMAINS_MAX)
        obstacle = "path-domains";
      observe_server (request, backend, obstacle);
      if (obstacle)
        continue;
      search->backends[search->count] = backend;
      search->candidates[search->count] = (struct eg_path_candidate){
          (uint32_t) search->count,
          domain,
          layers.from,
          layers.to,
          layer_cost_us (entry, backend, request, now_us),
          WAIT_WEIGHT * slot_wait_us (entry, backend, request)
              + (layers.from == 0
                     ? LIMITED_COST_US
                           * limit_used (entry, backend, request, now_us)
                     : 0)};
      search->count++;
    }
}

/* Finds the cheapest path within one failure domain. */
static bool
find_in_domain (const struct search *search,
                const struct eg_placement_request *request,
                uint32_t domain,
                struct eg_layer_path *path)
{
  static struct eg_path_candidate candidates[EG_PATH_CANDIDATES_MAX];
  const struct eg_path_costs costs = {
      .hop_us = HOP_LATENCY_US * request->answer_tokens, .home = domain};
  size_t count = 0;

  for (size_t i = 0; i < search->count; i++)
    if (search->candidates[i].domain == domain)
      candidates[count++] = search->candidates[i];
  return eg_layer_path_find (candidates, count, request->service->engine.layers,
                             &costs, path);
}

/* Returns the first layers that no candidate of a failure domain holds. */
static struct eg_layer_range
find_missing_layers (const struct search *search,
                     const struct eg_placement_request *request,
                     uint32_t domain)
{
  uint32_t layers = request->service->engine.layers;
  struct eg_layer_range missing = {0, 0};

  for (uint32_t layer = 0; layer < layers; layer++)
    {
      bool held = false;

      for (size_t i = 0; i < search->count && !held; i++)
        held = search->candidates[i].domain == domain
               && search->candidates[i].from <= layer
               && layer < search->candidates[i].to;
      if (held && missing.to > missing.from)
        break;
      if (held)
        continue;
      if (missing.to == missing.from)
        missing.from = layer;
      missing.to = layer + 1;
    }
  return missing;
}

/* Sets @p placement to a path that was found. */
static void
place_on_path (const struct eg_entry *entry,
               const struct eg_placement_request *request,
               const struct search *search,
               const struct eg_layer_path *path,
               struct eg_placement *placement)
{
  double tokens = (double) request->prompt_tokens + request->answer_tokens;

  placement->count = path->count;
  placement->load = 0;
  for (uint32_t i = 0; i < path->count; i++)
    {
      struct eg_backend *backend = search->backends[path->stages[i].server];
      double share =
          kv_share (entry, backend, &request->service->engine, tokens);

      placement->stages[i] = backend;
      placement->layers[i] =
          (struct eg_layer_range){path->stages[i].from, path->stages[i].to};
      if (share > placement->load)
        placement->load = share;
    }
}

/* Tells the observer of a search about a failure domain.
 * @p path is NULL if it has no complete one. */
static void
observe_domain (const struct eg_entry *entry,
                const struct eg_placement_request *request,
                const struct search *search,
                uint32_t domain,
                const struct eg_layer_path *path)
{
  struct eg_placement_option option = {.domain = search->domains[domain]};
  struct eg_placement placement;

  if (!request->observer)
    return;
  if (path)
    {
      place_on_path (entry, request, search, path, &placement);
      option.placement = &placement;
      option.cost = path->cost_us;
    }
  else
    option.missing = find_missing_layers (search, request, domain);
  observe_option (request, &option);
}

static enum eg_placement_result
choose_path (struct eg_entry *entry,
             const struct eg_placement_request *request,
             int64_t now_us,
             struct eg_placement *placement)
{
  static struct search search;
  struct eg_layer_path best = {.cost_us = INFINITY};

  collect_candidates (entry, request, now_us, &search);
  for (uint32_t domain = 0; domain < search.domain_count; domain++)
    {
      struct eg_layer_path path;

      if (!find_in_domain (&search, request, domain, &path))
        {
          observe_domain (entry, request, &search, domain, NULL);
          continue;
        }
      if (domain > 0)
        path.cost_us *= REMOTE_DOMAIN_FACTOR;
      observe_domain (entry, request, &search, domain, &path);
      if (path.cost_us < best.cost_us)
        best = path;
    }
  if (best.count == 0)
    return EG_PLACE_NONE;
  place_on_path (entry, request, &search, &best, placement);
  return EG_PLACED;
}

/* Expected load of a plain server, relative to its slots. */
static double
plain_load (const struct eg_entry *entry,
            const struct eg_backend *backend,
            int64_t now_us)
{
  double slots = backend->record.slots > 0 ? backend->record.slots : 1;
  double load = backend->running;

  if (backend->has_load && now_us - backend->load_us < LOAD_AGE_MAX_US
      && backend->load > load)
    load = backend->load;
  if (strcmp (backend->record.domain, entry->settings->domain) != 0)
    load += REMOTE_DOMAIN_LOAD;
  return (load + 1) / slots + eg_backend_penalty (backend, now_us);
}

/* Sets @p placement to a plain server. */
static void
place_on_server (struct eg_backend *backend,
                 double load,
                 struct eg_placement *placement)
{
  placement->count = 1;
  placement->stages[0] = backend;
  placement->layers[0] = (struct eg_layer_range){0, 0};
  placement->load = load;
}

static enum eg_placement_result
choose_server (struct eg_entry *entry,
               const struct eg_placement_request *request,
               int64_t now_us,
               struct eg_placement *placement)
{
  struct eg_list *all = &entry->fleet.all;
  struct eg_backend *best = NULL;
  double best_load = INFINITY;

  for (struct eg_list *at = all->next; at != all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);
      const double used_penalty = 1000;
      struct eg_placement option;
      const char *obstacle;
      double load;

      if (!eg_str_equal (backend->record.service, request->service->name))
        continue;
      obstacle = eg_backend_find_obstacle (backend, now_us);
      if (!obstacle)
        obstacle = find_first_obstacle (entry, backend, request, now_us);
      observe_server (request, backend, obstacle);
      if (obstacle)
        continue;
      load = plain_load (entry, backend, now_us)
             + LIMITED_LOAD * limit_used (entry, backend, request, now_us)
             + eg_random_double (&entry->random) * LOAD_JITTER;
      if (request->avoid_used && was_used (backend, request))
        load += used_penalty;
      place_on_server (backend, load, &option);
      observe_option (request, &(struct eg_placement_option){
                                   .domain = backend->record.domain,
                                   .placement = &option,
                                   .cost = load});
      if (load < best_load)
        {
          best = backend;
          best_load = load;
        }
    }
  if (!best)
    return EG_PLACE_NONE;
  place_on_server (best, best_load, placement);
  return EG_PLACED;
}

enum eg_placement_result
eg_placement_choose (struct eg_entry *entry,
                     const struct eg_placement_request *request,
                     int64_t now_us,
                     struct eg_placement *placement)
{
  if (request->service->has_engine && request->service->engine.layers > 0)
    return choose_path (entry, request, now_us, placement);
  return choose_server (entry, request, now_us, placement);
}

static int64_t
age_us (int64_t since_us, int64_t now_us)
{
  return since_us > 0 ? now_us - since_us : -1;
}

struct eg_stage_figures
eg_placement_stage_figures (const struct eg_entry *entry,
                            const struct eg_placement_request *request,
                            const struct eg_placement *placement,
                            uint32_t index,
                            int64_t now_us)
{
  const struct eg_backend *backend = placement->stages[index];
  const struct eg_engine_model *engine = &request->service->engine;
  struct eg_layer_range layers = placement->layers[index];
  double tokens = (double) request->prompt_tokens + request->answer_tokens;
  struct eg_stage_figures figures = {.others_age_us =
                                         age_us (backend->others_us, now_us)};

  if (layers.to == layers.from)
    {
      figures.running = backend->running;
      if (backend->has_load && now_us - backend->load_us < LOAD_AGE_MAX_US
          && backend->load > figures.running)
        figures.running = backend->load;
      figures.report_age_us =
          backend->has_load ? age_us (backend->load_us, now_us) : -1;
      return figures;
    }
  figures.report_age_us = age_us (backend->report_us, now_us);
  figures.memory_used = kv_share (entry, backend, engine, tokens);
  figures.running = add_peer_load (entry, backend, backend->first_running,
                                   backend->first_others);
  figures.first_event_us = layer_time_us (entry, backend, request, 1, now_us)
                           * (layers.to - layers.from);
  if (index == 0)
    figures.first_event_us += slot_wait_us (entry, backend, request);
  if (index + 1 < placement->count)
    figures.first_event_us += HOP_LATENCY_US;
  return figures;
}

static bool
is_stage (const struct eg_placement *placement,
          const struct eg_backend *backend)
{
  for (uint32_t i = 0; i < placement->count; i++)
    if (placement->stages[i] == backend)
      return true;
  return false;
}

/* Returns whether a stage of the present path may be kept. Unlike a new stage,
 * it may be on a server that is full at present. */
static bool
may_keep (const struct eg_placement *current,
          const struct eg_backend *backend,
          int64_t now_us)
{
  return is_stage (current, backend) && backend->listed
         && !eg_backend_is_leaving (backend)
         && !eg_backend_is_suspect (backend, now_us);
}

/* Collects the servers that may run the layers after the first stage. */
static void
collect_remaining_candidates (struct eg_entry *entry,
                              const struct eg_placement_request *request,
                              const struct eg_placement *current,
                              int64_t now_us,
                              struct search *search)
{
  struct eg_list *all = &entry->fleet.all;
  double tokens = (double) request->prompt_tokens + request->answer_tokens;
  uint32_t first = current->layers[0].to;

  search->count = 0;
  for (struct eg_list *at = all->next; at != all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);
      struct eg_layer_range layers = backend->record.layers;
      double cost_us;

      if ((!serves (backend, request, now_us)
           && !may_keep (current, backend, now_us))
          || backend == current->stages[0] || layers.to <= first
          || layers.to > request->service->engine.layers
          || strcmp (backend->record.domain, current->stages[0]->record.domain)
                 != 0
          || is_full (search))
        continue;
      /* It would refuse the move, and the stream would lose its time. */
      if (!is_stage (current, backend)
          && kv_share (entry, backend, &request->service->engine, tokens) > 1)
        continue;
      cost_us = layer_cost_us (entry, backend, request, now_us);
      if (is_stage (current, backend))
        cost_us *= KEPT_STAGE_FACTOR;
      search->backends[search->count] = backend;
      search->candidates[search->count] = (struct eg_path_candidate){
          (uint32_t) search->count,
          0,
          layers.from > first ? layers.from - first : 0,
          layers.to - first,
          cost_us,
          0};
      search->count++;
    }
}

bool
eg_placement_move (struct eg_entry *entry,
                   const struct eg_placement_request *request,
                   const struct eg_placement *current,
                   int64_t now_us,
                   struct eg_placement *placement)
{
  static struct search search;
  const struct eg_path_costs costs = {.hop_us = HOP_LATENCY_US
                                                * request->answer_tokens};
  uint32_t first = current->layers[0].to;
  struct eg_layer_path path;

  collect_remaining_candidates (entry, request, current, now_us, &search);
  if (first >= request->service->engine.layers
      || !eg_layer_path_find (search.candidates, search.count,
                              request->service->engine.layers - first, &costs,
                              &path)
      || path.count >= EG_PATH_STAGES_MAX)
    return false;
  placement->stages[0] = current->stages[0];
  placement->layers[0] = current->layers[0];
  placement->count = path.count + 1;
  placement->load = current->load;
  for (uint32_t i = 0; i < path.count; i++)
    {
      placement->stages[i + 1] = search.backends[path.stages[i].server];
      placement->layers[i + 1] = (struct eg_layer_range){
          path.stages[i].from + first, path.stages[i].to + first};
    }
  return true;
}
