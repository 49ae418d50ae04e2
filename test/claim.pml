/* Model of the claim protocol for one key: runners that may pause at any point
 * or crash, a store that loses replies and delays writes, and a sweeper.
 *
 * Safety properties: the request runs at most once, and no refusal says "not
 * run" while or after the key ran, or before the refused submission itself
 * runs.
 *
 * `past_deadline` is set once a runner's dispatch deadline has passed. The
 * lifetime of a claim is longer than the time to the deadline, so a claim is
 * only swept after the deadline of its holder. A crashed runner is one that
 * takes no further step. The sending thread compares the time and sends in one
 * atomic step; docs/design/at-most-once.md covers a pause between the two.
 *
 * Each of these variants removes one safeguard, and the check must then fail:
 *   BROKEN=1 dispatch although the reply to the claim was lost
 *   BROKEN=2 ignore the nonce: any claim that is read counts as one's own
 *   BROKEN=3 release the claim after the dispatch
 *   BROKEN=4 take over a claim whose holder seems to have crashed
 *   BROKEN=5 ignore the deadline: a paused runner dispatches after the sweep
 *   BROKEN=6 report "not run" to the client after the release
 *   BROKEN=7 report "not run" to the client without holding the claim
 */
#ifndef BROKEN
#define BROKEN 0
#endif
#ifndef RUNNERS
#define RUNNERS 3
#endif
#ifndef READS_MAX
#define READS_MAX 2
#endif

#ifndef DELAYS_MAX
#define DELAYS_MAX 255
#endif

#define MISSING 0
#define CLAIMED 1
#define FINISHED 2
#define RELEASED 3
#define NOBODY 255

byte state = MISSING;
byte holder = NOBODY;
byte version = 0; /* Incremented by each write. */
byte runs = 0;    /* Within one lifetime of the claim. */
byte sweeps = 0;
#if DELAYS_MAX < 255
byte delays = 0;
#define MAY_DELAY (delays < DELAYS_MAX)
#define COUNT_DELAY delays++
#else
#define MAY_DELAY true
#define COUNT_DELAY skip
#endif
bool reported_not_run[RUNNERS];
bool submitted[RUNNERS];
bool past_deadline[RUNNERS];

/* For each runner, a write that was sent but has not reached the store yet. */
byte delayed_state[RUNNERS];
byte delayed_version[RUNNERS];

inline apply (runner, new_state, expected, written)
{
  if
  :: expected == (state == MISSING -> 0 : version) ->
     state = new_state;
     holder = runner;
     version++;
     written = version
  :: else -> written = 0
  fi
}

/* One conditional write. Its reply arrives, or is lost: after the write took
 * effect, with the write itself, or while the write is delayed.
 * written: the new version, 0 after a conflict or a lost reply. */
inline write (runner, new_state, expected, written, reply_lost)
{
  atomic {
    reply_lost = true;
    written = 0;
    if
    :: true -> apply (runner, new_state, expected, written); reply_lost = false
    :: true -> apply (runner, new_state, expected, written); written = 0
    :: skip
    :: delayed_state[runner] == MISSING && MAY_DELAY ->
       COUNT_DELAY;
       delayed_state[runner] = new_state;
       delayed_version[runner] = expected
    fi
  }
}

inline read (seen_state, seen_holder, seen_version)
{
  atomic {
    seen_state = state;
    seen_holder = (state == MISSING -> NOBODY : holder);
    seen_version = (state == MISSING -> 0 : version)
  }
}

inline report_not_run (runner)
{
  atomic {
    if
    :: past_deadline[runner] -> skip /* The refusal says "unknown". */
    :: else -> assert (runs == 0); reported_not_run[runner] = true
    fi
  }
}

proctype Runner (byte runner)
{
  byte expected = 0;
  byte reads = 0;
  byte written = 0;
  byte seen_state = MISSING;
  byte seen_holder = NOBODY;
  byte seen_version = 0;
  bool reply_lost = false;

claim:
  write (runner, CLAIMED, expected, written, reply_lost);
  if
  :: written != 0 -> expected = written; goto held
  :: written == 0 && reply_lost && BROKEN == 1 -> goto held
  :: written == 0 -> skip
  fi;

read_claim:
  if
  :: reads == READS_MAX -> goto give_up
  :: reads < READS_MAX -> reads++
  fi;
  read (seen_state, seen_holder, seen_version);
  expected = seen_version;
  if
  :: seen_state == MISSING -> goto claim
  :: seen_state != MISSING && (seen_holder == runner || BROKEN == 2) ->
     goto held
  :: seen_state == RELEASED && seen_holder != runner -> goto claim
  :: seen_state == FINISHED && seen_holder != runner -> goto end
  :: seen_state == CLAIMED && seen_holder != runner ->
     if
     :: BROKEN == 4 -> goto claim
     :: goto read_claim
     fi
  fi;

held:
  if
  :: goto dispatch
  :: goto refuse
  fi;

dispatch:
  atomic {
    if
    :: past_deadline[runner] && BROKEN != 5 -> goto refuse
    :: else ->
       assert (!reported_not_run[runner]);
       runs++;
       assert (runs == 1)
    fi
  }
  write (runner, (BROKEN == 3 -> RELEASED : FINISHED), expected, written,
         reply_lost);
  goto end;

refuse:
  if
  :: BROKEN != 6 -> report_not_run (runner)
  :: else -> skip
  fi;
  write (runner, RELEASED, expected, written, reply_lost);
  if
  :: BROKEN == 6 -> report_not_run (runner)
  :: else -> skip
  fi;
  goto end;

give_up:
  if
  :: BROKEN == 7 -> report_not_run (runner)
  :: else -> skip
  fi;
  read (seen_state, seen_holder, seen_version);
  if
  :: seen_state == MISSING || seen_holder == runner ->
     write (runner, RELEASED, seen_version, written, reply_lost)
  :: else -> skip
  fi;

end:
  atomic {
    expected = 0;
    reads = 0;
    written = 0;
    seen_state = MISSING;
    seen_holder = NOBODY;
    seen_version = 0;
    reply_lost = false
  }
}

/* Submissions arrive at any time. */
active proctype Callers ()
{
  byte next = 0;

  do
  :: next < RUNNERS ->
     atomic { submitted[next] = true; run Runner (next); next++ }
  :: next == RUNNERS -> break
  od
}

/* Delayed writes take effect, deadlines pass, and the sweeper deletes. */
active proctype Environment ()
{
  byte runner = 0;
  byte written = 0;

endless:
  do
  :: atomic {
       select (runner : 0 .. RUNNERS - 1);
       if
       :: delayed_state[runner] != MISSING ->
          apply (runner, delayed_state[runner], delayed_version[runner],
                 written);
          delayed_state[runner] = MISSING;
          delayed_version[runner] = 0
       :: submitted[runner] && !past_deadline[runner] ->
          past_deadline[runner] = true
       :: else -> skip
       fi;
       runner = 0;
       written = 0
     }
  :: atomic {
       state != MISSING && past_deadline[holder] && sweeps < 1 ->
       state = MISSING;
       holder = NOBODY;
       version++;
       runs = 0;
       sweeps++
     }
  od
}
