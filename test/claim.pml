/* The claim protocol for one key: runners that may pause anywhere or die, a
 * store whose replies are lost and whose writes may take effect late, and a
 * sweep. Checked: at most one run, and no refusal that says "not run" while or
 * after the key ran, or before its own sending runs.
 *
 * `late` says that a runner's dispatch bound has passed. The lifetime is longer
 * than the bound, so a claim is only swept once its holder is late. A runner
 * that dies is one that takes no further step. The sending thread compares the
 * time and sends in one step; what a pause between the two would take is in
 * docs/design/at-most-once.md.
 *
 * Each of these breaks one guard, and the check must then fail:
 *   BROKEN=1 dispatch when the reply to the claim is lost
 *   BROKEN=2 no nonce: any claim read back counts as one's own
 *   BROKEN=3 release after dispatch
 *   BROKEN=4 take over a claim whose runner seems dead
 *   BROKEN=5 no dispatch bound: a paused runner dispatches after the sweep
 *   BROKEN=6 tell the caller "not run" after the release
 *   BROKEN=7 tell the caller "not run" without the claim
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

byte mark = MISSING;
byte holder = NOBODY;
byte version = 0; /* Rises with each write. */
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
bool said_no[RUNNERS];
bool begun[RUNNERS];
bool late[RUNNERS];

/* A write of each runner that left and has not reached the store yet. */
byte delayed_mark[RUNNERS];
byte delayed_version[RUNNERS];

inline apply (who, new_mark, expected, written)
{
  if
  :: expected == (mark == MISSING -> 0 : version) ->
     mark = new_mark;
     holder = who;
     version++;
     written = version
  :: else -> written = 0
  fi
}

/* One conditional write. Its reply arrives, or is lost before or after the
 * write took effect, or while it is still on its way.
 * written: the new version, 0 after a conflict or a lost reply. */
inline write (who, new_mark, expected, written, lost)
{
  atomic {
    lost = true;
    written = 0;
    if
    :: true -> apply (who, new_mark, expected, written); lost = false
    :: true -> apply (who, new_mark, expected, written); written = 0
    :: skip
    :: delayed_mark[who] == MISSING && MAY_DELAY ->
       COUNT_DELAY;
       delayed_mark[who] = new_mark;
       delayed_version[who] = expected
    fi
  }
}

inline read (seen_mark, seen_holder, seen_version)
{
  atomic {
    seen_mark = mark;
    seen_holder = (mark == MISSING -> NOBODY : holder);
    seen_version = (mark == MISSING -> 0 : version)
  }
}

inline say_no (who)
{
  atomic {
    if
    :: late[who] -> skip /* It says "unknown". */
    :: else -> assert (runs == 0); said_no[who] = true
    fi
  }
}

proctype Runner (byte who)
{
  byte expected = 0;
  byte reads = 0;
  byte written = 0;
  byte seen_mark = MISSING;
  byte seen_holder = NOBODY;
  byte seen_version = 0;
  bool lost = false;

claim:
  write (who, CLAIMED, expected, written, lost);
  if
  :: written != 0 -> expected = written; goto held
  :: written == 0 && lost && BROKEN == 1 -> goto held
  :: written == 0 -> skip
  fi;

look:
  if
  :: reads == READS_MAX -> goto unsure
  :: reads < READS_MAX -> reads++
  fi;
  read (seen_mark, seen_holder, seen_version);
  expected = seen_version;
  if
  :: seen_mark == MISSING -> goto claim
  :: seen_mark != MISSING && (seen_holder == who || BROKEN == 2) -> goto held
  :: seen_mark == RELEASED && seen_holder != who -> goto claim
  :: seen_mark == FINISHED && seen_holder != who -> goto end
  :: seen_mark == CLAIMED && seen_holder != who ->
     if
     :: BROKEN == 4 -> goto claim
     :: goto look
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
    :: late[who] && BROKEN != 5 -> goto refuse
    :: else ->
       assert (!said_no[who]);
       runs++;
       assert (runs == 1)
    fi
  }
  write (who, (BROKEN == 3 -> RELEASED : FINISHED), expected, written, lost);
  goto end;

refuse:
  if
  :: BROKEN != 6 -> say_no (who)
  :: else -> skip
  fi;
  write (who, RELEASED, expected, written, lost);
  if
  :: BROKEN == 6 -> say_no (who)
  :: else -> skip
  fi;
  goto end;

unsure:
  if
  :: BROKEN == 7 -> say_no (who)
  :: else -> skip
  fi;
  read (seen_mark, seen_holder, seen_version);
  if
  :: seen_mark == MISSING || seen_holder == who ->
     write (who, RELEASED, seen_version, written, lost)
  :: else -> skip
  fi;

end:
  atomic {
    expected = 0;
    reads = 0;
    written = 0;
    seen_mark = MISSING;
    seen_holder = NOBODY;
    seen_version = 0;
    lost = false
  }
}

/* Sendings that arrive at any time. */
active proctype Callers ()
{
  byte next = 0;

  do
  :: next < RUNNERS -> atomic { begun[next] = true; run Runner (next); next++ }
  :: next == RUNNERS -> break
  od
}

/* Delayed writes take effect, bounds pass, and the sweep deletes. */
active proctype World ()
{
  byte who = 0;
  byte written = 0;

endless:
  do
  :: atomic {
       select (who : 0 .. RUNNERS - 1);
       if
       :: delayed_mark[who] != MISSING ->
          apply (who, delayed_mark[who], delayed_version[who], written);
          delayed_mark[who] = MISSING;
          delayed_version[who] = 0
       :: begun[who] && !late[who] -> late[who] = true
       :: else -> skip
       fi;
       who = 0;
       written = 0
     }
  :: atomic {
       mark != MISSING && late[holder] && sweeps < 1 ->
       mark = MISSING;
       holder = NOBODY;
       version++;
       runs = 0;
       sweeps++
     }
  od
}
