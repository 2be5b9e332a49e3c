/*
 * One key, leased by orders to an address: one address with three processes in succession, and
 * leaders in succession.
 *
 * What is modelled: src/control/range_controller.cc, the instance and range tables of the replicated
 * log, and the process's side of grants and releases. See docs/design/model-checking.md and
 * traffic.md.
 *
 * The other owner is the worst one possible, as in model/lease: it holds the key from the instant
 * at which the log gives it, and gives it back whenever asked.
 *
 * Time: instants are kept as what is left of them. A lease is LEASE ticks long on a clock that is as
 * slow as the drift bound allows. It counts from the arrival of the order; control counts it from
 * the instant at which it learns the order's outcome. A process that takes no step while ticks pass
 * is paused.
 *
 * Network: an order goes to the address. It is carried out once, at any later time, or never, also
 * when control took it for lost; what runs at the address then takes it. Two are kept, the later
 * one in the last place. Heartbeats are not kept: one that is newer than all taken may arrive from
 * the process at any time, and at any time after its end too.
 *
 * A lease by an order that is carried out after control took it for lost, or after its leader was
 * followed by another, counts from an instant that nobody knows. Where the key then goes to another
 * owner because all leases ran out, it is taken for over, as the users' rules do; a release and a
 * displacement must hold against it.
 */

#define LEASE 2
#ifdef DEFECT_SHORT_COUNT
#define COUNT (LEASE - 1)
#else
#define COUNT LEASE
#endif
#define LIVES 3
#define MAXIMUM_FENCE 7
#define OTHER 0
#define NOBODY 9
#define ORDERS 2
#define LAST 1

mtype = { no_order, grant, release };
mtype = { under_way, carried_out, lost };

/* ---- The process at the address ---- */

byte life = 1;
bool up = true;
byte held = 0;        /* fence; 0 when it holds nothing */
byte lease_left = 0;
byte seen = 0;        /* highest fence that it saw */
bool held_late = false; /* by an order that control took for lost */
bool echo[LIVES + 1]; /* ended, and its first heartbeat may still arrive */

/* ---- Orders ---- */

typedef Order {
  mtype kind;
  byte instance;
  byte fence;
  mtype fate;         /* lost: control waits no more for its outcome */
  bool done;          /* carried out and not refused */
};
Order order[ORDERS];

/* ---- The replicated log ---- */

byte owner = 1;
byte fence = 1;
bool releasing = false;
byte registered = 1;  /* of the address */
bool heard[LIVES + 1]; /* a heartbeat arrived */
bool ended[LIVES + 1]; /* displaced, and its keys are free at once: by a defect only */

/* ---- The present leader ---- */

byte count_out = 0;   /* ticks until it takes the owner's last lease for over */
bool released = false;
byte next = NOBODY;   /* proposed and not committed */

/* ---- What the properties need ---- */

byte highest = 0;     /* fence under which somebody held the key */
byte highest_by = 0;  /* who */

#define HOLDS (up && held != 0 && lease_left > 0)
#define CHECK assert(!HOLDS || owner == life)
#define FALL(x) if :: x > 0 -> x = x - 1 :: else fi

inline Release() { held = 0; lease_left = 0; held_late = false }

inline Tick() {
  FALL(lease_left);
  if
  :: lease_left == 0 -> Release()
  :: else
  fi;
  FALL(count_out)
}

inline ClearOrder(k) {
  order[k].kind = no_order; order[k].instance = 0; order[k].fence = 0; order[k].fate = lost;
  order[k].done = false
}

/* Forgets what the process at the address will refuse for ever, so that fewer states differ. */
inline ForgetRefused(k) {
  if
#ifndef DEFECT_ORDER_NOT_BOUND
  :: order[k].kind != no_order && order[k].fate == lost && order[k].instance < life ->
     ClearOrder(k)
#endif
  :: order[k].kind != no_order && order[k].fate == lost && order[k].instance == life &&
     order[k].fence < seen -> ClearOrder(k)
  :: else
  fi
}

/* ---- Steps of the process ---- */

#ifdef DEFECT_ORDER_NOT_BOUND
#define MEANT(k) true
#else
#define MEANT(k) (order[k].instance == life)
#endif

inline TakeGrant(k) {
  /* A grant that is meant for one process is never taken by another. */
  assert(order[k].instance == life);
  /* Only a lease for the same one may have the fence of one before. */
  assert(order[k].fence > highest || (order[k].fence == highest && highest_by == life));
  highest = order[k].fence; highest_by = life;
  held = order[k].fence;
  lease_left = LEASE;
  held_late = (order[k].fate == lost)
}

/* Another process refuses an order without taking it. */
inline TakeOrder(k) {
  order[k].done = MEANT(k) && (order[k].kind == release || order[k].fence >= seen);
  if
  :: order[k].done ->
     if
     :: order[k].fence > seen -> seen = order[k].fence
     :: else
     fi;
     if
     :: order[k].kind == grant -> TakeGrant(k)
     :: else -> Release()
     fi
  :: else
  fi;
  if
  :: order[k].fate == lost -> ClearOrder(k)
  :: else -> order[k].fate = carried_out
  fi;
  ForgetRefused(0); ForgetRefused(LAST)
}

inline Crash() {
  up = false;
  Release();
  seen = 0;
  if
  :: !heard[life] -> echo[life] = true
  :: else
  fi
}

inline Start() {
  up = true;
  life = life + 1;
  ForgetRefused(0); ForgetRefused(LAST)
}

/* ---- Steps of the leader ---- */

