/*
 * The configuration log: two operators publish concurrently, and entries fold
 * the log, pull state from each other, write checkpoints and restart while old
 * records expire.
 *
 * A configuration is identified by the offset of its publish record. The log
 * holds the base of each publish and, for a checkpoint, the offset up to which
 * it replaces the log and the configuration accepted there.
 *
 * MISTAKES: NO_BASE_CHECK SERVE_BEFORE_FOLD PULL_LOWERS FORGET_NEXT SKIP_GAP RESUME_ANY
 */

#define RECORDS 4
#define ENTRIES 2

/* Record kinds. */
#define NONE 0
#define PUBLISH 1
#define CHECKPOINT 2

byte kind[RECORDS + 1];
byte base[RECORDS + 1];  /* base of a publish */
byte upTo[RECORDS + 1];  /* last offset that a checkpoint replaces */
byte holds[RECORDS + 1]; /* configuration accepted at a checkpoint */
byte end = 1;            /* offset of the next record */
byte first = 1;          /* offset of the oldest retained record */

/* Reference: the configuration that a fold of the whole log accepts after each
 * offset. */
byte truth[RECORDS + 1];
byte winners[RECORDS + 1]; /* accepted publishes on each base */

byte next[ENTRIES];
byte accepted[ENTRIES];
bool whole[ENTRIES];   /* the state covers all records before next */
bool ready[ENTRIES];
bool restarted;

/* The newest retained checkpoint that a fold can resume from, 0 for none. */
byte point;

inline find_point() {
  byte at = end;
  point = 0;
  do
  :: at > first && point == 0 ->
     at--;
     if
#ifdef RESUME_ANY
     :: kind[at] == CHECKPOINT -> point = at
#else
     :: kind[at] == CHECKPOINT && upTo[at] + 1 >= first -> point = at
#endif
     :: else
     fi
  :: else -> break
  od;
  at = 0
}

/* Asserts that an entry's configuration equals the fold of the records that it
 * covers. */
inline follows(self) {
  assert(accepted[self] == truth[next[self] - 1])
}

inline append_publish(on) {
  kind[end] = PUBLISH;
  base[end] = on;
  if
#ifdef NO_BASE_CHECK
  :: true ->
#else
  :: on == truth[end - 1] ->
#endif
     truth[end] = end;
     winners[on]++
  :: else -> truth[end] = truth[end - 1]
  fi;
  assert(winners[on] <= 1);
  end++
}

/* An operator reads the log, then publishes with what it read as the base. One
 * operator may publish twice, because the response to an append can be lost. */
proctype Operator(bool repeats) {
  byte saw;
  atomic { saw = truth[end - 1] };
  if
  :: atomic { end <= RECORDS -> append_publish(saw) }
  :: true -> skip
  fi;
  if
  :: atomic { repeats && end <= RECORDS -> append_publish(saw) }
  :: true -> skip
  fi
}

proctype Entry(byte self) {
  byte other;
  bool gap;
  other = 1 - self;
end_loop:
  do
  /* Reads one record. */
  :: atomic { whole[self] && next[self] >= first && next[self] < end ->
       if
       :: kind[next[self]] == PUBLISH && base[next[self]] == accepted[self] ->
          accepted[self] = next[self]
       :: else
       fi;
       next[self]++;
       follows(self) }
  /* Detects that records expired before they were read. */
#ifdef SKIP_GAP
  :: atomic { next[self] < first -> next[self] = first }
#else
  :: atomic { next[self] < first && whole[self] -> whole[self] = false }
#endif
  /* Resumes from the newest checkpoint and folds the records after it. */
  :: atomic { !whole[self] ->
       find_point();
       if
       :: point != 0 ->
          assert(holds[point] >= accepted[self]);
          accepted[self] = holds[point];
#ifdef RESUME_ANY
          next[self] = (upTo[point] + 1 < first -> first : upTo[point] + 1);
#else
          next[self] = upTo[point] + 1;
#endif
          whole[self] = true;
          follows(self)
       :: else
       fi;
       point = 0 }
  /* Adopts a peer's folded state. */
#ifdef PULL_LOWERS
  :: atomic { whole[other] ->
#else
  :: atomic { whole[other] && next[other] > next[self] && next[other] >= first ->
#endif
       assert(accepted[other] >= accepted[self]);
       accepted[self] = accepted[other];
#ifndef FORGET_NEXT
       next[self] = next[other];
#endif
       whole[self] = true;
       follows(self) }
  /* Becomes ready once it has folded the log to its end. */
#ifdef SERVE_BEFORE_FOLD
  :: atomic { !ready[self] && accepted[self] != 0 ->
#else
  :: atomic { !ready[self] && whole[self] && next[self] == end && accepted[self] != 0 ->
#endif
       ready[self] = true;
       assert(accepted[self] == truth[end - 1]) }
  /* Writes a checkpoint of its folded state, possibly after newer records. */
  :: atomic { whole[self] && next[self] > 1 && end <= RECORDS ->
       kind[end] = CHECKPOINT;
       upTo[end] = next[self] - 1;
       holds[end] = accepted[self];
       truth[end] = truth[end - 1];
       end++ }
  /* Entry 0 restarts once, without persistent state. */
  :: atomic { self == 0 && ready[self] && !restarted ->
       next[self] = 1;
       accepted[self] = 0;
       whole[self] = true;
       ready[self] = false;
       restarted = true }
  od
}

/* The log expires old records whether or not a checkpoint replaces them. */
proctype Retention() {
end_loop:
  do
  :: atomic { first < end -> first++ }
  od
}

init {
  atomic {
    whole[0] = true; whole[1] = true;
    next[0] = 1; next[1] = 1;
    run Operator(true); run Operator(false);
    run Entry(0); run Entry(1);
    run Retention()
  }
}
