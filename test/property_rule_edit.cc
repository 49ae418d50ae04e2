// Races of two editors over one rules object, with a store that loses replies,
// delays writes, goes down and answers reads from the past.
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "policy/rule_edit.h"

namespace
{

constexpr int64_t MS = 1000;

struct Store
{
  uint64_t version = 0;
  std::string body;
  std::map<uint64_t, std::string> past;

  bool
  put (uint64_t base, const std::string &value)
  {
    if (base != version)
      return false;
    version += 1;
    body = value;
    past[version] = value;
    return true;
  }
};

struct Write
{
  uint64_t base;
  std::string body;
};

struct Editor
{
  eg_rule_edit edit;
  std::string line;
  eg_rule_edit_action action = EG_RULE_EDIT_WAIT;
  bool ended = false;
};

struct Race
{
  Store store;
  std::vector<Write> delayed;
  std::vector<std::unique_ptr<Editor> > editors;
  eg_random random;
  int64_t now_us = 0;

  explicit Race (uint64_t seed)
  {
    eg_random_init (&random, seed);
  }

  ~Race ()
  {
    for (auto &editor : editors)
      eg_rule_edit_finish (&editor->edit);
  }

  void
  decode (const std::string &body, eg_rule_document *document)
  {
    eg_rule_document_init (document);
    RC_ASSERT (eg_rule_document_decode (document, {body.data (), body.size ()},
                                        nullptr)
               == EG_OK);
  }

  void
  add_editor (const std::string &line)
  {
    auto editor = std::make_unique<Editor> ();
    eg_rule_document current;
    std::string text;
    eg_rule_edit_request request = {};

    eg_rule_document_init (&current);
    if (store.version > 0)
      decode (store.body, &current);
    if (current.text.len > 0)
      text.assign (current.text.data, current.text.len);
    text += line + "\n";
    request.id = eg_random_next (&random);
    request.who = EG_STR ("Nok");
    request.text = {text.data (), text.size ()};
    request.base_version = store.version;
    request.deadline_us = now_us + 3000 * MS;
    eg_rule_edit_init (&editor->edit, &request, &current);
    eg_rule_document_finish (&current);
    editor->line = line;
    editor->action = eg_rule_edit_update (&editor->edit, EG_RULE_EDIT_START, 0,
                                          nullptr, now_us, &random);
    editors.push_back (std::move (editor));
  }

  void
  give (Editor &editor,
        eg_rule_edit_event event,
        uint64_t version,
        const eg_rule_document *found)
  {
    editor.action = eg_rule_edit_update (&editor.edit, event, version, found,
                                         now_us, &random);
    editor.ended = editor.action >= EG_RULE_EDIT_ACCEPTED;
  }

  void
  write (Editor &editor)
  {
    eg_buffer json = {};
    std::string body;
    uint64_t base = editor.edit.base_version;

    eg_rule_document_encode (&editor.edit.document, &json);
    body.assign (json.data, json.len);
    eg_buffer_finish (&json);
    switch (eg_random_below (&random, 5))
      {
      case 0: // The reply is lost; the write takes effect.
        store.put (base, body);
        give (editor, EG_RULE_EDIT_NO_REPLY, 0, nullptr);
        return;
      case 1: // The reply is lost; the write takes effect later, or never.
        delayed.push_back ({base, body});
        give (editor, EG_RULE_EDIT_NO_REPLY, 0, nullptr);
        return;
      case 2:
        give (editor, EG_RULE_EDIT_UNAVAILABLE, 0, nullptr);
        return;
      default:
        if (store.put (base, body))
          give (editor, EG_RULE_EDIT_WRITTEN, store.version, nullptr);
        else
          give (editor, EG_RULE_EDIT_CONFLICT, 0, nullptr);
      }
  }

  void
  read (Editor &editor)
  {
    uint64_t version = store.version;
    eg_rule_document document;

    if (eg_random_below (&random, 4) == 0)
      {
        give (editor, EG_RULE_EDIT_UNAVAILABLE, 0, nullptr);
        return;
      }
    if (version > 1 && eg_random_below (&random, 4) == 0)
      version--; // From a replica that lags behind.
    if (version == 0)
      {
        give (editor, EG_RULE_EDIT_MISSING, 0, nullptr);
        return;
      }
    decode (store.past.at (version), &document);
    give (editor, EG_RULE_EDIT_FOUND, version, &document);
    eg_rule_document_finish (&document);
  }

  void
  step ()
  {
    Editor &editor = *editors[eg_random_below (&random, editors.size ())];

    now_us += static_cast<int64_t> (eg_random_below (&random, 60)) * MS;
    if (!delayed.empty () && eg_random_below (&random, 3) == 0)
      {
        store.put (delayed.back ().base, delayed.back ().body);
        delayed.pop_back ();
      }
    if (editor.ended)
      return;
    if (editor.action == EG_RULE_EDIT_WRITE)
      write (editor);
    else if (editor.action == EG_RULE_EDIT_READ)
      read (editor);
    else
      give (editor, EG_RULE_EDIT_TIME, 0, nullptr);
  }

  bool
  all_ended () const
  {
    for (const auto &editor : editors)
      if (!editor->ended)
        return false;
    return true;
  }

  bool
  stands (const Editor &editor)
  {
    eg_rule_document document;
    bool found;

    if (store.version == 0)
      return false;
    decode (store.body, &document);
    found = std::string (document.text.data ? document.text.data : "",
                         document.text.len)
                .find (editor.line)
            != std::string::npos;
    RC_ASSERT (
        found
        == (eg_rule_document_find (&document, editor.edit.id) != nullptr));
    eg_rule_document_finish (&document);
    return found;
  }
};

} // namespace

int
main ()
{
  bool ok = true;
  size_t accepted = 0;
  size_t outrun = 0;

  ok &= rc::check ("accepted edits stand, the others do not", [&] {
    Race race (*rc::gen::arbitrary<uint64_t> ());

    for (int round = 0; round < 4; round++)
      {
        race.add_editor ("drain server=10.0.0." + std::to_string (2 * round + 1)
                         + ":80 # Nok");
        race.add_editor ("drain server=10.0.0." + std::to_string (2 * round + 2)
                         + ":80 # Lek");
        for (int i = 0; i < 1000 && !race.all_ended (); i++)
          race.step ();
        RC_ASSERT (race.all_ended ());
      }
    for (const Write &write : race.delayed)
      race.store.put (write.base, write.body);
    for (auto &editor : race.editors)
      {
        bool stands = race.stands (*editor);

        if (editor->action == EG_RULE_EDIT_ACCEPTED)
          RC_ASSERT (stands);
        if (editor->action == EG_RULE_EDIT_STALE
            || editor->action == EG_RULE_EDIT_REFUSED)
          RC_ASSERT (!stands);
        accepted += editor->action == EG_RULE_EDIT_ACCEPTED;
        outrun += editor->action == EG_RULE_EDIT_STALE;
      }
  });
  printf ("%zu accepted, %zu outrun\n", accepted, outrun);
  // The races must be races, or the property says nothing.
  ok &= accepted > 100 && outrun > 100;
  return ok ? 0 : 1;
}
