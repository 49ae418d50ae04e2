/**
 * @file
 * eelgrass-explain, the command that shows where a request would be sent.
 */
#ifndef EG_CTL_EXPLAIN_H
#define EG_CTL_EXPLAIN_H

#include <jansson.h>
#include <stdio.h>

#include "base/buffer.h"
#include "base/decls.h"
#include "base/status.h"

EG_BEGIN_DECLS

/** Time within which a VM has to answer. */
#define EG_EXPLAIN_TIMEOUT_MS 2000
/** Longest answer that is read, in bytes; VMs send less. */
#define EG_EXPLAIN_ANSWER_MAX ((size_t) 1024 * 1024)

/** Exit codes. */
enum eg_explain_exit
{
  EG_EXPLAIN_OK = 0,
  EG_EXPLAIN_FAILED = 1, /**< No explanation, with the cause on stderr. */
  EG_EXPLAIN_USAGE = 2,
};

/** The command line; members are NULL if an option was not given. */
struct eg_explain_options
{
  const char *address; /**< Port of a VM for other VMs. */
  const char *host;
  const char *path;
  const char *organisation;
  const char *prompt_tokens;
  const char *answer_tokens;
  const char *deadline_ms;
  bool json;
};

/**
 * Appends the URL of the request for an explanation.
 * @return false with a message if a number is not valid.
 */
bool eg_explain_write_url (const struct eg_explain_options *options,
                           struct eg_buffer *url,
                           struct eg_error *error);

/** Appends an explanation as text. Members that are missing are left out. */
void eg_explain_write_text (const json_t *answer, struct eg_buffer *out);

/**
 * Writes what a VM has answered.
 * @return one of enum eg_explain_exit.
 */
int eg_explain_report (const struct eg_explain_options *options,
                       long status,
                       struct eg_str body,
                       FILE *out,
                       FILE *err);

/**
 * Runs the program.
 * @return one of enum eg_explain_exit.
 */
int eg_explain_run (int argc, char **argv, FILE *out, FILE *err);

EG_END_DECLS

#endif
