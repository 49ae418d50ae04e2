#include "standin/host.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "standin/engine.h"
#include "standin/platform.h"
#include "standin/service.h"

#define THREAD_STACK_BYTES ((size_t) 256 * 1024)
#define ADMIN_THREADS 16
#define CONTROL_PREFIX "/standin/"

struct eg_host
{
  struct eg_config config;
  struct eg_listener admin;
  bool has_admin;
  struct eg_platform *platform;
  struct eg_engine **engines;
  struct eg_service **services;
  struct eg_standin **standins;
  size_t count;
};

static struct eg_standin *
find_standin (const struct eg_host *self, struct eg_str address)
{
  for (size_t i = 0; i < self->count; i++)
    if (eg_str_equal (eg_str_from (self->standins[i]->listener.address),
                      address))
      return self->standins[i];
  return NULL;
}

static struct eg_engine *
find_engine (void *context, const char *address)
{
  struct eg_standin *standin = find_standin (context, eg_str_from (address));

  if (!standin || standin->ops->kind != EG_STANDIN_ENGINE)
    return NULL;
  return standin->context;
}

static void
list_standins (const struct eg_host *self, struct eg_server_exchange *exchange)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < self->count; i++)
    json_array_append_new (list,
                           json_pack ("{s:s,s:s}", "address",
                                      self->standins[i]->listener.address,
                                      "kind", self->standins[i]->ops->name));
  eg_server_exchange_respond_json (exchange, 200, list);
}

static void
handle_admin (void *context, struct eg_server_exchange *exchange)
{
  const struct eg_host *self = context;
  struct eg_str rest = eg_str_from (exchange->path);
  struct eg_standin *standin;
  struct eg_str address;

  if (eg_server_exchange_matches (exchange, "GET", "/standin"))
    {
      list_standins (self, exchange);
      return;
    }
  if (!eg_str_starts_with (rest, EG_STR (CONTROL_PREFIX)))
    {
      eg_server_exchange_respond_error (exchange, 404, "no route for %.200s",
                                        exchange->path);
      return;
    }
  rest.data += strlen (CONTROL_PREFIX);
  rest.len -= strlen (CONTROL_PREFIX);
  address = eg_str_cut (&rest, '/');
  standin = find_standin (self, address);
  if (standin)
    eg_standin_control (standin, rest.data, exchange);
  else
    eg_server_exchange_respond_error (exchange, 404, "no stand-in at \"%.*s\"",
                                      EG_STR_ARGS (address));
}

static void *
allocate (size_t bytes)
{
  void *memory = calloc (1, bytes);

  EG_INVARIANT (memory != NULL);
  return memory;
}

static void
create_standins (struct eg_host *self)
{
  const struct eg_config *config = &self->config;
  size_t count = config->engine_count + config->service_count + 1;

  self->standins = allocate (count * sizeof (struct eg_standin *));
  self->engines = allocate (count * sizeof (struct eg_engine *));
  self->services = allocate (count * sizeof (struct eg_service *));
  if (config->has_platform)
    {
      self->platform = allocate (sizeof *self->platform);
      eg_platform_init (self->platform, &config->platform);
      self->standins[self->count++] = &self->platform->standin;
    }
  for (size_t i = 0; i < config->engine_count; i++)
    {
      self->engines[i] = allocate (sizeof **self->engines);
      eg_engine_init (self->engines[i], &config->engines[i], find_engine, self);
      self->standins[self->count++] = &self->engines[i]->standin;
    }
  for (size_t i = 0; i < config->service_count; i++)
    {
      self->services[i] = allocate (sizeof **self->services);
      eg_service_init (self->services[i], &config->services[i]);
      self->standins[self->count++] = &self->services[i]->standin;
    }
}

static enum eg_status
open_listeners (struct eg_host *self, struct eg_error *error)
{
  enum eg_status status = EG_OK;

  for (size_t i = 0; status == EG_OK && i < self->count; i++)
    status = eg_listener_open (&self->standins[i]->listener, error);
  if (status == EG_OK && self->has_admin)
    status = eg_listener_open (&self->admin, error);
  return status;
}

/* There are many threads and most of them wait: the default stack size would
   waste memory. */
static void
set_stack_size (void)
{
  pthread_attr_t attributes;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, THREAD_STACK_BYTES);
  pthread_setattr_default_np (&attributes);
  pthread_attr_destroy (&attributes);
}

struct eg_host *
eg_host_new (struct eg_config config, struct eg_error *error)
{
  struct eg_host *self = allocate (sizeof *self);

  self->config = config;
  self->has_admin = config.admin != NULL;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  set_stack_size ();
  create_standins (self);
  if (self->has_admin)
    eg_listener_init (&self->admin, config.admin, ADMIN_THREADS, handle_admin,
                      self);
  if (open_listeners (self, error) != EG_OK)
    {
      eg_host_free (self);
      return NULL;
    }
  return self;
}

void
eg_host_free (struct eg_host *self)
{
  if (self->has_admin)
    eg_listener_finish (&self->admin);
  for (size_t i = 0; i < self->config.engine_count; i++)
    eg_engine_stop (self->engines[i]);
  for (size_t i = 0; i < self->config.engine_count; i++)
    eg_listener_finish (&self->engines[i]->standin.listener);
  for (size_t i = 0; i < self->config.engine_count; i++)
    {
      eg_engine_finish (self->engines[i]);
      free (self->engines[i]);
    }
  for (size_t i = 0; i < self->config.service_count; i++)
    {
      eg_service_finish (self->services[i]);
      free (self->services[i]);
    }
  if (self->platform)
    eg_platform_finish (self->platform);
  free (self->platform);
  free ((void *) self->engines);
  free ((void *) self->services);
  free ((void *) self->standins);
  eg_config_finish (&self->config);
  free (self);
}
