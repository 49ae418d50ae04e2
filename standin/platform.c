#include "standin/platform.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "standin/timed_wait.h"

#define MAX_VALUE_BYTES (1 << 20)
#define MAX_WATCH_WAIT_MS 600000
#define OBJECTS_PATH "/objects"
#define HEADER_BYTES 64
#define QUERY_BYTES 512
#define POLL_US (50 * EG_US_PER_MS)

static const char *const op_names[EG_PLATFORM_OP_COUNT] = {
    [EG_PLATFORM_OP_GET] = "get",       [EG_PLATFORM_OP_PUT] = "put",
    [EG_PLATFORM_OP_DELETE] = "delete", [EG_PLATFORM_OP_WATCH] = "watch",
    [EG_PLATFORM_OP_VMS] = "vms",       [EG_PLATFORM_OP_REFUSED] = "refused",
};

/* Parses the version in an ETag, a number in quotes. */
static bool
parse_etag (const char *text, int64_t *version)
{
  struct eg_str s = eg_str_from (text);

  if (s.len < 3 || s.data[0] != '"' || s.data[s.len - 1] != '"')
    return false;
  s.data++;
  s.len -= 2;
  return eg_str_to_int64 (s, version) && *version > 0;
}

static void
respond_with_etag (struct eg_server_exchange *exchange,
                   int status,
                   struct eg_str body,
                   int64_t version)
{
  char header[HEADER_BYTES];

  snprintf (header, sizeof header, "ETag: \"%" PRId64 "\"\r\n", version);
  eg_server_exchange_respond (exchange, status, "application/json", body,
                              header);
}

static void
handle_get (struct eg_platform *self,
            struct eg_server_exchange *exchange,
            const char *key)
{
  struct eg_buffer copy = {0};
  int64_t version;

  pthread_mutex_lock (&self->lock);
  eg_buffer_append (&copy, eg_object_store_get (self->store, key, &version));
  pthread_mutex_unlock (&self->lock);
  if (version == 0)
    eg_server_exchange_respond_error (exchange, 404, "no object \"%.200s\"",
                                      key);
  else
    respond_with_etag (exchange, 200, eg_buffer_view (&copy), version);
  eg_buffer_finish (&copy);
}

/* Responds to an applied write, or drops the response if a fault is set. */
static void
respond_to_write (struct eg_platform *self,
                  struct eg_server_exchange *exchange,
                  int status,
                  int64_t version)
{
  bool drops_reply;

  pthread_mutex_lock (&self->lock);
  drops_reply = self->replies_to_drop > 0;
  if (drops_reply)
    self->replies_to_drop--;
  pthread_mutex_unlock (&self->lock);
  if (drops_reply)
    eg_server_exchange_abort (exchange);
  else if (status == 204)
    eg_server_exchange_respond (exchange, status, "", EG_STR (""), "");
  else
    respond_with_etag (exchange, status, EG_STR ("{}"), version);
}

/* Parses the precondition of a write; *@expected is 0 for a new object. */
static bool
parse_precondition (struct eg_server_exchange *exchange, int64_t *expected)
{
  const char *match = eg_server_exchange_get_header (exchange, "If-Match");
  const char *none_match =
      eg_server_exchange_get_header (exchange, "If-None-Match");
  bool is_put = strcmp (exchange->method, "PUT") == 0;

  *expected = 0;
  if (match && !none_match && parse_etag (match, expected))
    return true;
  if (is_put && none_match && !match && strcmp (none_match, "*") == 0)
    return true;
  eg_server_exchange_respond_error (
      exchange, 400, "header If-Match: \"VERSION\"%s is required",
      is_put ? " or If-None-Match: *" : "");
  return false;
}

