/* eelgrass-once: checks that non-idempotent requests execute at most once. */
#include <argtable2.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "standin/load_report.h"
#include "standin/once_report.h"

#define PROGRAM "eelgrass-once"
#define DEFAULT_SEED 1
#define MAX_ARGUMENT_ERRORS 8
#define NAME_BYTES 96

/** Exit codes. */
enum
{
  EXIT_OK = 0,
  EXIT_VIOLATION = 1,
  EXIT_USAGE = 2,
  EXIT_RUN_FAILED = 3, /**< The run failed, or did not follow the scenario. */
};

struct options
{
  const char *scenario_path;
  const char *json_path;
  const char *values_path;
  const char *attempts_path;
  uint64_t seed;
};

static bool
write_file (const char *path, struct eg_str content)
{
  FILE *file = fopen (path, "we");
  bool written = file != NULL;

  if (file)
    {
      written = fwrite (content.data, 1, content.len, file) == content.len;
      written = fclose (file) == 0 && written;
    }
  if (!written)
    eg_log (EG_LOG_ERROR, "once", "event=write-failed path=\"%s\" cause=\"%s\"",
            path, strerror (errno));
  return written;
}

static bool
write_json (json_t *report, const char *path)
{
  char *text = json_dumps (report, JSON_INDENT (1) | JSON_REAL_PRECISION (6));
  bool written = text && write_file (path, eg_str_from (text));

  free (text);
  return written;
}

static bool
write_values (json_t *report, const char *path)
{
  struct eg_buffer lines = {0};
  bool written;

  eg_load_report_values (report, &lines);
  written = write_file (path, eg_buffer_view (&lines));
  eg_buffer_finish (&lines);
  return written;
}

static bool
write_attempts (const struct eg_once_results *results, const char *path)
{
  FILE *file = fopen (path, "we");

  if (file)
    eg_once_report_attempts (results, file);
  if (file && fclose (file) == 0)
    return true;
  eg_log (EG_LOG_ERROR, "once", "event=write-failed path=\"%s\" cause=\"%s\"",
          path, strerror (errno));
  return false;
}

static int
report (const struct eg_once_results *results, const struct options *options)
{
  json_t *json = eg_once_report_json (results, options->seed);
  bool written = true;

  eg_once_report_table (results, stdout);
  if (options->json_path)
    written = write_json (json, options->json_path);
  if (options->values_path)
    written = write_values (json, options->values_path) && written;
  if (options->attempts_path)
    written = write_attempts (results, options->attempts_path) && written;
  json_decref (json);
  if (results->findings.total > 0)
    return EXIT_VIOLATION;
  return written && eg_once_results_run_is_valid (results) ? EXIT_OK
                                                           : EXIT_RUN_FAILED;
}

static int
run (const struct options *options)
{
  struct eg_once_scenario scenario;
  struct eg_once_results results = {0};
  struct eg_error error = {0};
  char name[NAME_BYTES];
  int exit_code = EXIT_RUN_FAILED;

  if (eg_once_scenario_init_file (&scenario, options->scenario_path, &error)
      != EG_OK)
    {
      fprintf (stderr, "%s: %s: %s\n", PROGRAM, options->scenario_path,
               error.message);
      eg_once_scenario_finish (&scenario);
      return EXIT_USAGE;
    }
  snprintf (name, sizeof name, "%s-%" PRIu64, scenario.base.name,
            options->seed);
  if (eg_once_run (&scenario, name, options->seed, &results, &error) == EG_OK)
    exit_code = report (&results, options);
  else
    eg_log (EG_LOG_ERROR, "once", "event=not-run cause=\"%s\"", error.message);
  eg_once_results_finish (&results);
  eg_once_scenario_finish (&scenario);
  return exit_code;
}

static void
print_help (void **table)
{
  printf ("Usage: %s", PROGRAM);
  arg_print_syntax (stdout, table, "\n");
  puts ("Sends requests that must execute at most once, injects faults, and"
        " compares the\nresponses with the execution records.\n");
  arg_print_glossary (stdout, table, "  %-22s %s\n");
  puts ("\nExit codes: 0 no violation, 1 duplicate execution or incorrect"
        " response, 2 invalid\nusage or scenario, 3 run failed or did not"
        " follow the scenario. docs/LOAD.md\ndescribes scenarios.");
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "show this help");
  struct arg_lit *version = arg_lit0 (NULL, "version", "show the version");
  struct arg_int *seed =
      arg_int0 (NULL, "seed", "N", "random seed (default 1)");
  struct arg_file *json =
      arg_file0 (NULL, "json", "OUT.json", "write the results");
  struct arg_file *values = arg_file0 (NULL, "values", "OUT.txt",
                                       "write numbers as lines of PATH VALUE");
  struct arg_file *attempts =
      arg_file0 (NULL, "sendings", "OUT.txt", "write a line for each attempt");
  struct arg_file *scenario =
      arg_file1 (NULL, NULL, "SCENARIO.json", "scenario to run");
  struct arg_end *end = arg_end (MAX_ARGUMENT_ERRORS);
  void *table[] = {help, version, seed, json, values, attempts, scenario, end};
  struct options options = {.seed = DEFAULT_SEED};
  int exit_code = EXIT_OK;
  int errors = arg_parse (argc, argv, table);

  eg_log_configure (PROGRAM, EG_LOG_NOTICE);
  if (help->count > 0)
    print_help (table);
  else if (version->count > 0)
    puts (PROGRAM " " EG_VERSION);
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, PROGRAM);
      exit_code = EXIT_USAGE;
    }
  else
    {
      options.scenario_path = scenario->filename[0];
      options.json_path = json->count > 0 ? json->filename[0] : NULL;
      options.values_path = values->count > 0 ? values->filename[0] : NULL;
      options.attempts_path =
          attempts->count > 0 ? attempts->filename[0] : NULL;
      if (seed->count > 0)
        options.seed = (uint64_t) seed->ival[0];
      exit_code = run (&options);
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return exit_code;
}
