/**
 * @file
 * Scenario of a load test: targets, request streams, phases and faults.
 *
 * All times are in microseconds since the start of the run.
 */
#ifndef EG_STANDIN_LOAD_SCENARIO_H
#define EG_STANDIN_LOAD_SCENARIO_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

#define EG_LOAD_NAME_BYTES 64
#define EG_LOAD_ADDRESS_BYTES 24
#define EG_LOAD_PATH_OR_URL_BYTES 256
#define EG_LOAD_BODY_BYTES 1024

/** An entry VM that requests are sent to. */
struct eg_load_target
{
  char address[EG_LOAD_ADDRESS_BYTES];
};

/** A chain of engines for direct requests, which bypass the entry VMs. */
struct eg_load_chain
{
  char head[EG_LOAD_ADDRESS_BYTES];
  char *json; /**< The chain in the format of the engine API. */
};

/** A stream of requests of one kind, arriving at a given rate. */
struct eg_load_stream
{
  char name[EG_LOAD_NAME_BYTES];
  char organisation[EG_LOAD_NAME_BYTES];
  char class_name[EG_LOAD_NAME_BYTES];
  char model[EG_LOAD_NAME_BYTES];
  char path[EG_LOAD_PATH_OR_URL_BYTES]; /**< Of a plain service; else empty. */
  char method[EG_LOAD_NAME_BYTES];      /**< Of calls to a plain service. */
  char body[EG_LOAD_BODY_BYTES];        /**< Of calls to a plain service. */
  double rate_per_s;
  bool poisson; /**< Poisson arrivals; else evenly spaced. */
  bool streamed;
  bool idempotency_key;
  int64_t prompt_bytes;
  int64_t min_tokens;
  int64_t max_tokens;
  int64_t deadline_us; /**< 0 for none. */
  int64_t start_us;
  int64_t end_us;               /**< 0 for the end of the scenario. */
  int64_t priority;             /**< Of direct requests. */
  struct eg_load_chain *chains; /**< Of direct requests, used round robin. */
  size_t n_chains;
};

/** Scales the rate of all streams by a factor from @c at_us on. */
struct eg_load_phase
{
  int64_t at_us;
  double rate_factor;
};

/** A fault that is injected, or removed, at a given time. */
struct eg_load_fault
{
  int64_t at_us;
  char *body; /**< JSON body of a POST; else NULL. */
  int signal;
  bool measured; /**< Whether to compute the recovery from it. */
  char label[EG_LOAD_NAME_BYTES];
  char url[EG_LOAD_PATH_OR_URL_BYTES];      /**< Of a POST or DELETE; else
                                               empty. */
  char pid_file[EG_LOAD_PATH_OR_URL_BYTES]; /**< Of a signal; else empty. */
};

/** Parameters of the recovery time; docs/LOAD.md states the definition. */
struct eg_load_recovery_criteria
{
  int64_t window_us; /**< Length of the sliding window. */
  int64_t before_us; /**< Length of the baseline before the fault. */
  double level;      /**< Share of the baseline that counts as recovered. */
};

/** Location of an engine's execution record. */
struct eg_load_record_source
{
  char url[EG_LOAD_PATH_OR_URL_BYTES];
};

/** A scenario. */
struct eg_load_scenario
{
  char name[EG_LOAD_NAME_BYTES];
  struct eg_load_target *targets;
  size_t n_targets;
  struct eg_load_stream *streams;
  size_t n_streams;
  struct eg_load_phase *phases; /**< In order of time. */
  size_t n_phases;
  struct eg_load_fault *faults; /**< In order of time. */
  size_t n_faults;
  bool random_choice; /**< Choose targets at random; else round robin. */
  bool fail_over; /**< Whether to try another target after a refused connection.
                   */
  int64_t health_interval_us; /**< 0 turns health checks off. */
  int64_t warm_up_us;
  int64_t duration_us; /**< Measured time, after the warm-up. */
  int64_t drain_us; /**< Maximum wait for responses after the last arrival. */
  int64_t request_timeout_us;
  double
      bound_tokens_per_s; /**< Theoretical throughput limit; 0 if not given. */
  struct eg_load_recovery_criteria recovery;
  struct eg_load_record_source *record_sources;
  size_t n_record_sources;
  int64_t model_layers; /**< Layers of the model of the audited engines. */
};

/** Returns the end of arrivals: warm-up plus measured time. */
int64_t eg_load_scenario_end_us (const struct eg_load_scenario *self);

/**
 * Parses a scenario from JSON; the caller finishes it in either case.
 * @return EG_INVALID, naming the key or line, if it is malformed.
 */
enum eg_status eg_load_scenario_init (struct eg_load_scenario *self,
                                      const char *text,
                                      struct eg_error *error);

/** Like eg_load_scenario_init(), for the file at @p path. */
enum eg_status eg_load_scenario_init_file (struct eg_load_scenario *self,
                                           const char *path,
                                           struct eg_error *error);

/**
 * Parses a list of targets.
 * @param path path of @p value, for messages.
 * @param output a struct eg_load_scenario, or one whose first member it is.
 */
enum eg_status eg_load_scenario_read_targets (json_t *value,
                                              const char *path,
                                              void *output,
                                              struct eg_error *error);

/** Like eg_load_scenario_read_targets(), for a list of faults. */
enum eg_status eg_load_scenario_read_faults (json_t *value,
                                             const char *path,
                                             void *output,
                                             struct eg_error *error);

/** Like eg_load_scenario_read_targets(), for the URLs of execution records. */
enum eg_status eg_load_scenario_read_records (json_t *value,
                                              const char *path,
                                              void *output,
                                              struct eg_error *error);

/** Frees the memory. */
void eg_load_scenario_finish (struct eg_load_scenario *self);

EG_END_DECLS

#endif