static bool
validate_value (struct eg_server_exchange *exchange)
{
  json_error_t error;
  json_t *value;

  if (exchange->body.len > MAX_VALUE_BYTES)
    {
      eg_server_exchange_respond_error (exchange, 413, "value exceeds %d bytes",
                                        MAX_VALUE_BYTES);
      return false;
    }
  value = json_loadb (exchange->body.data ? exchange->body.data : "",
                      exchange->body.len, JSON_DECODE_ANY, &error);
  if (!value || json_is_null (value))
    eg_server_exchange_respond_error (exchange, 400,
                                      "value must be JSON other than null: %s",
                                      value ? "" : error.text);
  if (value && json_is_null (value))
    {
      json_decref (value);
      return false;
    }
  json_decref (value);
  return value != NULL;
}

static void
handle_put (struct eg_platform *self,
            struct eg_server_exchange *exchange,
            const char *key)
{
  int64_t expected;
  int64_t version;
  enum eg_status status;

  if (!parse_precondition (exchange, &expected) || !validate_value (exchange))
    return;
  pthread_mutex_lock (&self->lock);
  status = eg_object_store_put (self->store, key,
                                eg_buffer_view (&exchange->body), expected);
  version = eg_object_store_version (self->store);
  pthread_cond_broadcast (&self->changed);
  pthread_mutex_unlock (&self->lock);
  if (status == EG_OK)
    respond_to_write (self, exchange, expected ? 200 : 201, version);
  else
    eg_server_exchange_respond_error (exchange, 412, "version mismatch");
}

static void
handle_delete (struct eg_platform *self,
               struct eg_server_exchange *exchange,
               const char *key)
{
  int64_t expected;
  enum eg_status status;

  if (!parse_precondition (exchange, &expected))
    return;
  pthread_mutex_lock (&self->lock);
  status = eg_object_store_delete (self->store, key, expected);
  pthread_cond_broadcast (&self->changed);
  pthread_mutex_unlock (&self->lock);
  if (status == EG_OK)
    respond_to_write (self, exchange, 204, 0);
  else
    eg_server_exchange_respond_error (exchange, 412, "version mismatch");
}

/* Query of a watch. */
struct watch
{
  char prefix[QUERY_BYTES];
  int64_t after;
  int64_t wait_ms;
};

static bool
parse_query_number (struct eg_server_exchange *exchange,
                    const char *name,
                    int64_t max,
                    int64_t *value)
{
  char text[HEADER_BYTES];

  if (eg_server_exchange_get_query (exchange, name, text, sizeof text)
      && eg_str_to_int64 (eg_str_from (text), value) && *value >= 0
      && *value <= max)
    return true;
  eg_server_exchange_respond_error (
      exchange, 400, "query: %s must be an integer up to %" PRId64, name, max);
  return false;
}

static bool
parse_watch (struct eg_server_exchange *exchange, struct watch *watch)
{
  static const char *const names[] = {"prefix", "after", "wait_ms"};

  if (!eg_server_exchange_check_query (exchange, names,
                                       sizeof names / sizeof *names))
    return false;
  if (!eg_server_exchange_get_query (exchange, "prefix", watch->prefix,
                                     sizeof watch->prefix))
    {
      eg_server_exchange_respond_error (exchange, 400,
                                        "query: prefix is required");
      return false;
    }
  return parse_query_number (exchange, "after", INT64_MAX, &watch->after)
         && parse_query_number (exchange, "wait_ms", MAX_WATCH_WAIT_MS,
                                &watch->wait_ms);
}

static void
handle_watch (struct eg_platform *self, struct eg_server_exchange *exchange)
{
  struct watch watch;
  json_t *changes = NULL;
  json_t *result = NULL;
  int64_t checked_version = -1;
  int64_t deadline_us;

  if (!parse_watch (exchange, &watch))
    return;
  deadline_us = eg_clock_now_us () + watch.wait_ms * EG_US_PER_MS;
  pthread_mutex_lock (&self->lock);
  while (!self->is_closing && !self->is_down && !exchange->failed)
    {
      if (checked_version != eg_object_store_version (self->store)
          && !self->is_silent)
        {
          checked_version = eg_object_store_version (self->store);
          changes =
              eg_object_store_changes (self->store, watch.prefix, watch.after);
        }
      if (changes || (eg_clock_now_us () >= deadline_us && !self->is_silent))
        break;
      eg_cond_wait_for (&self->changed, &self->lock, POLL_US);
      eg_server_exchange_is_disconnected (exchange);
    }
  if (!self->is_down && !self->is_closing && !exchange->failed)
    result = json_pack ("{s:I,s:o}", "version",
                        eg_object_store_version (self->store), "changes",
                        changes ? changes : json_array ());
  pthread_mutex_unlock (&self->lock);
  if (result)
    eg_server_exchange_respond_json (exchange, 200, result);
  else if (!exchange->failed)
    eg_server_exchange_respond_error (exchange, 503, "the store is down");
}

