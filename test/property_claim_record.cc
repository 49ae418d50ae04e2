/* The stored form of claims: what is written is read back, and distinct keys
 * have distinct objects. */
#include <cstdlib>
#include <string>

#include <rapidcheck.h>

#include "policy/claim_record.h"
#include "policy/claim_expiry.h"

namespace
{

eg_str
view (const std::string &s)
{
  return {s.data (), s.size ()};
}

std::string
text (eg_str s)
{
  return s.len ? std::string (s.data, s.len) : std::string ();
}

std::string
object_key (const std::string &organisation, const std::string &key)
{
  eg_buffer buffer = {};

  eg_claim_object_key (&buffer, view (organisation), view (key));
  std::string result = text (eg_buffer_view (&buffer));
  eg_buffer_finish (&buffer);
  return result;
}

/* The bucket is a hash, which hides most collisions of the rest. */
std::string
without_bucket (const std::string &object)
{
  return object.substr (object.find ('/', sizeof EG_CLAIM_PREFIX - 1));
}

void
check_round_trip ()
{
  const auto type = *rc::gen::arbitrary<std::string> ();
  const auto body = *rc::gen::container<std::string> (rc::gen::map (
      rc::gen::inRange (0, 256), [] (int byte) { return (char) byte; }));
  eg_claim_record before = {};
  eg_claim_record after;
  eg_buffer json = {};
  eg_buffer storage = {};

  before.nonce = {*rc::gen::arbitrary<uint64_t> (),
                  *rc::gen::arbitrary<uint64_t> ()};
  before.fingerprint = *rc::gen::arbitrary<uint64_t> ();
  before.state = (eg_claim_state) *rc::gen::inRange (0, 3);
  before.ran = (eg_ran) *rc::gen::inRange (0, 3);
  before.answer = {*rc::gen::arbitrary<bool> (), 200, view (type), view (body)};
  eg_claim_record_encode (&before, &json);
  eg_status status = eg_claim_record_decode (&after, eg_buffer_view (&json),
                                             &storage, nullptr);
  bool same =
      status == EG_OK && eg_claim_nonce_equal (before.nonce, after.nonce)
      && before.fingerprint == after.fingerprint && before.state == after.state
      && before.ran == after.ran && before.answer.kept == after.answer.kept;
  bool same_answer =
      !before.answer.kept
      || (after.answer.status == 200 && text (after.answer.content_type) == type
          && text (after.answer.body) == body);
  eg_buffer_finish (&json);
  eg_buffer_finish (&storage);
  RC_ASSERT (same && same_answer);
}

void
check_keys ()
{
  /* Short enough for the longest object key, each byte escaped. */
  const auto names =
      rc::gen::resize (40, rc::gen::container<std::string> (rc::gen::element (
                               'a', '/', '~', '.', '%', '\xe0')));
  const auto organisation = *names;
  const auto key = *names;
  const auto other_organisation = *names;
  const auto other_key = *names;
  bool same_pair = organisation == other_organisation && key == other_key;
  const auto object = object_key (organisation, key);

  RC_ASSERT (same_pair
             == (object == object_key (other_organisation, other_key)));
  /* The escaped form of a name is another name. */
  const auto escaped = object.substr (object.rfind ('/') + 1);
  const size_t both = organisation.size () + escaped.size ();
  if (escaped != key && both <= 2 * 40)
    RC_ASSERT (without_bucket (object_key (organisation, escaped))
               != without_bucket (object));
  RC_ASSERT (object.find_first_not_of ("abcdefghijklmnopqrstuvwxyz"
                                       "0123456789~-_/")
             == std::string::npos);
}

/* Keys that the store cannot hold are refused, never cut. */
void
check_long_keys ()
{
  const auto length = *rc::gen::inRange (0, 128);
  const std::string organisation (63, 'a');
  const std::string key ((size_t) length, ':');
  const size_t needed = 11 + 63 + 1 + 3 * (size_t) length;
  eg_buffer buffer = {};
  bool fits = eg_claim_object_key (&buffer, view (organisation), view (key));
  const size_t len = buffer.len;

  eg_buffer_finish (&buffer);
  RC_ASSERT (fits == (needed <= EG_CLAIM_OBJECT_KEY_MAX));
  RC_ASSERT (len == (fits ? needed : 0));
}

void
check_garbage ()
{
  const auto json = *rc::gen::arbitrary<std::string> ();
  eg_claim_record record;
  eg_claim_ticks ticks;
  eg_buffer storage = {};

  RC_ASSERT (eg_claim_record_decode (&record, view (json), &storage, nullptr)
             == EG_INVALID);
  RC_ASSERT (eg_claim_ticks_decode (&ticks, view (json), nullptr)
             == EG_INVALID);
  eg_buffer_finish (&storage);
}

void
check_ticks ()
{
  const auto steps =
      *rc::gen::container<std::vector<int> > (rc::gen::inRange (1, 1000));
  eg_claim_ticks before = {};
  eg_claim_ticks after;
  eg_buffer json = {};
  uint64_t version = 0;

  for (int step : steps)
    if (before.count < EG_CLAIM_LIFETIME_TICKS)
      before.versions[before.count++] = version += (uint64_t) step;
  eg_claim_ticks_encode (&before, &json);
  eg_status status =
      eg_claim_ticks_decode (&after, eg_buffer_view (&json), nullptr);
  eg_buffer_finish (&json);
  RC_ASSERT (status == EG_OK && after.count == before.count);
  for (size_t i = 0; i < before.count; i++)
    RC_ASSERT (after.versions[i] == before.versions[i]);
}

} // namespace

int
main ()
{
  bool held = true;

  held &=
      rc::check ("a claim object is read as it was written", check_round_trip);
  held &= rc::check ("distinct keys have distinct objects", check_keys);
  held &= rc::check ("a key that is too long is refused", check_long_keys);
  held &= rc::check ("garbage is no claim object", check_garbage);
  held &= rc::check ("ticks are read as they were written", check_ticks);
  return held ? EXIT_SUCCESS : EXIT_FAILURE;
}
