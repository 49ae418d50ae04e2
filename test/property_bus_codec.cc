/* Properties of the bytes of bus messages: what is written is read back, and
   anything else is refused without harm. */
#include <rapidcheck.h>

#include <cstdlib>
#include <cstring>
#include <string>

#include "bus/codec.h"

namespace
{

uint64_t
number ()
{
  return *rc::gen::arbitrary<uint64_t> () >> 2;
}

void
fill_rumour (eg_rumour &rumour)
{
  rumour.kind = (eg_rumour_kind) *rc::gen::inRange (0, (int) EG_RUMOUR_KINDS);
  rumour.state = *rc::gen::inRange (1, EG_RUMOUR_STATE_MAX + 1);
  rumour.subject = *rc::gen::arbitrary<uint64_t> ();
  rumour.number = number ();
  rumour.expires_ms = (int64_t) (number () >> 1);
  std::strcpy (rumour.address, "10.200.100.250:65000");
  std::strcpy (
      rumour.failure_domain,
      std::string (*rc::gen::inRange (0, EG_NAME_BYTES), 'd').c_str ());
}

eg_peer_message
draw_message ()
{
  eg_peer_message m;

  std::memset (&m, 0, sizeof m);
  m.kind = (eg_peer_kind) *rc::gen::inRange (0, (int) EG_PEER_KINDS);
  m.from = *rc::gen::arbitrary<uint64_t> ();
  m.incarnation = number ();
  switch (m.kind)
    {
    case EG_PEER_LIVENESS_QUERY:
    case EG_PEER_LIVENESS_REPLY:
      m.subject = *rc::gen::arbitrary<uint64_t> ();
      m.subject_incarnation = number ();
      m.age_ms = *rc::gen::arbitrary<uint32_t> ();
      break;
    case EG_PEER_RUMOURS:
      m.count = *rc::gen::inRange (0, EG_PEER_RUMOURS_MAX + 1);
      for (size_t i = 0; i < m.count; i++)
        fill_rumour (m.rumours[i]);
      break;
    case EG_PEER_DIGEST:
      m.reply = *rc::gen::arbitrary<bool> ();
      m.count = EG_PEER_BUCKETS;
      for (auto &bucket : m.buckets)
        bucket = *rc::gen::arbitrary<uint32_t> ();
      break;
    case EG_PEER_LOADS:
      m.count = *rc::gen::inRange (0, EG_PEER_LOADS_MAX + 1);
      for (size_t i = 0; i < m.count; i++)
        {
          m.loads[i].server = *rc::gen::arbitrary<uint32_t> ();
          m.loads[i].running = *rc::gen::arbitrary<uint16_t> ();
          m.loads[i].flags = EG_LOAD_DRAINING;
          m.loads[i].age = *rc::gen::arbitrary<uint8_t> ();
          m.loads[i].range = *rc::gen::arbitrary<uint8_t> ();
        }
      break;
    case EG_PEER_SHARE_REQUEST:
    case EG_PEER_SHARE_GRANT:
      m.request_number = *rc::gen::arbitrary<uint32_t> ();
      m.count = *rc::gen::inRange (0, EG_PEER_SHARES_MAX + 1);
      for (size_t i = 0; i < m.count; i++)
        m.shares[i].organisation = *rc::gen::arbitrary<uint64_t> ();
      break;
    default:
      break;
    }
  return m;
}

std::string
encode (const eg_peer_message &message)
{
  eg_buffer buffer = {};

  eg_bus_encode (&message, &buffer);
  std::string bytes (buffer.data, buffer.len);
  eg_buffer_finish (&buffer);
  return bytes;
}

eg_status
decode (const std::string &bytes, eg_peer_message &message)
{
  return eg_bus_decode ({bytes.data (), bytes.size ()}, &message);
}

void
what_is_written_is_read ()
{
  const eg_peer_message written = draw_message ();
  const std::string bytes = encode (written);
  eg_peer_message read;

  RC_ASSERT (bytes.size () <= (size_t) EG_BUS_MESSAGE_MAX);
  RC_ASSERT (decode (bytes, read) == EG_OK);
  RC_ASSERT (std::memcmp (&read, &written, sizeof read) == 0);
}

void
a_cut_message_is_refused ()
{
  const std::string bytes = encode (draw_message ());
  eg_peer_message read;

  RC_ASSERT (
      decode (bytes.substr (0, *rc::gen::inRange<size_t> (0, bytes.size ())),
              read)
      == EG_INVALID);
  RC_ASSERT (decode (bytes + '\0', read) == EG_INVALID);
}

/* Whatever is accepted can be written again, so its bounds were checked. */
void
changed_bytes_do_no_harm ()
{
  std::string bytes = encode (draw_message ());
  eg_peer_message read;

  for (int i = *rc::gen::inRange (1, 8); i > 0; i--)
    bytes[*rc::gen::inRange<size_t> (0, bytes.size ())] =
        *rc::gen::arbitrary<char> ();
  if (decode (bytes, read) == EG_OK)
    {
      eg_peer_message again;

      RC_ASSERT (decode (encode (read), again) == EG_OK);
      RC_ASSERT (std::memcmp (&read, &again, sizeof read) == 0);
      RC_ASSERT (read.incarnation <= UINT64_MAX / 4);
    }
}

void
random_bytes_do_no_harm ()
{
  const std::string bytes = *rc::gen::arbitrary<std::string> ();
  eg_peer_message read;

  RC_ASSERT (decode (bytes, read) == EG_INVALID);
}

void
another_version_is_refused ()
{
  std::string bytes = encode (draw_message ());
  eg_peer_message read;

  bytes[1] = (char) *rc::gen::inRange (0, 128);
  RC_PRE (bytes[1] != EG_BUS_VERSION);
  RC_ASSERT (decode (bytes, read) == EG_INVALID);
}

} // namespace

int
main ()
{
  bool ok = true;

  ok &= rc::check ("what is written is read", what_is_written_is_read);
  ok &= rc::check ("a cut message is refused", a_cut_message_is_refused);
  ok &= rc::check ("changed bytes do no harm", changed_bytes_do_no_harm);
  ok &= rc::check ("random bytes do no harm", random_bytes_do_no_harm);
  ok &= rc::check ("another version is refused", another_version_is_refused);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
