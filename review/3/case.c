/* A part of prompts that crashes servers, in a quiet time after a planned
 * restart of the entry VMs. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/status.h"
#include "review/standin/drafts.h"

#define VMS 3
#define ENGINES 9
#define STABLE_WINDOW_US (3000 * EG_US_PER_MS)
#define CRASHES 5
#define SOUND_MAX 64
#define DEADLY_MS 1000
/* Sound requests come four times as often. */
#define SOUND_MS 250
/* Requests with the part before it is given up that servers crash. */
#define DEADLY_MAX 30

static struct stand stand;
static struct drafts drafts = {.parts = 3, .deadly_part = 2};
static unsigned crashes;
static int64_t fifth_crash_us;

static void
on_arrived (struct stand_server *server,
            const struct eg_http_head *head,
            struct eg_str id)
{
  (void) server;
  (void) id;
  if (!drafts_is_deadly (head) || ++crashes != CRASHES)
    return;
  fifth_crash_us = eg_clock_now_us ();
  stand_note (&stand, "the fifth server crashes");
}

/* Sends sound requests; returns the share that begins at the first attempt. */
static double
measure (const char *phase, unsigned count, bool deadly)
{
  struct stand_client *clients[SOUND_MAX];
  unsigned begun = 0;

  EG_INVARIANT (count <= SOUND_MAX);
  for (unsigned i = 0; i < count; i++)
    {
      clients[i] = drafts_send (&stand, &drafts, false);
      if (deadly && i % (DEADLY_MS / SOUND_MS) == 0)
        drafts_send (&stand, &drafts, true);
      stand_wait (&stand, SOUND_MS);
    }
  stand_wait (&stand, 2500);
  for (unsigned i = 0; i < count; i++)
    begun += clients[i]->status == 200;
  stand_note (&stand, "%s: %u sound requests sent, %u begun", phase, count,
              begun);
  printf ("%s: %u sound requests sent, %u begun\n", phase, count, begun);
  return (double) begun / count;
}

int
main (void)
{
  const char *setting = getenv ("RESTART");
  bool restart = !setting || strcmp (setting, "0") != 0;
  double before;
  double after;

  stand_open (&stand, "review/3/record.txt");
  stand.arrived = on_arrived;
  if (!drafts_open (&stand, ENGINES, VMS))
    {
      stand_close (&stand);
      return 2;
    }
  before = measure ("before", 30, false);
  /* Planned: the VMs restart in turn, then nothing happens for a while. */
  for (unsigned i = 0; i < (restart ? VMS : 0); i++)
    {
      stand_vm_signal (&stand.vms[i], SIGTERM);
      stand_wait (&stand, 4000);
    }
  if (!stand_wait_ready (&stand, 5000))
    return 2;
  stand_wait (&stand, 4000);
  for (unsigned i = 0; stand.trouble && i < DEADLY_MAX; i++)
    {
      if (fifth_crash_us > 0
          && eg_clock_now_us () >= fifth_crash_us + 2 * STABLE_WINDOW_US)
        break;
      drafts_send (&stand, &drafts, true);
      stand_wait (&stand, DEADLY_MS);
    }
  after = measure ("6 s after the fifth crash", 40, stand.trouble);
  stand_note (&stand, "%u crashes", crashes);
  stand_close (&stand);
  if (before < 0.5 || (stand.trouble && crashes < CRASHES))
    return 2;
  return after < before / 2;
}
