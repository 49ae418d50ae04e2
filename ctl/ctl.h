/**
 * @file
 * One run of the operators' program: its options and where it prints.
 */
#ifndef EG_CTL_CTL_H
#define EG_CTL_CTL_H

#include <stdint.h>
#include <stdio.h>

#include "base/decls.h"
#include "base/status.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/** Longest token, with its final zero. */
#define EG_CTL_TOKEN_BYTES 128
/** Words of a command with its arguments. */
#define EG_CTL_WORDS_MAX 4

/** How the program ends. */
enum eg_ctl_exit
{
  EG_CTL_OK = 0,
  EG_CTL_REFUSED = 1, /**< Faults, or the node refused; no change. */
  EG_CTL_USAGE = 2,   /**< Wrong options, or settings that lack. */
  EG_CTL_UNREACHABLE =
      3,              /**< No connection, or the store is down; no change. */
  EG_CTL_OUTRUN = 4,  /**< Another edit came first; no change. */
  EG_CTL_UNKNOWN = 5, /**< The edit may have been accepted. */
};

/** What the command line and the environment give. */
struct eg_ctl
{
  char node[EG_ADDRESS_BYTES]; /**< Of the operators' listener; may be empty. */
  char token[EG_CTL_TOKEN_BYTES];
  char who[EG_NAME_BYTES];
  const char *words[EG_CTL_WORDS_MAX];
  int word_count;
  const char *add;    /**< NULL if not given, as are the next two. */
  const char *remove; /**< A line, or its number. */
  const char *replace;
  int64_t base; /**< -1 if not given. */
  int rounds;   /**< Of `watch`; 0 is without end. */
  bool json;
  bool off;   /**< `drain` is to end. */
  bool phone; /**< `rules show` is for a person: numbered and wrapped. */
  FILE *out;
  FILE *err;
};

/**
 * Runs the program.
 * @param phone whether @p out is a terminal.
 * @return one of enum eg_ctl_exit.
 */
int eg_ctl_run (int argc, char **argv, FILE *out, FILE *err, bool phone);

EG_END_DECLS

#endif
