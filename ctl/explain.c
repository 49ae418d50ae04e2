#include "ctl/explain.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <string.h>

#define ERRORS_SHOWN 8

/* The options; used as an array of pointers, as argtable expects its table. */
struct table
{
  struct arg_str *host;
  struct arg_str *path;
  struct arg_str *organisation;
  struct arg_str *prompt_tokens;
  struct arg_str *answer_tokens;
  struct arg_str *deadline_ms;
  struct arg_lit *json;
  struct arg_lit *help;
  struct arg_lit *version;
  struct arg_str *address;
  struct arg_end *end;
};

#define TABLE_LENGTH (sizeof (struct table) / sizeof (void *))

/* Numbers are read here rather than by argtable: an invalid number is an error
 * of its own, not incorrect usage. */
static void
init_table (struct table *table)
{
  *table = (struct table){
      .host = arg_str1 (NULL, "host", "HOST", "host of the request"),
      .path = arg_str1 (NULL, "path", "PATH", "path of the request"),
      .organisation = arg_str0 (NULL, "organisation", "NAME",
                                "organisation that makes the request"),
      .prompt_tokens =
          arg_str0 (NULL, "prompt-tokens", "N", "length of the prompt"),
      .answer_tokens = arg_str0 (NULL, "answer-tokens", "N",
                                 "expected length of the answer"),
      .deadline_ms = arg_str0 (NULL, "deadline-ms", "N",
                               "time after which the caller "
                               "gives up"),
      .json = arg_lit0 (NULL, "json", "print the answer of the VM"),
      .help = arg_lit0 ("h", "help", "show this help"),
      .version = arg_lit0 ("V", "version", "show the version"),
      .address = arg_str1 (NULL, NULL, "ADDRESS",
                           "IP:PORT of an entry VM's port for other VMs"),
      .end = arg_end (ERRORS_SHOWN),
  };
}

static const char *
value_of (const struct arg_str *option)
{
  return option->count > 0 ? option->sval[0] : NULL;
}

static void
read_options (const struct table *table, struct eg_explain_options *options)
{
  *options = (struct eg_explain_options){
      .address = value_of (table->address),
      .host = value_of (table->host),
      .path = value_of (table->path),
      .organisation = value_of (table->organisation),
      .prompt_tokens = value_of (table->prompt_tokens),
      .answer_tokens = value_of (table->answer_tokens),
      .deadline_ms = value_of (table->deadline_ms),
      .json = table->json->count > 0,
  };
}

static bool
is_unreserved (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
         || (c >= '0' && c <= '9') || (c != '\0' && strchr ("-._~/", c));
}

/* Appends a parameter of the query, with all reserved bytes encoded. */
static void
append_parameter (struct eg_buffer *url, const char *name, const char *value)
{
  eg_buffer_printf (url, "%c%s=", memchr (url->data, '?', url->len) ? '&' : '?',
                    name);
  for (; *value; value++)
    if (is_unreserved (*value))
      eg_buffer_append (url, (struct eg_str){value, 1});
    else
      eg_buffer_printf (url, "%%%02X", (unsigned char) *value);
}

/* Appends a number, if the option was given. */
static bool
append_number (struct eg_buffer *url,
               const char *name,
               const char *value,
               struct eg_error *error)
{
  int64_t number;

  if (!value)
    return true;
  if (!eg_str_to_int64 (eg_str_from (value), &number) || number < 0
      || number > UINT32_MAX)
    {
      eg_error_set (error, EG_INVALID,
                    "--%s: expected a whole number up to %" PRIu32
                    ", not \"%.64s\"",
                    name, UINT32_MAX, value);
      return false;
    }
  append_parameter (url, name, value);
  return true;
}

bool
eg_explain_write_url (const struct eg_explain_options *options,
                      struct eg_buffer *url,
                      struct eg_error *error)
{
  eg_buffer_printf (url, "http://%s/explain", options->address);
  append_parameter (url, "host", options->host);
  append_parameter (url, "path", options->path);
  if (options->organisation)
    append_parameter (url, "organisation", options->organisation);
  return append_number (url, "prompt-tokens", options->prompt_tokens, error)
         && append_number (url, "answer-tokens", options->answer_tokens, error)
         && append_number (url, "deadline-ms", options->deadline_ms, error);
}

