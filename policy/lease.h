/**
 * @file
 * A lease that is kept in one object of the platform's store; the version of
 * the object is the fencing number.
 *
 * The module does no I/O: it takes events and returns the next store operation,
 * of which at most one is outstanding. All times are of the process's own
 * monotonic clock. A holder counts its lease from before it sent the write. A
 * candidate counts from after it read the object's version, and takes the lease
 * only when that version has not changed for the duration of the lease plus a
 * margin for pauses.
 *
 * A holder that cannot act any more releases the lease: it stops acting, then
 * writes that it has. A process that has read the object for as long as a
 * candidate waits, since the store last came back from a copy, need not wait
 * then; any other waits as for a lease that is held.
 */
#ifndef EG_POLICY_LEASE_H
#define EG_POLICY_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "base/decls.h"
#include "base/random.h"
#include "policy/request.h"

EG_BEGIN_DECLS

/**
 * Times of a lease; must be the same on all entry VMs.
 *
 * At most one process considers itself the holder as long as the relative error
 * r of every clock's rate satisfies
 * (duration_us + pause_us) * (1 - r) >= (duration_us - drift_us) * (1 + r).
 */
struct eg_lease_config
{
  int64_t duration_us; /**< Of the lease, from the sending of a write. */
  int64_t drift_us;    /**< The holder stops this long before the end. */
  int64_t pause_us;    /**< A candidate waits this long after the end. */
  int64_t renew_us;    /**< Interval between writes of the holder. */
  int64_t watch_us;    /**< Interval between reads of a candidate. */
  int64_t retry_us;    /**< Delay after a failure, before jitter. */
};

/** Content of the lease object. */
struct eg_lease_record
{
  uint64_t incarnation; /**< Random, of the writing process. */
  uint64_t sequence;    /**< Number of the write, to recognise it in a read
                         if its reply was lost. */
  char holder[EG_NAME_BYTES]; /**< Name of the entry VM; for operators. */
  bool released;              /**< The holder has stopped acting. */
};

/** Input events. */
enum eg_lease_event
{
  EG_LEASE_TIME,        /**< Time has passed. */
  EG_LEASE_FOUND,       /**< The read returned a record and its version. */
  EG_LEASE_MISSING,     /**< The read found no object. */
  EG_LEASE_WRITTEN,     /**< The write succeeded; carries the version. */
  EG_LEASE_CONFLICT,    /**< The write's condition failed. */
  EG_LEASE_UNAVAILABLE, /**< The write had no effect, or a read failed. */
  EG_LEASE_NO_REPLY,    /**< No reply; the write may still take effect. */
};

/** The next store operation. */
enum eg_lease_action
{
  EG_LEASE_WAIT,   /**< None; see eg_lease_wake_us(). */
  EG_LEASE_READ,   /**< Read the object. */
  EG_LEASE_CREATE, /**< Write @c next if there is no object. */
  EG_LEASE_UPDATE, /**< Write @c next if the version is @c version. */
};

/** A lease as seen by one process; allocated by the owner. */
struct eg_lease
{
  const struct eg_lease_config *config;
  struct eg_lease_record next; /**< Content of the next or outstanding write. */
  uint64_t version;            /**< Last read; 0 if there was no object. */
  int64_t seen_us;             /**< When that version was first read. */
  int64_t watched_us;          /**< Since when every state was of one era. */
  int64_t checked_us;          /**< When it was last read. */
  int64_t valid_until_us;      /**< See eg_lease_until_us(). */
  int64_t confirmed_us;        /**< See eg_lease_confirmed_us(). */
  int64_t sent_us;             /**< When the last operation was sent. */
  int64_t written_us;          /**< When @c next was sent. */
  int64_t wake_us;             /**< When EG_LEASE_TIME is due. */
  enum eg_lease_action outstanding;
  /** The store has stepped back since the outstanding operation was sent. */
  bool outstanding_is_outdated;
  bool seen;       /**< Whether @c version was ever read. */
  bool must_read;  /**< Whether a read must precede the next write. */
  bool ours;       /**< Whether that version names this process. */
  bool confirming; /**< Whether a confirming read was requested. */
  bool releasing;  /**< Whether the release is still to be written. */
  /** Writes up to this one may be of a state that the store has lost. */
  uint64_t lost_sequence;
};

/**
 * Initialises a lease that is not held.
 * @param config must outlive the lease.
 * @param incarnation random, never used by another process.
 * @param holder name of the entry VM.
 */
void eg_lease_init (struct eg_lease *self,
                    const struct eg_lease_config *config,
                    uint64_t incarnation,
                    struct eg_str holder);

/**
 * Processes one event. All but EG_LEASE_TIME are replies to the outstanding
 * operation; each operation has exactly one.
 * @param version with FOUND and WRITTEN.
 * @param found with FOUND.
 */
enum eg_lease_action eg_lease_update (struct eg_lease *self,
                                      enum eg_lease_event event,
                                      uint64_t version,
                                      const struct eg_lease_record *found,
                                      int64_t now_us,
                                      struct eg_random *random);

/**
 * Takes note that the store has come back from an older copy. A holder goes on
 * until its time ends or it reads that it is not; any other process waits as
 * long as for a lease that was just written, whatever the object says.
 */
void eg_lease_store_restored (struct eg_lease *self, int64_t now_us);

/**
 * Gives up the lease: it is not held any more, and the store is told at the
 * next EG_LEASE_TIME, which is due at once. Does nothing if it is not held.
 */
void eg_lease_release (struct eg_lease *self, int64_t now_us);

/** Returns whether a release is still to be written. */
bool eg_lease_is_releasing (const struct eg_lease *self);

/** Takes note that the holder may have released the lease: it is read at the
 *  next EG_LEASE_TIME, which is due at once unless an operation is outstanding.
 */
void eg_lease_look (struct eg_lease *self, int64_t now_us);

/** Makes the holder confirm its lease with a read at the next EG_LEASE_TIME. */
void eg_lease_confirm (struct eg_lease *self);

/** Returns when EG_LEASE_TIME is due; INT64_MAX while an operation is
 *  outstanding. */
int64_t eg_lease_wake_us (const struct eg_lease *self);

/** Returns whether this process may act as the holder. */
bool eg_lease_is_held (const struct eg_lease *self, int64_t now_us);

/** Returns the time until which eg_lease_is_held() is true; 0 or a past time if
 *  the lease is not held. */
int64_t eg_lease_until_us (const struct eg_lease *self);

/**
 * Returns when the last successful read or write was sent, if its reply named
 * this process as the holder; 0 if not, or if a later write failed on its
 * condition. The object named this process at that time or later.
 */
int64_t eg_lease_confirmed_us (const struct eg_lease *self);

/** Returns the fencing number; only valid while the lease is held. */
uint64_t eg_lease_fencing (const struct eg_lease *self);

/** Appends the record as JSON. */
void eg_lease_record_encode (const struct eg_lease_record *self,
                             struct eg_buffer *json);

/** Parses a record from JSON; returns false if it is malformed. */
bool eg_lease_record_decode (struct eg_lease_record *self, struct eg_str json);

EG_END_DECLS

#endif
