#include "base/toml_document.h"

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

#include <toml.hpp>

namespace
{

eg_toml_entry
make_entry (const std::string &key, const toml::value &value)
{
  eg_toml_entry entry = {};

  entry.key = strdup (key.c_str ());
  entry.line = static_cast<unsigned> (value.location ().line ());
  entry.kind = EG_TOML_OTHER;
  if (value.is_string ())
    {
      entry.kind = EG_TOML_STRING;
      entry.text = strdup (value.as_string ().str.c_str ());
      return entry;
    }
  entry.text = strdup ("");
  if (value.is_integer ())
    {
      entry.kind = EG_TOML_INTEGER;
      entry.integer = value.as_integer ();
    }
  else if (value.is_boolean ())
    {
      entry.kind = EG_TOML_BOOLEAN;
      entry.integer = value.as_boolean () ? 1 : 0;
    }
  else if (value.is_floating ())
    {
      entry.kind = EG_TOML_NUMBER;
      entry.number = value.as_floating ();
    }
  return entry;
}

void
flatten (const std::string &prefix,
         const toml::value &value,
         std::vector<eg_toml_entry> &entries)
{
  if (!value.is_table ())
    {
      entries.push_back (make_entry (prefix, value));
      return;
    }
  for (const auto &[key, child] : value.as_table ())
    flatten (prefix.empty () ? key : prefix + "." + key, child, entries);
}

} // namespace

enum eg_status
eg_toml_document_init (struct eg_toml_document *self,
                       const char *path,
                       struct eg_error *error)
{
  *self = {};
  std::ifstream stream (path, std::ios::binary);
  if (!stream)
    return eg_error_set (error, EG_NOT_FOUND, "%s: cannot be opened: %s", path,
                         std::strerror (errno));
  try
    {
      std::vector<eg_toml_entry> entries;
      /* The parser seeks, which a pipe cannot. */
      std::istringstream text (
          std::string (std::istreambuf_iterator<char> (stream), {}));
      flatten ("", toml::parse (text, path), entries);
      self->entries = static_cast<eg_toml_entry *> (
          std::calloc (entries.size () + 1, sizeof (eg_toml_entry)));
      self->count = entries.size ();
      std::copy (entries.begin (), entries.end (), self->entries);
    }
  catch (const toml::syntax_error &failure)
    {
      return eg_error_set (error, EG_INVALID, "%s:%u: not valid TOML: %s", path,
                           static_cast<unsigned> (failure.location ().line ()),
                           failure.location ().line_str ().c_str ());
    }
  catch (const std::exception &failure)
    {
      return eg_error_set (error, EG_INVALID, "%s: not valid TOML: %s", path,
                           failure.what ());
    }
  return EG_OK;
}

void
eg_toml_document_finish (struct eg_toml_document *self)
{
  for (size_t i = 0; i < self->count; i++)
    {
      std::free (self->entries[i].key);
      std::free (self->entries[i].text);
    }
  std::free (self->entries);
  *self = {};
}
