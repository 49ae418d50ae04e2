#include "test/path_fixture.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define WAIT_STEP_NS 20000000
#define WAIT_STEPS 500

static const char settings_format[] =
    "node.name = \"%s\"\nnode.failure_domain = \"%s\"\n"
    "listen.callers = \"%s\"\nlisten.operators = \"%s\"\n"
    "platform.address = \"%s\"\nplatform.vms_interval_ms = 100\n"
    "limits.caller_threads = 32\nlimits.body_bytes = 65536\n"
    "backend.poll_interval_ms = 100\nbackend.token_silence_ms = 1500\n"
    "orders.lease_ms = 300\nlog.level = \"error\"\n";

/* Three engines for each half of the model, in two failure domains. */
static const struct
{
  const char *address;
  const char *failure_domain;
  const char *layers;
  const char *checks_fencing;
} engines[] = {
    {EG_TEST_HOST "11", "a", "[1,16]", "true"},
    {EG_TEST_HOST "12", "a", "[1,16]", "false"},
    {EG_TEST_HOST "13", "b", "[1,16]", "true"},
    {EG_TEST_HOST "14", "a", "[17,32]", "true"},
    {EG_TEST_HOST "15", "a", "[17,32]", "true"},
    {EG_TEST_HOST "16", "b", "[17,32]", "true"},
};

#define ENGINES (sizeof engines / sizeof engines[0])
#define SERVERS (ENGINES + 1)

static void
write_file (char *path, struct eg_buffer *text)
{
  int fd = mkstemp (path);

  EG_INVARIANT (fd >= 0);
  EG_INVARIANT (write (fd, text->data, text->len) == (ssize_t) text->len);
  close (fd);
  eg_buffer_finish (text);
}

static void
write_vm (struct eg_buffer *json,
          const char *address,
          const char *failure_domain,
          const char *kind,
          const char *service)
{
  eg_buffer_printf (json,
                    "%s{\"address\":\"%s\",\"failure_domain\":\"%s\","
                    "\"kind\":\"%s\",\"service\":\"%s\","
                    "\"state\":\"live\"}",
                    json->data[json->len - 1] == '[' ? "" : ",", address,
                    failure_domain, kind, service);
}

static void
write_standins (struct eg_buffer *json)
{
  eg_buffer_printf (json,
                    "{\"admin\":\"%s\",\"platform\":{\"listen\":\"%s\","
                    "\"latency_ms\":0,\"vms\":[",
                    ADMIN, PLATFORM);
  for (size_t i = 0; i < ENGINES; i++)
    write_vm (json, engines[i].address, engines[i].failure_domain, "backend",
              "llm");
  write_vm (json, SERVICE, "a", "backend", "app");
  write_vm (json, CALLERS, "a", "entry", "");
  write_vm (json, OTHER_CALLERS, "b", "entry", "");
  eg_buffer_printf (json, "]},\"engines\":[");
  for (size_t i = 0; i < ENGINES; i++)
    eg_buffer_printf (
        json,
        "%s{\"listen\":\"%s\",\"server\":\"e%zu\",\"service\":\"llm\","
        "\"model\":\"m\",\"version\":\"1\",\"layers\":%s,"
        "\"model_layers\":32,\"accelerator\":\"large\",\"slots\":8,"
        "\"token_us\":2000,\"prefill_us\":10,\"load_lag_ms\":50,"
        "\"checks_fencing\":%s,\"kv_total\":100000,\"threads\":16}",
        i > 0 ? "," : "", engines[i].address, i, engines[i].layers,
        engines[i].checks_fencing);
  eg_buffer_printf (json,
                    "],\"services\":[{\"listen\":\"%s\",\"service\":\"app\","
                    "\"latency_ms\":1,\"slots\":8}]}",
                    SERVICE);
}

static void
count_usable (void *context, const struct eg_decision_view *view)
{
  unsigned *usable = context;

  *usable = 0;
  for (uint32_t i = 0; i < eg_servers_count (view->servers); i++)
    if (eg_servers_usable (view->servers, i, view->now_us))
      ++*usable;
}

static void
wait_for_servers (struct eg_decision *decision)
{
  const struct timespec pause = {.tv_nsec = WAIT_STEP_NS};
  unsigned usable = 0;

  for (int i = 0; i < WAIT_STEPS && usable < SERVERS; i++)
    {
      nanosleep (&pause, NULL);
      eg_decision_query (decision, count_usable, &usable);
    }
  EG_INVARIANT (usable == SERVERS);
}

/* The ports are fixed, so concurrent runs on one machine are serialised. */
static void
lock_ports (void)
{
  int fd = open ("/tmp/eelgrass-test-path" EG_TEST_PORTS ".lock",
                 O_CREAT | O_RDWR | O_CLOEXEC, 0600);

  EG_INVARIANT (fd >= 0 && flock (fd, LOCK_EX) == 0);
}

