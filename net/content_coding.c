#include "net/content_coding.h"

#include <stdlib.h>

#include <zstd.h>

#include "base/status.h"

#define LEVEL 1 /* Higher ones take a small VM too long. */

bool
eg_content_coding_is_accepted (const struct eg_http_head *head)
{
  struct eg_str codings = eg_http_head_find (head, "accept-encoding");

  while (codings.len > 0)
    {
      struct eg_str coding = eg_str_trim (eg_str_cut (&codings, ','));

      if (eg_http_same_name (coding, EG_CONTENT_CODING))
        return true;
    }
  return false;
}

bool
eg_content_coding_is_used (const struct eg_http_head *head)
{
  return eg_http_same_name (eg_http_head_find (head, "content-encoding"),
                            EG_CONTENT_CODING);
}

void
eg_content_encode (struct eg_str text, struct eg_buffer *coded)
{
  size_t bound = ZSTD_compressBound (text.len);
  char *frame = malloc (bound);
  size_t len;

  EG_INVARIANT (frame);
  len = ZSTD_compress (frame, bound, text.data, text.len, LEVEL);
  EG_INVARIANT (!ZSTD_isError (len));
  eg_buffer_append (coded, (struct eg_str){frame, len});
  free (frame);
}

bool
eg_content_decode (struct eg_str coded, size_t text_max, struct eg_buffer *text)
{
  while (coded.len > 0)
    {
      size_t frame_len = ZSTD_findFrameCompressedSize (coded.data, coded.len);
      unsigned long long len;

      if (ZSTD_isError (frame_len))
        return false;
      /* A length that is unknown, or cannot be read, is above any limit. */
      len = ZSTD_getFrameContentSize (coded.data, frame_len);
      if (len > text_max - text->len)
        return false;
      eg_buffer_reserve (text, text->len + len + 1);
      if (ZSTD_decompress (text->data + text->len, len, coded.data, frame_len)
          != len)
        return false;
      text->len += len;
      coded.data += frame_len;
      coded.len -= frame_len;
    }
  return true;
}
