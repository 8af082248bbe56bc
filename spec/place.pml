/*
 * Model placement: two agents with an engine each, and a model M that both
 * engines hold at first. An agent unloads M only after the other agent, the
 * keeper, has granted a pin, that is, promised to keep its copy. A keeper
 * refuses while it unloads M itself, or while orders of an earlier incarnation
 * that it doesn't know of may still take effect.
 *
 * Engine 0 refuses orders with a stale fencing number; engine 1 ignores fencing
 * numbers. Orders are lost, delayed, duplicated and reordered. Agents crash and
 * restart with orders in flight; pins end at any time.
 *
 * The memory of an engine holds either M or another model O: the agent must not
 * order a load of O before M is unloaded and no load of M can take effect any
 * more, nor the reverse.
 *
 * Invariants: no engine holds M and O, and at least one engine holds M.
 *
 * MISTAKES: NO_PIN GRANT_WHILE_UNLOADING RELEASE_ON_ANSWER RESTART_FORGETS
 */
#define N 2
#define MAXFENCE 3
#define IDLE 0
#define ASKING 1
#define GRANTED 2
#define ORDERED 3

/* Engines. */
bool hasM[N] = true;
bool hasO[N];
byte fence[N];

/* Orders in flight: the action by fencing number, 0 for none. */
#define LOADM 1
#define LOADO 2
#define UNLOADM 3
#define UNLOADO 4
#define BARRIER 5
typedef Flight { byte action[MAXFENCE + 1] }
Flight flight[N];

/* Agents. */
byte last[N];         /* highest fencing number issued */
byte stage[N];        /* stage of the unload of M */
byte issued[N];       /* fencing number of the unload */
bool asked[N];        /* a pin request is in transit to the keeper */
byte answer[N];       /* the keeper's: 0 none, 1 granted, 2 refused */
bool presumed[N];     /* unknown orders may still take effect */
byte barrier[N];      /* number of the barrier after a restart, 0 for none */
bool mayM[N], mayO[N]; /* a load that may take effect, as the agent knows */
byte crashes;

#define checks(a) (a == 0)
#define other(a) (1 - a)

#ifdef GRANT_WHILE_UNLOADING
#define mayKeep(a) true
#else
#define mayKeep(a) (stage[a] == IDLE)
#endif

#ifdef RELEASE_ON_ANSWER
#define freeOfM(a) (!hasM[a] || stage[a] == ORDERED)
#else
#define freeOfM(a) (!hasM[a] && stage[a] == IDLE)
#endif

inline act(e, f) {
  if
  :: checks(e) && f < fence[e] -> skip
  :: else ->
    if
    :: f > fence[e] -> fence[e] = f
    :: else -> skip
    fi;
    if
    :: flight[e].action[f] == LOADM -> hasM[e] = true
    :: flight[e].action[f] == LOADO -> hasO[e] = true
    :: flight[e].action[f] == UNLOADM -> hasM[e] = false
    :: flight[e].action[f] == UNLOADO -> hasO[e] = false
    :: else -> skip
    fi
  fi;
  assert(!(hasM[e] && hasO[e]));
  assert(hasM[0] || hasM[1])
}

/* Sets result if the agent knows that no order numbered below f can take effect
 * any more. */
inline provedOver(e, f, result) {
  result = false;
  if
  :: checks(e) -> result = (fence[e] >= f)
  :: else ->
    /* The maximum delay has passed: each order has taken effect or is lost. */
    result = true;
    k = 1;
    do
    :: k < f -> result = result && (flight[e].action[k] == 0); k++
    :: else -> break
    od
  fi
}

inline send(e, a) {
  last[e]++;
  flight[e].action[last[e]] = a
}

