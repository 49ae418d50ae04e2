/**
 * @file
 * Finds what crashes backend servers, from what entry VMs see of the crashes,
 * and quarantines it: a request that comes again, or a part that the prompts of
 * different requests have in common.
 *
 * A crash takes along every request that the server was running, so that one
 * crash says little about each of them and of their parts. A subject is blamed
 * for crashes that no other one explains as well, and only if it was not served
 * since: what crashes servers is in flight at each of these crashes and is
 * never served. What its runs had delivered at these crashes tells suspects
 * apart that are equal otherwise. A part is not blamed for crashes that a
 * single request explains. Several servers that end at the same moment, as in a
 * loss of power, count as one crash of a request. For a part they count as more
 * if it was in flight on every server that ended then.
 *
 * Of parts that nothing else tells apart the narrowest is blamed: the one that
 * fewer requests hold, or that stands later in the prompts. A part that was at
 * as many crashes and is not blamed is on trial until a request with it is
 * served: only one such request is sent at a time. The same goes for a request
 * with a blamed part that lacks one that explains the crashes as well.
 *
 * VMs exchange what they know of each suspect. Merging is idempotent and does
 * not depend on the order, so that messages may be lost, repeated and relayed.
 */
#ifndef EG_POLICY_CRASH_BLAME_H
#define EG_POLICY_CRASH_BLAME_H

#include "base/list.h"
#include "base/map.h"
#include "policy/quarantine.h"

EG_BEGIN_DECLS

/** Most crashes kept for each suspect; older ones are dropped. */
#define EG_SUSPECT_CRASHES_MAX 16

/** The end of one start of a server, as a subject met it. */
struct eg_crash
{
  uint64_t server; /**< Stands for the server and its start. */
  int64_t at_us;
  bool delivered; /**< A run of the subject had delivered something there. */
};

/** Kinds of subjects that may crash servers. */
enum eg_subject_kind
{
  EG_SUBJECT_REQUEST, /**< A request, by its fingerprint. */
  EG_SUBJECT_PART,    /**< A part of a prompt, by its id. */
  EG_SUBJECT_KINDS,
};

/** What may crash servers. */
struct eg_subject
{
  enum eg_subject_kind kind;
  uint64_t id;
};

/** What is known of a subject that was in flight at a crash. */
struct eg_suspect
{
  struct eg_subject subject;
  int64_t served_us; /**< When it was last served well; 0: not known. */
  int64_t blamed_us; /**< When it was blamed; 0: it is not. */
  uint32_t place; /**< First place of a part in prompts, from 1; 0: unknown. */
  /** A set of the requests that held a part at crashes: a bit for each, chosen
   *  by the fingerprint, so that sets of several VMs can be united. */
  uint64_t requests;
  unsigned crash_count;
  struct eg_crash crashes[EG_SUSPECT_CRASHES_MAX]; /**< That count. */
};

/** Settings; times in microseconds. */
struct eg_crash_blame_config
{
  /** Crashes for which a subject is blamed, by its kind; at least 2. */
  unsigned crashes_min[EG_SUBJECT_KINDS];
  /** Time after the last of these for signs that the subject is sound. */
  int64_t settle_us;
  /** Crashes so soon after a subject was served do not count against it. */
  int64_t trust_us;
  int64_t window_us;   /**< A suspect is forgotten after no news for so long. */
  int64_t duration_us; /**< Of the quarantine. */
  size_t suspects_max; /**< At least 1. */
};

/** Callbacks; may be NULL. */
struct eg_crash_blame_events
{
  /** A subject was blamed, by this VM itself (@p decided) or another one. */
  void (*blamed) (void *context,
                  const struct eg_suspect *suspect,
                  bool decided);
  /** A subject that was blamed is not any more. */
  void (*cleared) (void *context, const struct eg_suspect *suspect);
  void *context;
};

/** Slots for what was served; a later subject takes the slot of another. A
 *  fleet with prompts of some dozen parts serves thousands in @c trust_us. */
#define EG_SERVED_SLOTS 8192

/** When a subject was last served. */
struct eg_served_slot
{
  uint64_t key; /**< Of the subject. */
  int64_t at_us;
};

/** All suspects of one VM; allocated by the caller. */
struct eg_crash_blame
{
  struct eg_crash_blame_config config;
  struct eg_crash_blame_events events;
  struct eg_map suspects;   /**< By subject. */
  struct eg_list by_change; /**< Suspects, the latest news last. */
  struct eg_list news;      /**< Suspects with news for other VMs. */
  struct eg_list blamed;    /**< Suspects that are blamed. */
  struct eg_list repeated;  /**< Suspects that were at several crashes. */
  /** Number of unconfirmed runs with a part, by its subject. */
  struct eg_map unconfirmed;
  struct eg_quarantine *quarantine;
  /** What was served before it is suspected. */
  struct eg_served_slot served[EG_SERVED_SLOTS];
  int64_t check_due_us;    /**< INT64_MAX: nothing is due. */
  size_t summary_position; /**< Where the next summary starts. */
};

/** Initialises an empty set. @return false if out of memory. */
bool eg_crash_blame_init (struct eg_crash_blame *self,
                          const struct eg_crash_blame_config *config,
                          const struct eg_crash_blame_events *events);

/** Frees the suspects. */
void eg_crash_blame_finish (struct eg_crash_blame *self);

/**
 * Records that a subject was in flight on a server that crashed, and had not
 * shown by then that it is sound.
 * @return whether that was not known yet.
 */
