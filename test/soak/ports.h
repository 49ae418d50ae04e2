/**
 * @file
 * Ports that the daemons and proxies of the soak test listen on.
 */
#ifndef EG_SOAK_PORTS_H
#define EG_SOAK_PORTS_H

#include <stdbool.h>
#include <stdint.h>

/** Number of ports to draw from. They are below the range of ephemeral ports:
 *  an outgoing connection could take an ephemeral port before the daemon
 *  listens on it, or while a proxy does not listen. */
#define SOAK_PORT_COUNT 19400U

/** Returns port number @p index, below SOAK_PORT_COUNT. No port is one of the
 *  fixed ports of other tests, which may run at the same time. */
uint16_t soak_port (unsigned index);

/** Reserves a port against other tests on this machine and other draws of this
 *  process; false if it is reserved already. */
bool soak_reserve_port (uint16_t port);

/** Ends the reservations of this process. */
void soak_release_ports (void);

/** Draws and reserves a port that is free now. */
uint16_t soak_find_free_port (void);

#endif
