#include "ctl/call.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/print.h"

#define CONNECT_TIMEOUT_MS 3000L
#define CALL_TIMEOUT_MS 15000L
#define URL_BYTES 128
#define HEADER_BYTES (EG_CTL_TOKEN_BYTES + 32)
#define ANSWER_BYTES_MAX ((size_t) 16 * 1024 * 1024)

static size_t
append_body (char *bytes, size_t size, size_t count, void *context)
{
  struct eg_buffer *body = context;

  if (body->len + size * count > ANSWER_BYTES_MAX)
    return 0;
  eg_buffer_append (body, (struct eg_str){bytes, size * count});
  return size * count;
}

static struct curl_slist *
make_headers (const struct eg_ctl *ctl)
{
  char text[HEADER_BYTES];
  struct curl_slist *headers;

  snprintf (text, sizeof text, "Authorization: Bearer %s", ctl->token);
  headers = curl_slist_append (NULL, text);
  headers = curl_slist_append (headers, "Content-Type: application/json");
  /* Disables "Expect: 100-continue", which delays the body by a round trip. */
  return curl_slist_append (headers, "Expect:");
}

static void
set_options (CURL *easy, const char *method, struct eg_ctl_answer *answer)
{
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &answer->body);
}

static void
perform (CURL *easy, const struct eg_ctl *ctl, struct eg_ctl_answer *answer)
{
  CURLcode code = curl_easy_perform (easy);
  curl_off_t connected_us = 0;
  long status = 0;

  curl_easy_getinfo (easy, CURLINFO_CONNECT_TIME_T, &connected_us);
  answer->sent = connected_us > 0;
  if (code != CURLE_OK)
    {
      eg_error_set (&answer->error, EG_UNAVAILABLE, "%s: %s", ctl->node,
                    curl_easy_strerror (code));
      return;
    }
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  answer->status = (int) status;
  answer->value = json_loadb (eg_buffer_text (&answer->body), answer->body.len,
                              JSON_DECODE_ANY, NULL);
}

void
eg_ctl_call (const struct eg_ctl *ctl,
             const char *method,
             const char *path,
             json_t *body,
             struct eg_ctl_answer *answer)
{
  CURL *easy = curl_easy_init ();
  struct curl_slist *headers = make_headers (ctl);
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;
  char url[URL_BYTES];

  EG_INVARIANT (easy != NULL && headers != NULL);
  *answer = (struct eg_ctl_answer){0};
  snprintf (url, sizeof url, "http://%s%s", ctl->node, path);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  set_options (easy, method, answer);
  if (text)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, text);
  perform (easy, ctl, answer);
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  free (text);
}

void
eg_ctl_answer_finish (struct eg_ctl_answer *self)
{
  eg_buffer_finish (&self->body);
  json_decref (self->value);
}

static void
print_faults (const struct eg_ctl *ctl, json_t *faults)
{
  json_t *fault;
  size_t index;

  json_array_foreach (faults, index, fault)
  {
    eg_ctl_printf (ctl->out, "  ", "%d:%d: %s",
                   (int) json_integer_value (json_object_get (fault, "line")),
                   (int) json_integer_value (json_object_get (fault, "column")),
                   json_string_value (json_object_get (fault, "message")));
  }
}

struct failure
{
  const char *error; /* The "error" member of the answer. */
  int exit_code;
};

static const struct failure failures[] = {
    {"outrun", EG_CTL_CONFLICT},        {"unknown", EG_CTL_UNKNOWN},
    {"store-down", EG_CTL_UNREACHABLE}, {"behind", EG_CTL_UNREACHABLE},
    {"busy", EG_CTL_UNREACHABLE},
};

static int
find_exit_code (const char *error)
{
  for (size_t i = 0; error && i < sizeof failures / sizeof failures[0]; i++)
    if (strcmp (failures[i].error, error) == 0)
      return failures[i].exit_code;
  return EG_CTL_REFUSED;
}

int
eg_ctl_report_failure (const struct eg_ctl *ctl,
                       const struct eg_ctl_answer *answer)
{
  const char *error =
      json_string_value (json_object_get (answer->value, "error"));
  const char *detail =
      json_string_value (json_object_get (answer->value, "detail"));

  if (answer->status == 0)
    {
      eg_ctl_print (ctl->err, "", eg_str_from (answer->error.message));
      return EG_CTL_UNREACHABLE;
    }
  if (ctl->json && answer->value)
    fprintf (ctl->out, "%s\n", answer->body.data);
  else if (detail)
    eg_ctl_print (ctl->err, "", eg_str_from (detail));
  else if (json_object_get (answer->value, "faults"))
    {
      eg_ctl_printf (ctl->out, "", "faults (line:column):");
      print_faults (ctl, json_object_get (answer->value, "faults"));
    }
  else
    eg_ctl_printf (ctl->err, "", "%s: unexpected HTTP status %d", ctl->node,
                   answer->status);
  return find_exit_code (error);
}
