#include "review/standin/standin.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/status.h"
#include "review/standin/parts.h"

#define CHECK_MS 20

void
stand_note (struct stand *self, const char *format, ...)
{
  double at_s = (double) (eg_clock_now_us () - self->start_us) / EG_US_PER_S;
  va_list args;

  fprintf (self->record, "%8.3f ", at_s);
  va_start (args, format);
  vfprintf (self->record, format, args);
  va_end (args);
  fputc ('\n', self->record);
  fflush (self->record);
}

static void
on_check (uv_timer_t *timer)
{
  stand_servers_check (timer->data);
}

void
stand_open (struct stand *self, const char *record)
{
  const char *trouble = getenv ("TROUBLE");

  memset (self, 0, sizeof *self);
  signal (SIGPIPE, SIG_IGN);
  self->start_us = eg_clock_now_us ();
  self->trouble = !trouble || strcmp (trouble, "0") != 0;
  self->record = fopen (record, "w");
  snprintf (self->folder, sizeof self->folder, "/tmp/eelgrass-review-XXXXXX");
  if (!self->record || !mkdtemp (self->folder)
      || access ("target/entry/eelgrass-entry", X_OK) != 0)
    {
      fprintf (stderr, "review: run in the root of the repository, after the "
                       "build of the deploy file\n");
      exit (2);
    }
  EG_INVARIANT (uv_loop_init (&self->loop) == 0);
  stand_note (self, "trouble=%d", self->trouble);
  stand_store_open (self);
  uv_timer_init (&self->loop, &self->heartbeat);
  self->heartbeat.data = self;
  uv_timer_start (&self->heartbeat, on_check, CHECK_MS, CHECK_MS);
}

static void
on_waited (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

void
stand_wait (struct stand *self, unsigned ms)
{
  static uv_timer_t timer;
  static bool ready;

  if (!ready)
    uv_timer_init (&self->loop, &timer);
  ready = true;
  uv_update_time (&self->loop);
  uv_timer_start (&timer, on_waited, ms, 0);
  uv_run (&self->loop, UV_RUN_DEFAULT);
}

static void
remove_file (const struct stand *self, const char *name, unsigned number)
{
  char path[320];

  snprintf (path, sizeof path, "%s/vm-%u.%s", self->folder, number, name);
  unlink (path);
}

void
stand_close (struct stand *self)
{
  const char *keep = getenv ("KEEP");

  self->stopping = true;
  for (size_t i = 0; i < self->vm_count; i++)
    stand_vm_signal (&self->vms[i], SIGCONT);
  for (size_t i = 0; i < self->vm_count; i++)
    stand_vm_signal (&self->vms[i], SIGKILL);
  for (unsigned i = 0; i < 50; i++)
    {
      size_t running = 0;

      for (size_t vm = 0; vm < self->vm_count; vm++)
        running += self->vms[vm].running;
      if (running == 0)
        break;
      stand_wait (self, 20);
    }
  fclose (self->record);
  if (keep)
    {
      fprintf (stderr, "review: logs in %s\n", self->folder);
      return;
    }
  for (unsigned i = 1; i <= self->vm_count; i++)
    {
      remove_file (self, "toml", i);
      remove_file (self, "log", i);
    }
  rmdir (self->folder);
}
