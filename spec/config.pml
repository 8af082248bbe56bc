/*
 * The configuration: two operators race to publish on a log, entries fold it,
 * pull from each other, expire records, write checkpoints and restart.
 *
 * A configuration is the offset of its publish. The log holds the base of each
 * publish, or for a checkpoint what it stands for.
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
byte base[RECORDS + 1];  /* of a publish */
byte upTo[RECORDS + 1];  /* of a checkpoint */
byte holds[RECORDS + 1]; /* accepted by a checkpoint */
byte end = 1;            /* offset of the next record */
byte first = 1;          /* oldest record kept */

/* The truth: what the fold of the whole log accepts after each offset. */
byte truth[RECORDS + 1];
byte winners[RECORDS + 1]; /* accepted publishes on each base */

byte next[ENTRIES];
byte accepted[ENTRIES];
bool whole[ENTRIES];   /* the fold has all records before next, or their result */
bool ready[ENTRIES];
bool restarted;

/* The newest checkpoint of the kept records that can be resumed from. */
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

/* What an entry runs follows from the records that it stands for. */
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

/* An operator reads the log, then publishes on what it saw; one of them perhaps
 * twice, as an answer can be lost. */
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
  /* Finds that records have expired unread. */
#ifdef SKIP_GAP
  :: atomic { next[self] < first -> next[self] = first }
#else
  :: atomic { next[self] < first && whole[self] -> whole[self] = false }
#endif
  /* Resumes from the newest checkpoint and folds what follows. */
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
  /* Takes over what a peer has folded. */
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
  /* Serves once it has folded to the end. */
#ifdef SERVE_BEFORE_FOLD
  :: atomic { !ready[self] && accepted[self] != 0 ->
#else
  :: atomic { !ready[self] && whole[self] && next[self] == end && accepted[self] != 0 ->
#endif
       ready[self] = true;
       assert(accepted[self] == truth[end - 1]) }
  /* Writes a checkpoint of what it has folded, perhaps late. */
  :: atomic { whole[self] && next[self] > 1 && end <= RECORDS ->
       kind[end] = CHECKPOINT;
       upTo[end] = next[self] - 1;
       holds[end] = accepted[self];
       truth[end] = truth[end - 1];
       end++ }
  /* One of them restarts, once, with nothing kept. */
  :: atomic { self == 0 && ready[self] && !restarted ->
       next[self] = 1;
       accepted[self] = 0;
       whole[self] = true;
       ready[self] = false;
       restarted = true }
  od
}

/* The log drops old records whether or not a checkpoint stands for them. */
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
