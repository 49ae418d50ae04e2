/**
 * @file
 * eelgrassctl, the command line tool for operators.
 */
#ifndef EG_CTL_CTL_H
#define EG_CTL_CTL_H

#include <stdint.h>
#include <stdio.h>

#include "base/decls.h"
#include "base/status.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Capacity for a token, including the terminating NUL. */
#define EG_CTL_TOKEN_BYTES 128
/** Maximum number of words of a command and its arguments. */
#define EG_CTL_WORDS_MAX 4

/** Exit codes. */
enum eg_ctl_exit
{
  EG_CTL_OK = 0,
  EG_CTL_REFUSED = 1, /**< Invalid rules, or refused by the node; no change. */
  EG_CTL_USAGE = 2,   /**< Invalid or missing options, or an unreadable file. */
  /** No connection, the store is down, or the node is busy or lags behind; no
      change. */
  EG_CTL_UNREACHABLE = 3,
  EG_CTL_CONFLICT = 4, /**< Another edit came first; no change. */
  EG_CTL_UNKNOWN = 5,  /**< The edit may have been accepted. */
};

/** Options from the command line and the environment. */
struct eg_ctl
{
  char node[EG_ADDRESS_BYTES]; /**< Operators' listener; may be empty. */
  char token[EG_CTL_TOKEN_BYTES];
  char who[EG_NAME_BYTES];
  const char *words[EG_CTL_WORDS_MAX];
  int word_count;
  const char *add;    /**< NULL if not given, like the next two. */
  const char *remove; /**< A line, or its number. */
  const char *replace;
  int64_t base; /**< -1 if not given. */
  int rounds;   /**< Polls of `watch`; 0: unlimited. */
  bool json;
  bool off;         /**< Whether `drain` reverts a drain. */
  bool interactive; /**< `rules show` numbers and wraps lines. */
  FILE *out;
  FILE *err;
};

/**
 * Runs the program.
 * @param interactive whether @p out is a terminal.
 * @return one of enum eg_ctl_exit.
 */
int eg_ctl_run (int argc, char **argv, FILE *out, FILE *err, bool interactive);

EG_END_DECLS

#endif
