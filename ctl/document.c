#include "ctl/document.h"

#include <inttypes.h>
#include <stdlib.h>
#include <time.h>

#include "base/clock.h"
#include "base/random.h"
#include "ctl/print.h"
#include "http/json.h"
#include "policy/rule_text.h"
#include "policy/rules.h"

#define ID_BYTES 20
#define SEND_ATTEMPTS_MAX 3
#define RESEND_WAIT_NS 300000000L

int
eg_ctl_document_init (struct eg_ctl_document *self, const struct eg_ctl *ctl)
{
  struct eg_ctl_answer *answer = &self->answer;
  struct eg_error error;

  self->version = 0;
  eg_rule_document_init (&self->document);
  eg_ctl_call (ctl, "GET", "/rules", NULL, answer);
  if (answer->status != 200)
    return eg_ctl_report_failure (ctl, answer);
  self->version =
      json_integer_value (json_object_get (answer->value, "version"));
  if (eg_rule_document_decode (&self->document, eg_buffer_view (&answer->body),
                               &error)
      == EG_OK)
    return EG_CTL_OK;
  eg_ctl_print (ctl->err, "", eg_str_from (error.message));
  return EG_CTL_REFUSED;
}

void
eg_ctl_document_finish (struct eg_ctl_document *self)
{
  eg_rule_document_finish (&self->document);
  eg_ctl_answer_finish (&self->answer);
}

static void
print_json_faults (const struct eg_ctl *ctl, const struct eg_rules *rules)
{
  struct eg_buffer json = {0};

  for (size_t i = 0; i < rules->error_count; i++)
    {
      eg_buffer_printf (
          &json, "%s{\"line\":%u,\"column\":%u,\"message\":", i > 0 ? "," : "",
          rules->errors[i].line, rules->errors[i].column);
      eg_json_append_string (&json, eg_str_from (rules->errors[i].message));
      eg_buffer_append (&json, EG_STR ("}"));
    }
  fprintf (ctl->out, "{\"faults\":[%s]}\n", eg_buffer_text (&json));
  eg_buffer_finish (&json);
}

int
eg_ctl_check_text (const struct eg_ctl *ctl, struct eg_str text)
{
  struct eg_rules rules;
  bool passed = eg_rules_init (&rules, text) == EG_OK;

  if (!passed && ctl->json)
    print_json_faults (ctl, &rules);
  else if (!passed)
    eg_ctl_printf (ctl->out, "", "faults (line:column):");
  for (size_t i = 0; !ctl->json && i < rules.error_count; i++)
    eg_ctl_printf (ctl->out, "  ", "%u:%u: %s", rules.errors[i].line,
                   rules.errors[i].column, rules.errors[i].message);
  eg_rules_finish (&rules);
  return passed ? EG_CTL_OK : EG_CTL_REFUSED;
}

static void
print_lines (const struct eg_ctl *ctl, const char *sign, struct eg_str lines)
{
  while (lines.len > 0)
    {
      struct eg_str line = eg_str_cut (&lines, '\n');

      if (line.len > 0)
        eg_ctl_print (ctl->out, sign, line);
    }
}

static void
print_record (const struct eg_ctl *ctl,
              int64_t wall_ms,
              const char *who,
              struct eg_str removed,
              struct eg_str added)
{
  char text[EG_CTL_TIME_BYTES];

  eg_ctl_format_time (wall_ms, text);
  eg_ctl_printf (ctl->out, "", "%s by %s", text, who);
  print_lines (ctl, "- ", removed);
  print_lines (ctl, "+ ", added);
}

void
eg_ctl_print_edit (const struct eg_ctl *ctl,
                   const struct eg_rule_edit_record *edit)
{
  eg_ctl_printf (ctl->out, "", "edit %016" PRIx64, edit->id);
  print_record (ctl, edit->wall_ms, edit->who, eg_buffer_view (&edit->removed),
                eg_buffer_view (&edit->added));
}

static struct eg_str
member_string (json_t *object, const char *name)
{
  return eg_str_from (json_string_value (json_object_get (object, name)));
}

/* Reports that another edit came first: prints the user's edit and that one. */
static void
print_conflict (const struct eg_ctl *ctl,
                json_t *value,
                struct eg_str own_lines)
{
  json_t *winner = json_object_get (value, "winner");
  const char *who = json_string_value (json_object_get (winner, "who"));

