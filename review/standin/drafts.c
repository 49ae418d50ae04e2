#include "review/standin/drafts.h"

#include <string.h>

#include "base/buffer.h"

#define FACTOR 2654435761U
/* By when all engines hold their layers. */
#define LOADED_MS 15000

static const char routes[] =
    "{\"name\":\"r1\",\"host\":\"site.example\",\"pathPrefix\":\"/draft/\","
    "\"kind\":\"streaming\",\"timeoutMs\":20000,\"goalLatencyMs\":500,"
    "\"priority\":1,\"service\":\"llm\",\"maxAttempts\":2,\"public\":true,"
    "\"sticky\":true,\"resumable\":true,\"gapGoalMs\":200}";
static const char services[] =
    "{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConnections\":1100,"
    "\"engine\":{\"layers\":1,\"layerMb\":14000,\"kvBytes\":327680,"
    "\"kvCapacityTokens\":100000,\"step_ms\":0.85,\"per_seq_ms\":0.01,"
    "\"read_per_s\":272000,\"report_lag_ms\":200,\"loads_at_once\":4,"
    "\"usual\":{\"prompt\":800,\"answer\":150},"
    "\"kinds\":[{\"name\":\"a100\",\"sizeMb\":36000,\"pace\":3.1,"
    "\"readFactor\":3.2}]},\"models\":[{\"name\":\"m0\",\"loadS\":3}]}";

bool
drafts_open (struct stand *stand, unsigned engines, unsigned vms)
{
  static const char *const zones[] = {"zone-a", "zone-b", "zone-c"};
  const unsigned zone_count = sizeof zones / sizeof zones[0];

  stand_configure (stand, 1, routes, services, NULL, NULL);
  for (unsigned i = 0; i < engines; i++)
    {
      struct stand_server *server =
          stand_add_server (stand, "llm", zones[i % zone_count], true);

      server->work_ms = 60;
      server->deadly = DRAFTS_DEADLY;
      server->down_ms = 3000;
    }
  for (unsigned i = 0; i < vms; i++)
    stand_vm_start (stand_add_vm (stand, zones[i % zone_count]));
  if (!stand_wait_ready (stand, 10000))
    return false;
  for (unsigned waited_ms = 0; waited_ms < LOADED_MS; waited_ms += 100)
    {
      unsigned loaded = 0;

      for (size_t i = 0; i < stand->server_count; i++)
        loaded += stand->servers[i].loaded;
      if (loaded == engines)
        break;
      stand_wait (stand, 100);
    }
  stand_wait (stand, 1500);
  return stand->servers[0].loaded;
}

struct stand_client *
drafts_send (struct stand *stand, struct drafts *self, bool deadly)
{
  unsigned number = ++self->number;
  struct eg_buffer fields = {0};
  struct stand_client *client;

  eg_buffer_printf (&fields, "X-Model: m0\r\nX-Token-Usage: 1300,80\r\n"
                             "X-Prefix-Hash: 5c1e07a2:40");
  for (unsigned i = 2; i <= self->parts; i++)
    if (deadly && i == self->deadly_part)
      eg_buffer_printf (&fields, "," DRAFTS_DEADLY ":100");
    else
      eg_buffer_printf (&fields, ",%x:100", (number * 16 + i) * FACTOR | 1U);
  eg_buffer_printf (&fields, ",%x:60\r\n", number * FACTOR & ~1U);
  client = stand_send (
      stand, &(struct stand_request){.vm = number % (unsigned) stand->vm_count,
                                     .method = "POST",
                                     .path = "/draft/1",
                                     .fields = eg_buffer_text (&fields),
                                     .deadline_ms = 20000,
                                     .body_bytes = 200 + number});
  stand_note (stand, "request %u is %s", number,
              deadly ? "one with the part that crashes servers" : "sound");
  eg_buffer_finish (&fields);
  return client;
}

bool
drafts_is_deadly (const struct eg_http_head *head)
{
  struct eg_str parts = eg_http_head_find (head, "x-prefix-hash");

  return parts.len > 0
         && memmem (parts.data, parts.len, "," DRAFTS_DEADLY ":",
                    strlen (DRAFTS_DEADLY) + 2);
}
