/**
 * @file
 * A network path to a server, on loopback addresses. While it is cut, nothing
 * arrives and no connection is established. Bytes that were on their way are
 * held up, as TCP holds them: their sender's kernel sends them again, after
 * 0.2 s and at doubled intervals, also when the program has closed the
 * connection. They are lost if it has reset the connection.
 */
#ifndef REVIEW_PATH_H
#define REVIEW_PATH_H

#include "base/list.h"
#include "net/socket.h"

/** A path; its memory belongs to the caller. */
struct review_path
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  struct eg_endpoint endpoint;
  struct eg_endpoint target;
  struct eg_list connections;
  bool is_cut;
  void (*note) (const char *text);
};

/** Listens on a free port and forwards connections to @p target. */
void review_path_open (struct review_path *self,
                       uv_loop_t *loop,
                       struct eg_endpoint target,
                       void (*note) (const char *text));

/** Cuts the path, or heals it. */
void review_path_cut (struct review_path *self, bool cut);

#endif
