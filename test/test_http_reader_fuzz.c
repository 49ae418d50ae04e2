/* Fuzz test of the parser of HTTP requests, with mutated requests that arrive
 * in pieces of any size: test_http_reader_fuzz [SEED [MILLISECONDS]]. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "base/random.h"
#include "net/http_reader.h"

#define MESSAGES_MAX 3
#define MUTATIONS_MAX 4
#define SPLITS 4

static uint64_t seed = 20261205;
static int64_t fuzz_us = 3 * EG_US_PER_S;

/** What a parser makes of an input. */
struct outcome
{
  struct eg_http_reader reader;
  struct eg_buffer body;
  struct eg_buffer messages; /**< All complete messages, as text. */
  size_t heads;              /**< Reported as complete. */
  size_t consumed;
  enum eg_http_fault fault;
};

static void
on_head (void *context)
{
  ((struct outcome *) context)->heads++;
}

static void
on_body (void *context, struct eg_str bytes)
{
  eg_buffer_append (&((struct outcome *) context)->body, bytes);
}

static const struct eg_http_reader_events events = {on_head, on_body};

static void
note_message (struct outcome *self)
{
  const struct eg_http_head *head = &self->reader.head;

  eg_buffer_printf (&self->messages, "%s %.*s %d %d %d\n", head->method,
                    EG_STR_ARGS (eg_http_head_target (head)),
                    (int) head->minor_version, head->keep_alive,
                    head->has_body);
  for (size_t i = 0; i < head->field_count; i++)
    {
      eg_buffer_append (&self->messages, eg_http_head_name (head, i));
      eg_buffer_append (&self->messages, EG_STR (": "));
      eg_buffer_append (&self->messages, eg_http_head_value (head, i));
      eg_buffer_append (&self->messages, EG_STR ("\n"));
    }
  eg_buffer_append (&self->messages, eg_buffer_view (&self->body));
  eg_buffer_append (&self->messages, EG_STR ("\n--\n"));
  eg_buffer_clear (&self->body);
}

/* Feeds one piece. It is a copy of exactly its size, so that a sanitizer finds
 * reads beyond it. */
static void
feed_piece (struct outcome *self, struct eg_str piece)
{
  char *copy = malloc (piece.len);
  struct eg_str rest = {copy, piece.len};

  assert_non_null (copy);
  memcpy (copy, piece.data, piece.len);
  while (rest.len > 0 && self->reader.fault == EG_HTTP_NO_FAULT)
    {
      size_t taken = eg_http_reader_feed (&self->reader, rest);

      assert_in_range (taken, 0, rest.len);
      rest.data += taken;
      rest.len -= taken;
      self->consumed += taken;
      if (self->reader.fault != EG_HTTP_NO_FAULT)
        break;
      /* Otherwise the caller would feed the same bytes forever. */
      assert_true (taken > 0 || self->reader.complete);
      if (self->reader.complete)
        {
          note_message (self);
          eg_http_reader_next (&self->reader);
        }
    }
  free (copy);
}

/* Parses @p input in pieces of at most @p piece_max bytes. */
static void
parse (struct outcome *self,
       struct eg_random *random,
       struct eg_str input,
       size_t head_max,
       size_t piece_max)
{
  memset (self, 0, sizeof *self);
  eg_http_reader_init (&self->reader, EG_HTTP_REQUEST, head_max, &events, self);
  while (input.len > 0 && self->reader.fault == EG_HTTP_NO_FAULT)
    {
      size_t len = piece_max < input.len
                       ? 1 + (size_t) eg_random_below (random, piece_max)
                       : input.len;

      feed_piece (self, (struct eg_str){input.data, len});
      input.data += len;
      input.len -= len;
    }
  self->fault = self->reader.fault;
}

static void
outcome_finish (struct outcome *self)
{
  eg_http_reader_finish (&self->reader);
  eg_buffer_finish (&self->body);
  eg_buffer_finish (&self->messages);
}

