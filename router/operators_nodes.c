#include "router/operators_nodes.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "http/client.h"
#include "http/json.h"

#define CONNECT_TIMEOUT_US (300 * EG_US_PER_MS)
#define ANSWER_TIMEOUT_US (700 * EG_US_PER_MS)
#define ANSWER_BYTES_MAX 4096
#define RING_SLOTS 2
#define PORT_MAX 65535

/* An entry VM. */
struct node
{
  char name[EG_NAME_BYTES]; /* Its address until its name is known. */
  char address[EG_ADDRESS_BYTES];
  char failure_domain[EG_NAME_BYTES];
  const char *state;
  bool has_version; /* Whether the version is known. */
  int64_t version;
  struct nodes_query *query;
};

/* A query of all nodes. */
struct nodes_query
{
  const struct eg_router_settings *settings;
  struct node *nodes; /* This node comes first. */
  size_t count;
  size_t pending; /* Requests in progress. */
};

static void
add_self (struct nodes_query *query, uint64_t version)
{
  const struct eg_router_settings *settings = query->settings;
  struct node *node = &query->nodes[query->count++];

  eg_str_copy (eg_str_from (settings->name), node->name, sizeof node->name);
  eg_str_copy (eg_str_from (settings->listen_callers), node->address,
               sizeof node->address);
  eg_str_copy (eg_str_from (settings->failure_domain), node->failure_domain,
               sizeof node->failure_domain);
  node->state = "live";
  node->has_version = true;
  node->version = (int64_t) version;
}

static void
add_listed (struct nodes_query *query, const struct eg_vm *vm)
{
  struct node *node = &query->nodes[query->count++];

  memcpy (node->name, vm->address, sizeof vm->address);
  memcpy (node->address, vm->address, sizeof vm->address);
  memcpy (node->failure_domain, vm->failure_domain, sizeof vm->failure_domain);
  node->state = vm->leaving ? "leaving" : "silent";
}

static void
list_nodes (void *context, const struct eg_decision_view *view)
{
  struct nodes_query *query = context;

  query->nodes = calloc (view->vms->count + 1, sizeof *query->nodes);
  EG_INVARIANT (query->nodes != NULL);
  add_self (query, eg_ruleset_version (view->ruleset));
  for (size_t i = 0; i < view->vms->count; i++)
    {
      const struct eg_vm *vm = &view->vms->vms[i];

      if (vm->entry
          && strcmp (vm->address, query->settings->listen_callers) != 0)
        add_listed (query, vm);
    }
}

static int
port_of (const char *address)
{
  return atoi (strrchr (address, ':') + 1);
}

/* Derives the address of a node's operators' listener, assuming the same port
   offset as here. */
static bool
derive_address (const struct eg_router_settings *settings,
                const char *callers,
                char address[EG_ADDRESS_BYTES])
{
  int port = port_of (callers) + port_of (settings->listen_operators)
             - port_of (settings->listen_callers);
  int ip_len = (int) (strrchr (callers, ':') - callers);
  int len =
      snprintf (address, EG_ADDRESS_BYTES, "%.*s:%d", ip_len, callers, port);

  return port > 0 && port <= PORT_MAX && len < EG_ADDRESS_BYTES;
}

static void
on_version (void *context, const struct eg_http_result *result)
{
  struct node *node = context;
  char name[EG_NAME_BYTES] = "";
  int64_t version = 0;
  const struct eg_json_member members[] = {
      {"node", EG_JSON_TEXT, true, name, sizeof name},
      {"version", EG_JSON_INTEGER, true, &version, 0},
  };
  json_t *object = NULL;

  node->query->pending--;
  if (result->outcome == EG_HTTP_ANSWERED && result->status == 200)
    object = eg_json_parse (result->body, NULL);
  if (object && eg_json_read (object, members, 2, NULL) == EG_OK)
    {
      memcpy (node->name, name, sizeof name);
      node->has_version = true;
      node->version = version;
      if (strcmp (node->state, "silent") == 0)
        node->state = "live";
    }
  json_decref (object);
}

static void
query_node (struct eg_http_client *client,
            struct nodes_query *query,
            struct node *node)
{
  char address[EG_ADDRESS_BYTES];
  const struct eg_http_request request = {
      .method = "GET",
      .address = address,
      .target = EG_STR ("/version"),
      .connect_timeout_us = CONNECT_TIMEOUT_US,
      .timeout_us = ANSWER_TIMEOUT_US,
      .body_max = ANSWER_BYTES_MAX,
      .on_done = on_version,
      .context = node,
  };

  node->query = query;
  if (derive_address (query->settings, node->address, address)
      && eg_http_client_start (client, &request))
    query->pending++;
}

static void
query_nodes (struct nodes_query *query)
{
  struct eg_http_client *client = eg_http_client_new ();
  struct eg_ring ring;
  int64_t until_us = eg_clock_now_us () + 2 * ANSWER_TIMEOUT_US;

  if (client && eg_ring_init (&ring, RING_SLOTS))
    {
      for (size_t i = 1; i < query->count; i++)
        query_node (client, query, &query->nodes[i]);
      while (query->pending > 0 && eg_clock_now_us () < until_us)
        eg_http_client_run (client, &ring, ANSWER_TIMEOUT_US);
      eg_ring_finish (&ring);
    }
  eg_http_client_free (client);
}

static void
write_node (struct eg_buffer *json, const struct node *node)
{
  eg_buffer_append (json, EG_STR ("{"));
  eg_json_append_member (json, "node", node->name);
  eg_json_append_member (json, "address", node->address);
  eg_json_append_member (json, "failure_domain", node->failure_domain);
  eg_json_append_member (json, "state", node->state);
  if (node->has_version)
    eg_buffer_printf (json, ",\"version\":%" PRId64 "}", node->version);
  else
    eg_buffer_append (json, EG_STR (",\"version\":null}"));
}

void
eg_operators_get_nodes (const struct eg_operators_deps *deps,
                        struct eg_str body,
                        struct eg_operators_answer *answer)
{
  struct nodes_query query = {.settings = deps->settings};

  (void) body;
  eg_operators_query (deps, list_nodes, &query, answer);
  if (!query.nodes)
    return;
  query_nodes (&query);
  eg_buffer_append (&answer->body, EG_STR ("["));
  for (size_t i = 0; i < query.count; i++)
    {
      if (i > 0)
        eg_buffer_append (&answer->body, EG_STR (","));
      write_node (&answer->body, &query.nodes[i]);
    }
  eg_buffer_append (&answer->body, EG_STR ("]"));
  free (query.nodes);
}
