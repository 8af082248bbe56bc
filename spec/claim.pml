/*
 * Calls that must run at most once: claims of idempotency keys in the log, and
 * queries for the outcome of one attempt after its connection broke.
 *
 * Two agents may crash at any time and restart as new incarnations whose only
 * knowledge is the log. Callers retry one key through any agent. An append may
 * fail, with or without taking effect, and is read with a delay.
 *
 * An entry sends one attempt to agent 0. The request may still be in transit
 * when the connection breaks. The entry queries the outcome, and sends the call
 * to agent 1 only if agent 0 reports that it has not run.
 *
 * MISTAKES: RUN_UNREAD IGNORE_CLAIMS LAST_WINS NO_BAN ANY_INCARNATION
 */
#define AGENTS 2
#define LOGMAX 3
#define INCMAX 4

#ifdef ANY_INCARNATION
#define ASKED true
#else
#define ASKED (inc[0] == requestFor)
#endif

byte record[LOGMAX];    /* claiming incarnations, in log order */
byte length = 0;
byte lastInc = AGENTS;  /* newest incarnation number */
byte keyRuns = 0;       /* runs of the key */
byte callRuns = 0;      /* runs of the entry's call */

byte inc[AGENTS];       /* current incarnation, from 1 */
byte pos[AGENTS];       /* records read */
byte holder[AGENTS];    /* incarnation that holds the key, 0 for none */
bool pending[AGENTS];   /* this incarnation waits for its claim */
bool ran[AGENTS];       /* the key has run in this incarnation */
bool seen[AGENTS];      /* the entry's attempt has arrived */
bool done[AGENTS];      /* the entry's attempt has run in this incarnation */
bool banned[AGENTS];    /* the entry's attempt will be refused */

byte requestFor = 0;    /* incarnation the delayed request is addressed to */
bool resent = false;

inline runKey(i) {
  keyRuns++;
  ran[i] = true;
  assert(keyRuns <= 1)
}

inline runCall(i) {
  callRuns++;
  done[i] = true;
  assert(callRuns <= 1)
}

inline claimKey(i) {
  if
  :: length < LOGMAX -> record[length] = inc[i]; length++; pending[i] = true
  :: pending[i] = true  /* the append failed; the agent can't tell */
  fi
}

inline restart(i) {
  lastInc++;
  inc[i] = lastInc;
  holder[i] = 0;
  pending[i] = false;
  ran[i] = false;
  seen[i] = false;
  done[i] = false;
  banned[i] = false;
#ifdef IGNORE_CLAIMS
  pos[i] = length
#else
  pos[i] = 0
#endif
}

inline readRecord(i) {
#ifdef LAST_WINS
  holder[i] = record[pos[i]];
#else
  if
  :: holder[i] == 0 -> holder[i] = record[pos[i]]
  :: else -> skip
  fi;
#endif
  if
  :: record[pos[i]] == inc[i] && pending[i] ->
     pending[i] = false;
     if
     :: holder[i] == inc[i] && !ran[i] -> runKey(i)
     :: else -> skip
     fi
  :: else -> skip
  fi;
  pos[i] = pos[i] + 1
}

proctype Agent(byte i) {
end:
  do
  /* A call with the key arrives and its claim is appended, unless one is
     pending already. */
  :: atomic { !ran[i] && holder[i] == 0 && !pending[i] ->
#ifdef RUN_UNREAD
       claimKey(i); runKey(i)
#else
       claimKey(i)
#endif
     }
  /* The claim of an earlier refused call made this incarnation the holder, so
     a later call may run. */
  :: atomic { !ran[i] && holder[i] == inc[i] && !pending[i] -> runKey(i) }
  /* A claim that was not read back in time is abandoned. */
  :: atomic { pending[i] -> pending[i] = false }
  :: atomic { pos[i] < length -> readRecord(i) }
  :: atomic { lastInc < INCMAX -> restart(i) }
  od
}

/* Delivers the delayed request to agent 0 once, at any time. */
proctype Link() {
end:
  atomic { requestFor != 0 ->
    if
    :: requestFor == inc[0] && !banned[0] -> seen[0] = true
    :: else -> skip  /* refused as not run */
    fi }
}

/* Runs the attempt that agent 0 has accepted. */
proctype Runner() {
end:
  do
  :: atomic { seen[0] && !done[0] && inc[0] == requestFor -> runCall(0) }
  od
}

proctype Entry() {
  requestFor = inc[0];
  do
  /* The connection broke: query the same incarnation. */
  :: atomic { !resent && ASKED && !seen[0] ->
#ifndef NO_BAN
       banned[0] = true;
#endif
       resent = true; runCall(1) }
  :: break  /* gives up with may-have-run */
  od
}

init {
  atomic {
    inc[0] = 1; inc[1] = 2;
    run Agent(0); run Agent(1); run Link(); run Runner(); run Entry()
  }
}
