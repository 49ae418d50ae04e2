/**
 * @file
 * Locks the fixed ports of a test against concurrent runs on the same machine.
 */
#ifndef EG_TEST_PORT_LOCK_H
#define EG_TEST_PORT_LOCK_H

/** Waits for the lock called @p name and holds it until the process exits. */
void port_lock (const char *name);

#endif
