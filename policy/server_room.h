/**
 * @file
 * Whether a server that has refused requests for want of room is asked again.
 *
 * After a refusal no request is sent for a while, or for as long as the server
 * has asked for, then a single one. The others follow unless that one is
 * refused too, so that many waiting requests cost a full server, and the retry
 * budget, no more than one does.
 */
#ifndef EG_POLICY_SERVER_ROOM_H
#define EG_POLICY_SERVER_ROOM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decls.h"

EG_BEGIN_DECLS

/** Longest pause that a server may ask for. */
#define EG_SERVER_PAUSE_MAX_US INT64_C (300000000)

/** Room of one server, as seen by one VM; zero means that it has room. */
struct eg_server_room
{
  int64_t closed_until_us;
  int64_t paused_until_us; /**< As the server has asked; 0: it has not. */
  bool trial_due; /**< The next request tells whether there is room again. */
};

/** Records that the server refused a request. */
void eg_server_room_refused (struct eg_server_room *self, int64_t now_us);

/**
 * Records that the server asked for no request from this VM for @p pause_us. A
 * later, shorter pause does not end an earlier one. Longer pauses than
 * EG_SERVER_PAUSE_MAX_US are taken as that long: then a single request tells.
 */
void eg_server_room_pause (struct eg_server_room *self,
                           int64_t pause_us,
                           int64_t now_us);

/** Records that a request is sent to the server. */
void eg_server_room_sent (struct eg_server_room *self, int64_t now_us);

/** Returns whether the server has asked for a pause that is not over. */
bool eg_server_room_is_paused (const struct eg_server_room *self,
                               int64_t now_us);

/** Returns whether the server may have room for another request. */
bool eg_server_room_is_open (const struct eg_server_room *self, int64_t now_us);

EG_END_DECLS

#endif
