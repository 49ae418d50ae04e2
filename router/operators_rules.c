#include "router/operators_rules.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/settings.h"
#include "http/json.h"
#include "policy/rule_text.h"
#include "policy/rules.h"

#define EDIT_TIMEOUT_US (4 * EG_US_PER_S)
#define ID_TEXT_BYTES 17
#define HEXADECIMAL 16
#define REQUESTED_BY_BYTES 256

/* GET /rules. */

static void
write_rules (void *context, const struct eg_decision_view *view)
{
  struct eg_buffer *json = context;
  struct eg_buffer document = {0};

  eg_rule_document_encode (eg_ruleset_document (view->ruleset), &document);
  /* Merges the version into the document's JSON object, as its first member. */
  eg_buffer_consume (&document, 1);
  eg_buffer_printf (json, "{\"version\":%" PRIu64 ",",
                    eg_ruleset_version (view->ruleset));
  eg_buffer_append (json, eg_buffer_view (&document));
  eg_buffer_finish (&document);
}

void
eg_operators_get_rules (const struct eg_operators_deps *deps,
                        struct eg_str body,
                        struct eg_operators_answer *answer)
{
  (void) body;
  eg_operators_query (deps, write_rules, &answer->body, answer);
}

/* POST /rules/check. */

static void
write_faults (const struct eg_rules *rules, struct eg_buffer *json)
{
  eg_buffer_append (json, EG_STR ("\"faults\":["));
  for (size_t i = 0; i < rules->error_count; i++)
    {
      const struct eg_rule_error *fault = &rules->errors[i];

      eg_buffer_printf (json, "%s{\"line\":%u,\"column\":%u,\"message\":",
                        i > 0 ? "," : "", fault->line, fault->column);
      eg_json_append_string (json, eg_str_from (fault->message));
      eg_buffer_append (json, EG_STR ("}"));
    }
  eg_buffer_append (json, EG_STR ("]"));
}

/* Control characters are rejected: the text is stored as JSON and shown on
   terminals. */
static bool
is_plain_text (struct eg_str text)
{
  for (size_t i = 0; i < text.len; i++)
    if (iscntrl ((unsigned char) text.data[i]) && text.data[i] != '\n'
        && text.data[i] != '\r' && text.data[i] != '\t')
      return false;
  return true;
}

/* Returns whether @p text is valid; if not, the answer lists all faults, or
   reports control characters. */
static bool
check_text (struct eg_str text, struct eg_operators_answer *answer)
{
  struct eg_rules rules;
  bool passed = is_plain_text (text);

  if (!passed)
    {
      eg_operators_set_error (answer, 422, "faults",
                              "the text has control characters");
      return false;
    }
  passed = eg_rules_init (&rules, text) == EG_OK;
  if (!passed)
    {
      answer->status = 422;
      eg_buffer_append (&answer->body, EG_STR ("{\"error\":\"faults\","));
      write_faults (&rules, &answer->body);
      eg_buffer_append (&answer->body, EG_STR ("}"));
    }
  eg_rules_finish (&rules);
  return passed;
}

void
eg_operators_check_rules (const struct eg_operators_deps *deps,
                          struct eg_str body,
                          struct eg_operators_answer *answer)
{
  struct eg_str text = {0};
  const struct eg_json_member members[] = {
      {"text", EG_JSON_VIEW, true, &text, 0},
  };
  struct eg_error error;
  json_t *object = eg_json_parse (body, &error);

  (void) deps;
  if (!object || eg_json_read (object, members, 1, &error) != EG_OK)
    eg_operators_set_error (answer, 400, "malformed", error.message);
  else if (check_text (text, answer))
    eg_buffer_append (&answer->body, EG_STR ("{\"faults\":[]}"));
  json_decref (object);
}

/* POST /rules. */

/* The rules in force at the start of an edit. */
struct snapshot
{
  uint64_t version;
  struct eg_buffer text;
};

static void
take_snapshot (void *context, const struct eg_decision_view *view)
{
  struct snapshot *snapshot = context;

  snapshot->version = eg_ruleset_version (view->ruleset);
  eg_buffer_append (
      &snapshot->text,
      eg_buffer_view (&eg_ruleset_document (view->ruleset)->text));
}

static void
write_winning_edit (void *context, const struct eg_decision_view *view)
{
  struct eg_buffer *json = context;
  const struct eg_rule_document *document = eg_ruleset_document (view->ruleset);
  const struct eg_rule_edit_record *edit;

  eg_buffer_printf (json, ",\"version\":%" PRIu64,
                    eg_ruleset_version (view->ruleset));
  if (document->edit_count == 0)
    return;
  edit = &document->edits[document->edit_count - 1];
  eg_buffer_printf (json,
                    ",\"winner\":{\"id\":\"%016" PRIx64
                    "\",\"wall_ms\":%" PRId64 ",\"who\":",
                    edit->id, edit->wall_ms);
  eg_json_append_string (json, eg_str_from (edit->who));
  eg_buffer_append (json, EG_STR (",\"removed\":"));
  eg_json_append_string (json, eg_buffer_view (&edit->removed));
  eg_buffer_append (json, EG_STR (",\"added\":"));
  eg_json_append_string (json, eg_buffer_view (&edit->added));
  eg_buffer_append (json, EG_STR ("}"));
}

