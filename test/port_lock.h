/**
 * @file
 * Lock on the fixed ports of a test, against concurrent runs of the same test
 * from another working copy.
 */
#ifndef EG_TEST_PORT_LOCK_H
#define EG_TEST_PORT_LOCK_H

/** Waits for the exclusive lock @p name, a file in /tmp, and holds it until
 *  the process ends. */
void port_lock (const char *name);

#endif
