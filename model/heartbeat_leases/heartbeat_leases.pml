/*
 * One key, leased in the answers to heartbeats: one address with three processes in succession, and
 * leaders in succession.
 *
 * What is modelled: src/control/heartbeat_leases.cc, range_controller.cc, and the instance and range
 * tables of the replicated log. See docs/design/model-checking.md and leases-by-heartbeat.md.
 *
 * The other owner is the worst one possible, as in model/lease: it holds the key from the instant
 * at which the log gives it, and gives it back whenever asked.
 *
 * Time: instants are kept as what is left of them. A lease is LEASE ticks long on a clock that is as
 * slow as the drift bound allows; control counts it from the arrival of the heartbeat, the process
 * from the sending. A process that takes no step while ticks pass is paused.
 *
 * Network: a process makes one call at a time; it goes on waiting for the answer, or gives the call
 * up and never takes its answer. A heartbeat may arrive at any later time, any number of times, or
 * never: the present call's, and those of two calls before. In place of sequence numbers each
 * carries whether it is newer than the newest that the leader took (`newer`), and than the one since
 * which all answers leave the key out (`after`); so the number of heartbeats is not bounded.
 */

#define LEASE 2
#ifdef DEFECT_SHORT_COUNT
#define COUNT (LEASE - 1)
#else
#define COUNT LEASE
#endif
#define LIVES 3
#define MAXIMUM_FENCE 4
#define OTHER 0
#define NOBODY 9
#define CALLS 3
#define NOW 2 /* place of the present call; 1 and 0 are calls before it, 0 the oldest */

/* ---- The process at the address ---- */

byte life = 1;
byte held = 0;       /* fence; 0 when it holds nothing */
byte lease_left = 0;
byte seen = 0;       /* highest fence that it saw */
byte sent_left = 0;  /* LEASE minus the ticks since the present call was sent */
bool answered = false;
byte given = 0;      /* fence in the answer that is on its way; 0 leaves the key out */
byte given_left = 0; /* LEASE minus the ticks since its heartbeat was sent */

/* ---- Heartbeats on their way ---- */

typedef Heartbeat {
  byte life;   /* 0: the place is empty */
  bool holds;
  bool newer;
  bool after;
};
Heartbeat call[CALLS];

/* ---- The replicated log ---- */

byte owner = 1;
byte fence = 1;
bool releasing = false;
byte registered = 1;  /* of the address */
bool ended[LIVES + 1]; /* displaced, and its key is free at once: by a defect only */

/* ---- The present leader ---- */

byte count_out = 0;   /* ticks until it takes the last lease for over */
bool omits = false;   /* all answers since some heartbeat leave the key out */
bool released = false;
byte next = NOBODY;   /* proposed and not committed */
byte taken_over = 0;  /* ticks for which leases of the former leader may be held */
#ifdef DEFECT_FORMER_LEADER_ANSWERS
byte former_gives = 0;
#endif

/* ---- What the properties need ---- */

byte highest = 0;     /* fence under which somebody held the key */
byte highest_by = 0;  /* who */

#define HOLDS (held != 0 && lease_left > 0)
#define CHECK assert(!HOLDS || owner == life)
#define FALL(x) if :: x > 0 -> x = x - 1 :: else fi

inline ClearCall(k) {
  call[k].life = 0; call[k].holds = false; call[k].newer = false; call[k].after = false
}

inline Tick() {
  FALL(lease_left);
  if
  :: lease_left == 0 -> held = 0
  :: else
  fi;
  FALL(sent_left);
  FALL(given_left);
  FALL(count_out);
  FALL(taken_over)
}

/* ---- Steps of the process ---- */

inline MoveCall(from, to) {
  call[to].life = call[from].life;
  call[to].holds = call[from].holds;
  call[to].newer = call[from].newer;
  call[to].after = call[from].after;
  ClearCall(from)
}

inline ClearAnswer() { answered = false; given = 0; given_left = 0 }

/* The calls before stay on their way; of three the network forgets one. */
inline GiveUpCall() {
  if
  :: call[1].life != 0 && call[NOW].life != 0 ->
     if
     :: MoveCall(1, 0)
     :: ClearCall(1)
     :: ClearCall(NOW)
     fi
  :: else
  fi;
  if
  :: call[NOW].life != 0 -> MoveCall(NOW, 1)
  :: else
  fi;
#ifndef DEFECT_ANSWER_OF_EARLIER_CALL
  ClearAnswer();
#endif
  sent_left = 0
}

inline Call() {
  GiveUpCall();
  call[NOW].life = life;
  call[NOW].holds = HOLDS;
  call[NOW].newer = true;
  call[NOW].after = (omits && registered == life);
  sent_left = LEASE
}

inline TakeAnswer() {
  if
  :: given != 0 && given >= seen && given_left > 0 ->
     /* Only a lease for the same one may have the fence of one before. */
     assert(given > highest || (given == highest && highest_by == life));
     highest = given; highest_by = life;
     held = given; seen = given;
#ifdef DEFECT_LEASE_FROM_ANSWER
     lease_left = LEASE
#else
     lease_left = given_left
#endif
  :: given == 0 -> held = 0; lease_left = 0
  :: else
  fi;
  ClearAnswer()
}

/* The process ends and the next one starts; one that is not there yet is as one that is paused. */
inline Replace() {
  held = 0; lease_left = 0; seen = 0;
  GiveUpCall();
  ClearAnswer();
  life = life + 1
}

