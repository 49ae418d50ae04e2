#include "ctl/rules_commands.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/settings.h"
#include "ctl/document.h"
#include "ctl/print.h"
#include "policy/rule_text.h"
#include "policy/rules.h"

#define FILE_CHUNK_BYTES 4096
#define HEXADECIMAL 16

static const char reference_head[] =
    "# Rules\n\n"
    "One rule a line: `verb key=value ... # who asked, and why`. The comment\n"
    "is part of the rule: a line that names no one is refused. Empty lines\n"
    "and lines that begin with `#` are kept as they are. Two lines about the\n"
    "same contradict each other and are refused.\n\n"
    "This page is what `eelgrassctl rules reference` prints.\n\n";

static int
usage (const struct eg_ctl *ctl, const char *message)
{
  eg_ctl_print (ctl->err, "", eg_str_from (message));
  return EG_CTL_USAGE;
}

static int
require_who (const struct eg_ctl *ctl)
{
  return *ctl->who ? EG_CTL_OK
                   : usage (ctl, "An edit needs your name: --who NAME or "
                                 "EELGRASS_WHO.");
}

static int
read_file (const struct eg_ctl *ctl, const char *path, struct eg_buffer *text)
{
  FILE *stream = fopen (path, "rb");
  char chunk[FILE_CHUNK_BYTES];
  size_t len;
  bool complete;

  if (!stream)
    {
      eg_ctl_printf (ctl->err, "", "%s: cannot read the file", path);
      return EG_CTL_USAGE;
    }
  while (text->len <= EG_RULES_BYTES_MAX
         && (len = fread (chunk, 1, sizeof chunk, stream)) > 0)
    eg_buffer_append (text, (struct eg_str){chunk, len});
  complete = !ferror (stream);
  fclose (stream);
  if (complete)
    return EG_CTL_OK;
  eg_ctl_printf (ctl->err, "", "%s: cannot read the file", path);
  return EG_CTL_USAGE;
}

int
eg_ctl_rules_check (const struct eg_ctl *ctl)
{
  struct eg_buffer text = {0};
  int result = read_file (ctl, ctl->words[2], &text);

  if (result == EG_CTL_OK)
    {
      result = eg_ctl_check_text (ctl, eg_buffer_view (&text));
      if (result == EG_CTL_OK && ctl->json)
        fprintf (ctl->out, "{\"faults\":[]}\n");
      else if (result == EG_CTL_OK)
        eg_ctl_printf (ctl->out, "", "No faults.");
    }
  eg_buffer_finish (&text);
  return result;
}

static void
print_numbered (const struct eg_ctl *ctl, struct eg_str text)
{
  for (unsigned number = 1; text.len > 0; number++)
    {
      char prefix[16];

      snprintf (prefix, sizeof prefix, "%3u ", number);
      eg_ctl_print (ctl->out, prefix, eg_str_cut (&text, '\n'));
    }
}

int
eg_ctl_rules_show (const struct eg_ctl *ctl)
{
  struct eg_ctl_document current;
  int result = eg_ctl_document_init (&current, ctl);
  struct eg_str text = eg_buffer_view (&current.document.text);

  if (result == EG_CTL_OK && ctl->json)
    fprintf (ctl->out, "%s\n", eg_buffer_text (&current.answer.body));
  else if (result == EG_CTL_OK)
    {
      if (ctl->interactive)
        print_numbered (ctl, text);
      else
        fwrite (text.data ? text.data : "", 1, text.len, ctl->out);
      /* Printed to stderr, as stdout may be redirected to a rules file. */
      eg_ctl_printf (ctl->err, "", "version %" PRId64, current.version);
    }
  eg_ctl_document_finish (&current);
  return result;
}

/* Edits. */

/* Returns the line that an option gives by its number or its text. */
static struct eg_str
find_line (struct eg_str text, const char *name)
{
  int64_t number;

  if (eg_str_to_int64 (eg_str_from (name), &number))
    return number >= 1 && number <= UINT32_MAX
               ? eg_rule_text_line (text, (unsigned) number)
               : (struct eg_str){0};
  return eg_str_trim (eg_str_from (name));
}

