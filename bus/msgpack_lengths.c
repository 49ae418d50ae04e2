#include "bus/msgpack_lengths.h"

/* What the first byte of an item says, by the ranges of the format. */
struct item
{
  unsigned char first;
  unsigned char last;
  unsigned length_bytes; /* That follow and hold a length, or 0. */
  unsigned length_mask;  /* Of the first byte, where it holds the length. */
  unsigned body;         /* Bytes of a fixed size that follow. */
  unsigned per_length;   /* Bytes for each one of the length. */
  unsigned items;        /* Items for each one of the length. */
};

static const struct item table[] = {
    {0x00, 0x7f, 0, 0, 0, 0, 0},    /* small integer */
    {0x80, 0x8f, 0, 0x0f, 0, 0, 2}, /* small map */
    {0x90, 0x9f, 0, 0x0f, 0, 0, 1}, /* small array */
    {0xa0, 0xbf, 0, 0x1f, 0, 1, 0}, /* small string */
    {0xc0, 0xc3, 0, 0, 0, 0, 0},    /* nil, false, true */
    {0xc4, 0xc4, 1, 0, 0, 1, 0},    /* binary */
    {0xc5, 0xc5, 2, 0, 0, 1, 0},
    {0xc6, 0xc6, 4, 0, 0, 1, 0},
    {0xc7, 0xc7, 1, 0, 1, 1, 0}, /* extension: a type and bytes */
    {0xc8, 0xc8, 2, 0, 1, 1, 0},
    {0xc9, 0xc9, 4, 0, 1, 1, 0},
    {0xca, 0xca, 0, 0, 4, 0, 0}, /* floating point */
    {0xcb, 0xcb, 0, 0, 8, 0, 0},
    {0xcc, 0xcc, 0, 0, 1, 0, 0}, /* unsigned integers */
    {0xcd, 0xcd, 0, 0, 2, 0, 0},
    {0xce, 0xce, 0, 0, 4, 0, 0},
    {0xcf, 0xcf, 0, 0, 8, 0, 0},
    {0xd0, 0xd0, 0, 0, 1, 0, 0}, /* signed integers */
    {0xd1, 0xd1, 0, 0, 2, 0, 0},
    {0xd2, 0xd2, 0, 0, 4, 0, 0},
    {0xd3, 0xd3, 0, 0, 8, 0, 0},
    {0xd4, 0xd4, 0, 0, 2, 0, 0}, /* extensions of a fixed size */
    {0xd5, 0xd5, 0, 0, 3, 0, 0},
    {0xd6, 0xd6, 0, 0, 5, 0, 0},
    {0xd7, 0xd7, 0, 0, 9, 0, 0},
    {0xd8, 0xd8, 0, 0, 17, 0, 0},
    {0xd9, 0xd9, 1, 0, 0, 1, 0}, /* string */
    {0xda, 0xda, 2, 0, 0, 1, 0},
    {0xdb, 0xdb, 4, 0, 0, 1, 0},
    {0xdc, 0xdc, 2, 0, 0, 0, 1}, /* array */
    {0xdd, 0xdd, 4, 0, 0, 0, 1},
    {0xde, 0xde, 2, 0, 0, 0, 2}, /* map */
    {0xdf, 0xdf, 4, 0, 0, 0, 2},
    {0xe0, 0xff, 0, 0, 0, 0, 0}, /* small negative integer */
};

static const struct item *
find_item (unsigned char first)
{
  for (size_t i = 0; i < sizeof table / sizeof table[0]; i++)
    if (first >= table[i].first && first <= table[i].last)
      return &table[i];
  return NULL;
}

/* Takes @p count bytes off and reads them as a number, the highest first. */
static uint64_t
take_number (struct eg_str *bytes, unsigned count)
{
  uint64_t number = 0;

  for (unsigned i = 0; i < count; i++)
    number = number << 8 | (unsigned char) bytes->data[i];
  bytes->data += count;
  bytes->len -= count;
  return number;
}

/* Takes one item without what it contains; adds that to @p wanted. */
static bool
take_item (struct eg_str *bytes, uint64_t *wanted)
{
  unsigned char first = (unsigned char) bytes->data[0];
  const struct item *item = find_item (first);
  uint64_t length;
  uint64_t body;

  if (!item || bytes->len < 1 + (uint64_t) item->length_bytes)
    return false;
  bytes->data++;
  bytes->len--;
  length = item->length_bytes > 0 ? take_number (bytes, item->length_bytes)
                                  : first & item->length_mask;
  body = item->body + length * item->per_length;
  /* An item takes a byte at least. */
  if (body > bytes->len || length * item->items > bytes->len)
    return false;
  bytes->data += body;
  bytes->len -= body;
  *wanted += length * item->items;
  return true;
}

bool
eg_msgpack_lengths_valid (struct eg_str bytes)
{
  uint64_t wanted = 1;

  for (; wanted > 0; wanted--)
    if (bytes.len < wanted || !take_item (&bytes, &wanted))
      return false;
  return true;
}
