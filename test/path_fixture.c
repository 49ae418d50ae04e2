#include "test/path_fixture.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define WAIT_STEP_NS 20000000
#define WAIT_STEPS 500

static const char settings_text[] =
    "node.name = \"n1\"\nnode.failure_domain = \"a\"\n"
    "listen.callers = \"" CALLERS "\"\nlisten.operators = \"" OPERATORS "\"\n"
    "platform.address = \"" PLATFORM "\"\nplatform.vms_interval_ms = 100\n"
    "limits.caller_threads = 32\nlimits.body_bytes = 65536\n"
    "backend.poll_interval_ms = 100\nbackend.token_silence_ms = 1500\n"
    "log.level = \"error\"\n";

#define VM(port, domain, service)                                              \
  "{\"address\":\"" EG_TEST_HOST port "\",\"failure_domain\":\"" domain        \
  "\",\"kind\":\"backend\",\"service\":\"" service "\",\"state\":\"live\"}"
#define ENGINE(port, layers)                                                   \
  "{\"listen\":\"" EG_TEST_HOST port "\",\"server\":\"e" port                  \
  "\",\"service\":\"llm\",\"model\":\"m\",\"version\":\"1\","                  \
  "\"layers\":" layers                                                         \
  ",\"model_layers\":32,\"accelerator\":\"large\",\"slots\":8,\"token_us\":"   \
  "2000,\"prefill_us\":10,\"load_lag_ms\":50,\"checks_fencing\":true,"         \
  "\"kv_total\":100000,\"threads\":16}"

/* clang-format off */
/* Three servers for each half of the model, in two failure domains. */
static const char standins_text[] =
    "{\"admin\":\"" ADMIN "\",\"platform\":{\"listen\":\"" PLATFORM "\","
    "\"latency_ms\":0,\"vms\":["
    VM ("11", "a", "llm") "," VM ("12", "a", "llm") "," VM ("13", "b", "llm") ","
    VM ("14", "a", "llm") "," VM ("15", "a", "llm") "," VM ("16", "b", "llm") ","
    VM ("21", "a", "app")
    "]},\"engines\":["
    ENGINE ("11", "[1,16]") "," ENGINE ("12", "[1,16]") ","
    ENGINE ("13", "[1,16]") "," ENGINE ("14", "[17,32]") ","
    ENGINE ("15", "[17,32]") "," ENGINE ("16", "[17,32]")
    "],\"services\":[{\"listen\":\"" SERVICE "\",\"service\":\"app\","
    "\"latency_ms\":1,\"slots\":8}]}";
/* clang-format on */

#define SERVERS 7

static void
write_file (char *path, const char *text)
{
  int fd = mkstemp (path);

  EG_INVARIANT (fd >= 0);
  EG_INVARIANT (write (fd, text, strlen (text)) == (ssize_t) strlen (text));
  close (fd);
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
      eg_decision_inquire (decision, count_usable, &usable);
    }
  EG_INVARIANT (usable == SERVERS);
}

void
path_fixture_init (struct path_fixture *self)
{
  char settings_path[] = "/tmp/eg_path_XXXXXX";
  char standins_path[] = "/tmp/eg_path_XXXXXX";
  struct eg_error error = {0};
  struct eg_config config;
  enum eg_status status;

  write_file (settings_path, settings_text);
  write_file (standins_path, standins_text);
  status = eg_settings_load (&eg_router_setting_table, settings_path,
                             &self->settings, &error);
  EG_INVARIANT (status == EG_OK);
  status = eg_config_load (&config, standins_path, &error);
  if (status != EG_OK)
    fprintf (stderr, "%s\n", error.message);
  EG_INVARIANT (status == EG_OK);
  unlink (settings_path);
  unlink (standins_path);
  self->host = eg_host_new (config, &error);
  EG_INVARIANT (self->host != NULL);
  self->decision = eg_decision_new (&self->settings, &error);
  EG_INVARIANT (self->decision != NULL);
  self->callers = eg_callers_new (&self->settings, self->decision, &error);
  self->operators = eg_operators_new (&self->settings, self->decision, &error);
  EG_INVARIANT (self->callers != NULL && self->operators != NULL);
  wait_for_servers (self->decision);
}

void
path_fixture_finish (struct path_fixture *self)
{
  eg_operators_free (self->operators);
  eg_callers_free (self->callers);
  eg_decision_free (self->decision);
  eg_host_free (self->host);
}

static size_t
gather (char *bytes, size_t size, size_t count, void *context)
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
  char text[512];

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
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, gather);
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
control (const char *method, const char *address, const char *body)
{
  struct path_answer answer;
  char url[128];

  snprintf (url, sizeof url, "%s/standin/%s/faults", ADMIN, address);
  path_call (method, url, NULL, body, &answer);
  EG_INVARIANT (answer.status == 200);
  path_answer_finish (&answer);
}

void
path_fault (const char *address, const char *fault)
{
  control ("POST", address, fault);
}

void
path_heal (const char *address)
{
  control ("DELETE", address, NULL);
}

json_t *
path_record (const char *address)
{
  struct path_answer answer;
  char url[128];
  json_t *record;
  json_t *runs;

  snprintf (url, sizeof url, "%s/standin/%s/record", ADMIN, address);
  path_call ("GET", url, NULL, NULL, &answer);
  record = json_loadb (answer.body.data, answer.body.len, 0, NULL);
  path_answer_finish (&answer);
  runs = json_incref (json_object_get (record, "runs"));
  json_decref (record);
  return runs;
}

void
path_raw (const char *bytes, bool half_close, struct eg_buffer *answer)
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
