#include "test/port_lock.h"

#include <fcntl.h>
#include <stdio.h>
#include <sys/file.h>

#include "base/status.h"

#define LOCK_MODE 0666

void
port_lock (const char *name)
{
  char path[256];
  int fd;

  snprintf (path, sizeof path, "/tmp/eelgrass-test-%s.lock", name);
  fd = open (path, O_CREAT | O_RDWR | O_CLOEXEC, LOCK_MODE);
  EG_INVARIANT (fd >= 0 && flock (fd, LOCK_EX) == 0);
}