/* Reports a lost race, together with the edit that won. */
static void
answer_conflict (const struct eg_operators_deps *deps,
                 struct eg_operators_answer *answer)
{
  struct eg_buffer winner = {0};

  eg_operators_set_error (answer, 409, "outrun",
                          "another edit came first; nothing was changed");
  if (eg_decision_query (deps->decision, write_winning_edit, &winner))
    {
      answer->body.len--;
      eg_buffer_append (&answer->body, eg_buffer_view (&winner));
      eg_buffer_append (&answer->body, EG_STR ("}"));
    }
  eg_buffer_finish (&winner);
}

static void
answer_node_behind (struct eg_operators_answer *answer)
{
  eg_operators_set_error (answer, 503, "behind",
                          "this entry VM has not yet seen the version that the "
                          "edit is based on; nothing was changed");
}

static void
answer_result (const struct eg_operators_deps *deps,
               const struct eg_ruleset_edit *edit,
               const struct eg_ruleset_result *result,
               struct eg_operators_answer *answer)
{
  if (result->action == EG_RULE_EDIT_ACCEPTED)
    eg_buffer_printf (&answer->body,
                      "{\"version\":%" PRIu64 ",\"id\":\"%016" PRIx64 "\"}",
                      result->version, edit->id);
  else if (result->action == EG_RULE_EDIT_REFUSED)
    eg_operators_set_error (
        answer, 503, "store-down",
        "the platform's store does not take the edit; nothing "
        "was changed, and nothing will be");
  else if (result->action == EG_RULE_EDIT_UNKNOWN)
    eg_operators_set_error (
        answer, 503, "unknown",
        "the platform's store does not answer; look whether "
        "the edit is in the history before trying again");
  else if (result->version < edit->base_version)
    answer_node_behind (answer);
  else
    answer_conflict (deps, answer);
}

static void
log_edit (const struct eg_ruleset_edit *edit,
          const struct eg_ruleset_result *result)
{
  static const char *const names[] = {
      [EG_RULE_EDIT_ACCEPTED] = "accepted",
      [EG_RULE_EDIT_STALE] = "outrun",
      [EG_RULE_EDIT_REFUSED] = "refused",
      [EG_RULE_EDIT_UNKNOWN] = "unknown",
  };

  eg_log (EG_LOG_NOTICE, "operators",
          "event=edit id=%016" PRIx64 " who=\"%s\" base=%" PRIu64
          " version=%" PRIu64 " result=%s",
          edit->id, edit->who, edit->base_version, result->version,
          names[result->action]);
}

static void
submit_edit (const struct eg_operators_deps *deps,
             struct eg_ruleset_edit *edit,
             struct eg_operators_answer *answer)
{
  struct eg_ruleset_result result;

  if (!check_text (edit->text, answer))
    return;
  edit->timeout_us = EDIT_TIMEOUT_US;
  if (edit->id == 0)
    edit->id = eg_random_system_seed ();
  if (eg_decision_edit_rules (deps->decision, edit, &result) != EG_OK)
    {
      eg_operators_set_error (answer, 503, "busy",
                              "the node is too busy; nothing was changed");
      return;
    }
  log_edit (edit, &result);
  answer_result (deps, edit, &result, answer);
}

static enum eg_status
read_line_edit (json_t *object,
                struct eg_rule_line_edit *edit,
                struct eg_error *error)
{
  const struct eg_json_member members[] = {
      {"remove", EG_JSON_VIEW, false, &edit->removed, 0},
      {"add", EG_JSON_VIEW, false, &edit->added, 0},
  };

  return eg_json_read (object, members, 2, error);
}

/* Applies edits of single lines to the text. */
static enum eg_status
apply_edits (json_t *edits,
             struct eg_str text,
             struct eg_buffer *result,
             struct eg_error *error)
{
  struct eg_buffer before = {0};
  enum eg_status status = EG_OK;
  json_t *object;
  size_t index;

  if (json_array_size (edits) == 0)
    return eg_error_set (error, EG_INVALID, "field 'edits': expected one edit");
  eg_buffer_append (result, text);
  json_array_foreach (edits, index, object)
  {
    struct eg_rule_line_edit edit = {{0}, {0}};
    struct eg_buffer spare = before;

    before = *result;
    *result = spare;
    eg_buffer_clear (result);
    status = read_line_edit (object, &edit, error);
    if (status == EG_OK)
      status =
          eg_rule_text_edit (eg_buffer_view (&before), &edit, result, error);
    if (status != EG_OK)
      break;
  }
  eg_buffer_finish (&before);
  return status;
}

