/*
 * The leader lease of the entries: records in a log, each appended only if the
 * log ends at the offset that the writer expects.
 *
 * Two entries compete for the lease. An append may be acknowledged, be lost, or
 * take effect at any later time if its condition still holds. A holder may
 * release its term in the log, or end it by a message when it can't renew it.
 * Any entry may pause between any two steps. Time advances for all entries at
 * once.
 *
 * Invariants: at most one entry holds a term, and orders of different entries
 * are at least QUIET apart.
 *
 * MISTAKES: NO_WAIT FROM_ANSWER RELEASE_WHEN_ANSWERED RELEASE_ORDERS_AT_ONCE ORDER_UNCHECKED OLD_MESSAGE LATE_EXTENDS EXPIRED_ORDERS_AT_ONCE
 */
#define DURATION 2
#define ORDERS 1   /* the part of DURATION in which orders are allowed */
#define QUIET 3
#define SPAN 4     /* ORDERS + QUIET, beyond which times make no difference */
#define APPENDS 3
#define NOBODY 2

/* The log, of which only the newest record matters. */
byte end = 0;
byte holder = NOBODY;
byte number = 0;
bool released = false;

/* What entry i has read, and the time since it read it. */
byte readEnd[2];
byte readHolder[2];
byte readNumber[2];
bool readReleased[2];
byte known[2];

/* The time left of the own term, and how long orders must still wait in it. */
byte left[2];
byte hold[2];
bool armed[2];

/* The append in flight, and an earlier one that is presumed lost. */
byte sentAt[2];     /* expected end of the log, APPENDS if none is in flight */
byte sentNumber[2];
byte sentAge[2];
bool sentRelease[2];
byte lateAt[2];
byte lateNumber[2];
byte lateAge[2];
bool lateRelease[2];

/* The newest record sent before the entry ended its own term. */
byte endedNumber[2];
/* The other entry's message that its term ended with this record, and the time
 * since the message. */
byte quitNumber[2];
byte quitAge[2];

byte lastOrder = NOBODY;
byte sinceOrder = 0;
byte records = 0;

#define free(i) (readHolder[i] == NOBODY || readHolder[i] == i || readReleased[i] || quit(i) || waited(i))
#ifdef OLD_MESSAGE
#define quit(i) (quitNumber[i] > 0)
#else
#define quit(i) (quitNumber[i] > 0 && readNumber[i] <= quitNumber[i])
#endif
#ifdef NO_WAIT
#define waited(i) true
#else
#define waited(i) (known[i] >= DURATION)
#endif
#define mayOrder(i) (left[i] > DURATION - ORDERS && hold[i] == 0)

inline extend(i, n, age) {
  if
#ifndef LATE_EXTENDS
  :: n <= endedNumber[i] -> skip
#endif
  :: else ->
#ifdef FROM_ANSWER
     left[i] = DURATION
#else
     if
     :: age < DURATION && DURATION - age > left[i] -> left[i] = DURATION - age
     :: else -> skip
     fi
#endif
  fi
}

inline land(i, at, n, rel) {
  if
  :: at == end && end < APPENDS -> end++; holder = i; number = n; released = rel
  :: else -> skip
  fi;
  assert(!(left[0] > 0 && left[1] > 0))
}

inline endTerm(i) {
  left[i] = 0;
  endedNumber[i] = records
}

