/**
 * @file
 * What all entry VMs together have under way on each server, so that none has
 * to guess how full a server is from its own requests.
 *
 * Load answered: many entry VMs with few requests each before servers whose
 * memory holds some tens of streams. Each VM tells its reader what it has
 * under way; readers tell each other and return the sums. Messages are
 * datagrams: a lost one is replaced by the next, and figures that are too old
 * are not used.
 */
#ifndef EG_ENTRY_LOADS_H
#define EG_ENTRY_LOADS_H

#include <jansson.h>
#include <uv.h>

#include "net/socket.h"

struct eg_entry;

/** Most VMs whose figures one reader sums. */
#define EG_LOADS_SENDERS_MAX 256

/** The last figures of one VM, or of another reader's VMs. */
struct eg_load_sender
{
  struct eg_endpoint endpoint;
  bool is_reader; /**< Figures of all VMs that tell it. */
  int64_t heard_us;
  json_t *loads;
};

/** The exchange of figures; memory of the caller. */
struct eg_loads
{
  struct eg_entry *entry;
  uv_udp_t socket;
  bool open;
  struct eg_load_sender senders[EG_LOADS_SENDERS_MAX];
  size_t sender_count;
  int64_t told_us;
};

/** Opens the datagram socket beside the peers' listener; false if it cannot. */
bool eg_loads_open (struct eg_loads *self, struct eg_entry *entry);

/** Closes the socket; run the loop once more before the memory goes. */
void eg_loads_finish (struct eg_loads *self);

/** Does what is due. */
void eg_loads_check (struct eg_loads *self, int64_t now_us);

#endif
