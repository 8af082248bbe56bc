/* The division of one customer's rate limit between two entries, as enforced by
   one agent, with terms and views in a log. Messages carry cumulative totals
   and may be lost, duplicated and delayed; an entry may pause or crash after
   every step.

   Invariant: the units held by the incarnations that the agent admits never
   exceed WHOLE.

   MISTAKES: NO_FENCE GIVE_FIRST COUNT_UNLISTED NO_INCARNATION NO_FLOOR REJOIN_SAME */

#ifdef COUNT_UNLISTED
#define COUNTED 1
#else
#define COUNTED (listed[i] && listedLife[i] == life[O])
#endif
#ifdef NO_FLOOR
#define FLOOR 0
#else
#define FLOOR agentFloor
#endif
#ifdef NO_FENCE
#define FENCED 1
#else
#define FENCED (installed[i] || fresh[i])
#endif
#ifdef NO_INCARNATION
#define SAMELIFE 1
#else
#define SAMELIFE (rLife == memberLife[i])
#endif
#ifdef REJOIN_SAME
#define RENEWED 1
#else
#define RENEWED (life[O] >= gone[i])
#endif
#define WHOLE 2
#define TERMS 2
#define LIVES 1
#define O (1 - i)

/* Per entry: units held, incarnation, term it follows, and for that term the
   units at its start and the totals granted to it and returned by it. */
byte units[2], life[2], term[2], base[2], got[2], back[2];

/* Per entry as coordinator. phase: 0 not coordinator, 1 counting the members,
   2 redistributing shares. */
byte phase[2], own[2];
bool excluded[2];                      /* not in the view before the claim, so its own share was not counted */
bool listed[2]; byte listedLife[2]; /* the other entry in the view before the claim */
bool fresh[2];                     /* there was no view before the claim */
bool member[2]; byte memberLife[2], ledgerBase[2], ledgerOut[2], ledgerBack[2];
bool recorded[2], installed[2], owner[2];
byte gone[2];                      /* incarnations of the other entry below this have left the view */

/* The log: the highest term claimed and the newest valid view. */
byte claimed; bool viewed; bool view[2]; byte viewLife[2];

/* The agent: its view, and the highest term in the log when it started. */
byte agentTerm, agentFloor; bool admits[2]; byte admitsLife[2];

/* The grant and the report in transit. */
byte gTerm, gTo, gLife, gTotal;
byte rTerm, rFrom, rLife, rTotal;

inline leave_office(e) {
  phase[e] = 0; own[e] = 0; excluded[e] = 0; listed[e] = 0; listedLife[e] = 0; fresh[e] = 0;
  member[e] = 0; memberLife[e] = 0; ledgerBase[e] = 0; ledgerOut[e] = 0; ledgerBack[e] = 0;
  recorded[e] = 0; installed[e] = 0; owner[e] = 0; gone[e] = 0
}

inline adopt(e, t) {
  leave_office(e);
  term[e] = t; base[e] = units[e]; got[e] = 0; back[e] = 0
}

inline renew(e) {
  units[e] = 0; life[e]++; base[e] = 0; got[e] = 0; back[e] = 0
}

/* Drops messages that no receiver would accept, which keeps the state space
   small. */
inline forget() {
  if :: gTerm > 0 && (gTerm < term[gTo] || gLife != life[gTo]) ->
        gTerm = 0; gTo = 0; gLife = 0; gTotal = 0 :: else fi;
  if :: rTerm > 0 && own[1 - rFrom] != rTerm -> rTerm = 0; rFrom = 0; rLife = 0; rTotal = 0 :: else fi
}

inline check() {
  assert((admits[0] && admitsLife[0] == life[0] -> units[0] : 0)
       + (admits[1] && admitsLife[1] == life[1] -> units[1] : 0) <= WHOLE)
}

#define HELD(e) (member[e] -> ledgerBase[e] + ledgerOut[e] - ledgerBack[e] : 0)