/* The body of `POST /rules`. */
struct edit_request
{
  char who[EG_NAME_BYTES];
  char id[ID_TEXT_BYTES];
  int64_t base_version;
  struct eg_str text;
  json_t *edits;
};

static bool
is_name (const char *text)
{
  return *text && is_plain_text (eg_str_from (text)) && !strpbrk (text, "\n\r");
}

static bool
is_id (const char *text)
{
  return strlen (text) == ID_TEXT_BYTES - 1
         && strspn (text, "0123456789abcdef") == ID_TEXT_BYTES - 1;
}

/* Returns 0 for an empty text. */
static uint64_t
parse_id (const char *text)
{
  return strtoull (text, NULL, HEXADECIMAL);
}

static enum eg_status
check_author (const char *who, const char *id, struct eg_error *error)
{
  if (!is_name (who))
    return eg_error_set (error, EG_INVALID,
                         "field 'who': expected the operator's name");
  if (*id && !is_id (id))
    return eg_error_set (error, EG_INVALID,
                         "field 'id': expected 16 digits 0-9, a-f");
  return EG_OK;
}

static enum eg_status
read_edit_request (json_t *object,
                   struct edit_request *request,
                   struct eg_error *error)
{
  const struct eg_json_member members[] = {
      {"who", EG_JSON_TEXT, true, request->who, sizeof request->who},
      {"base_version", EG_JSON_INTEGER, true, &request->base_version, 0},
      {"text", EG_JSON_VIEW, false, &request->text, 0},
      {"edits", EG_JSON_ARRAY, false, &request->edits, 0},
      {"id", EG_JSON_TEXT, false, request->id, sizeof request->id},
  };
  enum eg_status status =
      eg_json_read (object, members, sizeof members / sizeof members[0], error);

  if (status == EG_OK)
    status = check_author (request->who, request->id, error);
  if (status != EG_OK)
    return status;
  if (!request->text.data == !request->edits)
    return eg_error_set (error, EG_INVALID,
                         "expected one of the fields 'text' and 'edits'");
  return EG_OK;
}

/* Searches the history for an edit, to recognise the repeat of a request whose
   reply was lost. */
struct search
{
  uint64_t id;
  uint64_t version;
  bool found;
};

static void
search_history (void *context, const struct eg_decision_view *view)
{
  struct search *search = context;

  search->version = eg_ruleset_version (view->ruleset);
  search->found =
      eg_rule_document_find (eg_ruleset_document (view->ruleset), search->id)
      != NULL;
}

static bool
answer_if_repeated (const struct eg_operators_deps *deps,
                    uint64_t id,
                    struct eg_operators_answer *answer)
{
  struct search search = {.id = id};

  if (id == 0 || !eg_decision_query (deps->decision, search_history, &search)
      || !search.found)
    return false;
  eg_buffer_printf (&answer->body,
                    "{\"version\":%" PRIu64 ",\"id\":\"%016" PRIx64 "\"}",
                    search.version, id);
  return true;
}

/* Applies the line edits to the text in force, which must be the version that
   they are based on. */
static bool
apply_line_edits (const struct eg_operators_deps *deps,
                  const struct edit_request *request,
                  struct eg_buffer *text,
                  struct eg_operators_answer *answer)
{
  struct snapshot snapshot = {0};
  struct eg_error error;
  bool complete = false;

  if (!eg_decision_query (deps->decision, take_snapshot, &snapshot))
    eg_operators_set_error (answer, 503, "busy", "the node is too busy");
  else if (snapshot.version > (uint64_t) request->base_version)
    {
      /* The edit may have been accepted since the first check. */
      if (!answer_if_repeated (deps, parse_id (request->id), answer))
        answer_conflict (deps, answer);
    }
  else if (snapshot.version < (uint64_t) request->base_version)
    answer_node_behind (answer);
  else if (apply_edits (request->edits, eg_buffer_view (&snapshot.text), text,
                        &error)
           != EG_OK)
    eg_operators_set_error (answer, error.status == EG_NOT_FOUND ? 422 : 400,
                            error.status == EG_NOT_FOUND ? "no-such-line"
                                                         : "malformed",
                            error.message);
  else
    complete = true;
  eg_buffer_finish (&snapshot.text);
  return complete;
}

void
eg_operators_edit_rules (const struct eg_operators_deps *deps,
                         struct eg_str body,
                         struct eg_operators_answer *answer)
{
  struct edit_request request = {0};
  struct eg_ruleset_edit edit = {0};
  struct eg_buffer text = {0};
  struct eg_error error;
  json_t *object = eg_json_parse (body, &error);

