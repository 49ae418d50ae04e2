// Edits of single lines in the rules, undo and blame.
#include <algorithm>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "policy/rule_text.h"

namespace
{

using Lines = std::vector<std::string>;

eg_str
view (const std::string &text)
{
  return {text.data (), text.size ()};
}

std::string
join (const Lines &lines)
{
  std::string text;

  for (const auto &line : lines)
    text += line + "\n";
  return text;
}

Lines
split (const std::string &text)
{
  Lines lines;
  eg_str rest = view (text);

  while (rest.len > 0)
    {
      eg_str line = eg_str_cut (&rest, '\n');

      lines.emplace_back (line.data, line.len);
    }
  return lines;
}

Lines
sorted (Lines lines)
{
  std::sort (lines.begin (), lines.end ());
  return lines;
}

/* Draws from few different lines, so that duplicates are frequent. */
rc::Gen<Lines>
random_lines ()
{
  return rc::gen::container<Lines> (
      rc::gen::map (rc::gen::inRange (0, 9),
                    [] (int i) { return "line " + std::to_string (i); }));
}

eg_status
undo (const std::string &text,
      const eg_rule_document &document,
      std::string *result)
{
  eg_buffer after = {};
  eg_status status =
      eg_rule_text_undo (view (text), &document.edits[0], &after, nullptr);

  if (status == EG_OK)
    result->assign (after.data ? after.data : "", after.len);
  eg_buffer_finish (&after);
  return status;
}

} // namespace

int
main ()
{
  bool passed = true;

  passed &= rc::check ("one line is replaced, the others are unchanged", [] {
    const Lines before = *random_lines ();
    const std::string removed =
        "line " + std::to_string (*rc::gen::inRange (0, 9));
    const bool adds = *rc::gen::arbitrary<bool> ();
    const std::string added = adds ? "new line" : "";
    const std::string text = join (before);
    const eg_rule_line_edit edit = {view (removed), view (added)};
    const auto at = std::find (before.begin (), before.end (), removed);
    eg_buffer after = {};
    const eg_status status =
        eg_rule_text_edit (view (text), &edit, &after, nullptr);
    Lines expected = before;

    if (at == before.end ())
      RC_ASSERT (status == EG_NOT_FOUND);
    else
      {
        const auto place = expected.begin () + (at - before.begin ());

        if (adds)
          *place = added;
        else
          expected.erase (place);
        RC_ASSERT (status == EG_OK);
        RC_ASSERT (std::string (after.data ? after.data : "", after.len)
                   == join (expected));
      }
    eg_buffer_finish (&after);
  });

  passed &= rc::check ("undo restores the lines from before the edit", [] {
    const Lines before = *random_lines ();
    const Lines after = *random_lines ();
    eg_rule_document document;
    std::string result;
    eg_status status;

    eg_rule_document_init (&document);
    eg_rule_document_edit (&document, 1, view ("a"), 0, view (join (before)));
    eg_rule_document_edit (&document, 2, view ("b"), 0, view (join (after)));
    std::swap (document.edits[0], document.edits[1]);
    status = undo (join (after), document, &result);
    const bool added_truncated = document.edits[0].added.len > 0
                                 && std::string (document.edits[0].added.data,
                                                 document.edits[0].added.len)
                                            .find ("(and ")
                                        != std::string::npos;
    const bool removed_truncated =
        document.edits[0].removed.len > 0
        && std::string (document.edits[0].removed.data,
                        document.edits[0].removed.len)
                   .find ("(and ")
               != std::string::npos;

    if (added_truncated || removed_truncated)
      RC_ASSERT (status == EG_INVALID);
    else
      {
        RC_ASSERT (status == EG_OK);
        RC_ASSERT (sorted (split (result)) == sorted (before));
      }
    eg_rule_document_finish (&document);
  });

  passed &= rc::check ("blame returns the last edit that added a line", [] {
    const auto versions = *rc::gen::container<std::vector<Lines> > (
        rc::gen::resize (6, random_lines ()));
    eg_rule_document document;

    RC_PRE (versions.size () < EG_RULE_EDITS_MAX);
    eg_rule_document_init (&document);
    for (size_t i = 0; i < versions.size (); i++)
      eg_rule_document_edit (&document, i + 1, view ("a"), 0,
                             view (join (versions[i])));
    for (int i = 0; i < 9; i++)
      {
        const std::string line = "line " + std::to_string (i);
        const eg_rule_edit_record *found =
            eg_rule_document_blame (&document, view (line));
        uint64_t expected = 0;
        Lines last;

        for (size_t k = 0; k < versions.size (); k++)
          {
            if (std::count (versions[k].begin (), versions[k].end (), line)
                > std::count (last.begin (), last.end (), line))
              expected = k + 1;
            last = versions[k];
          }
        RC_ASSERT ((found ? found->id : 0) == expected);
      }
    eg_rule_document_finish (&document);
  });

  return passed ? 0 : 1;
}
