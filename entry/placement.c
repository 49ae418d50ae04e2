#include "entry/placement.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "entry/entry.h"

/* A token's way between two servers of a failure domain, 0.2 ms by the users'
 * sheets, and half of that again for the wait for the next pass. */
#define HOP_US 300.0
/* Requests whose first server is in another failure domain cost this much more,
 * so that they stay at home while home is no more than a third fuller. */
#define FAR_FACTOR 1.35
/* Utilisation of memory beyond which longer passes grow no dearer. */
#define KV_FULL 0.95
/* What other entry VMs have told is used for this long. */
#define OTHERS_AGE_US (1000 * EG_US_PER_MS)
/* A part that a moved request has already costs no reading. */
#define KEEP_FACTOR 0.05
/* Share of a server's slots that this VM counts on: others' requests are known
 * some 200 ms late, in which a twentieth of the streams begin anew. */
#define SLOTS_SHARE 0.95
/* Time of one token of a stream with the users' accelerators. */
#define TOKEN_US 17000.0
/* A wait is dearer than the same time of work: it comes before the first
 * event, whose goal is a fifth of a stream's time. */
#define WAIT_WEIGHT 5.0
/* What an answer's load is worth after this time. */
#define LOAD_AGE_US (500 * EG_US_PER_MS)

static bool
serves (const struct eg_backend *backend,
        const struct eg_placement_request *need,
        int64_t now_us)
{
  return strcmp (backend->entry.service, need->service->name) == 0
         && eg_backend_is_usable (backend, now_us);
}

static bool
was_used (const struct eg_backend *backend,
          const struct eg_placement_request *need)
{
  for (size_t i = 0; i < need->used_count; i++)
    if (need->used[i] == backend)
      return true;
  return false;
}

/* What this VM has under way on a server, and the others with it. Where they
 * have not told, those of the failure domain are taken to send as much as this
 * one. */
static double
with_others (const struct eg_entry *entry,
             const struct eg_backend *backend,
             double own,
             double others)
{
  if (eg_clock_now_us () - backend->others_us < OTHERS_AGE_US)
    return own + others;
  return own * eg_members_in_domain (&entry->members);
}

/* Expected share of a server's memory that is in use with this request. */
static double
kv_share (const struct eg_entry *entry,
          const struct eg_backend *backend,
          const struct eg_engine_model *engine,
          double tokens)
{
  const struct eg_accelerator *accelerator =
      eg_engine_accelerator (engine, eg_str_from (backend->entry.accelerator));
  uint32_t layers = backend->entry.layers.to - backend->entry.layers.from;
  double capacity = accelerator
                        ? eg_engine_kv_capacity (engine, accelerator, layers)
                        : engine->kv_tokens * layers;

  double running =
      with_others (entry, backend, backend->kv_running, backend->kv_others);

  if (capacity <= 0)
    return 1;
  return (running + tokens * layers) / capacity;
}

/* Expected wait of a request for one of the slots of its first server: each of
 * them is free once in the time that a stream takes. */
static double
slot_wait_us (const struct eg_entry *entry,
              const struct eg_backend *backend,
              const struct eg_placement_request *need)
{
  double slots = backend->entry.slots * SLOTS_SHARE;
  double first = with_others (entry, backend, backend->first_running,
                              backend->first_others)
                 + 1;

  if (slots <= 0 || first <= slots)
    return 0;
  return (first - slots) / slots * need->answer_tokens * TOKEN_US;
}

/* The fuller a server, the longer its passes and the likelier a preemption. */
static double
load_factor (double share)
{
  double left = 1 - (share < KV_FULL ? share : KV_FULL);

  return 1 / (left * left);
}