int
eg_explain_report (const struct eg_explain_options *options,
                   long status,
                   struct eg_str body,
                   FILE *out,
                   FILE *err)
{
  json_t *answer = json_loadb (body.data ? body.data : "", body.len, 0, NULL);
  const char *fault = json_string_value (json_object_get (answer, "error"));
  bool is_explained = status == 200 && json_is_object (answer);
  struct eg_buffer text = {0};

  if (options->json && answer)
    fprintf (out, "%.*s\n", EG_STR_ARGS (body));
  else if (is_explained)
    {
      eg_explain_write_text (answer, &text);
      fprintf (out, "%s", eg_buffer_text (&text));
    }
  if (!is_explained && fault)
    fprintf (err, "eelgrass-explain: %s: %s\n", options->address, fault);
  else if (!is_explained)
    fprintf (err,
             "eelgrass-explain: %s: unexpected answer with HTTP status %ld; "
             "is this an entry VM's port for other VMs, and its build new "
             "enough?\n",
             options->address, status);
  eg_buffer_finish (&text);
  json_decref (answer);
  return is_explained ? EG_EXPLAIN_OK : EG_EXPLAIN_FAILED;
}

static size_t
append_body (char *bytes, size_t size, size_t count, void *context)
{
  struct eg_buffer *body = context;

  if (body->len + size * count > EG_EXPLAIN_ANSWER_MAX)
    return 0;
  eg_buffer_append (body, (struct eg_str){bytes, size * count});
  return size * count;
}

static CURLcode
get (const char *url, struct eg_buffer *body, long *status)
{
  CURL *easy = curl_easy_init ();
  CURLcode code;

  EG_INVARIANT (easy != NULL);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long) EG_EXPLAIN_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, body);
  code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, status);
  curl_easy_cleanup (easy);
  return code;
}

static int
ask (const struct eg_explain_options *options, FILE *out, FILE *err)
{
  struct eg_buffer url = {0};
  struct eg_buffer body = {0};
  struct eg_error error;
  long status = 0;
  CURLcode code;
  int result = EG_EXPLAIN_FAILED;

  if (!eg_explain_write_url (options, &url, &error))
    {
      fprintf (err, "eelgrass-explain: %s\n", error.message);
      goto cleanup;
    }
  code = get (eg_buffer_text (&url), &body, &status);
  if (code == CURLE_OK)
    result =
        eg_explain_report (options, status, eg_buffer_view (&body), out, err);
  else if (code == CURLE_OPERATION_TIMEDOUT)
    fprintf (err, "eelgrass-explain: %s: no answer within %g s\n",
             options->address, EG_EXPLAIN_TIMEOUT_MS / 1000.0);
  else
    fprintf (err, "eelgrass-explain: %s: %s\n", options->address,
             curl_easy_strerror (code));
cleanup:
  eg_buffer_finish (&url);
  eg_buffer_finish (&body);
  return result;
}

static void
print_help (FILE *out, struct table *table)
{
  fprintf (out, "Usage: eelgrass-explain");
  arg_print_syntax (out, (void **) table, "\n");
  fprintf (out, "Shows where an entry VM would send a request now, and why, "
                "without sending it.\n\n");
  arg_print_glossary (out, (void **) table, "  %-22s %s\n");
  fprintf (out, "\nExit status: 0 explained, 1 no explanation, 2 usage\n");
}

/* Returns whether a text can be the host and port of a URL. */
static bool
is_address (const char *text)
{
  return text && *text
         && strspn (text, "0123456789abcdefghijklmnopqrstuvwxyz"
                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ.-:[]")
                == strlen (text);
}

int
eg_explain_run (int argc, char **argv, FILE *out, FILE *err)
{
  struct eg_explain_options options;
  struct table table;
  int errors;
  int result = EG_EXPLAIN_OK;

  init_table (&table);
  EG_INVARIANT (arg_nullcheck ((void **) &table) == 0);
  errors = arg_parse (argc, argv, (void **) &table);
  read_options (&table, &options);
  if (table.help->count > 0)
    print_help (out, &table);
  else if (table.version->count > 0)
    fprintf (out, "eelgrass-explain " EG_VERSION "\n");
  else if (errors > 0)
    {
      arg_print_errors (err, table.end, "eelgrass-explain");
      fprintf (err, "See eelgrass-explain --help.\n");
      result = EG_EXPLAIN_USAGE;
    }
  else if (!is_address (options.address))
    {
      fprintf (err, "eelgrass-explain: expected IP:PORT, not \"%s\"\n",
               options.address);
      result = EG_EXPLAIN_USAGE;
    }
  else
    result = ask (&options, out, err);
  arg_freetable ((void **) &table, TABLE_LENGTH);
  return result;
}
