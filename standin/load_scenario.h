/**
 * @file
 * What an experiment does: targets, request streams, phases and faults.
 *
 * All times are microseconds from the start of the run.
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

/** A chain of engines that direct requests name themselves. */
struct eg_load_chain
{
  char head[EG_LOAD_ADDRESS_BYTES];
  char *json; /**< The chain as the head engine takes it. */
};

/** Requests of one kind, arriving at a set rate. */
struct eg_load_stream
{
  char name[EG_LOAD_NAME_BYTES];
  char organisation[EG_LOAD_NAME_BYTES];
  char class_name[EG_LOAD_NAME_BYTES];
  char model[EG_LOAD_NAME_BYTES];
  char path[EG_LOAD_PATH_OR_URL_BYTES]; /**< Of a plain service; or empty. */
  char method[EG_LOAD_NAME_BYTES];      /**< Of calls to a plain service. */
  char body[EG_LOAD_BODY_BYTES];        /**< Of calls to a plain service. */
  double rate_per_s;
  bool poisson; /**< Else evenly spaced. */
  bool streamed;
  bool idempotency_key;
  int64_t prompt_bytes;
  int64_t min_tokens;
  int64_t max_tokens;
  int64_t deadline_us; /**< 0 for none. */
  int64_t start_us;
  int64_t end_us;               /**< 0 for the end of the run. */
  int64_t priority;             /**< Of direct requests. */
  struct eg_load_chain *chains; /**< Of direct requests, taken in turn. */
  size_t n_chains;
};

/** From @c at_us on, all streams arrive at their rate times the factor. */
struct eg_load_phase
{
  int64_t at_us;
  double rate_factor;
};

/** Something that the tool breaks or mends at a set time. */
struct eg_load_fault
{
  int64_t at_us;
  char *body; /**< Of a POST; else NULL. */
  int signal;
  bool measured; /**< Whether recovery is computed. */
  char label[EG_LOAD_NAME_BYTES];
  char url[EG_LOAD_PATH_OR_URL_BYTES];      /**< Of a POST or DELETE; or
                                               empty. */
  char pid_file[EG_LOAD_PATH_OR_URL_BYTES]; /**< Of a signal; or empty. */
};

/** How the time to recover is computed; docs/LOAD.md states the definition. */
struct eg_load_recovery_rule
{
  int64_t window_us;
  int64_t before_us;
  double level;
};

/** Where an engine's execution record can be read. */
struct eg_load_record_source
{
  char url[EG_LOAD_PATH_OR_URL_BYTES];
};

/** A whole experiment. */
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
  bool random_choice; /**< Else targets take turns. */
  bool fail_over;     /**< Whether a refused connection tries the next. */
  int64_t health_interval_us; /**< 0 turns health checks off. */
  int64_t warm_up_us;
  int64_t duration_us; /**< Measured time, after the warm-up. */
  int64_t drain_us;    /**< Longest wait for answers after the last arrival. */
  int64_t request_timeout_us;
  double bound_tokens_per_s; /**< 0 if none is given. */
  struct eg_load_recovery_rule recovery;
  struct eg_load_record_source *audited;
  size_t n_audited;
  int64_t audited_layers; /**< Layers of their model. */
};

/** Returns the time of the last arrival: warm-up plus measured time. */
int64_t eg_load_scenario_end_us (const struct eg_load_scenario *self);

/**
 * Reads a scenario from JSON text.
 * @return EG_INVALID with the key at fault; finish it in either case.
 */
enum eg_status eg_load_scenario_init (struct eg_load_scenario *self,
                                      const char *text,
                                      struct eg_error *error);

/** Reads a scenario from the file at @p path. */
enum eg_status eg_load_scenario_init_file (struct eg_load_scenario *self,
                                           const char *path,
                                           struct eg_error *error);

/**
 * Reads the list of targets at @p path.
 * @param target a struct eg_load_scenario, or one that starts with it.
 */
enum eg_status eg_load_scenario_read_targets (json_t *value,
                                              const char *path,
                                              void *target,
                                              struct eg_error *error);

/** Reads a list of faults likewise; it must be in order of time. */
enum eg_status eg_load_scenario_read_faults (json_t *value,
                                             const char *path,
                                             void *target,
                                             struct eg_error *error);

/** Reads a list of execution records likewise. */
enum eg_status eg_load_scenario_read_records (json_t *value,
                                              const char *path,
                                              void *target,
                                              struct eg_error *error);

/** Frees what the scenario holds. */
void eg_load_scenario_finish (struct eg_load_scenario *self);

EG_END_DECLS

#endif
