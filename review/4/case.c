/* A part of long prompts that crashes servers. */
#include <stdio.h>
#include <stdlib.h>

#include "base/status.h"
#include "review/standin/drafts.h"

#define VMS 3
#define ENGINES 9
#define STABLE_WINDOW_US (3000 * EG_US_PER_MS)
#define CRASHES 5
#define SOUND_MS 500
#define SECONDS 40
/* One request with the part that crashes servers beside so many sound ones. */
#define DEADLY_EVERY 5

static struct stand stand;
/* A conversation of some length: each turn adds a part. */
static struct drafts drafts = {.parts = 12, .deadly_part = 10};
static unsigned crashes;
static unsigned late;
static unsigned sound_begun;
static int64_t fifth_crash_us;

static void
on_arrived (struct stand_server *server,
            const struct eg_http_head *head,
            struct eg_str id)
{
  int64_t now_us = eg_clock_now_us ();

  if (!drafts_is_deadly (head))
    return;
  if (++crashes == CRASHES)
    fifth_crash_us = now_us;
  if (fifth_crash_us == 0 || now_us < fifth_crash_us + STABLE_WINDOW_US)
    return;
  late++;
  stand_note (&stand, "LATE: %.*s reaches %s %.3f s after the fifth crash",
              EG_STR_ARGS (id), server->id,
              (double) (now_us - fifth_crash_us) / EG_US_PER_S);
}

int
main (void)
{
  const char *part = getenv ("PART");

  if (part)
    drafts.deadly_part = (unsigned) strtoul (part, NULL, 10);
  stand_open (&stand, "review/4/record.txt");
  stand.arrived = on_arrived;
  if (!drafts_open (&stand, ENGINES, VMS))
    {
      stand_close (&stand);
      return 2;
    }
  for (unsigned i = 0; i < SECONDS * 1000 / SOUND_MS; i++)
    {
      drafts_send (&stand, &drafts, false);
      if (stand.trouble && i % DEADLY_EVERY == 0)
        drafts_send (&stand, &drafts, true);
      stand_wait (&stand, SOUND_MS);
    }
  stand_note (&stand,
              "%u arrivals with the part, %u of them later than 3 s after the "
              "fifth crash",
              crashes, late);
  for (size_t i = 0; i < stand.client_count; i++)
    sound_begun += stand.clients[i]->status == 200;
  stand_note (&stand, "%u streams begun", sound_begun);
  printf ("%u arrivals with the part, %u of them too late; %u sound streams "
          "begun\n",
          crashes, late, sound_begun);
  stand_close (&stand);
  if (stand.trouble && crashes < CRASHES)
    return 2;
  return late > 3;
}
