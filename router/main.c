/* The router daemon that runs on an entry VM. */
#include <argtable2.h>
#include <civetweb.h>
#include <curl/curl.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/clock.h"
#include "base/log.h"
#include "router/callers.h"
#include "router/gossip.h"
#include "router/operators.h"

#define EXIT_USAGE 2
#define STOP_CHECK_NS 20000000
/* Keeps the listener open long enough for the load balancer to see the 503. */
#define STOP_UNREADY_US (2 * EG_US_PER_S)

struct arguments
{
  const char *settings_path;
  bool check;
  bool print;
};

enum parse_result
{
  PARSE_RUN,
  PARSE_EXIT_OK,
  PARSE_EXIT_USAGE,
};

static void
print_help (void **table)
{
  printf ("Usage: eelgrasswood");
  arg_print_syntax (stdout, table, "\n\n");
  printf ("Routes requests to model engines and plain services.\n\n");
  arg_print_glossary (stdout, table, "  %-24s %s\n");
  printf ("\nKeys of the settings file (TOML):\n");
  eg_settings_print_reference (&eg_router_setting_table, stdout);
}

static enum parse_result
parse_arguments (int argc, char **argv, struct arguments *arguments)
{
  struct arg_file *settings =
      arg_file0 ("s", "settings", "FILE", "run with the settings in FILE");
  struct arg_file *check =
      arg_file0 (NULL, "check-settings", "FILE", "check FILE and exit");
  struct arg_file *print = arg_file0 (NULL, "print-settings", "FILE",
                                      "print the settings in force and exit");
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help and exit");
  struct arg_lit *version =
      arg_lit0 ("V", "version", "show the version and exit");
  struct arg_end *end = arg_end (8);
  void *table[] = {settings, check, print, help, version, end};
  enum parse_result result = PARSE_RUN;
  int errors = arg_parse (argc, argv, table);

  if (help->count > 0)
    {
      print_help (table);
      result = PARSE_EXIT_OK;
    }
  else if (version->count > 0)
    {
      printf ("eelgrasswood %s\n", EG_VERSION);
      result = PARSE_EXIT_OK;
    }
  else if (errors > 0 || settings->count + check->count + print->count != 1)
    {
      arg_print_errors (stderr, end, "eelgrasswood");
      fprintf (stderr, "eelgrasswood: give one of --settings, "
                       "--check-settings and --print-settings; "
                       "see --help\n");
      result = PARSE_EXIT_USAGE;
    }
  arguments->check = check->count > 0;
  arguments->print = print->count > 0;
  if (result == PARSE_RUN)
    arguments->settings_path = arguments->check   ? check->filename[0]
                               : arguments->print ? print->filename[0]
                                                  : settings->filename[0];
  /* The file names point into argv and outlive the table. */
  arg_freetable (table, sizeof table / sizeof table[0]);
  return result;
}

/* Blocks the signals of a planned stop in all threads; run() waits for them. */
static void
block_signals (sigset_t *signals)
{
  sigemptyset (signals);
  sigaddset (signals, SIGTERM);
  sigaddset (signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, signals, NULL);
  signal (SIGPIPE, SIG_IGN);
}

static void
finish_in_flight (const struct eg_router_settings *settings,
                  struct eg_decision *decision,
                  struct eg_callers *callers)
{
  const struct timespec pause = {.tv_nsec = STOP_CHECK_NS};
  int64_t begun_us = eg_clock_now_us ();
  int64_t limit_us = begun_us + settings->stop_grace_ms * EG_US_PER_MS;

  for (;;)
    {
      int64_t now_us = eg_clock_now_us ();
      bool busy =
          eg_decision_is_busy (decision) || eg_callers_active (callers) > 0;

      if (now_us >= limit_us || (!busy && now_us - begun_us >= STOP_UNREADY_US))
        return;
      nanosleep (&pause, NULL);
    }
}

static int
run (const struct eg_router_settings *settings)
{
  struct eg_error error = {0};
  struct eg_decision *decision = NULL;
  struct eg_callers *callers = NULL;
  struct eg_operators *operators = NULL;
  sigset_t signals;
  int signal_number;
  int result = EXIT_FAILURE;

  block_signals (&signals);
  decision = eg_decision_new (settings, &error);
  if (decision)
    callers = eg_callers_new (settings, decision, &error);
  if (callers)
    operators = eg_operators_new (settings, decision, &error);
  if (!operators)
    {
      eg_log (EG_LOG_ERROR, "main", "event=start-failed cause=\"%s\"",
              error.message);
      goto out;
    }
  eg_log (EG_LOG_NOTICE, "main",
          "event=started version=%s node=%s failure_domain=%s callers=%s",
          EG_VERSION, settings->name, settings->failure_domain,
          settings->listen_callers);
  while (sigwait (&signals, &signal_number) != 0)
    ;
  eg_log (EG_LOG_NOTICE, "main", "event=stopping signal=%d", signal_number);
  eg_decision_stop (decision);
  finish_in_flight (settings, decision, callers);
  result = EXIT_SUCCESS;
out:
  eg_operators_free (operators);
  eg_callers_free (callers);
  eg_decision_free (decision);
  if (result == EXIT_SUCCESS)
    eg_log (EG_LOG_NOTICE, "main", "event=stopped");
  return result;
}

int
main (int argc, char **argv)
{
  struct arguments arguments;
  struct eg_router_settings settings = {0};
  struct eg_error error;
  int level;
  int result;

  switch (parse_arguments (argc, argv, &arguments))
    {
    case PARSE_EXIT_OK:
      return EXIT_SUCCESS;
    case PARSE_EXIT_USAGE:
      return EXIT_USAGE;
    case PARSE_RUN:
      break;
    }
  if (eg_settings_load (&eg_router_setting_table, arguments.settings_path,
                        &settings, &error)
      != EG_OK)
    {
      fprintf (stderr, "eelgrasswood: %s\n", error.message);
      return EXIT_USAGE;
    }
  level = eg_log_level_from_name (settings.log_level);
  if (level < 0)
    {
      fprintf (stderr,
               "eelgrasswood: %s: log.level: expected error, warning, "
               "notice, info or debug, found \"%s\"\n",
               arguments.settings_path, settings.log_level);
      return EXIT_USAGE;
    }
  if (eg_gossip_is_enabled (&settings)
      && eg_gossip_check (&settings, &error) != EG_OK)
    {
      fprintf (stderr, "eelgrasswood: %s: %s\n", arguments.settings_path,
               error.message);
      return EXIT_USAGE;
    }
  if (arguments.print)
    eg_settings_print (&eg_router_setting_table, &settings, stdout);
  if (arguments.check || arguments.print)
    return EXIT_SUCCESS;
  eg_log_configure ("eelgrasswood", (enum eg_log_level) level);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  mg_init_library (0);
  result = run (&settings);
  mg_exit_library ();
  curl_global_cleanup ();
  return result;
}