static void
append_filler (struct eg_buffer *out, size_t len)
{
  for (size_t i = 0; i < len; i++)
    eg_buffer_append (out, EG_STR ("x"));
}

static void
append_fields (struct eg_buffer *out, struct eg_random *random, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      eg_buffer_printf (out, "F%u:", (unsigned) eg_random_below (random, 50));
      append_filler (out, (size_t) eg_random_below (random, 30));
      eg_buffer_append (out, EG_STR ("\r\n"));
    }
}

static void
append_chunks (struct eg_buffer *out, struct eg_random *random)
{
  for (uint64_t i = eg_random_below (random, 6); i > 0; i--)
    {
      size_t len = 1 + (size_t) eg_random_below (random, 40);

      eg_buffer_printf (out, "%zx%s\r\n", len,
                        eg_random_below (random, 4) == 0 ? ";name=value" : "");
      append_filler (out, len);
      eg_buffer_append (out, EG_STR ("\r\n"));
    }
  eg_buffer_append (out, EG_STR ("0\r\n"));
  if (eg_random_below (random, 3) == 0)
    append_fields (out, random, (size_t) eg_random_below (random, 110));
  eg_buffer_append (out, EG_STR ("\r\n"));
}

static void
append_request (struct eg_buffer *out, struct eg_random *random)
{
  static const char *const methods[] = {"GET", "POST", "PUT", "HEAD"};
  size_t fields = (size_t) eg_random_below (
      random, eg_random_below (random, 4) == 0 ? 110 : 8);
  size_t len = (size_t) eg_random_below (random, 200);

  eg_buffer_printf (out, "%s /path%u HTTP/1.%u\r\nHost: a\r\n",
                    methods[eg_random_below (random, 4)],
                    (unsigned) eg_random_below (random, 1000),
                    (unsigned) eg_random_below (random, 2));
  append_fields (out, random, fields);
  switch (eg_random_below (random, 3))
    {
    case 0:
      eg_buffer_append (out, EG_STR ("\r\n"));
      break;
    case 1:
      eg_buffer_printf (out, "Content-Length: %zu\r\n\r\n", len);
      append_filler (out, len);
      break;
    default:
      eg_buffer_append (out, EG_STR ("Transfer-Encoding: chunked\r\n\r\n"));
      append_chunks (out, random);
    }
}

/* Replaces @p cut bytes at @p at by @p text. */
static void
splice (struct eg_buffer *self, size_t at, size_t cut, struct eg_str text)
{
  struct eg_buffer out = {0};

  eg_buffer_append (&out, (struct eg_str){self->data, at});
  eg_buffer_append (&out, text);
  eg_buffer_append (
      &out, (struct eg_str){self->data + at + cut, self->len - at - cut});
  eg_buffer_finish (self);
  *self = out;
}

static void
mutate (struct eg_buffer *self, struct eg_random *random)
{
  static const struct eg_str tokens[] = {
      {"\r\n", 2},
      {"\n", 1},
      {"\r", 1},
      {":", 1},
      {" ", 1},
      {"\0", 1},
      {"\xff", 1},
      {"0\r\n\r\n", 5},
      {"\r\n\r\n", 4},
      {"ffffffffffffffff", 16},
      {"99999999999999999999", 20},
      {"\r\nContent-Length: 5", 19},
      {"\r\nContent-Length : 5", 20},
      {"\r\nTransfer-Encoding: chunked", 28},
      {"\r\nTransfer-Encoding: x, chunked", 31},
      {"\r\nConnection: upgrade\r\nUpgrade: x", 34},
      {"\r\n folded", 9},
      {" HTTP/1.1", 9},
      {"CONNECT a:1 HTTP/1.1\r\n", 22},
  };
  size_t at = (size_t) eg_random_below (random, self->len);
  size_t cut = (size_t) eg_random_below (random, 20);
  char byte = (char) eg_random_below (random, 256);

  if (cut > self->len - at)
    cut = self->len - at;
  switch (eg_random_below (random, 4))
    {
    case 0:
      splice (self, at, 1, (struct eg_str){&byte, 1});
      break;
    case 1:
      splice (self, at, cut, EG_STR (""));
      break;
    case 2:
      splice (self, at, 0, (struct eg_str){self->data + at, cut});
      break;
    default:
      splice (
          self, at, 0,
          tokens[eg_random_below (random, sizeof tokens / sizeof tokens[0])]);
    }
}