  if (!object || read_edit_request (object, &request, &error) != EG_OK)
    {
      eg_operators_set_error (answer, 400, "malformed", error.message);
      goto out;
    }
  eg_str_copy (eg_str_from (request.who), edit.who, sizeof edit.who);
  edit.id = parse_id (request.id);
  edit.base_version = (uint64_t) request.base_version;
  edit.text = request.text;
  if (answer_if_repeated (deps, edit.id, answer))
    goto out;
  if (request.edits)
    {
      if (!apply_line_edits (deps, &request, &text, answer))
        goto out;
      edit.text = eg_buffer_view (&text);
    }
  submit_edit (deps, &edit, answer);
out:
  eg_buffer_finish (&text);
  json_decref (object);
}

/* POST /drain. */

/* Finds the rule that drains @p server; empty if there is none. */
static struct eg_str
find_drain (struct eg_str text, const char *server)
{
  struct eg_rules rules;
  struct eg_str line = {0};

  eg_rules_init (&rules, text);
  for (size_t i = 0; i < rules.count; i++)
    if (rules.rules[i].verb == EG_VERB_DRAIN
        && eg_str_equal (rules.rules[i].values[EG_DRAIN_SERVER].text,
                         eg_str_from (server)))
      line = eg_rule_text_line (text, rules.rules[i].line);
  eg_rules_finish (&rules);
  return line;
}

struct drain_request
{
  char who[EG_NAME_BYTES];
  char server[EG_ADDRESS_BYTES];
  char requested_by[REQUESTED_BY_BYTES];
  char id[ID_TEXT_BYTES];
  bool drain;
};

static enum eg_status
read_drain_request (json_t *object,
                    struct drain_request *request,
                    struct eg_error *error)
{
  const struct eg_json_member members[] = {
      {"who", EG_JSON_TEXT, true, request->who, sizeof request->who},
      {"server", EG_JSON_TEXT, true, request->server, sizeof request->server},
      {"drain", EG_JSON_BOOLEAN, true, &request->drain, 0},
      {"asked", EG_JSON_TEXT, false, request->requested_by,
       sizeof request->requested_by},
      {"id", EG_JSON_TEXT, false, request->id, sizeof request->id},
  };
  enum eg_status status =
      eg_json_read (object, members, sizeof members / sizeof members[0], error);

  if (status == EG_OK)
    status = check_author (request->who, request->id, error);
  if (status != EG_OK)
    return status;
  if (!eg_settings_is_address (request->server))
    return eg_error_set (error, EG_INVALID, "field 'server': expected IP:PORT");
  if (strpbrk (request->requested_by, "\n\r"))
    return eg_error_set (error, EG_INVALID, "field 'asked': expected one line");
  return EG_OK;
}

static void
submit_drain_edit (const struct eg_operators_deps *deps,
                   const struct drain_request *request,
                   const struct snapshot *snapshot,
                   struct eg_operators_answer *answer)
{
  struct eg_ruleset_edit edit = {
      .id = parse_id (request->id),
      .base_version = snapshot->version,
  };
  struct eg_buffer line = {0};
  struct eg_buffer text = {0};
  struct eg_str now = eg_buffer_view (&snapshot->text);
  struct eg_rule_line_edit change = {.removed =
                                         find_drain (now, request->server)};

  eg_str_copy (eg_str_from (request->who), edit.who, sizeof edit.who);
  eg_buffer_printf (&line, "drain server=%s # %s", request->server,
                    request->requested_by);
  if (request->drain)
    change.added = eg_buffer_view (&line);
  if (eg_rule_text_edit (now, &change, &text, NULL) != EG_OK)
    eg_operators_set_error (answer, 422, "no-such-line",
                            "no rule drains the server");
  else
    {
      edit.text = eg_buffer_view (&text);
      submit_edit (deps, &edit, answer);
    }
  eg_buffer_finish (&line);
  eg_buffer_finish (&text);
}

void
eg_operators_drain (const struct eg_operators_deps *deps,
                    struct eg_str body,
                    struct eg_operators_answer *answer)
{
  struct drain_request request = {0};
  struct snapshot snapshot = {0};
  struct eg_error error;
  json_t *object = eg_json_parse (body, &error);

  if (!object || read_drain_request (object, &request, &error) != EG_OK)
    eg_operators_set_error (answer, 400, "malformed", error.message);
  else if (answer_if_repeated (deps, parse_id (request.id), answer))
    ;
  else if (!eg_decision_query (deps->decision, take_snapshot, &snapshot))
    eg_operators_set_error (answer, 503, "busy", "the node is too busy");
  else
    submit_drain_edit (deps, &request, &snapshot, answer);
  eg_buffer_finish (&snapshot.text);
  json_decref (object);
}