static int
edit_line (const struct eg_ctl *ctl,
           const struct eg_ctl_document *current,
           const char *removed,
           const char *added)
{
  struct eg_str text = eg_buffer_view (&current->document.text);
  struct eg_rule_line_edit edit = {.added = eg_str_from (added)};
  struct eg_buffer result = {0};
  struct eg_buffer own_lines = {0};
  struct eg_error error;
  int code;

  if (removed)
    edit.removed = find_line (text, removed);
  if (removed && edit.removed.len == 0)
    {
      eg_ctl_printf (ctl->err, "", "There is no line %s in the rules.",
                     removed);
      return EG_CTL_REFUSED;
    }
  if (eg_rule_text_edit (text, &edit, &result, &error) != EG_OK)
    {
      eg_ctl_print (ctl->err, "", eg_str_from (error.message));
      code = EG_CTL_REFUSED;
      goto out;
    }
  if (edit.removed.len > 0)
    eg_buffer_printf (&own_lines, "- %.*s\n", EG_STR_ARGS (edit.removed));
  if (edit.added.len > 0)
    eg_buffer_printf (&own_lines, "+ %.*s\n", EG_STR_ARGS (edit.added));
  code = eg_ctl_send_text (ctl, eg_buffer_view (&result), current->version,
                           eg_buffer_view (&own_lines));
out:
  eg_buffer_finish (&result);
  eg_buffer_finish (&own_lines);
  return code;
}

/* Line numbers refer to version --base, so another one must not be in force. */
static int
check_base (const struct eg_ctl *ctl, const struct eg_ctl_document *current)
{
  if (ctl->base < 0 || ctl->base == current->version)
    return EG_CTL_OK;
  eg_ctl_printf (ctl->err, "",
                 "Version %" PRId64 " is in force, not %" PRId64
                 ". Nothing was changed. See 'rules history'.",
                 current->version, ctl->base);
  return EG_CTL_CONFLICT;
}

int
eg_ctl_rules_edit (const struct eg_ctl *ctl)
{
  bool replaces = ctl->replace != NULL;
  const char *removed = replaces ? ctl->replace : ctl->remove;
  const char *added = replaces ? ctl->words[2] : ctl->add;
  struct eg_ctl_document current;
  int result = require_who (ctl);

  if (result != EG_CTL_OK)
    return result;
  if (replaces ? (!added || ctl->add || ctl->remove)
               : (ctl->word_count > 2 || (!added && !removed)))
    return usage (ctl, "Give --add LINE, --remove LINE|NUMBER, both, or "
                       "--replace NUMBER LINE.");
  result = eg_ctl_document_init (&current, ctl);
  if (result == EG_CTL_OK)
    result = check_base (ctl, &current);
  if (result == EG_CTL_OK)
    result = edit_line (ctl, &current, removed, added);
  eg_ctl_document_finish (&current);
  return result;
}

int
eg_ctl_rules_apply (const struct eg_ctl *ctl)
{
  struct eg_buffer text = {0};
  int result = require_who (ctl);

  if (result == EG_CTL_OK && ctl->base < 0)
    result = usage (ctl, "Give --base VERSION: the version that the file was "
                         "made from, as 'rules show' prints it.");
  if (result == EG_CTL_OK)
    result = read_file (ctl, ctl->words[2], &text);
  if (result == EG_CTL_OK)
    result = eg_ctl_send_text (ctl, eg_buffer_view (&text), ctl->base,
                               (struct eg_str){0});
  eg_buffer_finish (&text);
  return result;
}

int
eg_ctl_rules_undo (const struct eg_ctl *ctl)
{
  uint64_t id = strtoull (ctl->words[2], NULL, HEXADECIMAL);
  struct eg_ctl_document current;
  const struct eg_rule_edit_record *edit;
  struct eg_buffer text = {0};
  struct eg_error error;
  int result = require_who (ctl);

  if (result != EG_CTL_OK)
    return result;
  result = eg_ctl_document_init (&current, ctl);
  if (result != EG_CTL_OK)
    goto out;
  edit = eg_rule_document_find (&current.document, id);
  if (!edit)
    eg_error_set (&error, EG_NOT_FOUND, "The history has no edit %s.",
                  ctl->words[2]);
  if (!edit
      || eg_rule_text_undo (eg_buffer_view (&current.document.text), edit,
                            &text, &error)
             != EG_OK)
    {
      eg_ctl_print (ctl->err, "", eg_str_from (error.message));
      result = EG_CTL_REFUSED;
      goto out;
    }
  result = eg_ctl_send_text (ctl, eg_buffer_view (&text), current.version,
                             (struct eg_str){0});
out:
  eg_buffer_finish (&text);
  eg_ctl_document_finish (&current);
  return result;
}

