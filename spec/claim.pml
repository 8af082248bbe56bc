/*
 * Calls that may not be repeated: claims of keys in the log, and questions
 * about one attempt after a broken link.
 *
 * Two agents may crash at any time and come back as new incarnations that know
 * only the log. Callers repeat one key through any agent. An append may fail,
 * with or without taking effect, and is read late.
 *
 * An entry sends one attempt to agent 0. The request may be delayed while the
 * link breaks. The entry asks for the outcome, and sends the call to agent 1
 * only if agent 0 says that it has not run.
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

byte record[LOGMAX];    /* incarnations in the order of their claims */
byte length = 0;
byte lastInc = AGENTS;  /* newest incarnation */
byte keyRuns = 0;       /* runs of the key */
byte callRuns = 0;      /* runs of the entry's call */

byte inc[AGENTS];       /* incarnation, from 1 */
byte pos[AGENTS];       /* records read */
byte holder[AGENTS];    /* who holds the key, 0 if nobody */
bool pending[AGENTS];   /* a claim of this incarnation is on the way */
bool ran[AGENTS];       /* the key has run in this incarnation */
bool seen[AGENTS];      /* the entry's attempt has arrived */
bool done[AGENTS];      /* the entry's attempt has run here */
bool banned[AGENTS];    /* the entry's attempt is refused from now on */

byte requestFor = 0;    /* incarnation that the delayed request is for */
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
  :: pending[i] = true  /* the append failed, and the agent can't tell */
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
  /* A call with the key arrives; the claim is on the way already, or sent. */
  :: atomic { !ran[i] && holder[i] == 0 && !pending[i] ->
#ifdef RUN_UNREAD
       claimKey(i); runKey(i)
#else
       claimKey(i)
#endif
     }
  /* A refused call has left this incarnation as the holder; it may run. */
  :: atomic { !ran[i] && holder[i] == inc[i] && !pending[i] -> runKey(i) }
  /* A claim that has not come back in time is given up. */
  :: atomic { pending[i] -> pending[i] = false }
  :: atomic { pos[i] < length -> readRecord(i) }
  :: atomic { lastInc < INCMAX -> restart(i) }
  od
}

/* The delayed request reaches agent 0 at any time, once. */
proctype Link() {
end:
  atomic { requestFor != 0 ->
    if
    :: requestFor == inc[0] && !banned[0] -> seen[0] = true
    :: else -> skip  /* refused as not run */
    fi }
}

/* Agent 0 runs the attempt that it has accepted. */
proctype Runner() {
end:
  do
  :: atomic { seen[0] && !done[0] && inc[0] == requestFor -> runCall(0) }
  od
}

proctype Entry() {
  requestFor = inc[0];
  do
  /* The link is broken; ask the same incarnation. */
  :: atomic { !resent && ASKED && !seen[0] ->
#ifndef NO_BAN
       banned[0] = true;
#endif
       resent = true; runCall(1) }
  :: break  /* gives up as may-have-run */
  od
}

init {
  atomic {
    inc[0] = 1; inc[1] = 2;
    run Agent(0); run Agent(1); run Link(); run Runner(); run Entry()
  }
}
