/* eelgrass-explain, the command that shows where a request would be sent. */
#include <curl/curl.h>

#include "ctl/explain.h"

int
main (int argc, char **argv)
{
  int result;

  curl_global_init (CURL_GLOBAL_DEFAULT);
  result = eg_explain_run (argc, argv, stdout, stderr);
  curl_global_cleanup ();
  return result;
}
