#include "bus/msgpack_lengths.h"

/* Layout of the MessagePack types whose first byte is from first to last. */
struct type_layout
{
  unsigned char first;
  unsigned char last;
  unsigned length_bytes; /* Size of the length field, or 0. */
  unsigned length_mask;  /* Bits of the first byte that hold the length. */
  unsigned fixed_bytes;  /* Size of the fixed part that follows. */
  unsigned unit_bytes;   /* Data bytes per unit of length. */
  unsigned unit_items;   /* Nested items per unit of length. */
};

static const struct type_layout layouts[] = {
    {0x00, 0x7f, 0, 0, 0, 0, 0},    /* positive fixint */
    {0x80, 0x8f, 0, 0x0f, 0, 0, 2}, /* fixmap */
    {0x90, 0x9f, 0, 0x0f, 0, 0, 1}, /* fixarray */
    {0xa0, 0xbf, 0, 0x1f, 0, 1, 0}, /* fixstr */
    {0xc0, 0xc3, 0, 0, 0, 0, 0},    /* nil, false, true */
    {0xc4, 0xc4, 1, 0, 0, 1, 0},    /* bin 8, 16, 32 */
    {0xc5, 0xc5, 2, 0, 0, 1, 0},
    {0xc6, 0xc6, 4, 0, 0, 1, 0},
    {0xc7, 0xc7, 1, 0, 1, 1, 0}, /* ext 8, 16, 32: type and data */
    {0xc8, 0xc8, 2, 0, 1, 1, 0},
    {0xc9, 0xc9, 4, 0, 1, 1, 0},
    {0xca, 0xca, 0, 0, 4, 0, 0}, /* float 32, 64 */
    {0xcb, 0xcb, 0, 0, 8, 0, 0},
    {0xcc, 0xcc, 0, 0, 1, 0, 0}, /* uint 8, 16, 32, 64 */
    {0xcd, 0xcd, 0, 0, 2, 0, 0},
    {0xce, 0xce, 0, 0, 4, 0, 0},
    {0xcf, 0xcf, 0, 0, 8, 0, 0},
    {0xd0, 0xd0, 0, 0, 1, 0, 0}, /* int 8, 16, 32, 64 */
    {0xd1, 0xd1, 0, 0, 2, 0, 0},
    {0xd2, 0xd2, 0, 0, 4, 0, 0},
    {0xd3, 0xd3, 0, 0, 8, 0, 0},
    {0xd4, 0xd4, 0, 0, 2, 0, 0}, /* fixext 1, 2, 4, 8, 16 */
    {0xd5, 0xd5, 0, 0, 3, 0, 0},
    {0xd6, 0xd6, 0, 0, 5, 0, 0},
    {0xd7, 0xd7, 0, 0, 9, 0, 0},
    {0xd8, 0xd8, 0, 0, 17, 0, 0},
    {0xd9, 0xd9, 1, 0, 0, 1, 0}, /* str 8, 16, 32 */
    {0xda, 0xda, 2, 0, 0, 1, 0},
    {0xdb, 0xdb, 4, 0, 0, 1, 0},
    {0xdc, 0xdc, 2, 0, 0, 0, 1}, /* array 16, 32 */
    {0xdd, 0xdd, 4, 0, 0, 0, 1},
    {0xde, 0xde, 2, 0, 0, 0, 2}, /* map 16, 32 */
    {0xdf, 0xdf, 4, 0, 0, 0, 2},
    {0xe0, 0xff, 0, 0, 0, 0, 0}, /* negative fixint */
};

static const struct type_layout *
find_layout (unsigned char first)
{
  for (size_t i = 0; i < sizeof layouts / sizeof layouts[0]; i++)
    if (first >= layouts[i].first && first <= layouts[i].last)
      return &layouts[i];
  return NULL;
}

/* Consumes a big-endian integer of @p count bytes. */
static uint64_t
read_integer (struct eg_str *bytes, unsigned count)
{
  uint64_t value = 0;

  for (unsigned i = 0; i < count; i++)
    value = value << 8 | (unsigned char) bytes->data[i];
  bytes->data += count;
  bytes->len -= count;
  return value;
}

/* Consumes an item without its nested items, and adds their number to
   @p pending. */
static bool
skip_item (struct eg_str *bytes, uint64_t *pending)
{
  unsigned char first = (unsigned char) bytes->data[0];
  const struct type_layout *layout = find_layout (first);
  uint64_t length;
  uint64_t data_bytes;

  if (!layout || bytes->len < 1 + (uint64_t) layout->length_bytes)
    return false;
  bytes->data++;
  bytes->len--;
  length = layout->length_bytes > 0 ? read_integer (bytes, layout->length_bytes)
                                    : first & layout->length_mask;
  data_bytes = layout->fixed_bytes + length * layout->unit_bytes;
  /* Each nested item takes at least one byte. */
  if (data_bytes > bytes->len || length * layout->unit_items > bytes->len)
    return false;
  bytes->data += data_bytes;
  bytes->len -= data_bytes;
  *pending += length * layout->unit_items;
  return true;
}

bool
eg_msgpack_lengths_valid (struct eg_str bytes)
{
  uint64_t pending = 1;

  for (; pending > 0; pending--)
    if (bytes.len < pending || !skip_item (&bytes, &pending))
      return false;
  return true;
}