proctype Fleet() {
  byte i;
  do
  :: atomic { if :: i = 0 :: i = 1 fi;
  if
  /* A claim in the log makes an entry the coordinator. */
  :: claimed < TERMS && phase[i] == 0 && (claimed > 0 || i == 0) ->
     claimed++;
     adopt(i, claimed);
     phase[i] = 1; own[i] = claimed; fresh[i] = !viewed;
     listed[i] = view[O]; listedLife[i] = viewLife[O];
#ifndef COUNT_UNLISTED
     excluded[i] = !(view[i] && viewLife[i] == life[i]);
#endif
  /* Counting the members: the other entry follows the term and is counted. */
  :: phase[i] == 1 && term[O] < own[i] -> adopt(O, own[i])
  :: phase[i] == 1 && term[O] == own[i] && !member[i] && COUNTED ->
     member[i] = 1; memberLife[i] = life[O]; ledgerBase[i] = base[O]
  :: phase[i] == 1 -> phase[i] = 2; listed[i] = 0; listedLife[i] = 0
  /* A view is recorded in the log if no higher term was claimed. */
  :: phase[i] == 2 && !recorded[i] && claimed == own[i] ->
     recorded[i] = 1; viewed = 1;
     view[i] = !excluded[i]; viewLife[i] = life[i];
     view[O] = member[i]; viewLife[O] = memberLife[i]
  /* The agent installs a view unless its term is below the installed one or the
     one read at the start. */
  :: phase[i] == 2 && own[i] >= agentTerm && own[i] >= FLOOR ->
     agentTerm = own[i]; installed[i] = 1;
     admits[i] = !excluded[i]; admitsLife[i] = life[i];
     admits[O] = member[i]; admitsLife[O] = memberLife[i]
  /* The coordinator takes the units that no member holds, once the agent no
     longer admits their former holder. */
  :: phase[i] == 2 && !owner[i] && recorded[i] && FENCED ->
     owner[i] = 1; fresh[i] = 0;
     if :: excluded[i] -> life[i]++; excluded[i] = 0 :: else fi;
     units[i] = WHOLE - HELD(i)
  /* A member that stopped reporting is removed from the view. */
  :: phase[i] == 2 && member[i] ->
     gone[i] = memberLife[i] + 1;
     member[i] = 0; memberLife[i] = 0; ledgerBase[i] = 0; ledgerOut[i] = 0; ledgerBack[i] = 0;
     recorded[i] = 0; installed[i] = 0; owner[i] = 0; fresh[i] = 0
  /* An entry that is not a member drops its share and joins with no units. */
  :: phase[i] == 2 && !member[i] && term[O] < own[i] -> adopt(O, own[i])
  :: phase[i] == 2 && term[O] == own[i] && !(member[i] && memberLife[i] == life[O]) && life[O] < LIVES -> renew(O)
  :: phase[i] == 2 && !member[i] && term[O] == own[i] && base[O] == 0 && got[O] == 0 && RENEWED ->
     member[i] = 1; memberLife[i] = life[O]; recorded[i] = owner[i] && recorded[i]
  /* A grant is deducted from the coordinator's units and counted as held by the
     member before it is sent, and may be sent again. */
  :: phase[i] == 2 && owner[i] && member[i] && units[i] > 0 && ledgerOut[i] < 2 ->
#ifndef GIVE_FIRST
     units[i]--;
#endif
     ledgerOut[i]++;
     gTerm = own[i]; gTo = O; gLife = memberLife[i]; gTotal = ledgerOut[i]
  :: gTerm > 0 && gTerm == term[gTo] && gLife == life[gTo] && gTotal > got[gTo] ->
     units[gTo] = units[gTo] + gTotal - got[gTo]; got[gTo] = gTotal
  /* A return is deducted from the share before it is reported. */
  :: units[i] > 0 && phase[i] == 0 && term[i] > 0 && back[i] < 2 ->
     units[i]--; back[i]++;
     rTerm = term[i]; rFrom = i; rLife = life[i]; rTotal = back[i]
  :: rTerm > 0 && phase[i] == 2 && rTerm == own[i] && rFrom == O && member[i] && SAMELIFE && rTotal > ledgerBack[i] && rTotal - ledgerBack[i] <= HELD(i) ->
     units[i] = units[i] + rTotal - ledgerBack[i]; ledgerBack[i] = rTotal
  /* Messages are lost, entries are replaced, the agent restarts. */
  :: gTerm > 0 -> gTerm = 0; gTo = 0; gLife = 0; gTotal = 0
  :: rTerm > 0 -> rTerm = 0; rFrom = 0; rLife = 0; rTotal = 0
  :: life[i] < LIVES -> adopt(i, 0); renew(i)
  :: agentTerm > 0 ->
     agentTerm = 0; agentFloor = claimed;
     admits[0] = 0; admits[1] = 0; admitsLife[0] = 0; admitsLife[1] = 0
  :: else
  fi;
  forget(); check(); i = 0 }
  od
}

init { run Fleet() }