int
eg_ctl_drain (const struct eg_ctl *ctl)
{
  const char *server = ctl->words[1];
  const char *asked = ctl->words[2];
  int result = require_who (ctl);

  if (result != EG_CTL_OK)
    return result;
  if (!eg_settings_is_address (server))
    return usage (ctl, "drain: expected IP:PORT of a server.");
  if (!ctl->off == !asked)
    return usage (ctl, "drain: say who asked, and why; or give --off.");
  return eg_ctl_send (ctl, "/drain",
                      json_pack ("{s:s, s:b, s:s}", "server", server, "drain",
                                 !ctl->off, "asked", asked ? asked : ""),
                      (struct eg_str){0});
}

/* History. */

int
eg_ctl_rules_history (const struct eg_ctl *ctl)
{
  struct eg_ctl_document current;
  int result = eg_ctl_document_init (&current, ctl);
  json_t *edits = json_object_get (current.answer.value, "edits");

  if (result == EG_CTL_OK && ctl->json)
    {
      json_dumpf (edits, ctl->out, JSON_COMPACT);
      fprintf (ctl->out, "\n");
    }
  else if (result == EG_CTL_OK)
    for (size_t i = current.document.edit_count; i > 0; i--)
      eg_ctl_print_edit (ctl, &current.document.edits[i - 1]);
  eg_ctl_document_finish (&current);
  return result;
}

static void
blame_line (const struct eg_ctl *ctl,
            const struct eg_rule_document *document,
            struct eg_str line,
            unsigned number)
{
  const struct eg_rule_edit_record *edit =
      eg_rule_document_blame (document, line);
  char prefix[16];
  char text[EG_CTL_TIME_BYTES];

  snprintf (prefix, sizeof prefix, "%3u ", number);
  eg_ctl_print (ctl->out, prefix, line);
  if (edit)
    {
      eg_ctl_format_time (edit->wall_ms, text);
      eg_ctl_printf (ctl->out, "    ", "%s by %s", text, edit->who);
    }
  else
    eg_ctl_printf (ctl->out, "    ", "older than the history");
}

static json_t *
blame_json (const struct eg_rule_document *document,
            struct eg_str line,
            unsigned number)
{
  const struct eg_rule_edit_record *edit =
      eg_rule_document_blame (document, line);
  struct eg_str asked = eg_rule_line_comment (line);
  char id[20] = "";

  if (edit)
    snprintf (id, sizeof id, "%016" PRIx64, edit->id);
  return json_pack ("{s:i, s:s%, s:s%, s:s?, s:s?, s:I}", "line", (int) number,
                    "text", line.data, line.len, "asked",
                    asked.data ? asked.data : "", asked.len, "who",
                    edit ? edit->who : NULL, "id", edit ? id : NULL, "wall_ms",
                    (json_int_t) (edit ? edit->wall_ms : 0));
}

int
eg_ctl_rules_blame (const struct eg_ctl *ctl)
{
  struct eg_ctl_document current;
  int result = eg_ctl_document_init (&current, ctl);
  struct eg_str rest = eg_buffer_view (&current.document.text);
  json_t *lines = json_array ();

  for (unsigned number = 1; result == EG_CTL_OK && rest.len > 0; number++)
    {
      struct eg_str line = eg_str_trim (eg_str_cut (&rest, '\n'));

      if (line.len == 0)
        continue;
      if (ctl->json)
        json_array_append_new (lines,
                               blame_json (&current.document, line, number));
      else
        blame_line (ctl, &current.document, line, number);
    }
  if (result == EG_CTL_OK && ctl->json)
    {
      json_dumpf (lines, ctl->out, JSON_COMPACT);
      fprintf (ctl->out, "\n");
    }
  json_decref (lines);
  eg_ctl_document_finish (&current);
  return result;
}

int
eg_ctl_rules_reference (const struct eg_ctl *ctl)
{
  struct eg_buffer text = {0};

  eg_buffer_append (&text, eg_str_from (reference_head));
  eg_rule_verbs_write_reference (&text);
  /* Omits the empty line at the end. */
  fwrite (text.data, 1, text.len - 1, ctl->out);
  eg_buffer_finish (&text);
  return EG_CTL_OK;
}
