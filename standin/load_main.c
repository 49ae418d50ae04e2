/* eelgrass-load: generates the load of a scenario and checks every response. */
#include <argtable2.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "standin/load_report.h"
#include "standin/load_run.h"

#define PROGRAM "eelgrass-load"
#define DEFAULT_SEED 1
#define MAX_ARGUMENT_ERRORS 8

/** Exit codes. */
enum
{
  EXIT_OK = 0,
  EXIT_WRONG_RESPONSE = 1,
  EXIT_USAGE = 2,
  EXIT_RUN_FAILED = 3, /**< The run failed, or did not follow the scenario. */
};

struct options
{
  const char *scenario_path;
  const char *json_path;
  const char *svg_path;
  const char *values_path;
  uint64_t seed;
  bool quiet;
};

static void
show_progress (void *context,
               const struct eg_load_results *results,
               int64_t now_us)
{
  struct eg_load_group total;

  (void) context;
  eg_load_results_total (results, &total);
  fprintf (stderr,
           "\r%6.1f s  %" PRIu64 " measured arrivals, %" PRIu64
           " complete, %" PRIu64 " refused, %" PRIu64 " wrong   ",
           (double) now_us / (double) EG_US_PER_S, total.arrivals,
           total.outcomes[EG_LOAD_COMPLETE], total.outcomes[EG_LOAD_REFUSED],
           results->wrong);
}

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
    eg_log (EG_LOG_ERROR, "load", "event=write-failed path=\"%s\" cause=\"%s\"",
            path, strerror (errno));
  return written;
}

static bool
write_json (const struct eg_load_results *results,
            const struct options *options)
{
  json_t *report = eg_load_report_json (results, options->seed);
  char *text = json_dumps (report, JSON_INDENT (1) | JSON_REAL_PRECISION (6));
  bool written = text && write_file (options->json_path, eg_str_from (text));

  free (text);
  json_decref (report);
  return written;
}

static bool
write_values (const struct eg_load_results *results,
              const struct options *options)
{
  json_t *report = eg_load_report_json (results, options->seed);
  struct eg_buffer lines = {0};
  bool written;

  eg_load_report_values (report, &lines);
  written = write_file (options->values_path, eg_buffer_view (&lines));
  eg_buffer_finish (&lines);
  json_decref (report);
  return written;
}

static bool
write_svg (const struct eg_load_results *results, const struct options *options)
{
  struct eg_buffer svg = {0};
  bool written;

  eg_load_report_svg (results, &svg);
  written = write_file (options->svg_path, eg_buffer_view (&svg));
  eg_buffer_finish (&svg);
  return written;
}

static int
report (const struct eg_load_results *results, const struct options *options)
{
  bool written = true;

  eg_load_report_table (results, stdout);
  if (options->json_path)
    written = write_json (results, options) && written;
  if (options->svg_path)
    written = write_svg (results, options) && written;
  if (options->values_path)
    written = write_values (results, options) && written;
  if (results->wrong > 0 || eg_load_audit_failed (&results->audit))
    return EXIT_WRONG_RESPONSE;
  return written && eg_load_report_run_is_valid (results) ? EXIT_OK
                                                          : EXIT_RUN_FAILED;
}

static int
run (const struct options *options)
{
  struct eg_load_scenario scenario;
  struct eg_load_results results;
  struct eg_error error = {0};
  bool shows_progress = !options->quiet && isatty (STDERR_FILENO);
  int exit_code = EXIT_RUN_FAILED;

  if (eg_load_scenario_init_file (&scenario, options->scenario_path, &error)
      != EG_OK)
    {
      fprintf (stderr, "%s: %s: %s\n", PROGRAM, options->scenario_path,
               error.message);
      eg_load_scenario_finish (&scenario);
      return EXIT_USAGE;
    }
  if (eg_load_run (&scenario, options->seed,
                   shows_progress ? show_progress : NULL, NULL, &results,
                   &error)
      == EG_OK)
    {
      if (shows_progress)
        fputs ("\r\033[K", stderr);
      exit_code = report (&results, options);
    }
  else
    eg_log (EG_LOG_ERROR, "load", "event=not-run cause=\"%s\"", error.message);
  eg_load_results_finish (&results);
  eg_load_scenario_finish (&scenario);
  return exit_code;
}

static void
print_help (void **table)
{
  printf ("Usage: %s", PROGRAM);
  arg_print_syntax (stdout, table, "\n");
  puts (
      "Generates the load of a scenario, checks every response and reports.\n");
  arg_print_glossary (stdout, table, "  %-22s %s\n");
  puts (
      "\nExit codes: 0 no incorrect response, 1 incorrect responses, 2 invalid"
      " usage or\nscenario, 3 run failed or did not follow the scenario."
      " docs/LOAD.md describes\nscenarios.");
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
  struct arg_file *svg = arg_file0 (NULL, "svg", "OUT.svg", "write a plot");
  struct arg_file *values = arg_file0 (NULL, "values", "OUT.txt",
                                       "write numbers as lines of PATH VALUE");
  struct arg_lit *quiet = arg_lit0 (NULL, "quiet", "show no progress");
  struct arg_file *scenario =
      arg_file1 (NULL, NULL, "SCENARIO.json", "scenario to run");
  struct arg_end *end = arg_end (MAX_ARGUMENT_ERRORS);
  void *table[] = {help,   version, seed,     json, svg,
                   values, quiet,   scenario, end};
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
      options.svg_path = svg->count > 0 ? svg->filename[0] : NULL;
      options.values_path = values->count > 0 ? values->filename[0] : NULL;
      options.quiet = quiet->count > 0;
      if (seed->count > 0)
        options.seed = (uint64_t) seed->ival[0];
      exit_code = run (&options);
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return exit_code;
}