static double
layer_cost_us (const struct eg_entry *entry,
               const struct eg_backend *backend,
               const struct eg_placement_request *need,
               int64_t now_us)
{
  const struct eg_engine_model *engine = &need->service->engine;
  const struct eg_accelerator *accelerator =
      eg_engine_accelerator (engine, eg_str_from (backend->entry.accelerator));
  double tokens = (double) need->prompt_tokens + need->answer_tokens;
  double step = accelerator ? accelerator->step_factor : 1;
  double read = accelerator ? accelerator->prefill_factor : 1;
  double work_us = need->answer_tokens * engine->step_us * step;

  if (engine->prefill_tokens_per_us > 0)
    work_us += need->prompt_tokens / engine->prefill_tokens_per_us * read;
  return work_us / engine->layers * eg_backend_slowness (backend, now_us)
         * (1 + eg_backend_penalty (backend, now_us))
         * load_factor (kv_share (entry, backend, engine, tokens));
}

/** Candidates of one search, by failure domain. */
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
    return EG_PATH_DOMAINS_MAX;
  search->domains[search->domain_count] = name;
  return search->domain_count++;
}

static void
gather (struct eg_entry *entry,
        const struct eg_placement_request *need,
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
      struct eg_layer_range layers = backend->entry.layers;
      uint32_t domain;

      if (!serves (backend, need, now_us) || layers.to <= layers.from
          || layers.to > need->service->engine.layers
          || search->count == EG_PATH_CANDIDATES_MAX)
        continue;
      /* The first server takes the request: how many may is limited. */
      if (layers.from == 0 && need->only_used && !was_used (backend, need))
        continue;
      domain = domain_number (search, backend->entry.domain);
      if (domain == EG_PATH_DOMAINS_MAX)
        continue;
      search->backends[search->count] = backend;
      search->candidates[search->count] = (struct eg_path_candidate){
          (uint32_t) search->count,
          domain,
          layers.from,
          layers.to,
          layer_cost_us (entry, backend, need, now_us),
          WAIT_WEIGHT * slot_wait_us (entry, backend, need)};
      search->count++;
    }
}

/* Finds the best path within one failure domain. */
static bool
find_in_domain (const struct search *search,
                const struct eg_placement_request *need,
                uint32_t domain,
                struct eg_layer_path *path)
{
  static struct eg_path_candidate candidates[EG_PATH_CANDIDATES_MAX];
  const struct eg_path_costs costs = {.hop_us = HOP_US * need->answer_tokens,
                                      .home = domain};
  size_t count = 0;

  for (size_t i = 0; i < search->count; i++)
    if (search->candidates[i].domain == domain)
      candidates[count++] = search->candidates[i];
  return eg_layer_path_find (candidates, count, need->service->engine.layers,
                             &costs, path);
}

static enum eg_placement_result
choose_path (struct eg_entry *entry,
             const struct eg_placement_request *need,
             int64_t now_us,
             struct eg_placement *choice)
{
  static struct search search;
  struct eg_layer_path best = {.cost_us = INFINITY};
  double tokens = (double) need->prompt_tokens + need->answer_tokens;

  gather (entry, need, now_us, &search);
  for (uint32_t domain = 0; domain < search.domain_count; domain++)
    {
      struct eg_layer_path path;

      if (!find_in_domain (&search, need, domain, &path))
        continue;
      if (domain > 0)
        path.cost_us *= FAR_FACTOR;
      if (path.cost_us < best.cost_us)
        best = path;
    }
  if (best.count == 0)
    return EG_PLACE_NONE;
  choice->count = best.count;
  choice->load = 0;
  for (uint32_t i = 0; i < best.count; i++)
    {
      struct eg_backend *backend = search.backends[best.stages[i].server];
      double share = kv_share (entry, backend, &need->service->engine, tokens);

      choice->stages[i] = backend;
      choice->layers[i] =
          (struct eg_layer_range){best.stages[i].from, best.stages[i].to};
      if (share > choice->load)
        choice->load = share;
    }
  return EG_PLACED;
}

/* Expected work before a plain server, in units of its slots. */
static double
plain_load (const struct eg_entry *entry,
            const struct eg_backend *backend,
            int64_t now_us)
{
  double slots = backend->entry.slots > 0 ? backend->entry.slots : 1;
  double load = backend->running;

  if (backend->tells_load && now_us - backend->load_us < LOAD_AGE_US
      && backend->load > load)
    load = backend->load;
  if (strcmp (backend->entry.domain, entry->settings->domain) != 0)
    load += 0.5;
  return (load + 1) / slots + eg_backend_penalty (backend, now_us);
}