  eg_ctl_printf (ctl->out, "", "Another edit came first. Nothing was changed.");
  if (own_lines.len > 0)
    eg_ctl_printf (ctl->out, "", "Your edit:");
  print_lines (ctl, "", own_lines);
  if (!who)
    return;
  eg_ctl_printf (ctl->out, "", "Accepted edit:");
  print_record (ctl, json_integer_value (json_object_get (winner, "wall_ms")),
                who, member_string (winner, "removed"),
                member_string (winner, "added"));
}

static bool
is_outcome_unknown (const struct eg_ctl_answer *answer)
{
  struct eg_str error = member_string (answer->value, "error");

  return (answer->status == 0 && answer->sent)
         || eg_str_equal (error, EG_STR ("unknown"));
}

/* Sends an edit until its outcome is known, at most SEND_ATTEMPTS_MAX times;
   its id prevents it from being applied twice. Returns whether it is known. */
static bool
send_until_known (const struct eg_ctl *ctl,
                  const char *path,
                  json_t *request,
                  struct eg_ctl_answer *answer)
{
  const struct timespec pause = {.tv_nsec = RESEND_WAIT_NS};
  bool unknown = false;

  for (int i = 0; i < SEND_ATTEMPTS_MAX; i++)
    {
      if (i > 0)
        {
          eg_ctl_answer_finish (answer);
          nanosleep (&pause, NULL);
        }
      eg_ctl_call (ctl, "POST", path, request, answer);
      unknown = unknown || is_outcome_unknown (answer);
      /* Once a reply has left the outcome open, only acceptance or a conflict
         with a newer edit is conclusive. */
      if (answer->status == 200 || answer->status == 409)
        return true;
      if (!unknown)
        return true;
    }
  return false;
}

static int
report_result (const struct eg_ctl *ctl,
               const struct eg_ctl_answer *answer,
               const char *id,
               struct eg_str own_lines)
{
  json_t *version = json_object_get (answer->value, "version");

  if (answer->status == 200 && ctl->json)
    fprintf (ctl->out, "%s\n", answer->body.data);
  else if (answer->status == 200)
    eg_ctl_printf (ctl->out, "", "Accepted: version %" PRId64 ", edit %s.",
                   (int64_t) json_integer_value (version), id);
  if (answer->status == 200)
    return EG_CTL_OK;
  if (answer->status != 409 || ctl->json)
    return eg_ctl_report_failure (ctl, answer);
  print_conflict (ctl, answer->value, own_lines);
  return EG_CTL_CONFLICT;
}

int
eg_ctl_send (const struct eg_ctl *ctl,
             const char *path,
             json_t *request,
             struct eg_str own_lines)
{
  struct eg_ctl_answer answer;
  char id[ID_BYTES];
  json_t *who = json_string (ctl->who);
  int result;

  if (!request || !who)
    {
      eg_ctl_printf (ctl->err, "", "The text or the name is not UTF-8.");
      json_decref (request);
      json_decref (who);
      return EG_CTL_REFUSED;
    }
  snprintf (id, sizeof id, "%016" PRIx64, eg_random_system_seed ());
  json_object_set_new (request, "who", who);
  json_object_set_new (request, "id", json_string (id));
  if (send_until_known (ctl, path, request, &answer))
    result = report_result (ctl, &answer, id, own_lines);
  else
    {
      eg_ctl_printf (ctl->err, "",
                     "It is not known whether the edit was accepted. Look for "
                     "edit %s in 'rules history'.",
                     id);
      result = EG_CTL_UNKNOWN;
    }
  json_decref (request);
  eg_ctl_answer_finish (&answer);
  return result;
}

int
eg_ctl_send_text (const struct eg_ctl *ctl,
                  struct eg_str text,
                  int64_t base_version,
                  struct eg_str own_lines)
{
  int result = eg_ctl_check_text (ctl, text);

  if (result != EG_CTL_OK)
    return result;
  return eg_ctl_send (ctl, "/rules",
                      json_pack ("{s:I, s:s%}", "base_version",
                                 (json_int_t) base_version, "text",
                                 text.data ? text.data : "", text.len),
                      own_lines);
}
