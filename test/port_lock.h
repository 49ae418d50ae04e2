/**
 * @file
 * Fixed ports of a test, kept from the same test in another working copy.
 */
#ifndef EG_TEST_PORT_LOCK_H
#define EG_TEST_PORT_LOCK_H

/** Waits until the ports called @p name are free, and keeps them until the
 *  process ends. */
void port_lock (const char *name);

#endif