static enum eg_placement_result
choose_server (struct eg_entry *entry,
               const struct eg_placement_request *need,
               int64_t now_us,
               struct eg_placement *choice)
{
  struct eg_list *all = &entry->fleet.all;
  struct eg_backend *best = NULL;
  double best_load = INFINITY;

  for (struct eg_list *at = all->next; at != all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);
      const double used_penalty = 1000;
      double load;

      if (!serves (backend, need, now_us)
          || (need->only_used && !was_used (backend, need)))
        continue;
      load = plain_load (entry, backend, now_us)
             + eg_random_double (&entry->random) * 0.05;
      if (need->avoid_used && was_used (backend, need))
        load += used_penalty;
      if (load < best_load)
        {
          best = backend;
          best_load = load;
        }
    }
  if (!best)
    return EG_PLACE_NONE;
  choice->count = 1;
  choice->stages[0] = best;
  choice->layers[0] = (struct eg_layer_range){0, 0};
  choice->load = best_load;
  return EG_PLACED;
}

enum eg_placement_result
eg_placement_choose (struct eg_entry *entry,
                     const struct eg_placement_request *need,
                     int64_t now_us,
                     struct eg_placement *choice)
{
  if (need->service->has_engine && need->service->engine.layers > 0)
    return choose_path (entry, need, now_us, choice);
  return choose_server (entry, need, now_us, choice);
}

static bool
is_stage (const struct eg_placement *choice, const struct eg_backend *backend)
{
  for (uint32_t i = 0; i < choice->count; i++)
    if (choice->stages[i] == backend)
      return true;
  return false;
}

/* A part that the request has already stays, also where the server takes
 * nothing new. */
static bool
may_keep (const struct eg_placement *present,
          const struct eg_backend *backend,
          int64_t now_us)
{
  return is_stage (present, backend) && backend->listed
         && !backend->entry.draining
         && !eg_backend_is_suspect (backend, now_us);
}

/* Gathers the servers that may run the layers behind the first part. */
static void
gather_rest (struct eg_entry *entry,
             const struct eg_placement_request *need,
             const struct eg_placement *present,
             int64_t now_us,
             struct search *search)
{
  struct eg_list *all = &entry->fleet.all;
  uint32_t first = present->layers[0].to;

  search->count = 0;
  for (struct eg_list *at = all->next; at != all; at = at->next)
    {
      struct eg_backend *backend = EG_CONTAINER_OF (at, struct eg_backend, all);
      struct eg_layer_range layers = backend->entry.layers;
      double cost_us;

      if ((!serves (backend, need, now_us)
           && !may_keep (present, backend, now_us))
          || backend == present->stages[0] || layers.to <= first
          || layers.to > need->service->engine.layers
          || strcmp (backend->entry.domain, present->stages[0]->entry.domain)
                 != 0
          || search->count == EG_PATH_CANDIDATES_MAX)
        continue;
      cost_us = layer_cost_us (entry, backend, need, now_us);
      if (is_stage (present, backend))
        cost_us *= KEEP_FACTOR;
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
                   const struct eg_placement_request *need,
                   const struct eg_placement *present,
                   int64_t now_us,
                   struct eg_placement *choice)
{
  static struct search search;
  const struct eg_path_costs costs = {.hop_us = HOP_US * need->answer_tokens};
  uint32_t first = present->layers[0].to;
  struct eg_layer_path path;

  gather_rest (entry, need, present, now_us, &search);
  if (first >= need->service->engine.layers
      || !eg_layer_path_find (search.candidates, search.count,
                              need->service->engine.layers - first, &costs,
                              &path)
      || path.count >= EG_PATH_STAGES_MAX)
    return false;
  choice->stages[0] = present->stages[0];
  choice->layers[0] = present->layers[0];
  choice->count = path.count + 1;
  choice->load = present->load;
  for (uint32_t i = 0; i < path.count; i++)
    {
      choice->stages[i + 1] = search.backends[path.stages[i].server];
      choice->layers[i + 1] = (struct eg_layer_range){
          path.stages[i].from + first, path.stages[i].to + first};
    }
  return true;
}
