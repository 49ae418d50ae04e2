/* No case, see REPORT-2.md: an answer to HEAD of the entry VM itself has a
 * body. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "review/standin-2/deployment.h"

#define APPLY_MS 3000
#define QUIET_MS 400

#define ROUTE(name, prefix)                                                    \
  "{\"name\":\"" name "\",\"host\":\"shop.example\",\"pathPrefix\":\"" prefix  \
  "\",\"kind\":\"idempotent\",\"timeoutMs\":4000,\"goalLatencyMs\":300,"       \
  "\"priority\":1,\"service\":\"shop\",\"maxAttempts\":2,\"public\":true,"     \
  "\"resumable\":false}"
#define REST                                                                   \
  "],\"services\":[{\"name\":\"shop\",\"healthPath\":\"/healthz\","            \
  "\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],"                \
  "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"             \
  "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"

/* Sends a request on the kept connection, and notes what arrives. */
static void
ask (int connection,
     const char *method,
     const char *path,
     const char *id,
     char *answer)
{
  char request[512];

  snprintf (request, sizeof request,
            "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\n"
            "X-Deadline-Ms: 4000\r\n\r\n",
            method, path, id);
  review_note ("client sends %s %s, id %s", method, path, id);
  review_send (connection, request);
  review_receive (connection, answer, REVIEW_TEXT_BYTES, QUIET_MS);
  review_note ("client receives:\n%s", answer);
}

/* Returns the number of bytes after the head of an answer. */
static size_t
count_after_head (const char *answer)
{
  const char *end = strstr (answer, "\r\n\r\n");

  return end ? strlen (end + 4) : 0;
}

int
main (int argc, char **argv)
{
  static char answer[REVIEW_TEXT_BYTES];
  int connection;
  size_t extra;

  review_begin (argc > 1 ? argv[1] : ".");
  review_start_server (0, "i-shop-0", "shop", false);
  review_start_server (1, "i-shop-1", "shop", false);
  review_write_configuration ("{\"version\":3,\"routes\":[" ROUTE (
      "a", "/a/") "," ROUTE ("b", "/b/") REST);
  review_start_vm (0);
  connection = review_connect (0);
  ask (connection, "HEAD", "/b/1", "h1", answer);
  if (strncmp (answer, "HTTP/1.1 200", 12) != 0)
    review_cannot_run ("the first request is not served");
  if (review_has_trouble ())
    review_write_configuration ("{\"version\":7,\"routes\":[" ROUTE ("a", "/a/")
                                    REST);
  review_sleep_ms (APPLY_MS);
  ask (connection, "HEAD", "/b/2", "h2", answer);
  extra = count_after_head (answer);
  ask (connection, "GET", "/a/3", "g3", answer);
  close (connection);
  review_note ("bytes after the head of the answer to HEAD: %zu", extra);
  review_note (extra > 0 ? "MIXED is broken: bytes that are no answer"
                         : "MIXED holds");
  review_end ();
  return extra > 0;
}
