/**
 * @file
 * A lease on one object of the platform's store, whose version is the fencing
 * number.
 *
 * Events go in, the next store operation comes out; at most one operation is
 * outstanding. All times are of this process's own monotonic clock: a holder
 * counts its lease from before the write was sent, a candidate counts from
 * after it saw the object's version, and takes the lease only when that
 * version has stood for the lease's duration and a pause margin.
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
 * Times of a lease, the same on all entry VMs.
 *
 * At most one process believes that it holds the lease as long as the rates of
 * clocks are off by less than a share r of true time, where
 * (duration_us + pause_us) * (1 - r) >= (duration_us - drift_us) * (1 + r).
 */
struct eg_lease_config
{
  int64_t duration_us; /**< From the sending of a write. */
  int64_t drift_us;    /**< The holder stops this much before the end. */
  int64_t pause_us;    /**< A candidate waits this much longer. */
  int64_t renew_us;    /**< From one write of the holder to the next. */
  int64_t watch_us;    /**< From one read of a candidate to the next. */
  int64_t retry_us;    /**< After a failure, with jitter. */
};

/** What the object says. */
struct eg_lease_record
{
  uint64_t incarnation; /**< Random, of the process that wrote it. */
  uint64_t sequence;    /**< Of that process's writes; settles lost replies. */
  char holder[EG_NAME_BYTES]; /**< Name of the entry VM, for operators. */
};

/** What happens to a lease. */
enum eg_lease_event
{
  EG_LEASE_TIME,        /**< Time has passed. */
  EG_LEASE_FOUND,       /**< The read gave a record and its version. */
  EG_LEASE_MISSING,     /**< The read found no object. */
  EG_LEASE_WRITTEN,     /**< The store took the write; gives a version. */
  EG_LEASE_CONFLICT,    /**< The store refused the write's condition. */
  EG_LEASE_UNAVAILABLE, /**< Nothing took effect, or a read failed. */
  EG_LEASE_NO_REPLY,    /**< No reply; a write may take effect at any time. */
};

/** The store operation that comes next. */
enum eg_lease_action
{
  EG_LEASE_WAIT,   /**< None; see eg_lease_wake_us(). */
  EG_LEASE_READ,   /**< Read the object. */
  EG_LEASE_CREATE, /**< Write @c next if there is no object. */
  EG_LEASE_UPDATE, /**< Write @c next if the version is @c version. */
};

/** A lease as one process sees it; memory of the caller. */
struct eg_lease
{
  const struct eg_lease_config *config;
  struct eg_lease_record next; /**< What the next or outstanding write says. */
  uint64_t version;            /**< Last seen; 0 where there was no object. */
  int64_t seen_us;             /**< When that version was first seen. */
  int64_t checked_us;          /**< When it was last seen. */
  int64_t valid_until_us;      /**< Of the holder; 0 if it is not held. */
  int64_t confirmed_us;        /**< Before which the store named us. */
  int64_t sent_us;             /**< Of the outstanding operation. */
  int64_t written_us;          /**< When @c next was sent for the first time. */
  int64_t wake_us;
  enum eg_lease_action outstanding;
  bool seen;       /**< Whether @c version was ever read. */
  bool in_doubt;   /**< Whether it must be read before the next write. */
  bool ours;       /**< Whether the version seen names this process. */
  bool confirming; /**< Whether a read was asked for. */
};

/**
 * Prepares a lease that is not held.
 * @param config must outlive the lease.
 * @param incarnation random, never used by another process.
 */
void eg_lease_init (struct eg_lease *self,
                    const struct eg_lease_config *config,
                    uint64_t incarnation,
                    struct eg_str holder);

/**
 * Takes in one event. Those but EG_LEASE_TIME reply to the outstanding
 * operation, each of which has exactly one.
 * @param version of FOUND and WRITTEN.
 * @param found of FOUND.
 */
enum eg_lease_action eg_lease_update (struct eg_lease *self,
                                      enum eg_lease_event event,
                                      uint64_t version,
                                      const struct eg_lease_record *found,
                                      int64_t now_us,
                                      struct eg_random *random);

/** Asks a holder to have the lease confirmed by the store; needs a TIME. */
void eg_lease_confirm (struct eg_lease *self);

/** Returns when EG_LEASE_TIME is due; INT64_MAX while a reply is awaited. */
int64_t eg_lease_wake_us (const struct eg_lease *self);

/** Tells whether this process may act as the holder. */
bool eg_lease_is_held (const struct eg_lease *self, int64_t now_us);

/** Returns the end of eg_lease_is_held(), monotonic; 0 if it is not held. */
int64_t eg_lease_until_us (const struct eg_lease *self);

/**
 * Returns the time of this process before which the store is known to have
 * named it as the holder; 0 if the last reply did not.
 */
int64_t eg_lease_confirmed_us (const struct eg_lease *self);

/** Returns the fencing number of a lease that is held. */
uint64_t eg_lease_fencing (const struct eg_lease *self);

/** Appends the record as JSON. */
void eg_lease_record_encode (const struct eg_lease_record *self,
                             struct eg_buffer *json);

/** Reads a record; false if it is none. */
bool eg_lease_record_decode (struct eg_lease_record *self, struct eg_str json);

EG_END_DECLS

#endif
