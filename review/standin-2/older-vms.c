/* An entry VM has been upgraded, the others run an older build, and the servers
 * of a service crash. See review/seen/older/claim.txt. */
#include <stdio.h>
#include <stdlib.h>
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
  "\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false},"                 \
  "{\"name\":\"other\",\"healthPath\":\"/healthz\",\"maxConnections\":100,"    \
  "\"protocol\":\"h1\",\"tls\":false}],"                                       \
  "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"             \
  "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"
/* Servers of the service "app"; one more belongs to the other one. */
#define SERVERS 3
#define CLIENTS 10
#define ROUNDS 100
#define CRASH_ROUND 40
#define RESTART_ROUND 70
#define PAUSE_MS 50
#define FIRST_MS 30
#define REST_MS 5
#define ANSWER_MS 1500
/* Requests that may be denied: 5, and one in 500. */
#define DENIED_MAX 5
#define DENIED_RATIO 500

static unsigned sent;
static unsigned served;
static unsigned refused;
static unsigned denied;

static void
take_answer (int *connection, unsigned number, const char *answer)
{
  unsigned status =
      *answer ? (unsigned) strtoul (answer + strlen ("HTTP/1.1 "), NULL, 10)
              : 0;

  served += status == 200;
  refused += status == 503;
  denied += status >= 300 && status < 500;
  if (status != 200)
    review_note ("request r%u is answered: %u", number, status);
  if (status != 0 && !strstr (answer, "Connection: close"))
    return;
  close (*connection);
  *connection = review_connect (0);
}

/* Sends a request on each connection and awaits all answers. */
static void
ask_all (int *connections)
{
  static char answer[REVIEW_TEXT_BYTES];

  for (unsigned i = 0; i < CLIENTS; i++)
    {
      char request[256];

      snprintf (request, sizeof request,
                "GET /read/%u HTTP/1.1\r\nHost: shop.example\r\n"
                "X-Attempt-Id: r%u\r\nX-Deadline-Ms: 1000\r\n\r\n",
                sent + i, sent + i);
      review_send (connections[i], request);
    }
  for (unsigned i = 0; i < CLIENTS; i++)
    {
      review_receive (connections[i], answer, sizeof answer,
                      i == 0 ? FIRST_MS : REST_MS);
      if (!*answer)
        review_receive (connections[i], answer, sizeof answer, ANSWER_MS);
      take_answer (&connections[i], sent + i, answer);
    }
  sent += CLIENTS;
}

int
main (int argc, char **argv)
{
  int connections[CLIENTS];
  bool broken;

  if (argc != 3)
    return 2;
  review_begin (argv[1]);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "i-app-%u", i);
      review_start_server (i, id, "app", false);
    }
  review_start_server (SERVERS, "i-other", "other", false);
  review_write_configuration (CONFIGURATION);
  for (unsigned i = 1; i < REVIEW_VMS_MAX; i++)
    {
      review_use_older_build (i, argv[2]);
      review_start_vm (i);
    }
  review_start_vm (0);
  review_sleep_ms (1500);
  for (unsigned i = 0; i < CLIENTS; i++)
    connections[i] = review_connect (0);
  for (unsigned round = 0; round < ROUNDS; round++)
    {
      for (unsigned i = 0; review_has_trouble () && i < SERVERS; i++)
        if (round == CRASH_ROUND)
          review_stop_server (i);
        else if (round == RESTART_ROUND)
          review_restart_server (i);
      ask_all (connections);
      review_sleep_ms (PAUSE_MS);
    }
  broken = denied > DENIED_MAX + sent / DENIED_RATIO;
  review_note ("sent: %u, served: %u, refused with 503: %u, denied with a 3xx "
               "or 4xx of the VM's own: %u",
               sent, served, refused, denied);
  review_note (broken ? "DENIED is broken" : "DENIED holds");
  review_end ();
  return broken;
}