static void
start_node (struct path_node *node,
            const char *name,
            const char *failure_domain,
            const char *callers,
            const char *operators)
{
  char path[] = "/tmp/eg_path_XXXXXX";
  struct eg_buffer text = {0};
  struct eg_error error = {0};
  enum eg_status status;

  eg_buffer_printf (&text, settings_format, name, failure_domain, callers,
                    operators, PLATFORM);
  write_file (path, &text);
  status = eg_settings_load (&eg_router_setting_table, path, &node->settings,
                             &error);
  EG_INVARIANT (status == EG_OK);
  unlink (path);
  node->decision = eg_decision_new (&node->settings, &error);
  EG_INVARIANT (node->decision != NULL);
  node->callers = eg_callers_new (&node->settings, node->decision, &error);
  node->operators = eg_operators_new (&node->settings, node->decision, &error);
  EG_INVARIANT (node->callers != NULL && node->operators != NULL);
}

static void
finish_node (struct path_node *node)
{
  eg_operators_free (node->operators);
  eg_callers_free (node->callers);
  eg_decision_free (node->decision);
}

void
path_fixture_init (struct path_fixture *self)
{
  char path[] = "/tmp/eg_path_XXXXXX";
  struct eg_buffer text = {0};
  struct eg_error error = {0};
  struct eg_config config;
  enum eg_status status;

  lock_ports ();
  write_standins (&text);
  write_file (path, &text);
  status = eg_config_load (&config, path, &error);
  if (status != EG_OK)
    fprintf (stderr, "%s\n", error.message);
  EG_INVARIANT (status == EG_OK);
  unlink (path);
  self->host = eg_host_new (config, &error);
  EG_INVARIANT (self->host != NULL);
  start_node (&self->node, "n1", "a", CALLERS, OPERATORS);
  start_node (&self->other, "n2", "b", OTHER_CALLERS, OTHER_OPERATORS);
  wait_for_servers (self->node.decision);
  wait_for_servers (self->other.decision);
}

void
path_fixture_finish (struct path_fixture *self)
{
  finish_node (&self->node);
  finish_node (&self->other);
  eg_host_free (self->host);
}

static size_t
append_body (char *bytes, size_t size, size_t count, void *context)
{
  eg_buffer_append (context, (struct eg_str){bytes, size * count});
  return size * count;
}

void
path_call (const char *method,
           const char *url,
           const char *const *headers,
           const char *body,
           struct path_answer *answer)
{
  CURL *easy = curl_easy_init ();
  struct curl_slist *list = NULL;
  char text[4096];

  *answer = (struct path_answer){0};
  snprintf (text, sizeof text, "http://%s", url);
  for (; headers && *headers; headers++)
    list = curl_slist_append (list, *headers);
  curl_easy_setopt (easy, CURLOPT_URL, text);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT, 60L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &answer->body);
  if (body)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &answer->status);
  eg_buffer_text (&answer->body);
  curl_slist_free_all (list);
  curl_easy_cleanup (easy);
}

void
path_answer_finish (struct path_answer *answer)
{
  eg_buffer_finish (&answer->body);
}

static void
control_standin (const char *method, const char *address, const char *body)
{
  struct path_answer answer;
  char url[128];

  snprintf (url, sizeof url, "%s/standin/%s/faults", ADMIN, address);
  path_call (method, url, NULL, body, &answer);
  EG_INVARIANT (answer.status == 200);
  path_answer_finish (&answer);
}

void
path_inject_fault (const char *address, const char *fault)
{
  control_standin ("POST", address, fault);
}

void
path_clear_faults (const char *address)
{
  control_standin ("DELETE", address, NULL);
}

static json_t *
record_part (const char *address, const char *name)
{
  struct path_answer answer;
  char url[128];
  json_t *record;
  json_t *part;

  snprintf (url, sizeof url, "%s/standin/%s/record", ADMIN, address);
  path_call ("GET", url, NULL, NULL, &answer);
  record = json_loadb (answer.body.data, answer.body.len, 0, NULL);
  path_answer_finish (&answer);
  part = json_incref (json_object_get (record, name));
  json_decref (record);
  return part;
}

json_t *
path_runs (const char *address)
{
  return record_part (address, "runs");
}

json_t *
path_orders (const char *address)
{
  return record_part (address, "orders");
}

void
path_send_raw (const char *bytes, bool half_close, struct eg_buffer *answer)
{
  struct sockaddr_in address = {
      .sin_family = AF_INET,
      .sin_port = htons ((uint16_t) atoi (EG_TEST_PORTS "01"))};
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  char chunk[1024];
  ssize_t len;

  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  EG_INVARIANT (connect (fd, (struct sockaddr *) &address, sizeof address)
                == 0);
  EG_INVARIANT (write (fd, bytes, strlen (bytes)) == (ssize_t) strlen (bytes));
  if (half_close)
    shutdown (fd, SHUT_WR);
  while ((len = read (fd, chunk, sizeof chunk)) > 0)
    eg_buffer_append (answer, (struct eg_str){chunk, (size_t) len});
  eg_buffer_text (answer);
  close (fd);
}
