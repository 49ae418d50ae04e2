#include "policy/rule_text.h"

#include <string.h>

static void
append_line (struct eg_buffer *text, struct eg_str line)
{
  eg_buffer_append (text, line);
  eg_buffer_append (text, EG_STR ("\n"));
}

static bool
has_line_break (struct eg_str line)
{
  return line.len > 0
         && (memchr (line.data, '\n', line.len)
             || memchr (line.data, '\r', line.len));
}

static enum eg_status
check_edit (const struct eg_rule_line_edit *edit, struct eg_error *error)
{
  if (edit->removed.len == 0 && edit->added.len == 0)
    return eg_error_set (error, EG_INVALID,
                         "expected a line to remove or to add");
  if (has_line_break (edit->removed) || has_line_break (edit->added))
    return eg_error_set (error, EG_INVALID, "expected one line, found several");
  return EG_OK;
}

enum eg_status
eg_rule_text_edit (struct eg_str text,
                   const struct eg_rule_line_edit *edit,
                   struct eg_buffer *result,
                   struct eg_error *error)
{
  const struct eg_rule_line_edit trimmed = {eg_str_trim (edit->removed),
                                            eg_str_trim (edit->added)};
  bool to_remove = trimmed.removed.len > 0;
  bool to_add = trimmed.added.len > 0;
  enum eg_status status = check_edit (&trimmed, error);

  if (status != EG_OK)
    return status;
  while (text.len > 0)
    {
      struct eg_str line = eg_str_cut (&text, '\n');
      bool matches =
          to_remove && eg_str_equal (eg_str_trim (line), trimmed.removed);

      if (!matches)
        append_line (result, line);
      else if (to_add)
        append_line (result, trimmed.added);
      if (matches)
        to_remove = to_add = false;
    }
  if (to_remove)
    return eg_error_set (error, EG_NOT_FOUND, "there is no line '%.*s'",
                         EG_STR_ARGS (trimmed.removed));
  if (to_add)
    append_line (result, trimmed.added);
  return EG_OK;
}

/* Returns whether the history left out lines of an edit: then one more line
   with their number follows the EG_RULE_EDIT_LINES_MAX kept ones. */
static bool
is_truncated (const struct eg_buffer *lines)
{
  struct eg_str rest = eg_buffer_view (lines);
  size_t count = 0;

  while (rest.len > 0)
    {
      eg_str_cut (&rest, '\n');
      count++;
    }
  return count > EG_RULE_EDIT_LINES_MAX;
}

enum eg_status
eg_rule_text_undo (struct eg_str text,
                   const struct eg_rule_edit_record *record,
                   struct eg_buffer *result,
                   struct eg_error *error)
{
  struct eg_str added = eg_buffer_view (&record->added);
  struct eg_str removed = eg_buffer_view (&record->removed);
  struct eg_buffer before = {0};
  struct eg_buffer after = {0};
  enum eg_status status = EG_OK;

  if (is_truncated (&record->added) || is_truncated (&record->removed))
    return eg_error_set (error, EG_INVALID,
                         "the edit has more lines than the history keeps");
  eg_buffer_append (&before, text);
  while (status == EG_OK && (added.len > 0 || removed.len > 0))
    {
      const struct eg_rule_line_edit edit = {eg_str_cut (&added, '\n'),
                                             eg_str_cut (&removed, '\n')};
      struct eg_buffer spare = before;

      eg_buffer_clear (&after);
      status =
          eg_rule_text_edit (eg_buffer_view (&before), &edit, &after, error);
      before = after;
      after = spare;
    }
  if (status == EG_OK)
    eg_buffer_append (result, eg_buffer_view (&before));
  eg_buffer_finish (&before);
  eg_buffer_finish (&after);
  return status;
}

struct eg_str
eg_rule_text_line (struct eg_str text, unsigned number)
{
  struct eg_str line = {0};

  for (unsigned i = 1; i <= number; i++)
    {
      if (text.len == 0)
        return (struct eg_str){0};
      line = eg_str_cut (&text, '\n');
    }
  return eg_str_trim (line);
}

struct eg_str
eg_rule_line_comment (struct eg_str line)
{
  eg_str_cut (&line, '#');
  return eg_str_trim (line);
}

static bool
contains_line (struct eg_str lines, struct eg_str line)
{
  while (lines.len > 0)
    if (eg_str_equal (eg_str_cut (&lines, '\n'), line))
      return true;
  return false;
}

const struct eg_rule_edit_record *
eg_rule_document_blame (const struct eg_rule_document *document,
                        struct eg_str line)
{
  line = eg_str_trim (line);
  for (size_t i = document->edit_count; i > 0; i--)
    if (contains_line (eg_buffer_view (&document->edits[i - 1].added), line))
      return &document->edits[i - 1];
  return NULL;
}
