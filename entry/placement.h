/**
 * @file
 * Selects servers for a request from the state of the fleet.
 */
#ifndef EG_ENTRY_PLACEMENT_H
#define EG_ENTRY_PLACEMENT_H

#include "entry/fleet.h"
#include "policy/configuration.h"
#include "policy/layer_path.h"

struct eg_entry;
struct eg_placement;

/** What a search has found in one failure domain, or for one plain server. */
struct eg_placement_option
{
  const char *domain;
  /** NULL: the failure domain has no complete path. */
  const struct eg_placement *placement;
  /** The least one is chosen: in microseconds for a path, in requests per slot
   *  for a plain server. */
  double cost;
  /** Without a placement, the first layers that no usable server there holds;
   *  from == to: each layer is held. */
  struct eg_layer_range missing;
};

/** Is told what a search considers. */
struct eg_placement_observer
{
  /** A server of the service. @p obstacle says why it is not used; NULL: it is
   *  a candidate. */
  void (*server) (void *context,
                  const struct eg_backend *backend,
                  const char *obstacle);
  void (*option) (void *context, const struct eg_placement_option *option);
  void *context;
};

/** Requirements of a request. */
struct eg_placement_request
{
  const struct eg_service_config *service;
  uint32_t prompt_tokens;
  uint32_t answer_tokens;
  /** First servers that the request was already sent to. */
  struct eg_backend *const *used;
  size_t used_count;
  bool only_used;  /**< Only servers in @c used may be the first server. */
  bool avoid_used; /**< Prefer a first server that is not in @c used. */
  /** First server whose limit does not count, as another VM has given up a
   *  request of its share; NULL: none. */
  const struct eg_backend *lent;
  const struct eg_placement_observer *observer; /**< NULL: none. */
};

/** Servers chosen for a request. */
struct eg_placement
{
  /** The first server receives the request. */
  struct eg_backend *stages[EG_PATH_STAGES_MAX];
  struct eg_layer_range layers[EG_PATH_STAGES_MAX];
  uint32_t count;
  double load; /**< Utilisation of the most loaded server; 1 is full. */
};

/** Result of a placement. */
enum eg_placement_result
{
  EG_PLACED,
  EG_PLACE_NONE, /**< No usable server, or no complete path. */
};

/**
 * Selects a plain server, or a path of servers that covers all layers of the
 * model.
 */
enum eg_placement_result
eg_placement_choose (struct eg_entry *entry,
                     const struct eg_placement_request *request,
                     int64_t now_us,
                     struct eg_placement *placement);

/** What a search knows of one server of a placement. */
struct eg_stage_figures
{
  double memory_used; /**< Expected, with this request; 1 is full. */
  double running;     /**< Requests of which it is the first server. */
  /** Expected share of the time to the first event, with the way to the next
   *  server and, for a first server, the wait for a slot. */
  double first_event_us;
  /** Age of the server's own report or load; negative: there is none. */
  int64_t report_age_us;
  /** Age of the load that other VMs report; negative: there is none. */
  int64_t others_age_us;
};

/** Returns what is known of the server at @p index of a placement. */
struct eg_stage_figures
eg_placement_stage_figures (const struct eg_entry *entry,
                            const struct eg_placement_request *request,
                            const struct eg_placement *placement,
                            uint32_t index,
                            int64_t now_us);

/**
 * Selects another path for a running request. The first stage stays; other
 * present stages are kept where possible.
 * @return whether there is such a path.
 */
bool eg_placement_move (struct eg_entry *entry,
                        const struct eg_placement_request *request,
                        const struct eg_placement *current,
                        int64_t now_us,
                        struct eg_placement *placement);

#endif
