#include "standin/standin.h"

#include <string.h>

#define CONTROL_PREFIX "/standin/"

static void
handle_request (void *context, struct eg_server_exchange *exchange)
{
  static const char *const subjects[] = {"faults", "record", "counts"};
  struct eg_standin *self = context;
  const char *subject = exchange->path + strlen (CONTROL_PREFIX);

  if (strncmp (exchange->path, CONTROL_PREFIX, strlen (CONTROL_PREFIX)) == 0)
    for (size_t i = 0; i < sizeof subjects / sizeof *subjects; i++)
      if (strcmp (subject, subjects[i]) == 0)
        {
          eg_standin_control (self, subject, exchange);
          return;
        }
  self->ops->handle (self->context, exchange);
}

void
eg_standin_init (struct eg_standin *self,
                 const struct eg_standin_ops *ops,
                 void *context,
                 const char *address,
                 int64_t threads)
{
  self->ops = ops;
  self->context = context;
  eg_listener_init (&self->listener, address, (int) threads, handle_request,
                    self);
}

static void
respond_status (struct eg_server_exchange *exchange,
                enum eg_status status,
                const struct eg_error *error)
{
  if (status == EG_OK)
    eg_server_exchange_respond_json (exchange, 200, json_object ());
  else
    eg_server_exchange_respond_error (
        exchange, status == EG_INVALID ? 400 : 500, "%s", error->message);
}

static void
post_fault (struct eg_standin *self, struct eg_server_exchange *exchange)
{
  struct eg_error error = {0};
  struct eg_fault fault;
  enum eg_status status;
  bool responds_first;

  if (!eg_server_exchange_parse_json (exchange))
    return;
  status = eg_fault_read (&fault, exchange->json, self->ops->kind, &error);
  if (status != EG_OK)
    {
      respond_status (exchange, status, &error);
      return;
    }
  /* A crash shuts down this connection if it uses the stand-in's listener. */
  responds_first =
      fault.kind == EG_FAULT_DIE && exchange->port == self->listener.port;
  if (responds_first)
    respond_status (exchange, EG_OK, &error);
  status = self->ops->apply_fault (self->context, &fault, &error);
  if (!responds_first)
    respond_status (exchange, status, &error);
}

static void
delete_faults (struct eg_standin *self, struct eg_server_exchange *exchange)
{
  struct eg_error error = {0};
  enum eg_status status = self->ops->clear_faults (self->context, &error);

  respond_status (exchange, status, &error);
}

static void
get_record (struct eg_standin *self, struct eg_server_exchange *exchange)
{
  self->ops->write_record (self->context, exchange);
}

static void
delete_record (struct eg_standin *self, struct eg_server_exchange *exchange)
{
  self->ops->clear_record (self->context);
  eg_server_exchange_respond_json (exchange, 200, json_object ());
}

static void
get_counts (struct eg_standin *self, struct eg_server_exchange *exchange)
{
  eg_server_exchange_respond_json (exchange, 200,
                                   self->ops->counts (self->context));
}

void
eg_standin_control (struct eg_standin *self,
                    const char *subject,
                    struct eg_server_exchange *exchange)
{
  static const struct
  {
    const char *method;
    const char *subject;
    void (*handle) (struct eg_standin *self,
                    struct eg_server_exchange *exchange);
  } routes[] = {
      {"POST", "faults", post_fault}, {"DELETE", "faults", delete_faults},
      {"GET", "record", get_record},  {"DELETE", "record", delete_record},
      {"GET", "counts", get_counts},
  };

  for (size_t i = 0; i < sizeof routes / sizeof *routes; i++)
    if (strcmp (routes[i].method, exchange->method) == 0
        && strcmp (routes[i].subject, subject) == 0)
      {
        routes[i].handle (self, exchange);
        return;
      }
  eg_server_exchange_respond_error (exchange, 404, "no route for %s of \"%s\"",
                                    exchange->method, subject);
}