proctype Entry(byte i) {
  do
  /* Read the log. */
  :: atomic {
       readEnd[i] != end || readHolder[i] != holder ->
       readEnd[i] = end; readHolder[i] = holder; readNumber[i] = number; readReleased[i] = released;
       known[i] = 0;
       if
       :: holder == i && !released && number == sentNumber[i] -> extend(i, sentNumber[i], sentAge[i])
       :: holder == i && !released && number == lateNumber[i] -> extend(i, lateNumber[i], lateAge[i])
       :: holder != i -> left[i] = 0
       :: else -> skip
       fi;
       assert(!(left[0] > 0 && left[1] > 0)) }
  /* Send an append. */
  :: atomic {
       sentAt[i] == APPENDS && records < APPENDS && (left[i] > 0 || free(i)) ->
       records++;
       if
       :: left[i] == 0 && readHolder[i] != i && readHolder[i] != NOBODY && readReleased[i] ->
#ifdef RELEASE_ORDERS_AT_ONCE
          hold[i] = 0
#else
          hold[i] = QUIET - (known[i] < QUIET -> known[i] : QUIET)
#endif
       :: left[i] == 0 && readHolder[i] != i && readHolder[i] != NOBODY && !readReleased[i] && quit(i) ->
          hold[i] = QUIET - (quitAge[i] < QUIET -> quitAge[i] : QUIET)
#ifndef EXPIRED_ORDERS_AT_ONCE
       :: left[i] == 0 && readHolder[i] != i && readHolder[i] != NOBODY && !readReleased[i] && !quit(i) ->
          hold[i] = SPAN - (known[i] < SPAN -> known[i] : SPAN)
#endif
       :: else -> skip
       fi;
       sentAt[i] = readEnd[i]; sentNumber[i] = records; sentAge[i] = 0;
       if
       :: left[i] > 0 -> sentRelease[i] = true;
#ifndef RELEASE_WHEN_ANSWERED
          endTerm(i)
#endif
       :: sentRelease[i] = false
       fi }
  /* The append takes effect if its condition holds, and is acknowledged. */
  :: atomic {
       sentAt[i] < APPENDS ->
       if
       :: sentAt[i] == end ->
          land(i, sentAt[i], sentNumber[i], sentRelease[i]);
          readEnd[i] = end; readHolder[i] = i; readNumber[i] = number; readReleased[i] = released; known[i] = 0;
          if
          :: sentRelease[i] -> left[i] = 0
          :: else -> extend(i, sentNumber[i], sentAge[i])
          fi
       :: else -> skip
       fi;
       sentAt[i] = APPENDS;
       assert(!(left[0] > 0 && left[1] > 0)) }
  /* The append takes effect if its condition holds; the response is lost. */
  :: atomic { sentAt[i] < APPENDS -> land(i, sentAt[i], sentNumber[i], sentRelease[i]); sentAt[i] = APPENDS }
  /* The append is presumed lost and may take effect later. */
  :: atomic {
       sentAt[i] < APPENDS && lateAt[i] == APPENDS ->
       lateAt[i] = sentAt[i]; lateNumber[i] = sentNumber[i]; lateAge[i] = sentAge[i]; lateRelease[i] = sentRelease[i];
       sentAt[i] = APPENDS }
  :: atomic { lateAt[i] < APPENDS -> land(i, lateAt[i], lateNumber[i], lateRelease[i]); lateAt[i] = APPENDS }
  /* End a term that can't be renewed, by a message. */
  :: atomic {
       left[i] > 0 && left[i] <= DURATION - ORDERS ->
       endTerm(i);
       if
       :: readHolder[1 - i] == i -> quitNumber[1 - i] = records; quitAge[1 - i] = 0
       :: skip  /* the message is lost */
       fi }
  /* Issue an order; the permission is checked immediately before. */
#ifdef ORDER_UNCHECKED
  :: atomic { mayOrder(i) -> armed[i] = true }
  :: atomic {
       armed[i] -> armed[i] = false;
#else
  :: atomic {
       mayOrder(i) ->
#endif
       assert(lastOrder == NOBODY || lastOrder == i || sinceOrder >= QUIET);
       lastOrder = i; sinceOrder = 0 }
  od
}

/* Advances time for all entries. */
proctype Clock() {
  byte j;
  do
  :: atomic {
       j = 0;
       do
       :: j < 2 ->
          if :: left[j] > 0 -> left[j]-- :: else -> skip fi;
          if :: hold[j] > 0 -> hold[j]-- :: else -> skip fi;
          if :: known[j] < SPAN -> known[j]++ :: else -> skip fi;
          if :: sentAge[j] < DURATION -> sentAge[j]++ :: else -> skip fi;
          if :: lateAge[j] < DURATION -> lateAge[j]++ :: else -> skip fi;
          if :: quitAge[j] < SPAN -> quitAge[j]++ :: else -> skip fi;
          j++
       :: else -> break
       od;
       if :: sinceOrder < SPAN -> sinceOrder++ :: else -> skip fi }
  od
}

init {
  atomic {
    readHolder[0] = NOBODY; readHolder[1] = NOBODY;
    sentAt[0] = APPENDS; sentAt[1] = APPENDS; lateAt[0] = APPENDS; lateAt[1] = APPENDS;
    run Entry(0); run Entry(1); run Clock()
  }
}