active [N] proctype agent() {
  byte me = _pid;
  byte k;
  bool over;
  do
  /* Start to unload M: request a pin, or with NO_PIN go on without one. */
  :: atomic { stage[me] == IDLE && !presumed[me] && hasM[me] && last[me] < MAXFENCE ->
#ifdef NO_PIN
       stage[me] = GRANTED
#else
       stage[me] = ASKING; asked[me] = true; answer[me] = 0
#endif
     }
  /* Answer a pin request as the keeper. */
  :: atomic { asked[other(me)] ->
       asked[other(me)] = false;
       if
       :: hasM[me] && !presumed[me] && mayKeep(me) -> answer[other(me)] = 1
       :: else -> answer[other(me)] = 2
       fi }
  /* The grant arrives, or the request is abandoned together with its answer. */
  :: atomic { stage[me] == ASKING && answer[me] == 1 -> answer[me] = 0; stage[me] = GRANTED }
  :: atomic { stage[me] == ASKING && !(answer[me] == 1) ->
       stage[me] = IDLE; asked[me] = false; answer[me] = 0 }
  /* Order the unload; the stage stays ORDERED until the order can't take effect
     any more. */
  :: atomic { stage[me] == GRANTED && !presumed[me] && last[me] < MAXFENCE ->
       send(me, UNLOADM); issued[me] = last[me]; stage[me] = ORDERED }
  :: atomic { stage[me] == ORDERED && !presumed[me] ->
       provedOver(me, issued[me] + 1, over);
       if
       :: over -> stage[me] = IDLE
       :: else -> skip
       fi }
  /* A report ends the reservation of a load that can't take effect any more. */
  :: atomic { !presumed[me] && (mayM[me] || mayO[me]) ->
       provedOver(me, last[me], over);
       if
       :: over && flight[me].action[last[me]] != LOADM && flight[me].action[last[me]] != LOADO
          -> mayM[me] = false; mayO[me] = false
       :: else -> skip
       fi }
  /* Load O, or M again, where the agent's reservations leave room. */
  :: atomic { !presumed[me] && last[me] < MAXFENCE && !mayM[me] && !hasO[me] && freeOfM(me) ->
       send(me, LOADO); mayO[me] = true }
  :: atomic { !presumed[me] && last[me] < MAXFENCE && !mayO[me] && !hasO[me] && !hasM[me] && stage[me] == IDLE ->
       send(me, LOADM); mayM[me] = true }
  :: atomic { !presumed[me] && last[me] < MAXFENCE && hasO[me] -> send(me, UNLOADO) }
  /* Raise the fencing number of the engine with an order that does nothing. */
  :: atomic { !presumed[me] && last[me] < MAXFENCE && checks(me) -> send(me, BARRIER) }
  /* A crash loses all state except what the engine reports; last is kept, so
     that no number is issued twice. */
  :: atomic { crashes < 1 -> crashes++;
       stage[me] = IDLE; asked[me] = false; answer[me] = 0;
       mayM[me] = false; mayO[me] = false;
#ifndef RESTART_FORGETS
       presumed[me] = true; barrier[me] = 0
#endif
     }
  :: atomic { presumed[me] && checks(me) && barrier[me] == 0 && last[me] < MAXFENCE ->
       send(me, BARRIER); barrier[me] = last[me] }
  :: atomic { presumed[me] ->
       if
       :: checks(me) && barrier[me] != 0 && fence[me] >= barrier[me] -> presumed[me] = false
       :: !checks(me) -> provedOver(me, last[me] + 1, over); presumed[me] = !over
       :: else -> skip
       fi }
  od
}

/* Delivers orders once or several times, or loses them, in any order. */
active proctype network() {
  byte e, f;
  bool acts, stays;
  do
  :: atomic {
       select(e : 0 .. 1); select(f : 1 .. MAXFENCE);
       if
       :: flight[e].action[f] != 0 ->
          if
          :: acts = true; stays = true
          :: acts = true; stays = false
          :: acts = false; stays = false
          fi;
          if
          :: acts -> act(e, f)
          :: else -> skip
          fi;
          if
          :: stays -> skip
          :: else -> flight[e].action[f] = 0
          fi
       :: else -> skip
       fi;
       e = 0; f = 0; acts = false; stays = false }
  od
}