static void
print_input (struct eg_str input)
{
  for (size_t i = 0; i < input.len; i++)
    {
      unsigned char byte = (unsigned char) input.data[i];

      if (byte >= ' ' && byte < 127 && byte != '\\')
        putchar (byte);
      else
        printf ("\\x%02x", byte);
    }
  putchar ('\n');
}

static void
compare (const struct outcome *whole,
         const struct outcome *split,
         struct eg_str input,
         size_t head_max,
         size_t piece_max)
{
  /* How much of a faulty message is consumed before the fault is seen does not
   * matter: the connection is closed. */
  if (whole->fault == split->fault && whole->heads == split->heads
      && eg_str_equal (eg_buffer_view (&whole->messages),
                       eg_buffer_view (&split->messages))
      && (whole->fault != EG_HTTP_NO_FAULT
          || (whole->consumed == split->consumed
              && whole->reader.head_done == split->reader.head_done
              && eg_str_equal (eg_buffer_view (&whole->body),
                               eg_buffer_view (&split->body)))))
    return;
  print_input (input);
  fail_msg ("seed %llu, heads of %zu bytes: in one piece fault %d, %zu heads, "
            "%zu consumed; in pieces of %zu fault %d, %zu heads, %zu consumed",
            (unsigned long long) seed, head_max, (int) whole->fault,
            whole->heads, whole->consumed, piece_max, (int) split->fault,
            split->heads, split->consumed);
}

/* Guards against crashes, against bytes consumed beyond the input, and against
 * limits that hold only for some divisions of a request into packets. */
static void
test_result_does_not_depend_on_how_requests_are_split (void **state)
{
  static const size_t head_limits[] = {100, 400, 16384};
  static const size_t pieces[SPLITS] = {1, 3, 40, 300};
  int64_t end_us = eg_clock_now_us () + fuzz_us;
  struct eg_random random;
  unsigned inputs = 0;

  (void) state;
  eg_random_init (&random, seed);
  while (eg_clock_now_us () < end_us)
    {
      size_t head_max = head_limits[eg_random_below (&random, 3)];
      struct eg_buffer input = {0};
      struct outcome whole;

      for (uint64_t i = 1 + eg_random_below (&random, MESSAGES_MAX); i > 0; i--)
        append_request (&input, &random);
      for (uint64_t i = eg_random_below (&random, MUTATIONS_MAX);
           i > 0 && input.len > 0; i--)
        mutate (&input, &random);
      parse (&whole, &random, eg_buffer_view (&input), head_max, SIZE_MAX);
      for (unsigned i = 0; i < SPLITS; i++)
        {
          struct outcome split;

          parse (&split, &random, eg_buffer_view (&input), head_max, pieces[i]);
          compare (&whole, &split, eg_buffer_view (&input), head_max,
                   pieces[i]);
          outcome_finish (&split);
        }
      outcome_finish (&whole);
      eg_buffer_finish (&input);
      inputs++;
    }
  printf ("seed %llu: %u inputs\n", (unsigned long long) seed, inputs);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (test_result_does_not_depend_on_how_requests_are_split),
  };

  if (argc > 1)
    seed = strtoull (argv[1], NULL, 10);
  if (argc > 2)
    fuzz_us = strtoll (argv[2], NULL, 10) * EG_US_PER_MS;
  return cmocka_run_group_tests (tests, NULL, NULL);
}
