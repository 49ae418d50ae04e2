/**
 * @file
 * Tells what was in flight when backend servers crashed: confirms
 * that a server has ended before its lost runs count as a crash, and exchanges
 * what is known of suspects with the other entry VMs.
 *
 * The exchange needs neither the store nor a reader: a few datagrams go to the
 * other VMs directly, or, if there are many, to some of them chosen at random,
 * which pass them on.
 */
#ifndef EG_ENTRY_CRASH_WATCH_H
#define EG_ENTRY_CRASH_WATCH_H

#include "base/list.h"
#include "policy/crash_blame.h"

struct eg_backend;
struct eg_entry;

/** A run that has delivered events for this long has not crashed its server and
 *  will not. */
#define EG_SOUND_RUN_US INT64_C (500000)

/** Duration of a quarantine. */
#define EG_QUARANTINE_US INT64_C (600000000)

/** State of one VM; allocated by the caller. */
struct eg_crash_watch
{
  struct eg_entry *entry;
  struct eg_crash_blame blame;
  struct eg_list runs; /**< Lost, left or ended early, the oldest first. */
  size_t run_count;
  size_t run_part_count; /**< Of the prompts of all these runs. */
  int64_t summary_sent_us;
  size_t summary_member; /**< Position of the member to send it to. */
};

/** Initialises without suspects, and registers the message type. */
void eg_crash_watch_init (struct eg_crash_watch *self, struct eg_entry *entry);

/** Frees all suspects and lost runs. */
void eg_crash_watch_finish (struct eg_crash_watch *self);

/**
 * Takes note that the connection to @p backend ended under a run of a request,
 * which counts once the server is known to have ended.
 * @param delivered the run had delivered something.
 */
void eg_crash_watch_run_lost (struct eg_crash_watch *self,
                              struct eg_backend *backend,
                              const struct eg_crash_subjects *subjects,
                              bool delivered,
                              int64_t now_us);

/**
 * Takes note that a run ended well, but soon after it began on @p backend:
 * that shows the request to be sound if the server lives on.
 */
void eg_crash_watch_run_ended (struct eg_crash_watch *self,
                               struct eg_backend *backend,
                               const struct eg_crash_subjects *subjects,
                               int64_t now_us);

/**
 * Takes note that the caller of a run has left, and the run was ended for that,
 * before it showed to be sound: it counts if the server ends soon after.
 */
void eg_crash_watch_run_left (struct eg_crash_watch *self,
                              struct eg_backend *backend,
                              const struct eg_crash_subjects *subjects,
                              bool delivered,
                              int64_t now_us);

/** Takes note that a request was served well. */
void eg_crash_watch_served (struct eg_crash_watch *self,
                            const struct eg_crash_subjects *subjects,
                            int64_t now_us);

/** Takes note that this VM had no path to servers since @p lost_us. */
void eg_crash_watch_path_back (struct eg_crash_watch *self,
                               int64_t lost_us,
                               int64_t now_us);

/**
 * Decides whether a request may be sent: it, or a part of its prompt, may be in
 * quarantine or on trial.
 */
struct eg_crash_verdict
eg_crash_watch_judge (const struct eg_crash_watch *self,
                      const struct eg_crash_subjects *subjects,
                      int64_t now_us);

/** Takes note that a request is sent to a server. */
void eg_crash_watch_sent (struct eg_crash_watch *self,
                          const struct eg_crash_subjects *subjects,
                          int64_t now_us);

/** Takes note that a request that was sent at @p sent_us was not run. */
void eg_crash_watch_not_run (struct eg_crash_watch *self,
                             const struct eg_crash_subjects *subjects,
                             int64_t sent_us);

/**
 * Confirms crashes and sends a summary if one is due; call it on every tick.
 * News is sent by the exchange of messages.
 */
void eg_crash_watch_check (struct eg_crash_watch *self, int64_t now_us);

#endif