static void
handle_vms (struct eg_platform *self, struct eg_server_exchange *exchange)
{
  json_t *vms;

  pthread_mutex_lock (&self->lock);
  vms = json_deep_copy (self->vms);
  pthread_mutex_unlock (&self->lock);
  eg_server_exchange_respond_json (exchange, 200, vms);
}

static bool
exceeds_rate_limit (struct eg_rate_limit *rate)
{
  int64_t second = eg_clock_now_us () / EG_US_PER_S;

  if (second != rate->second)
    {
      rate->second = second;
      rate->count = 0;
    }
  rate->count++;
  return rate->limit_per_s > 0 && rate->count > rate->limit_per_s;
}

/*
 * Counts an operation and waits for the simulated latency. Returns false after
 * an error response, due to a fault or the rate limit, or a disconnect.
 */
static bool
begin_operation (struct eg_platform *self,
                 struct eg_server_exchange *exchange,
                 enum eg_platform_op op)
{
  bool is_write = op == EG_PLATFORM_OP_PUT || op == EG_PLATFORM_OP_DELETE;
  int64_t delay_ms;
  bool is_down;
  bool is_rate_limited;

  pthread_mutex_lock (&self->lock);
  self->op_counts[op]++;
  is_rate_limited =
      exceeds_rate_limit (is_write ? &self->writes : &self->reads);
  while (self->is_silent && !self->is_closing
         && !eg_server_exchange_is_disconnected (exchange))
    eg_cond_wait_for (&self->changed, &self->lock, POLL_US);
  delay_ms = self->config->latency_ms + self->slow_ms;
  is_down = self->is_down || self->is_closing;
  if (is_down || is_rate_limited)
    self->op_counts[EG_PLATFORM_OP_REFUSED]++;
  pthread_mutex_unlock (&self->lock);
  if (exchange->failed)
    return false;
  eg_sleep_until (eg_clock_now_us () + delay_ms * EG_US_PER_MS);
  if (is_down)
    eg_server_exchange_respond_error (exchange, 503, "the store is down");
  else if (is_rate_limited)
    eg_server_exchange_respond (exchange, 429, "application/json",
                                EG_STR ("{\"error\":\"rate limit exceeded\"}"),
                                "Retry-After: 1\r\n");
  return !is_down && !is_rate_limited;
}

static void
handle_request (void *context, struct eg_server_exchange *exchange)
{
  static const struct
  {
    const char *method;
    enum eg_platform_op op;
    void (*handle) (struct eg_platform *self,
                    struct eg_server_exchange *exchange,
                    const char *key);
  } routes[] = {
      {"GET", EG_PLATFORM_OP_GET, handle_get},
      {"PUT", EG_PLATFORM_OP_PUT, handle_put},
      {"DELETE", EG_PLATFORM_OP_DELETE, handle_delete},
  };
  struct eg_platform *self = context;
  const char *key = exchange->path + strlen (OBJECTS_PATH "/");

  if (eg_server_exchange_matches (exchange, "GET", OBJECTS_PATH))
    {
      if (begin_operation (self, exchange, EG_PLATFORM_OP_WATCH))
        handle_watch (self, exchange);
      return;
    }
  if (eg_server_exchange_matches (exchange, "GET", "/vms"))
    {
      if (begin_operation (self, exchange, EG_PLATFORM_OP_VMS))
        handle_vms (self, exchange);
      return;
    }
  for (size_t i = 0; i < sizeof routes / sizeof *routes; i++)
    if (strcmp (exchange->method, routes[i].method) == 0
        && strncmp (exchange->path, OBJECTS_PATH "/", strlen (OBJECTS_PATH "/"))
               == 0
        && *key)
      {
        if (begin_operation (self, exchange, routes[i].op))
          routes[i].handle (self, exchange, key);
        return;
      }
  eg_server_exchange_respond_error (exchange, 404, "no route for %s %.200s",
                                    exchange->method, exchange->path);
}

