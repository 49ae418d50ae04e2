#include "ctl/status_commands.h"

#include <inttypes.h>
#include <time.h>

#include "base/buffer.h"
#include "ctl/call.h"
#include "ctl/print.h"

#define WATCH_INTERVAL_NS 500000000L

static const char *
member_text (json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text ? text : "?";
}

static int64_t
member_integer (json_t *object, const char *name)
{
  return json_integer_value (json_object_get (object, name));
}

static void
print_status (const struct eg_ctl *ctl, json_t *status)
{
  eg_ctl_printf (ctl->out, "", "%s in %s", member_text (status, "node"),
                 member_text (status, "failure_domain"));
  eg_ctl_printf (ctl->out, "  ", "rules: version %" PRId64,
                 member_integer (status, "version"));
  eg_ctl_printf (
      ctl->out, "  ", "requests: %" PRId64 " queued, %" PRId64 " running",
      member_integer (status, "queued"), member_integer (status, "running"));
  eg_ctl_printf (ctl->out, "  ", "servers: %" PRId64 " of %" PRId64 " usable",
                 member_integer (status, "usable"),
                 member_integer (status, "servers"));
}

static void
print_node (const struct eg_ctl *ctl, json_t *node)
{
  json_t *version = json_object_get (node, "version");

  eg_ctl_printf (ctl->out, "", "%s in %s", member_text (node, "node"),
                 member_text (node, "failure_domain"));
  if (json_is_integer (version))
    eg_ctl_printf (ctl->out, "  ", "%s, version %" PRId64,
                   member_text (node, "state"),
                   (int64_t) json_integer_value (version));
  else
    eg_ctl_printf (ctl->out, "  ", "%s, version not heard",
                   member_text (node, "state"));
}

static void
print_server (const struct eg_ctl *ctl, json_t *server)
{
  const char *model =
      member_text (server, "model"); /* Empty for a plain service. */

  eg_ctl_printf (ctl->out, "", "%s in %s", member_text (server, "address"),
                 member_text (server, "failure_domain"));
  eg_ctl_printf (ctl->out, "  ", "%s%s%s, %s, %" PRId64 " in flight",
                 member_text (server, "service"), *model ? " " : "", model,
                 json_is_true (json_object_get (server, "usable"))
                     ? "usable"
                     : "not usable",
                 member_integer (server, "in_flight"));
}

static void
print_each (const struct eg_ctl *ctl,
            json_t *items,
            void (*print) (const struct eg_ctl *ctl, json_t *item))
{
  json_t *item;
  size_t index;

  json_array_foreach (items, index, item) print (ctl, item);
}

static void
print_nodes (const struct eg_ctl *ctl, json_t *nodes)
{
  print_each (ctl, nodes, print_node);
}

static void
print_servers (const struct eg_ctl *ctl, json_t *servers)
{
  print_each (ctl, servers, print_server);
}

static int
show (const struct eg_ctl *ctl,
      const char *path,
      void (*print) (const struct eg_ctl *ctl, json_t *value))
{
  struct eg_ctl_answer answer;
  int result = EG_CTL_OK;

  eg_ctl_call (ctl, "GET", path, NULL, &answer);
  if (answer.status != 200)
    result = eg_ctl_report_failure (ctl, &answer);
  else if (ctl->json)
    fprintf (ctl->out, "%s\n", eg_buffer_text (&answer.body));
  else
    print (ctl, answer.value);
  eg_ctl_answer_finish (&answer);
  return result;
}

int
eg_ctl_status (const struct eg_ctl *ctl)
{
  return show (ctl, "/status", print_status);
}

int
eg_ctl_nodes (const struct eg_ctl *ctl)
{
  return show (ctl, "/nodes", print_nodes);
}

int
eg_ctl_servers (const struct eg_ctl *ctl)
{
  return show (ctl, "/servers", print_servers);
}

/* Prints the status if it differs from @p last, and stores it there. */
static void
print_change (const struct eg_ctl *ctl,
              struct eg_ctl_answer *answer,
              struct eg_buffer *last)
{
  if (eg_str_equal (eg_buffer_view (&answer->body), eg_buffer_view (last)))
    return;
  eg_buffer_clear (last);
  eg_buffer_append (last, eg_buffer_view (&answer->body));
  if (ctl->json)
    fprintf (ctl->out, "%s\n", eg_buffer_text (&answer->body));
  else
    print_status (ctl, answer->value);
  fflush (ctl->out);
}

int
eg_ctl_watch (const struct eg_ctl *ctl)
{
  const struct timespec pause = {.tv_nsec = WATCH_INTERVAL_NS};
  struct eg_buffer last = {0};
  int result = EG_CTL_OK;

  for (int i = 0; result == EG_CTL_OK && (ctl->rounds == 0 || i < ctl->rounds);
       i++)
    {
      struct eg_ctl_answer answer;

      if (i > 0)
        nanosleep (&pause, NULL);
      eg_ctl_call (ctl, "GET", "/status", NULL, &answer);
      if (answer.status == 200)
        print_change (ctl, &answer, &last);
      else
        result = eg_ctl_report_failure (ctl, &answer);
      eg_ctl_answer_finish (&answer);
    }
  eg_buffer_finish (&last);
  return result;
}
