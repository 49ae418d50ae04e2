#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "standin/config.h"
#include "standin/host.h"

#define PROGRAM "eelgrass-standin"

/* Runs the stand-ins of a configuration file until SIGINT or SIGTERM. */
static int
run (const char *path)
{
  struct eg_error error = {0};
  struct eg_config config;
  struct eg_host *host;
  sigset_t signals;
  int signal;

  sigemptyset (&signals);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGTERM);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  if (eg_config_load (&config, path, &error) != EG_OK)
    {
      eg_config_finish (&config);
      eg_log (EG_LOG_ERROR, "standin", "event=bad-file reason=\"%s\"",
              error.message);
      return EXIT_FAILURE;
    }
  host = eg_host_new (config, &error);
  if (!host)
    {
      eg_log (EG_LOG_ERROR, "standin", "event=not-started reason=\"%s\"",
              error.message);
      return EXIT_FAILURE;
    }
  eg_log (EG_LOG_NOTICE, "standin", "event=started file=%s", path);
  sigwait (&signals, &signal);
  eg_host_free (host);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct arg_file *file =
      arg_file1 (NULL, NULL, "FILE.json", "configuration of the stand-ins");
  struct arg_end *end = arg_end (4);
  void *table[] = {file, end};
  int status = EXIT_FAILURE;

  eg_log_configure (PROGRAM, EG_LOG_NOTICE);
  if (arg_parse (argc, argv, table) == 0)
    status = run (file->filename[0]);
  else
    arg_print_errors (stderr, end, PROGRAM);
  arg_freetable (table, sizeof table / sizeof *table);
  return status;
}