/* ---- Steps of the leader ---- */

/* The first heartbeat of a process displaces the one before at its address. It may be a late one of
 * an earlier process, so the key of a displaced one waits for its release or the end of its lease;
 * and a heartbeat of it reverses the displacement, since nothing tells for certain who lives. */
inline Register(process) {
  if
  :: process != registered ->
#ifdef DEFECT_DISPLACED_TAKEN_FOR_ENDED
     ended[registered] = true;
#endif
     registered = process;
     ended[registered] = false;
     omits = false;
     call[0].after = false; call[1].after = false; call[NOW].after = false
  :: else
  fi
}

#ifdef DEFECT_LATE_HEARTBEAT_TAKEN
#define NEWER(k) true
#else
#define NEWER(k) call[k].newer
#endif
#ifdef DEFECT_REPORT_TO_NEW_LEADER
#define MAY_PROVE true
#else
#define MAY_PROVE (taken_over == 0)
#endif
#ifdef DEFECT_LEASE_WHILE_PROPOSED
#define MAY_GIVE (owner == registered && !releasing)
#else
#define MAY_GIVE (owner == registered && !releasing && next == NOBODY)
#endif

inline Answer(k, f) {
  if
  :: k == NOW ->
     if
     :: answered = true; given = f; given_left = sent_left
     :: true /* lost */
     fi
  :: else /* nobody waits for it */
  fi
}

inline NoLongerNewer(j, k) {
  if
  :: k >= j && call[j].life == call[k].life -> call[j].newer = false
  :: else
  fi
}

#define AFTER(j, k) (j > k && call[j].life == call[k].life)

inline Omit(k) {
  if
  :: !omits ->
     omits = true;
     call[0].after = AFTER(0, k);
     call[1].after = AFTER(1, k);
     call[NOW].after = AFTER(NOW, k)
  :: else
  fi;
  Answer(k, 0)
}

inline Give(k) {
  omits = false;
  call[0].after = false; call[1].after = false; call[NOW].after = false;
  count_out = COUNT;
  Answer(k, fence)
}

inline TakeHeartbeat(k) {
  Register(call[k].life);
  if
  :: NEWER(k) ->
     NoLongerNewer(0, k); NoLongerNewer(1, k); NoLongerNewer(NOW, k);
     if
     :: owner == registered && releasing && omits && call[k].after && !call[k].holds && MAY_PROVE ->
        released = true
     :: else
     fi;
     if
     :: MAY_GIVE -> Give(k)
     :: Omit(k) /* also where a planned move waits for this heartbeat */
     fi
  :: else
  fi
}

/* Whether nobody but a new owner can act for the key any more. */
#define OVER (owner == OTHER || ended[owner] || released || count_out == 0)

/* To another one only when the owner is over; to itself under a new fence at any time. */
#define MAY_PROPOSE(to) \
  (next == NOBODY && fence < MAXIMUM_FENCE && \
   ((owner != to && OVER) || (owner == to && owner == registered)))

inline Commit() {
  fence = fence + 1;
  owner = next;
  next = NOBODY;
  releasing = false;
  released = false;
  if
  :: owner == OTHER -> highest = fence; highest_by = OTHER
  :: else
  fi
}

/* A new leader, after the end of the former one's leader lease. An answer of the former may still be
 * on its way. What it proposed may have reached the log or not; the new one knows. */
inline Elect() {
#ifdef DEFECT_FORMER_LEADER_ANSWERS
  if
  :: owner == registered && !releasing -> former_gives = fence
  :: else -> former_gives = 0
  fi;
#endif
  if
  :: next != NOBODY -> Commit()
  :: next = NOBODY
  fi;
  released = false;
  omits = false;
  call[0].newer = (call[0].life != 0); call[0].after = false;
  call[1].newer = (call[1].life != 0); call[1].after = false;
  call[NOW].newer = (call[NOW].life != 0); call[NOW].after = false;
#ifdef DEFECT_NO_WAIT_AFTER_ELECTION
  count_out = 0;
#else
  count_out = COUNT;
#endif
  taken_over = COUNT
}

init {
  d_step { count_out = COUNT; taken_over = COUNT }
  do
  :: atomic { true -> Tick() }
  :: atomic { true -> Call() }
  :: atomic { answered -> TakeAnswer(); CHECK }
  :: atomic { life < LIVES -> Replace() }
  :: atomic { call[0].life != 0 -> TakeHeartbeat(0) }
  :: atomic { call[1].life != 0 -> TakeHeartbeat(1) }
  :: atomic { call[NOW].life != 0 -> TakeHeartbeat(NOW) }
  :: atomic { owner != OTHER && !releasing && next == NOBODY && fence < MAXIMUM_FENCE ->
              releasing = true; fence = fence + 1 }
  :: atomic { MAY_PROPOSE(OTHER) -> next = OTHER }
  :: atomic { MAY_PROPOSE(registered) -> next = registered }
  :: atomic { next != NOBODY -> Commit(); CHECK }
  :: atomic { true -> Elect(); CHECK }
#ifdef DEFECT_FORMER_LEADER_ANSWERS
  :: atomic { former_gives != 0 && call[NOW].life == registered ->
              answered = true; given = former_gives; given_left = sent_left }
#endif
  od
}