/* Control sends one order at a time: the one in the last place. */
#define OPEN (order[LAST].kind != no_order && order[LAST].fate != lost)
#define MAY_ORDER \
  (owner != OTHER && !ended[owner] && owner == registered && !released && NOT_PROPOSED && \
   !OPEN)
#ifdef DEFECT_GRANT_WHILE_PROPOSED
#define NOT_PROPOSED true
#else
#define NOT_PROPOSED (next == NOBODY)
#endif

/* The network forgets one of the orders that it holds. */
inline SendOrder() {
  if
  :: order[LAST].kind != no_order ->
     order[0].kind = order[LAST].kind;
     order[0].instance = order[LAST].instance;
     order[0].fence = order[LAST].fence;
     order[0].fate = order[LAST].fate;
     order[0].done = order[LAST].done
  :: true
  fi;
  if
  :: releasing -> order[LAST].kind = release
  :: else -> order[LAST].kind = grant
  fi;
  order[LAST].instance = owner;
  order[LAST].fence = fence;
  order[LAST].fate = under_way;
  order[LAST].done = false
}

/* The order's owner is still the one of the log, under the same fence. */
#define OF_NOW (order[LAST].instance == owner && order[LAST].fence == fence)

/* The answer comes. */
inline TakeResult() {
  if
  :: order[LAST].done && order[LAST].kind == grant -> count_out = COUNT
  :: order[LAST].done && order[LAST].kind == release && OF_NOW -> released = true
  :: else
  fi;
  ClearOrder(LAST)
}

inline GiveUpOrder() {
  if
  :: order[LAST].fate == carried_out -> ClearOrder(LAST)
  :: else -> order[LAST].fate = lost
  fi;
  ForgetRefused(LAST)
}

/* No answer comes in time: the order may have been carried out, or may be later. */
inline MissResult() {
#ifndef DEFECT_NO_ANSWER_COUNTS_AS_FAILED
  if
  :: order[LAST].kind == grant -> count_out = COUNT
  :: else
  fi;
#endif
  GiveUpOrder()
}

/* Nothing runs at the address: the order is not delivered, and will be sent again. */
#define CONNECTION_REFUSED (!up && OPEN && order[LAST].fate == under_way)

/* The first heartbeat of a process displaces the one before at its address. It may be a late one of
 * an earlier process, so the keys of a displaced one wait for their release or the end of its lease.
 * Control reverses a displacement at any time, since nothing tells it for certain who lives. */
#define MAY_REGISTER(i) \
  (i <= life && registered != i && (heard[i] || (i == life && up) || echo[i]))

inline Register(i) {
#ifdef DEFECT_DISPLACED_TAKEN_FOR_ENDED
  ended[registered] = true;
#endif
  ended[i] = false;
  heard[i] = true;
  echo[i] = false;
  registered = i
}

#define OVER \
  (owner == OTHER || released || ended[owner] || (count_out == 0 && !OPEN))

inline ForgetLostGrant(k) {
  if
  :: order[k].kind == grant && order[k].fate == lost && order[k].instance == owner -> ClearOrder(k)
  :: else
  fi
}

/* Where only the time speaks for it, leases by lost orders are taken for over; see above. */
inline Commit() {
  if
  :: owner != OTHER && !released && !ended[owner] ->
     ForgetLostGrant(0); ForgetLostGrant(LAST);
     if
     :: held_late && life == owner -> Release()
     :: else
     fi
  :: else
  fi;
  owner = next;
  fence = fence + 1;
  next = NOBODY;
  releasing = false;
  released = false;
  if
  :: owner == OTHER -> highest = fence; highest_by = OTHER
  :: else
  fi
}

inline BeginRelease() {
  releasing = true;
#ifndef DEFECT_RELEASE_UNDER_OLD_FENCE
  fence = fence + 1
#endif
}

/* A new leader, after the end of the former one's leader lease. It does not learn of the former
 * one's orders. What that proposed may have reached the log or not; the new one knows. */
inline Elect() {
  if
  :: next != NOBODY -> Commit()
  :: next = NOBODY
  fi;
  GiveUpOrder();
  released = false;
#ifndef DEFECT_NO_WAIT_AFTER_ELECTION
  count_out = COUNT
#else
  count_out = 0
#endif
}

init {
  d_step { heard[1] = true; ClearOrder(0); ClearOrder(LAST); count_out = COUNT }
  do
  :: atomic { true -> Tick() }
  :: atomic { up && life < LIVES -> Crash() }
  :: atomic { !up -> Start() }
  :: atomic { up && order[0].kind != no_order -> TakeOrder(0); CHECK }
  :: atomic { up && order[LAST].kind != no_order && order[LAST].fate != carried_out ->
              TakeOrder(LAST); CHECK }
  :: atomic { OPEN && order[LAST].fate == carried_out -> TakeResult() }
  :: atomic { OPEN -> MissResult() }
  :: atomic { CONNECTION_REFUSED -> ClearOrder(LAST) }
  :: atomic { MAY_ORDER -> SendOrder() }
  :: atomic { MAY_REGISTER(1) -> Register(1) }
  :: atomic { MAY_REGISTER(2) -> Register(2) }
  :: atomic { MAY_REGISTER(3) -> Register(3) }
  :: atomic { owner != OTHER && !releasing && next == NOBODY && fence < MAXIMUM_FENCE ->
              BeginRelease() }
  :: atomic { OVER && owner != OTHER && next == NOBODY && fence < MAXIMUM_FENCE -> next = OTHER }
  :: atomic { OVER && owner != registered && next == NOBODY && fence < MAXIMUM_FENCE ->
              next = registered }
  :: atomic { next != NOBODY -> Commit(); CHECK }
  :: atomic { true -> Elect(); CHECK }
  od
}
