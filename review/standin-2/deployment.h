/**
 * @file
 * A small deployment for the cases of the review: the platform's store and
 * backend servers in this process, entry VMs as separate processes, all on
 * loopback addresses. The stand-ins run on a thread of their own; a case runs
 * on the main thread, with blocking clients.
 */
#ifndef REVIEW_DEPLOYMENT_H
#define REVIEW_DEPLOYMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define REVIEW_SERVERS_MAX 4
#define REVIEW_VMS_MAX 3
#define REVIEW_ID_BYTES 64
#define REVIEW_TEXT_BYTES 16384

/** What a server does with its entry in the store. */
enum review_state
{
  REVIEW_READY,
  REVIEW_DRAINING,
};

/** Opens record.txt in the folder of the case and starts the stand-ins. */
void review_begin (const char *folder);

/** Ends all processes and stand-ins. */
void review_end (void);

/** Returns whether the case runs with its disruption. */
bool review_has_trouble (void);

/** Writes a line to record.txt, with the time since the start. */
void review_note (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/** Ends the case at once: it could not run. */
void review_cannot_run (const char *cause);

void review_sleep_ms (int64_t ms);

int64_t review_now_ms (void);

/** Writes the configuration, the text of a JSON object. */
void review_write_configuration (const char *text);

/** Starts a server and writes its entry; an engine has the model. */
void review_start_server (unsigned number,
                          const char *id,
                          const char *service,
                          bool is_engine);

/** Puts a path before a server, which can be cut; see path.h. */
void review_put_path (unsigned number);

void review_cut_path (unsigned number, bool cut);

/** Writes the state of a server to its entry. */
void review_set_state (unsigned number, enum review_state state);

/** Ends a server's process: resets its connections and closes its port. Its
 *  entry stays. */
void review_stop_server (unsigned number);

/** Starts a server again under its id, with a new time of start, and without
 *  its entry being written yet. */
void review_restart_server (unsigned number);

/** Removes a server's entry, if the store takes it. */
void review_remove_entry (unsigned number);

/** Lets the store answer no call, or all calls again. */
void review_set_store_down (bool down);

/** Lets an entry VM run the program of a build from before the settings grace_s
 *  and window_s. */
void review_use_older_build (unsigned number, const char *program);

/** Starts an entry VM in a failure domain of its own and waits until it is
 *  ready. */
void review_start_vm (unsigned number);

/** Kills an entry VM, starts it again and waits until it is ready. */
void review_restart_vm (unsigned number);

/** Opens a connection to the callers' port of an entry VM. */
int review_connect (unsigned vm);

/** Sends bytes. */
void review_send (int connection, const char *text);

/**
 * Reads what arrives until nothing has for @p quiet_ms, or the connection ends.
 * @return the number of bytes; @p text gets a terminating NUL.
 */
size_t
review_receive (int connection, char *text, size_t capacity, int64_t quiet_ms);

/** Returns when a server began its last run of a client's request. */
int64_t review_last_run_ms (unsigned number);

/** Returns how many requests of clients a server has run since its start. */
unsigned review_count_runs (unsigned number);

#endif
