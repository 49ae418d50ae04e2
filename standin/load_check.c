#include "standin/load_check.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "standin/token.h"

#define WRONG_GAP "gap"
#define WRONG_REPEAT "repeat"
#define WRONG_TOKEN "foreign-token"
#define WRONG_EVENT "malformed-event"
#define WRONG_AFTER_END "event-after-end"
#define WRONG_LENGTH "wrong-length"
#define WRONG_NO_END "missing-end"
#define WRONG_OBJECT "malformed-object"

void
eg_load_check_init (struct eg_load_check *self,
                    enum eg_load_response_kind kind,
                    struct eg_str prompt,
                    int64_t expected)
{
  *self = (struct eg_load_check){
      .kind = kind, .prompt = prompt, .expected = expected};
}

void
eg_load_check_mark_wrong (struct eg_load_check *self, const char *wrong)
{
  if (!self->wrong)
    self->wrong = wrong;
}

static bool
token_matches (const struct eg_load_check *self,
               int64_t position,
               struct eg_str token)
{
  char expected[EG_TOKEN_BYTES];

  eg_token_text (self->prompt, position, expected);
  return eg_str_equal (token, eg_str_from (expected));
}

static bool
check_token (struct eg_load_check *self, json_t *position, json_t *token)
{
  struct eg_str text = {json_string_value (token), json_string_length (token)};
  int64_t found = json_integer_value (position);

  if (!json_is_integer (position) || !json_is_string (token))
    eg_load_check_mark_wrong (self, WRONG_EVENT);
  else if (found <= self->position)
    eg_load_check_mark_wrong (self, WRONG_REPEAT);
  else if (found > self->position + 1)
    eg_load_check_mark_wrong (self, WRONG_GAP);
  else if (!token_matches (self, found, text))
    eg_load_check_mark_wrong (self, WRONG_TOKEN);
  else
    {
      self->position++;
      return true;
    }
  return false;
}

static void
copy_text (json_t *object, const char *key, char *target, size_t capacity)
{
  const char *text = json_string_value (json_object_get (object, key));

  if (text)
    eg_str_copy (eg_str_from (text), target, capacity);
}

static void
read_problem (struct eg_load_verdict *problem, struct eg_str body)
{
  json_t *object = json_loadb (body.data, body.len, 0, NULL);

  copy_text (object, "type", problem->cause, sizeof problem->cause);
  copy_text (object, "ran", problem->ran, sizeof problem->ran);
  if (!*problem->cause)
    copy_text (object, "cause", problem->cause, sizeof problem->cause);
  json_decref (object);
}

static bool
check_event_data (struct eg_load_check *self, struct eg_str data)
{
  json_t *object = json_loadb (data.data, data.len, 0, NULL);
  bool is_token = false;

  if (self->kind == EG_LOAD_RESPONSE_DIRECT
      && json_is_true (json_object_get (object, "done")))
    self->done = true;
  else
    is_token = check_token (self, json_object_get (object, "position"),
                            json_object_get (object, "token"));
  json_decref (object);
  return is_token;
}

bool
eg_load_check_event (struct eg_load_check *self,
                     struct eg_str event,
                     struct eg_str data)
{
  if (self->done || self->error_event)
    {
      eg_load_check_mark_wrong (self, WRONG_AFTER_END);
      return false;
    }
  if (eg_str_equal (event, EG_STR ("error")))
    {
      self->error_event = true;
      read_problem (&self->problem, data);
      return false;
    }
  if (self->kind == EG_LOAD_RESPONSE_STREAM
      && eg_str_equal (data, EG_STR ("[DONE]")))
    {
      self->done = true;
      return false;
    }
  return check_event_data (self, data);
}

/* Compares the text token by token, so that the cause is as specific as that of
   a stream. */
static void
check_text (struct eg_load_check *self, struct eg_str text)
{
  char token[EG_TOKEN_BYTES];

  while (text.len > 0)
    {
      struct eg_str expected;

      eg_token_text (self->prompt, self->position + 1, token);
      expected = eg_str_from (token);
      if (!eg_str_starts_with (text, expected))
        {
          eg_load_check_mark_wrong (self, WRONG_TOKEN);
          return;
        }
      self->position++;
      text = (struct eg_str){text.data + expected.len, text.len - expected.len};
    }
}

static void
check_object (struct eg_load_check *self, struct eg_str body)
{
  json_t *object = json_loadb (body.data, body.len, 0, NULL);
  json_t *text = json_object_get (object, "text");
  json_t *tokens = json_object_get (object, "tokens");

  if (!json_is_string (text) || !json_is_integer (tokens))
    eg_load_check_mark_wrong (self, WRONG_OBJECT);
  else
    {
      check_text (self, (struct eg_str){json_string_value (text),
                                        json_string_length (text)});
      if (json_integer_value (tokens) != self->position)
        eg_load_check_mark_wrong (self, WRONG_LENGTH);
      self->done = true;
    }
  json_decref (object);
}

static void
check_complete (struct eg_load_check *self, struct eg_str body)
{
  if (self->kind == EG_LOAD_RESPONSE_PLAIN)
    return;
  if (self->kind == EG_LOAD_RESPONSE_OBJECT)
    check_object (self, body);
  if (self->error_event)
    return;
  if (!self->done)
    eg_load_check_mark_wrong (self, WRONG_NO_END);
  else if (self->position != self->expected)
    eg_load_check_mark_wrong (self, WRONG_LENGTH);
}

static void
set_cause (struct eg_load_verdict *verdict,
           enum eg_load_outcome outcome,
           const char *cause)
{
  verdict->outcome = outcome;
  eg_str_copy (eg_str_from (cause), verdict->cause, sizeof verdict->cause);
}

void
eg_load_check_end (struct eg_load_check *self,
                   int http_status,
                   const char *transport_error,
                   struct eg_str body,
                   struct eg_load_verdict *verdict)
{
  bool is_success = http_status >= 200 && http_status < 300;

  *verdict = self->problem;
  verdict->http_status = http_status;
  if (is_success && !transport_error)
    check_complete (self, body);
  if (self->wrong)
    set_cause (verdict, EG_LOAD_WRONG, self->wrong);
  else if (self->error_event)
    verdict->outcome = EG_LOAD_ABORTED;
  else if (transport_error)
    set_cause (verdict, EG_LOAD_TRANSPORT, transport_error);
  else if (is_success)
    verdict->outcome = EG_LOAD_COMPLETE;
  else
    {
      verdict->outcome = EG_LOAD_REFUSED;
      read_problem (verdict, body);
    }
  if (!*verdict->cause && verdict->outcome != EG_LOAD_COMPLETE)
    set_cause (verdict, verdict->outcome, "unstated");
}

const char *
eg_load_outcome_name (enum eg_load_outcome outcome)
{
  static const char *const names[] = {
      [EG_LOAD_COMPLETE] = "whole", [EG_LOAD_REFUSED] = "refused",
      [EG_LOAD_ABORTED] = "broken", [EG_LOAD_TRANSPORT] = "transport",
      [EG_LOAD_WRONG] = "wrong",
  };

  return names[outcome];
}
