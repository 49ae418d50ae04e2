#include "entry/log_queue.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <unistd.h>

#include "base/log.h"

/* Room for two seconds of lines at a thousand requests a second. */
#define WAITING_BYTES_MAX (512U << 10)

static void
take_line (void *context, struct eg_str line)
{
  struct eg_log_queue *self = context;

  if (self->waiting.len + line.len > WAITING_BYTES_MAX)
    self->dropped++;
  else
    eg_buffer_append (&self->waiting, line);
}

void
eg_log_queue_init (struct eg_log_queue *self)
{
  struct eg_log_writer writer = {take_line, self};
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  eg_buffer_init (&self->waiting);
  self->dropped = 0;
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  eg_log_set_writer (&writer);
}

void
eg_log_queue_flush (struct eg_log_queue *self)
{
  ssize_t written;

  if (self->dropped > 0 && self->waiting.len < WAITING_BYTES_MAX / 2)
    {
      eg_log (EG_LOG_WARNING, "journal", "event=lines-dropped count=%" PRIu64,
              self->dropped);
      self->dropped = 0;
    }
  if (self->waiting.len == 0)
    return;
  written = write (STDOUT_FILENO, self->waiting.data, self->waiting.len);
  if (written > 0)
    eg_buffer_consume (&self->waiting, (size_t) written);
  else if (written < 0 && errno != EAGAIN && errno != EINTR)
    {
      /* Nobody reads: there is no place left to report that to. */
      eg_buffer_clear (&self->waiting);
    }
}

void
eg_log_queue_finish (struct eg_log_queue *self)
{
  struct eg_log_writer writer = {NULL, NULL};

  eg_log_queue_flush (self);
  eg_log_set_writer (&writer);
  eg_buffer_finish (&self->waiting);
}
