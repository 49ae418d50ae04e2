// A delta of the rules document turns the document that it was made from into
// the next one, and is rejected for any other document.
#include <rapidcheck.h>

#include <string>

#include "policy/rule_delta.h"

namespace
{

std::string
text_of (const eg_buffer &buffer)
{
  return std::string (buffer.data ? buffer.data : "", buffer.len);
}

std::string
encode (const eg_rule_document &document)
{
  eg_buffer json = {};
  std::string text;

  eg_rule_document_encode (&document, &json);
  text = text_of (json);
  eg_buffer_finish (&json);
  return text;
}

// A random line of single-byte and multi-byte characters.
std::string
line ()
{
  static const char *const words[] = {"a", "bb", "ก", "ข้อ", "é", "#"};
  std::string text;

  for (int i = *rc::gen::inRange (1, 6); i > 0; i--)
    text += words[*rc::gen::inRange (0, 6)];
  return text + "\n";
}

std::string
change (std::string text)
{
  size_t at = text.find ('\n', *rc::gen::inRange<size_t> (0, text.size () + 1));

  at = at == std::string::npos ? 0 : at + 1;
  if (*rc::gen::arbitrary<bool> () && at < text.size ())
    text.erase (at, text.find ('\n', at) - at + 1);
  else
    text.insert (at, line ());
  return text;
}

} // namespace

int
main ()
{
  bool ok = true;

  ok &= rc::check ("a delta applies only to the document it was made from", [] {
    eg_rule_document now;
    eg_rule_document before;
    std::string text;

    eg_rule_document_init (&now);
    eg_rule_document_init (&before);
    for (int i = 0; i < 110; i++)
      {
        eg_rule_document older = before;
        eg_buffer delta = {};
        eg_buffer json = {};

        eg_rule_document_init (&before);
        eg_rule_document_copy (&before, &now);
        text = change (text);
        eg_rule_document_edit (&now, 1000 + static_cast<uint64_t> (i),
                               EG_STR ("Nok"), i, {text.data (), text.size ()});
        RC_ASSERT (eg_rule_delta_encode (&before, &now, &delta));
        RC_ASSERT (eg_rule_delta_apply (&before, {delta.data, delta.len}, &json)
                   == EG_OK);
        RC_ASSERT (text_of (json) == encode (now));
        if (i > 0)
          RC_ASSERT (
              eg_rule_delta_apply (&older, {delta.data, delta.len}, &json)
              == EG_INVALID);
        RC_ASSERT (
            eg_rule_delta_apply (&before, {delta.data, delta.len - 1}, &json)
            == EG_INVALID);
        // There is no delta for two edits.
        if (i > 0)
          RC_ASSERT (!eg_rule_delta_encode (&older, &now, &delta));
        eg_buffer_finish (&delta);
        eg_buffer_finish (&json);
        eg_rule_document_finish (&older);
      }
    eg_rule_document_finish (&before);
    eg_rule_document_finish (&now);
  });

  ok &= rc::check ("a corrupted delta never yields a wrong document", [] {
    eg_rule_document before;
    eg_rule_document after;
    eg_buffer delta = {};
    eg_buffer json = {};
    std::string bytes;

    eg_rule_document_init (&before);
    eg_rule_document_init (&after);
    eg_rule_document_edit (&after, 7, EG_STR ("Nok"), 1, EG_STR ("x # y\n"));
    eg_rule_delta_encode (&before, &after, &delta);
    bytes = text_of (delta);
    for (int i = 0; i < 3; i++)
      bytes[*rc::gen::inRange<size_t> (0, bytes.size ())] =
          *rc::gen::arbitrary<char> ();
    if (eg_rule_delta_apply (&before, {bytes.data (), bytes.size ()}, &json)
        == EG_OK)
      RC_ASSERT (text_of (json) == encode (after));
    eg_buffer_finish (&delta);
    eg_buffer_finish (&json);
    eg_rule_document_finish (&before);
    eg_rule_document_finish (&after);
  });
  return ok ? 0 : 1;
}
