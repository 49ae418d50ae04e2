/* Case 10: bytes of a request that was given up reach a server that has left.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "review/standin-2/deployment.h"

#define CONFIGURATION                                                          \
  "{\"version\":3,\"routes\":["                                                \
  "{\"name\":\"read\",\"host\":\"shop.example\",\"pathPrefix\":\"/read/\","    \
  "\"kind\":\"idempotent\",\"timeoutMs\":4000,\"goalLatencyMs\":300,"          \
  "\"priority\":2,\"service\":\"app\",\"maxAttempts\":2,\"public\":true,"      \
  "\"resumable\":false}],"                                                     \
  "\"services\":[{\"name\":\"app\",\"healthPath\":\"/healthz\","               \
  "\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],"                \
  "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"             \
  "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"
#define CUT 0
#define WHOLE 1
#define CLIENTS 16
#define WARM_ROUNDS 3
#define CUT_MS 8000
#define DRAIN_MS 2000
/* From the end of the cut to the server's report that it drains. */
#define REPORT_MS 500
#define LINGER_MS 5500
#define STABLE_MS 3000
#define ANSWER_MS 3000
/* An attempt is given up after 1.2 s, four times the goal of the route. */
#define GIVEN_UP_MS 1700
#define WARM_MS 300
#define REST_MS 50

/* Sends a request on each connection and awaits all answers, which are there
 * after @p first_ms. */
static unsigned
ask_all (const int *connections, unsigned *next_id, int64_t first_ms)
{
  static char answer[REVIEW_TEXT_BYTES];
  unsigned served = 0;

  for (unsigned i = 0; i < CLIENTS; i++)
    {
      char request[256];

      snprintf (request, sizeof request,
                "GET /read/%u HTTP/1.1\r\nHost: shop.example\r\n"
                "X-Attempt-Id: r%u\r\nX-Deadline-Ms: 4000\r\n\r\n",
                *next_id + i, *next_id + i);
      review_send (connections[i], request);
    }
  review_note ("clients send requests r%u to r%u", *next_id,
               *next_id + CLIENTS - 1);
  for (unsigned i = 0; i < CLIENTS; i++)
    {
      review_receive (connections[i], answer, sizeof answer,
                      i == 0 ? first_ms : REST_MS);
      if (!*answer)
        review_receive (connections[i], answer, sizeof answer, ANSWER_MS);
      served += strncmp (answer, "HTTP/1.1 200", 12) == 0;
      answer[strcspn (answer, "\r\n")] = '\0';
      review_note ("request r%u is answered: %s", *next_id + i,
                   *answer ? answer : "nothing");
    }
  *next_id += CLIENTS;
  return served;
}

int
main (int argc, char **argv)
{
  int connections[CLIENTS];
  unsigned next_id = 0;
  int64_t reported_ms;
  int64_t healed_ms;
  int64_t last_ms;
  bool broken;

  review_begin (argc > 1 ? argv[1] : ".");
  review_start_server (CUT, "i-app-0", "app", false);
  review_start_server (WHOLE, "i-app-1", "app", false);
  review_put_path (CUT);
  review_write_configuration (CONFIGURATION);
  review_start_vm (0);
  review_sleep_ms (1000);
  for (unsigned i = 0; i < CLIENTS; i++)
    connections[i] = review_connect (0);
  for (unsigned i = 0; i < WARM_ROUNDS; i++)
    if (ask_all (connections, &next_id, WARM_MS) < CLIENTS)
      review_cannot_run ("requests are not served before the cut");
  if (review_count_runs (CUT) == 0)
    review_cannot_run ("the server on the path got no request");
  if (review_has_trouble ())
    review_cut_path (CUT, true);
  healed_ms = review_now_ms () + CUT_MS;
  ask_all (connections, &next_id, GIVEN_UP_MS);
  for (unsigned i = 0; i < CLIENTS; i++)
    close (connections[i]);
  review_note ("the clients have closed their connections");
  review_sleep_ms (healed_ms - review_now_ms ());
  if (review_has_trouble ())
    review_cut_path (CUT, false);
  review_sleep_ms (REPORT_MS);
  review_set_state (CUT, REVIEW_DRAINING);
  reported_ms = review_now_ms ();
  review_sleep_ms (LINGER_MS);
  last_ms = review_last_run_ms (CUT);
  review_stop_server (CUT);
  broken = last_ms > reported_ms + DRAIN_MS && last_ms > healed_ms + STABLE_MS;
  review_note ("last run at the server: %.3f s after its report was "
               "acknowledged, %.3f s after the end of the cut",
               (double) (last_ms - reported_ms) / 1000,
               (double) (last_ms - healed_ms) / 1000);
  review_note (broken ? "DRAIN is broken" : "DRAIN holds");
  review_end ();
  return broken;
}
