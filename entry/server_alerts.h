/**
 * @file
 * What entry VMs tell each other of servers: which are suspect, which are
 * leaving, and the limits that they name. The first two are sent with the load
 * figures; alerts contain them alone when they change, or the limits.
 */
#ifndef EG_ENTRY_SERVER_ALERTS_H
#define EG_ENTRY_SERVER_ALERTS_H

#include <jansson.h>
#include <stdint.h>

struct eg_entry;

/** State of one VM; allocated by the caller. */
struct eg_server_alerts
{
  struct eg_entry *entry;
  int64_t sent_us; /**< Of the last alert about suspects. */
};

/** Registers the message type, to be sent after the load figures. */
void eg_server_alerts_init (struct eg_server_alerts *self,
                            struct eg_entry *entry);

/** Sends an alert if none has been sent within a short interval. */
void eg_server_alerts_raise (struct eg_server_alerts *self, int64_t now_us);

/** Lists the ids of suspect servers, for `down` of a message. */
json_t *eg_server_alerts_list_suspects (const struct eg_entry *entry);

/** Lists the servers that have said they are leaving, for `leaving`. */
json_t *eg_server_alerts_list_leaving (const struct eg_entry *entry);

/** Applies `down`, `leaving` and `limits` of a message of any type. */
void eg_server_alerts_apply (struct eg_entry *entry,
                             const json_t *message,
                             int64_t now_us);

#endif
