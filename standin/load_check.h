/**
 * @file
 * Checks an answer byte for byte, and says how its request ended.
 */
#ifndef EG_STANDIN_LOAD_CHECK_H
#define EG_STANDIN_LOAD_CHECK_H

#include "base/decls.h"
#include "base/str.h"

EG_BEGIN_DECLS

/** How a request ended; each request ends in exactly one of these ways. */
enum eg_load_outcome
{
  EG_LOAD_WHOLE,     /**< Every token, in order, and the end mark. */
  EG_LOAD_REFUSED,   /**< A status other than 2xx. */
  EG_LOAD_BROKEN,    /**< A stream that an error event ended. */
  EG_LOAD_TRANSPORT, /**< The connection failed or the time ran out. */
  EG_LOAD_WRONG,     /**< An answer that no caller may ever see. */
  EG_LOAD_OUTCOMES
};

/** Longest cause with its final zero. */
#define EG_LOAD_CAUSE_BYTES 64

/** The end of a request. */
struct eg_load_verdict
{
  enum eg_load_outcome outcome;
  int http_status;
  char cause[EG_LOAD_CAUSE_BYTES]; /**< Problem type, or what was wrong. */
  char ran[8];                     /**< What a refusal says of it. */
};

/** What the answer should look like. */
enum eg_load_answer
{
  EG_LOAD_ANSWER_STREAM, /**< Events of an entry VM. */
  EG_LOAD_ANSWER_DIRECT, /**< Events of a model engine. */
  EG_LOAD_ANSWER_OBJECT, /**< One object of an entry VM. */
  EG_LOAD_ANSWER_PLAIN,  /**< Any body of a plain service. */
};

/** The answer to one request so far. */
struct eg_load_check
{
  enum eg_load_answer answer;
  struct eg_str prompt; /**< Borrowed. */
  int64_t expected;     /**< Tokens asked for. */
  int64_t position;     /**< Tokens received in order. */
  bool done;
  bool error_event;
  const char *wrong; /**< First fault found, or NULL. */
  struct eg_load_verdict problem;
};

/** Starts to check an answer of @p expected tokens to @p prompt. */
void eg_load_check_init (struct eg_load_check *self,
                         enum eg_load_answer answer,
                         struct eg_str prompt,
                         int64_t expected);

/**
 * Takes one event of a streamed answer.
 * @return whether it was the next token.
 */
bool eg_load_check_event (struct eg_load_check *self,
                          struct eg_str event,
                          struct eg_str data);

/** Marks the answer as wrong, with a text that stays valid. */
void eg_load_check_mark_wrong (struct eg_load_check *self, const char *wrong);

/**
 * Ends the check.
 * @param http_status 0 if no answer came.
 * @param transport_error NULL if the answer came to its proper end.
 * @param body of an answer that is no stream, or of a refusal.
 */
void eg_load_check_end (struct eg_load_check *self,
                        int http_status,
                        const char *transport_error,
                        struct eg_str body,
                        struct eg_load_verdict *verdict);

/** Returns the name of @p outcome in reports. */
const char *eg_load_outcome_name (enum eg_load_outcome outcome);

EG_END_DECLS

#endif
