/**
 * @file
 * All sendings of a check of "at most once", their answers and what ran; and
 * whether these agree.
 */
#ifndef EG_STANDIN_ONCE_BOOK_H
#define EG_STANDIN_ONCE_BOOK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** How sendings of one request are known to belong together. */
enum eg_once_kind
{
  EG_ONCE_KEY,
  EG_ONCE_TICKET,
  EG_ONCE_PLAIN, /**< They are not; each request has one sending. */
  EG_ONCE_KINDS
};

/** What an answer said of the request's running. */
enum eg_once_ran
{
  EG_ONCE_RAN_UNSAID, /**< A 200, or no answer at all. */
  EG_ONCE_RAN_NO,
  EG_ONCE_RAN_UNKNOWN,
  EG_ONCE_RAN_YES,
  EG_ONCE_RANS
};

/** Longest problem type that is kept, with its final zero. */
#define EG_ONCE_TYPE_BYTES 24

/** How a sending ended. */
struct eg_once_end
{
  int status;           /**< HTTP status; 0 if no whole answer came. */
  enum eg_once_ran ran; /**< As a refusal said. */
  bool own_body;        /**< Whether a 200 gave back this sending's body. */
  char type[EG_ONCE_TYPE_BYTES]; /**< Problem type of a refusal, or how the
                                    transfer failed; else empty. */
};

/** One sending. */
struct eg_once_sending
{
  size_t request;
  size_t target;
  bool other_body;
  int64_t started_us;
  int64_t ended_us; /**< -1 while it lasts. */
  struct eg_once_end end;
};

/** One request. */
struct eg_once_request
{
  enum eg_once_kind kind;
  uint32_t runs;
  int64_t run_seen_us; /**< When a record first showed a run; -1 before. */
};

/** Ways in which answers and records can disagree. */
enum eg_once_violation
{
  EG_ONCE_RAN_TWICE,        /**< More than one run of a request. */
  EG_ONCE_ANSWER_NO_RUN,    /**< A 200 without a run. */
  EG_ONCE_YES_NO_RUN,       /**< `ran: yes` without a run. */
  EG_ONCE_NO_BUT_RAN,       /**< `ran: no` to the very sending that ran. */
  EG_ONCE_NO_AFTER_RUN,     /**< `ran: no` to a sending begun when the request
                                 was already known to have run; 422 aside, as
                                 another body is another request. */
  EG_ONCE_OTHERS_ANSWER,    /**< A 200 with another body than was sent. */
  EG_ONCE_ANSWERS_DIFFER,   /**< Two 200 to different bodies. */
  EG_ONCE_REUSED_NO_CAUSE,  /**< 422, and all sendings had the same body. */
  EG_ONCE_REUSED_BUT_TAKEN, /**< 422 and 200 to the same body. */
  EG_ONCE_FOREIGN_RUN,      /**< A run that no sending accounts for. */
  EG_ONCE_VIOLATIONS
};

/** Everything that was sent and that ran. */
struct eg_once_book
{
  struct eg_once_request *requests;
  size_t n_requests;
  struct eg_once_sending *sendings;
  size_t n_sendings;
  size_t capacity;
  size_t *runs; /**< The sending of each run, in the order they were noted. */
  size_t n_runs;
  size_t runs_capacity;
  uint64_t foreign_runs;
};

/** What a check found. */
struct eg_once_findings
{
  uint64_t violations[EG_ONCE_VIOLATIONS];
  uint64_t total;
  /** For each kind of violation: the first request, or SIZE_MAX. */
  size_t first_request[EG_ONCE_VIOLATIONS];
};

/** Makes a book of @p n_requests requests, all with keys until it is told. */
void eg_once_book_init (struct eg_once_book *self, size_t n_requests);

/** Frees the memory. */
void eg_once_book_finish (struct eg_once_book *self);

/** Notes a sending, and returns its number. */
size_t eg_once_book_send (struct eg_once_book *self,
                          size_t request,
                          size_t target,
                          bool other_body,
                          int64_t now_us);

/** Notes how a sending ended. */
void eg_once_book_end (struct eg_once_book *self,
                       size_t sending,
                       const struct eg_once_end *end,
                       int64_t now_us);

/**
 * Notes a run that a record shows at @p now_us.
 * @param sending the one that it names.
 */
void eg_once_book_run (struct eg_once_book *self,
                       size_t request,
                       size_t sending,
                       int64_t now_us);

/** Compares all answers with all runs; every sending must have ended. */
void eg_once_book_check (const struct eg_once_book *self,
                         struct eg_once_findings *findings);

/** Returns the name of a kind of request, as reports show it. */
const char *eg_once_kind_name (enum eg_once_kind kind);

/** Returns the name of what an answer said, as reports show it. */
const char *eg_once_ran_name (enum eg_once_ran ran);

/** Returns a violation's name, as reports show it. */
const char *eg_once_violation_name (enum eg_once_violation violation);

EG_END_DECLS

#endif