bool eg_crash_blame_record_crash (struct eg_crash_blame *self,
                                  struct eg_subject subject,
                                  const struct eg_crash *crash,
                                  int64_t now_us);

/** Where a part of a prompt was found. */
struct eg_part_use
{
  uint64_t request; /**< Fingerprint of the request. */
  uint32_t place;   /**< In the prompt, from 1. */
};

/** As eg_crash_blame_record_crash(), for a part of a prompt. */
bool eg_crash_blame_record_part_crash (struct eg_crash_blame *self,
                                       uint64_t part,
                                       const struct eg_part_use *use,
                                       const struct eg_crash *crash,
                                       int64_t now_us);

/** Records that a subject was served well. */
void eg_crash_blame_record_served (struct eg_crash_blame *self,
                                   struct eg_subject subject,
                                   int64_t now_us);

/**
 * Takes note that this VM could send nothing to servers for a time: what was
 * served shortly before or in it is trusted as if it had been served later by
 * as long as the rest of that time.
 */
void eg_crash_blame_record_idle (struct eg_crash_blame *self,
                                 int64_t from_us,
                                 int64_t to_us);

/**
 * Adds what another VM knows of a suspect.
 * @return whether some of it was new.
 */
bool eg_crash_blame_merge (struct eg_crash_blame *self,
                           const struct eg_suspect *theirs,
                           int64_t now_us);

/** Blames subjects whose time has come, and forgets old suspects. */
void eg_crash_blame_check (struct eg_crash_blame *self, int64_t now_us);

/**
 * Returns whether a subject is in quarantine.
 * @param[out] retry_after_us time until its end; may be NULL.
 */
bool eg_crash_blame_is_blamed (const struct eg_crash_blame *self,
                               struct eg_subject subject,
                               int64_t now_us,
                               int64_t *retry_after_us);

/**
 * Collects a blamed part and what may have crashed the servers in its place:
 * with these a VM that starts can clear the part, and blame the right one.
 * @return the number of suspects, the part itself first; 0 if it is not blamed
 * or none of its crashes is known.
 */
size_t eg_crash_blame_collect_rivals (const struct eg_crash_blame *self,
                                      struct eg_subject subject,
                                      const struct eg_suspect **suspects,
                                      size_t max);

/** Returns the number of crashes at which a suspect is known to have been. */
unsigned eg_crash_blame_crash_count (const struct eg_crash_blame *self,
                                     struct eg_subject subject);

/** What may crash servers of one request. */
struct eg_crash_subjects
{
  uint64_t request;      /**< Fingerprint. */
  const uint64_t *parts; /**< Of its prompt, in order. */
  size_t part_count;
};

/** What to do with a request. */
enum eg_crash_ruling
{
  EG_CRASH_SEND,
  EG_CRASH_TRY,    /**< Send it, if no other one with the part is on trial. */
  EG_CRASH_HOLD,   /**< Another one is on trial. */
  EG_CRASH_REFUSE, /**< It is in quarantine. */
};

/** What is decided on a request, and why. */
struct eg_crash_verdict
{
  enum eg_crash_ruling ruling;
  int64_t retry_after_us; /**< 0 if it may be sent. */
  struct eg_subject subject;
  /** Number of VMs that may each try a request; 0: all. */
  uint32_t vms_max;
};

/** Decides whether a request may be sent. */
struct eg_crash_verdict
eg_crash_blame_judge (const struct eg_crash_blame *self,
                      const struct eg_crash_subjects *subjects,
                      int64_t now_us);

/** Takes note that a request is sent, which may be a trial of its parts. */
void eg_crash_blame_record_sent (struct eg_crash_blame *self,
                                 const struct eg_crash_subjects *subjects,
                                 int64_t now_us);

/**
 * Takes back a trial of the parts of a request that was sent at @p sent_us and
 * was not run.
 */
void eg_crash_blame_record_not_run (struct eg_crash_blame *self,
                                    const struct eg_crash_subjects *subjects,
                                    int64_t sent_us);

/**
 * Takes note of a run that ended so that its server may have crashed: its parts
 * are not tried until that is known.
 */
void
eg_crash_blame_record_unconfirmed (struct eg_crash_blame *self,
                                   const struct eg_crash_subjects *subjects);

/** Takes note that nothing more is to be found out about such a run. */
void eg_crash_blame_record_confirmed (struct eg_crash_blame *self,
                                      const struct eg_crash_subjects *subjects);

/** Calls @p visit for each subject that is blamed. */
void eg_crash_blame_visit_blamed (
    const struct eg_crash_blame *self,
    void (*visit) (void *context, const struct eg_suspect *suspect),
    void *context);

/**
 * Takes up to @p max suspects with news for the other VMs. Each piece of news
 * is taken several times, since messages may be lost.
 * @return their number.
 */
size_t eg_crash_blame_take_news (struct eg_crash_blame *self,
                                 const struct eg_suspect **suspects,
                                 size_t max);

/** Returns whether there is news for the other VMs. */
bool eg_crash_blame_has_news (const struct eg_crash_blame *self);

/**
 * Takes up to @p max of the suspects that matter to a VM that knows nothing,
 * each in its turn: those that are blamed or were seen in several crashes.
 * @return their number.
 */
size_t eg_crash_blame_take_summary (struct eg_crash_blame *self,
                                    const struct eg_suspect **suspects,
                                    size_t max);

EG_END_DECLS

#endif
