#include "router/operators_status.h"

#include <inttypes.h>

#include "http/json.h"

static void
write_metrics (void *context, const struct eg_decision_view *view)
{
  struct eg_buffer *text = context;
  struct eg_lifecycle_counts counts = eg_lifecycle_counts (view->lifecycle);
  const struct eg_metrics_gauge gauges[] = {
      {"eelgrass_arrived_total", "counter", "Requests that reached a decision",
       (double) counts.arrived},
      {"eelgrass_attempts_total", "counter", "Attempts on backend servers",
       (double) counts.attempts},
      {"eelgrass_retries_total", "counter", "Attempts after the first",
       (double) counts.retries},
      {"eelgrass_resumed_total", "counter",
       "Attempts that went on in the middle of an answer",
       (double) counts.resumed},
      {"eelgrass_late_tokens_total", "counter",
       "Tokens dropped, as their attempt was not the last",
       (double) counts.late_tokens},
      {"eelgrass_queued", "gauge", "Requests that wait",
       (double) counts.queued},
      {"eelgrass_running", "gauge", "Requests with an attempt",
       (double) counts.running},
      {"eelgrass_rules_version", "gauge", "Version of the rules in force",
       (double) eg_ruleset_version (view->ruleset)},
  };

  for (size_t i = 0; i < sizeof gauges / sizeof gauges[0]; i++)
    eg_metrics_write_gauge (text, &gauges[i]);
  eg_gossip_write_metrics (view->gossip, text);
  eg_metrics_write (view->metrics, text);
}

static void
write_server (struct eg_buffer *json,
              const struct eg_servers *servers,
              uint32_t index,
              int64_t now_us)
{
  const struct eg_server *server = eg_servers_get (servers, index);

  eg_buffer_printf (json, "%s{", json->len > 1 ? "," : "");
  eg_json_append_member (json, "address", server->address);
  eg_json_append_member (json, "failure_domain", server->failure_domain);
  eg_json_append_member (json, "service", server->report.service);
  eg_json_append_member (json, "model", server->report.model);
  eg_buffer_printf (
      json,
      ",\"layers\":[%u,%u],\"usable\":%s,\"stops\":%u,\"in_flight\":%u,"
      "\"load\":%u}",
      server->report.first_layer, server->report.last_layer,
      eg_servers_usable (servers, index, now_us) ? "true" : "false",
      server->block_reasons, server->in_flight,
      eg_servers_load (servers, index));
}

static void
write_servers (void *context, const struct eg_decision_view *view)
{
  struct eg_buffer *json = context;

  eg_buffer_append (json, EG_STR ("["));
  for (uint32_t i = 0; i < eg_servers_count (view->servers); i++)
    {
      const struct eg_server *server = eg_servers_get (view->servers, i);

      if (server && *server->address)
        write_server (json, view->servers, i, view->now_us);
    }
  eg_buffer_append (json, EG_STR ("]"));
}

void
eg_operators_get_metrics (const struct eg_operators_deps *deps,
                          struct eg_str body,
                          struct eg_operators_answer *answer)
{
  (void) body;
  answer->content_type = "text/plain; version=0.0.4";
  eg_operators_query (deps, write_metrics, &answer->body, answer);
}

void
eg_operators_get_servers (const struct eg_operators_deps *deps,
                          struct eg_str body,
                          struct eg_operators_answer *answer)
{
  (void) body;
  eg_operators_query (deps, write_servers, &answer->body, answer);
}

/* Context of the functions that write settings as well as state. */
struct status_context
{
  const struct eg_router_settings *settings;
  struct eg_buffer *json;
};

static unsigned
count_usable (const struct eg_servers *servers, int64_t now_us)
{
  unsigned usable = 0;

  for (uint32_t i = 0; i < eg_servers_count (servers); i++)
    usable += eg_servers_usable (servers, i, now_us);
  return usable;
}

static unsigned
count_known (const struct eg_servers *servers)
{
  unsigned known = 0;

  for (uint32_t i = 0; i < eg_servers_count (servers); i++)
    {
      const struct eg_server *server = eg_servers_get (servers, i);

      known += server && *server->address;
    }
  return known;
}

static void
write_status (void *context, const struct eg_decision_view *view)
{
  struct status_context *status = context;
  struct eg_buffer *json = status->json;
  struct eg_lifecycle_counts counts = eg_lifecycle_counts (view->lifecycle);

  eg_buffer_append (json, EG_STR ("{"));
  eg_json_append_member (json, "node", status->settings->name);
  eg_json_append_member (json, "failure_domain",
                         status->settings->failure_domain);
  eg_buffer_printf (json,
                    ",\"program\":\"%s\",\"version\":%" PRIu64
                    ",\"queued\":%" PRIu64 ",\"running\":%" PRIu64 ","
                    "\"servers\":%u,\"usable\":%u}",
                    EG_VERSION, eg_ruleset_version (view->ruleset),
                    counts.queued, counts.running, count_known (view->servers),
                    count_usable (view->servers, view->now_us));
}

void
eg_operators_get_status (const struct eg_operators_deps *deps,
                         struct eg_str body,
                         struct eg_operators_answer *answer)
{
  struct status_context status = {deps->settings, &answer->body};

  (void) body;
  eg_operators_query (deps, write_status, &status, answer);
}

static void
write_version (void *context, const struct eg_decision_view *view)
{
  struct status_context *status = context;

  eg_buffer_append (status->json, EG_STR ("{"));
  eg_json_append_member (status->json, "node", status->settings->name);
  eg_buffer_printf (status->json, ",\"version\":%" PRIu64 "}",
                    eg_ruleset_version (view->ruleset));
}

void
eg_operators_get_version (const struct eg_operators_deps *deps,
                          struct eg_str body,
                          struct eg_operators_answer *answer)
{
  struct status_context status = {deps->settings, &answer->body};

  (void) body;
  eg_operators_query (deps, write_version, &status, answer);
}
