/* Case 9: an engine that starts again under its id after it has drained. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "review/standin-2/deployment.h"

#define CONFIGURATION                                                          \
  "{\"version\":3,\"routes\":["                                                \
  "{\"name\":\"draft\",\"host\":\"shop.example\",\"pathPrefix\":\"/draft/\","  \
  "\"kind\":\"streaming\",\"timeoutMs\":20000,\"goalLatencyMs\":500,"          \
  "\"priority\":1,\"service\":\"llm\",\"maxAttempts\":2,\"public\":true,"      \
  "\"sticky\":true,\"resumable\":true,\"gapGoalMs\":200},"                     \
  "{\"name\":\"read\",\"host\":\"shop.example\",\"pathPrefix\":\"/read/\","    \
  "\"kind\":\"idempotent\",\"timeoutMs\":4000,\"goalLatencyMs\":300,"          \
  "\"priority\":2,\"service\":\"app\",\"maxAttempts\":2,\"public\":true,"      \
  "\"resumable\":false}],"                                                     \
  "\"services\":[{\"name\":\"llm\",\"healthPath\":\"/healthz\","               \
  "\"maxConnections\":1000,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"     \
  "\"slots\":32,\"kvCapacityTokens\":100000,\"kvBytes\":426000,"               \
  "\"linkMbps\":480000.0,\"stride\":2,\"models\":[{\"name\":\"model\","        \
  "\"pace\":1.0,\"loadS\":0.5,\"warmS\":1.0}],\"step_ms\":0.85,"               \
  "\"per_seq_ms\":0.00276,\"context_per_k\":0.0037,\"read_per_s\":272000.0,"   \
  "\"pairs_per_m\":0.12,\"chunk\":512,\"report_lag_ms\":200.0,"                \
  "\"loads_at_once\":6,\"usual\":{\"prompt\":700,\"answer\":10},"              \
  "\"layers\":8,\"layerMb\":1750.0,\"activationBytes\":21300,"                 \
  "\"pipeMbps\":6500.0,\"kinds\":[{\"name\":\"card\",\"sizeMb\":36000.0,"      \
  "\"pace\":1.0,\"readFactor\":1.0}]}},"                                       \
  "{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConnections\":100,"      \
  "\"protocol\":\"h1\",\"tls\":false}],"                                       \
  "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"             \
  "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"
#define ENGINE 0
#define APP 1
#define DRAIN_MS 2500
#define LEFT_MS 500
#define OUTAGE_MS 4000
#define RECOVERY_MS 12000
#define PAUSE_MS 500
#define REQUESTS 20
#define RESTART_MS 5000

/* Sends a stream request or a plain one; returns whether it is served. */
static bool
is_served (unsigned vm, bool stream, unsigned number)
{
  static char answer[REVIEW_TEXT_BYTES];
  int connection = review_connect (vm);
  char request[512];
  bool served;

  if (stream)
    snprintf (request, sizeof request,
              "POST /draft/%u HTTP/1.1\r\nHost: shop.example\r\n"
              "X-Attempt-Id: d%u\r\nX-Deadline-Ms: 20000\r\nX-Model: model\r\n"
              "X-Token-Usage: 50,10\r\nX-Prefix-Hash: a1:40,%x:10\r\n"
              "Content-Length: 2\r\n\r\nhi",
              number, number, 0x1000 + number);
  else
    snprintf (request, sizeof request,
              "GET /read/%u HTTP/1.1\r\nHost: shop.example\r\n"
              "X-Attempt-Id: r%u\r\nX-Deadline-Ms: 4000\r\n\r\n",
              number, number);
  review_send (connection, request);
  review_receive (connection, answer, sizeof answer, 200);
  close (connection);
  served = strncmp (answer, "HTTP/1.1 200", 12) == 0;
  answer[strcspn (answer, "\r\n")] = '\0';
  review_note ("client: %s %u is answered: %s", stream ? "stream" : "read",
               number, *answer ? answer : "nothing");
  return served;
}

static void
send_all (unsigned vm,
          unsigned first,
          unsigned count,
          unsigned *streams,
          unsigned *reads)
{
  *streams = 0;
  *reads = 0;
  for (unsigned i = 0; i < count; i++)
    {
      *streams += is_served (vm, true, first + i);
      *reads += is_served (vm, false, first + i);
      review_sleep_ms (PAUSE_MS);
    }
  review_note ("entry VM %u served %u of %u streams, %u of %u reads", vm,
               *streams, count, *reads, count);
}

int
main (int argc, char **argv)
{
  unsigned streams;
  unsigned reads;
  bool broken;

  review_begin (argc > 1 ? argv[1] : ".");
  review_start_server (ENGINE, "i-engine", "llm", true);
  review_start_server (APP, "i-app", "app", false);
  review_write_configuration (CONFIGURATION);
  review_start_vm (0);
  review_start_vm (1);
  review_sleep_ms (6000);
  send_all (0, 0, 5, &streams, &reads);
  if (streams < 5 || reads < 5)
    review_cannot_run ("requests are not served before the restart");
  review_set_state (ENGINE, REVIEW_DRAINING);
  review_sleep_ms (DRAIN_MS);
  if (review_has_trouble ())
    review_set_store_down (true);
  review_stop_server (ENGINE);
  review_remove_entry (ENGINE);
  review_sleep_ms (LEFT_MS);
  review_restart_server (ENGINE);
  review_sleep_ms (OUTAGE_MS);
  review_set_store_down (false);
  review_set_state (ENGINE, REVIEW_READY);
  review_sleep_ms (RECOVERY_MS);
  send_all (0, 100, REQUESTS, &streams, &reads);
  broken = reads > 0 && streams * 4 < streams + reads;
  /* Not judged: whether a restart of an entry VM helps. */
  review_restart_vm (0);
  review_sleep_ms (RESTART_MS);
  send_all (0, 200, 5, &streams, &reads);
  review_note ("requests run by the engine since its restart: %u",
               review_count_runs (ENGINE));
  review_note (broken ? "Starved is broken" : "Starved holds");
  review_end ();
  return broken;
}
