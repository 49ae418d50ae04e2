#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/status.h"
#include "review/standin/parts.h"

/* The command of the deploy file, run in the root of the repository. */
#define DAEMON "target/entry/eelgrass-entry"
#define RESTART_MS 300
#define CALLERS_PORT 8227
#define READY_PORT 8220
#define PEERS_PORT 7340
#define SUBNETS 200

/* Settings as deploy/settings.toml.in gives them, with the bounds of a small
 * deployment. */
static void
write_settings (struct stand_vm *self)
{
  char store[32];
  FILE *file = fopen (self->settings, "w");

  EG_INVARIANT (file);
  soak_format_address (self->stand->store.server.endpoint, store, sizeof store);
  fprintf (file,
           "[node]\nname = \"edge-%s-%u\"\nfailure_domain = \"%s\"\n"
           "first_start = %s\n\n"
           "[listen]\ncallers = \"%s:%d\"\nreadiness = \"%s:%d\"\n"
           "peers = \"%s:%d\"\n\n[store]\naddress = \"%s\"\n\n"
           "[limits]\nmemory_mb = 260\ndescriptors = 4100\n"
           "link_mbps = 1000.0\ncpu_share = 0.25\n\n"
           "[stop]\ngrace_ms = 8000\n\n"
           "[keys]\nrevocation_bounded = true\nrevocation_ms = 5000\n\n"
           "[retry]\nratio = 0.2\nwindow_ms = 10000\nextra = 202\n\n"
           "[engines]\nstall_ms = 2000\nfenced = false\n",
           self->zone, self->number, self->zone,
           self->started_before ? "false" : "true", self->address, CALLERS_PORT,
           self->address, READY_PORT, self->address, PEERS_PORT, store);
  fclose (file);
}

static void
on_restart (uv_timer_t *timer)
{
  struct stand_vm *self = timer->data;

  if (!self->stand->stopping)
    stand_vm_start (self);
}

static void
on_exit_of_vm (uv_process_t *process, int64_t status, int number)
{
  struct stand_vm *self = process->data;

  self->running = false;
  self->exit_status = (int) status;
  self->exit_signal = number;
  stand_note (self->stand, "vm %u ends: status %d, signal %d", self->number,
              (int) status, number);
  uv_close ((uv_handle_t *) process, NULL);
  if (!self->stand->stopping && self->restarts)
    uv_timer_start (&self->restart_timer, on_restart, RESTART_MS, 0);
}

struct stand_vm *
stand_add_vm (struct stand *self, const char *zone)
{
  struct stand_vm *vm = &self->vms[self->vm_count];
  unsigned pid = (unsigned) getpid ();

  EG_INVARIANT (self->vm_count < STAND_VMS_MAX);
  vm->number = (unsigned) ++self->vm_count;
  vm->stand = self;
  vm->restarts = true;
  snprintf (vm->zone, sizeof vm->zone, "%s", zone);
  /* Each VM has a loopback address of its own, with the same ports. */
  snprintf (vm->address, sizeof vm->address, "127.%u.%u.%u", 20 + pid % SUBNETS,
            1 + pid / SUBNETS % SUBNETS, vm->number);
  snprintf (vm->settings, sizeof vm->settings, "%s/vm-%u.toml", self->folder,
            vm->number);
  uv_timer_init (&self->loop, &vm->restart_timer);
  vm->restart_timer.data = vm;
  return vm;
}

void
stand_vm_start (struct stand_vm *self)
{
  char variable[340];
  char path[] = "PATH=/usr/bin:/bin";
  char *arguments[] = {DAEMON, NULL};
  char *environment[] = {path, variable, NULL};
  char log_path[300];
  uv_stdio_container_t outputs[3] = {{.flags = UV_IGNORE}};
  uv_process_options_t options = {.exit_cb = on_exit_of_vm,
                                  .file = DAEMON,
                                  .args = arguments,
                                  .env = environment,
                                  .stdio = outputs,
                                  .stdio_count = 3};
  int log;

  write_settings (self);
  snprintf (variable, sizeof variable, "EELGRASSWOOD_SETTINGS=%s",
            self->settings);
  snprintf (log_path, sizeof log_path, "%s/vm-%u.log", self->stand->folder,
            self->number);
  log = open (log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  EG_INVARIANT (log >= 0);
  for (int i = 1; i < 3; i++)
    outputs[i] = (uv_stdio_container_t){.flags = UV_INHERIT_FD, .data.fd = log};
  self->process.data = self;
  self->started_us = eg_clock_now_us ();
  self->running = uv_spawn (&self->stand->loop, &self->process, &options) == 0;
  close (log);
  stand_note (self->stand, "vm %u %s, address %s", self->number,
              self->running ? "starts" : "cannot be started", self->address);
  self->started_before = true;
  if (!self->running)
    exit (2);
}

void
stand_vm_signal (struct stand_vm *self, int number)
{
  if (!self->running)
    return;
  stand_note (self->stand, "vm %u gets signal %d", self->number, number);
  uv_process_kill (&self->process, number);
}

long
stand_vm_memory_kb (const struct stand_vm *self, const char *field)
{
  char path[64];
  char line[256];
  long value = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int) self->process.pid);
  file = fopen (path, "r");
  while (file && fgets (line, sizeof line, file))
    if (strncmp (line, field, strlen (field)) == 0)
      value = strtol (line + strlen (field) + 1, NULL, 10);
  if (file)
    fclose (file);
  return value;
}

bool
stand_vm_is_ready (struct stand_vm *self)
{
  static const char request[] =
      "GET /eelgrasswood/readyz HTTP/1.1\r\nHost: vm\r\n"
      "Connection: close\r\n\r\n";
  struct sockaddr_in address = {.sin_family = AF_INET,
                                .sin_port = htons (READY_PORT)};
  struct timeval limit = {0, 200000};
  char answer[64] = "";
  int probe = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, self->address, &address.sin_addr);
  setsockopt (probe, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (probe, (struct sockaddr *) &address, sizeof address) == 0
      && send (probe, request, sizeof request - 1, MSG_NOSIGNAL) > 0)
    (void) !recv (probe, answer, sizeof answer - 1, 0);
  close (probe);
  return strncmp (answer, "HTTP/1.1 200", 12) == 0;
}

bool
stand_wait_ready (struct stand *self, unsigned ms)
{
  int64_t until_us = eg_clock_now_us () + ms * EG_US_PER_MS;

  for (;;)
    {
      size_t ready = 0;

      for (size_t i = 0; i < self->vm_count; i++)
        ready += self->vms[i].running && stand_vm_is_ready (&self->vms[i]);
      if (ready == self->vm_count)
        return true;
      if (eg_clock_now_us () >= until_us)
        return false;
      stand_wait (self, 100);
    }
}
