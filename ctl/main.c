/* eelgrassctl, the command line tool for operators. */
#include <curl/curl.h>
#include <unistd.h>

#include "ctl/ctl.h"

int
main (int argc, char **argv)
{
  int result;

  curl_global_init (CURL_GLOBAL_DEFAULT);
  result = eg_ctl_run (argc, argv, stdout, stderr, isatty (STDOUT_FILENO) != 0);
  curl_global_cleanup ();
  return result;
}
