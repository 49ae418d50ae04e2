/* A configuration takes a key away; it also adds a tenant with a long name. */
#include <stdio.h>
#include <string.h>

#include "review/standin/standin.h"

#define VMS 3
#define REVOKE_MS 5000
#define CONFIG_APPLY_MS 2000

static const char routes[] =
    "{\"name\":\"r1\",\"host\":\"site.example\",\"pathPrefix\":\"/issue/\","
    "\"kind\":\"non_idempotent\",\"timeoutMs\":1000,\"goalLatencyMs\":100,"
    "\"priority\":2,\"service\":\"app\",\"maxAttempts\":1,\"public\":false}";
static const char services[] =
    "{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConnections\":110}";
static const char tenants_before[] =
    "{\"name\":\"temple-archive\",\"apiKeys\":[\"key-kept\"]},"
    "{\"name\":\"district-clerks\",\"apiKeys\":[\"key-taken\",\"key-left\"]}";
static const char tenants_short[] =
    "{\"name\":\"temple-archive\",\"apiKeys\":[\"key-kept\"]},"
    "{\"name\":\"district-clerks\",\"apiKeys\":[\"key-left\"]},"
    "{\"name\":\"provincial-registration\",\"apiKeys\":[\"key-new\"]}";
static const char tenants_long[] =
    "{\"name\":\"temple-archive\",\"apiKeys\":[\"key-kept\"]},"
    "{\"name\":\"district-clerks\",\"apiKeys\":[\"key-left\"]},"
    "{\"name\":\"department-of-provincial-administration-civil-registration-"
    "bureau-nonthaburi\",\"apiKeys\":[\"key-new\"]}";

static struct stand stand;

/* Sends requests with a key to all VMs; returns how many ran. */
static unsigned
send_with (const char *key, unsigned count)
{
  char fields[64];
  unsigned before = 0;
  unsigned after = 0;
  size_t first = stand.client_count;
  unsigned refused = 0;

  snprintf (fields, sizeof fields, "Api-Key: %s\r\n", key);
  for (size_t i = 0; i < stand.server_count; i++)
    before += stand.servers[i].runs;
  for (unsigned i = 0; i < count; i++)
    {
      for (unsigned vm = 0; vm < VMS; vm++)
        stand_send (&stand, &(struct stand_request){.vm = vm,
                                                    .method = "POST",
                                                    .path = "/issue/1",
                                                    .fields = fields,
                                                    .deadline_ms = 1000,
                                                    .body_bytes = 100});
      stand_wait (&stand, 100);
    }
  stand_wait (&stand, 1200);
  for (size_t i = 0; i < stand.server_count; i++)
    after += stand.servers[i].runs;
  for (size_t i = first; i < stand.client_count; i++)
    refused += stand.clients[i]->status == 401;
  stand_note (&stand, "%s: %u sent, %u ran, %u got 401", key, count * VMS,
              after - before, refused);
  printf ("%s: %u sent, %u ran, %u got 401\n", key, count * VMS, after - before,
          refused);
  return after - before;
}

int
main (void)
{
  static const char *const zones[VMS] = {"zone-a", "zone-b", "zone-c"};
  unsigned valid;
  unsigned revoked;

  stand_open (&stand, "review/2/record.txt");
  stand_configure (&stand, 1, routes, services, tenants_before, NULL);
  for (unsigned i = 0; i < VMS; i++)
    stand_add_server (&stand, "app", zones[i], false);
  for (unsigned i = 0; i < VMS; i++)
    stand_vm_start (stand_add_vm (&stand, zones[i]));
  if (!stand_wait_ready (&stand, 10000))
    {
      stand_close (&stand);
      return 2;
    }
  stand_wait (&stand, 1000);
  valid = send_with ("key-taken", 5);
  stand_configure (&stand, 4, routes, services,
                   stand.trouble ? tenants_long : tenants_short, NULL);
  /* Four times the bound, and twice that of other changes. */
  stand_wait (&stand, 4 * REVOKE_MS);
  revoked = send_with ("key-taken", 10);
  send_with ("key-new", 5);
  send_with ("key-kept", 5);
  /* The next version names it still, as tenants stay. */
  stand_configure (&stand, 6, routes, services,
                   stand.trouble ? tenants_long : tenants_short,
                   "\"maxBodyBytes\":4194304");
  stand_wait (&stand, REVOKE_MS + CONFIG_APPLY_MS);
  revoked += send_with ("key-taken", 10);
  stand_close (&stand);
  return valid == 0 ? 2 : revoked > 0;
}
