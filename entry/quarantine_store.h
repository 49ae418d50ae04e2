/**
 * @file
 * Keeps quarantines in the platform's store, for entry VMs that the others
 * cannot tell of them: all that start again at the same time, and those of a
 * failure domain that is cut off from the other ones.
 *
 * Readers write a quarantine when they decide on it, that of a part with the
 * suspects that may have caused the crashes in its place. A VM reads the list
 * when it starts; readers also while they do not hear all failure domains.
 */
#ifndef EG_ENTRY_QUARANTINE_STORE_H
#define EG_ENTRY_QUARANTINE_STORE_H

#include "platform/store.h"
#include "policy/crash_blame.h"

struct eg_entry;

/** Most suspects stored with a quarantine; an object of the store holds as many
 *  with all their crashes. */
#define EG_QUARANTINE_SUSPECTS_MAX 1024

/** Most changes that wait to be written; further ones are dropped. */
#define EG_QUARANTINE_CHANGES_MAX 64

/** A quarantine to be written or deleted. */
struct eg_quarantine_change
{
  struct eg_subject subject;
  int64_t blamed_us; /**< 0: delete it. */
};

/** State of one VM; allocated by the caller. */
struct eg_quarantine_store
{
  struct eg_entry *entry;
  struct eg_store_call call;
  bool listing; /**< The call lists; otherwise it is the first change. */
  struct eg_quarantine_change changes[EG_QUARANTINE_CHANGES_MAX];
  size_t change_count;
  unsigned failures; /**< Consecutive failures of calls. */
  int64_t resume_us; /**< Earliest time of the next call. */
  bool read;         /**< The list was read since the start. */
  int64_t list_due_us;
};

/** Initialises without changes to write. */
void eg_quarantine_store_init (struct eg_quarantine_store *self,
                               struct eg_entry *entry);

/** Cancels the call in progress. */
void eg_quarantine_store_finish (struct eg_quarantine_store *self);

/** Takes note of a quarantine that this VM has decided on. */
void eg_quarantine_store_add (struct eg_quarantine_store *self,
                              const struct eg_suspect *suspect);

/** Takes note of a quarantine that is over before its time. */
void eg_quarantine_store_remove (struct eg_quarantine_store *self,
                                 const struct eg_suspect *suspect);

/** Writes all quarantines anew: the store may have lost them. */
void eg_quarantine_store_restored (struct eg_quarantine_store *self);

/** Starts calls that are due; call it on every tick. */
void eg_quarantine_store_check (struct eg_quarantine_store *self,
                                int64_t now_us);

#endif