static enum eg_status
apply_fault (void *context,
             const struct eg_fault *fault,
             struct eg_error *error)
{
  struct eg_platform *self = context;

  (void) error;
  pthread_mutex_lock (&self->lock);
  if (fault->kind == EG_FAULT_DOWN)
    self->is_down = true;
  else if (fault->kind == EG_FAULT_SILENT)
    self->is_silent = true;
  else if (fault->kind == EG_FAULT_SLOW)
    self->slow_ms = fault->ms;
  else if (fault->kind == EG_FAULT_LOSE_REPLY)
    self->replies_to_drop = fault->count;
  else if (fault->kind == EG_FAULT_VMS)
    {
      json_decref (self->vms);
      self->vms = json_deep_copy (fault->vms);
    }
  pthread_cond_broadcast (&self->changed);
  pthread_mutex_unlock (&self->lock);
  return EG_OK;
}

/* Keeps the VM list, which is state rather than a fault. */
static enum eg_status
clear_faults (void *context, struct eg_error *error)
{
  struct eg_platform *self = context;

  (void) error;
  pthread_mutex_lock (&self->lock);
  self->is_down = false;
  self->is_silent = false;
  self->slow_ms = 0;
  self->replies_to_drop = 0;
  pthread_cond_broadcast (&self->changed);
  pthread_mutex_unlock (&self->lock);
  return EG_OK;
}

static void
write_record (void *context, struct eg_server_exchange *exchange)
{
  struct eg_platform *self = context;
  json_t *record;

  pthread_mutex_lock (&self->lock);
  record =
      json_pack ("{s:I,s:I}", "version", eg_object_store_version (self->store),
                 "objects", eg_object_store_count (self->store));
  pthread_mutex_unlock (&self->lock);
  eg_server_exchange_respond_json (exchange, 200, record);
}

static void
clear_record (void *context)
{
  (void) context;
}

static json_t *
get_counts (void *context)
{
  struct eg_platform *self = context;
  json_t *object = json_object ();

  pthread_mutex_lock (&self->lock);
  for (int i = 0; i < EG_PLATFORM_OP_COUNT; i++)
    json_object_set_new (object, op_names[i],
                         json_integer (self->op_counts[i]));
  pthread_mutex_unlock (&self->lock);
  return object;
}

static const struct eg_standin_ops ops = {
    .kind = EG_STANDIN_PLATFORM,
    .name = "platform",
    .handle = handle_request,
    .apply_fault = apply_fault,
    .clear_faults = clear_faults,
    .write_record = write_record,
    .clear_record = clear_record,
    .counts = get_counts,
};

void
eg_platform_init (struct eg_platform *self,
                  const struct eg_platform_config *config)
{
  memset (self, 0, sizeof *self);
  self->config = config;
  pthread_mutex_init (&self->lock, NULL);
  pthread_cond_init (&self->changed, NULL);
  self->store = eg_object_store_new ();
  self->vms = config->vms ? json_deep_copy (config->vms) : json_array ();
  self->reads.limit_per_s = config->reads_per_s;
  self->writes.limit_per_s = config->writes_per_s;
  eg_standin_init (&self->standin, &ops, self, config->listen, config->threads);
}

void
eg_platform_finish (struct eg_platform *self)
{
  pthread_mutex_lock (&self->lock);
  self->is_closing = true;
  pthread_cond_broadcast (&self->changed);
  pthread_mutex_unlock (&self->lock);
  eg_listener_finish (&self->standin.listener);
  eg_object_store_free (self->store);
  json_decref (self->vms);
  pthread_cond_destroy (&self->changed);
  pthread_mutex_destroy (&self->lock);
}
