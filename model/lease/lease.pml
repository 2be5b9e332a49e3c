/*
 * Leases, fencing and the move of one shard away from a server and back to it.
 *
 * What is modelled: src/lease/fenced_owner.cc (the server's side), the sessions of the control
 * leader, and the part of the replicated log that names the shard's owner. See
 * docs/design/model-checking.md.
 *
 * Only one server is modelled in full. The other owner is the worst one possible: it runs requests
 * from the instant at which the log gives it the shard, and gives the shard back whenever asked.
 * So the property is that our server owns the shard only at the epoch of the log.
 *
 * Time: all clocks advance by ticks. The server's clock may fall behind by one tick in each LEASE
 * of its own ticks (DRIFT); it never stops, as CLOCK_BOOTTIME does not. A server that takes no step
 * while ticks pass is one that is frozen. Instants are kept as what is left of them, so that the
 * state space is finite: `left` of a grant is "valid until" minus the server's clock.
 *
 * Network: SLOTS places hold messages on their way to the server, the later one in the last place.
 * A message may be taken any number of times, at any later time, or never: delay, loss,
 * duplication, reordering, replay. The number of messages is not bounded: instead of its sequence
 * number, a message carries whether it is newer than the newest that the server took.
 */

#define SLOTS 2
#define LAST 1
#define LEASE 2            /* length of a lease, in ticks of the server's clock */
#define DRIFT 1            /* ticks that the server's clock may fall behind while one lease runs */
#define LEADER_LEASE 2     /* ticks for which a quorum lets a leader act alone */
#define MAXIMUM_TERM 2
#define MAXIMUM_EPOCH 3
#define MAXIMUM_INCARNATION 2

#ifdef DEFECT_NO_DRIFT_MARGIN
#define COUNT_OUT LEASE
#else
#define COUNT_OUT (LEASE + DRIFT)
#endif

/* ---- The server ---- */

byte incarnation = 1;
byte lease_left = 0;           /* of the lease, on its own clock */
byte ticks_since_skip = LEASE; /* capped at LEASE; see Tick */
byte held = 0;                 /* epoch at which it holds the shard; 0 when it does not */
bool revoked = false;
byte in_flight = 0;            /* epoch of the request that runs; 0 when none does */
byte released = 0;             /* epoch that it tells as released */
byte set_version = 0;
byte last_term = 0;            /* of the newest message that it took */

/* ---- Messages of leaders to the server ---- */

typedef Message {
  byte term;             /* 0: the place is empty */
  bool newer;            /* than the newest message that the server took */
  byte incarnation;      /* 0 in a hello */
  byte left;             /* of the lease that it gives; 0 gives none */
  bool change;           /* replaces the set: base 0 */
  byte version;          /* of the set, base and target alike in a plain renewal */
  byte grant;            /* epoch */
  byte revocation;       /* epoch */
};
Message inbox[SLOTS];

/* ---- The server's newest answer, tied to the leader that asked ---- */

byte answer_term = 0;          /* 0: none is on its way */
byte answer_incarnation = 0;
byte answer_left = 0;          /* LEASE when the reading was taken; falls with the server's clock */
byte answer_version = 0;
byte answer_released = 0;

/* ---- The replicated log ---- */

bool ours = true;              /* whether our server is the owner */
byte epoch = 1;
bool moving = false;
byte log_version = 1;
byte proposed_by = 0;          /* term of the leader whose assignment has not committed; 0: none */

/* ---- The leaders, by term ---- */

typedef Leader {
  byte lease_left;
  byte count_out;        /* ticks until this leader takes the server's lease for over */
  byte reading_left;     /* LEASE minus what the server's clock advanced since its newest reading */
  byte receipt_left;     /* COUNT_OUT minus the ticks since that reading was received */
  byte incarnation;      /* 0 until it answered this leader */
  byte set_version;      /* that the server last said it holds */
};
Leader leader[MAXIMUM_TERM + 1];
byte term = 1;

#define OWNS (held != 0 && lease_left > 0)
#define CHECK assert(!OWNS || (ours && held == epoch))
#define MAY_ACT(t) (leader[t].lease_left > 0)
#ifdef DEFECT_LEADER_WITHOUT_LEASE
#define MAY_SEND(t) (t <= term)
#else
#define MAY_SEND(t) MAY_ACT(t)
#endif

#define FALL(x) if :: x > 0 -> x = x - 1 :: else fi

/* One tick of the server's clock; everything on that clock falls with it. */
inline TickServer() {
  FALL(lease_left);
  FALL(inbox[0].left);
  FALL(inbox[1].left);
  FALL(answer_left);
  FALL(leader[1].reading_left);
  FALL(leader[2].reading_left);
  if
  :: ticks_since_skip < LEASE -> ticks_since_skip = ticks_since_skip + 1
  :: else
  fi
}

inline TickLeader(t) {
  FALL(leader[t].lease_left);
  FALL(leader[t].count_out);
  FALL(leader[t].receipt_left)
}

/* Time passes for all; the server's clock may stay behind when it has not done so for a lease. */
inline Tick() {
  TickLeader(1);
  TickLeader(2);
  if
  :: TickServer()
  :: ticks_since_skip == LEASE -> ticks_since_skip = 0
  fi
}

/* ---- Steps of a leader ---- */

inline ClearMessage(k) {
  inbox[k].term = 0;
  inbox[k].newer = false;
  inbox[k].incarnation = 0;
  inbox[k].left = 0;
  inbox[k].change = false;
  inbox[k].version = 0;
  inbox[k].grant = 0;
  inbox[k].revocation = 0
}

/* The network forgets one of the two messages that it holds. */
inline MakeRoom() {
  if
  :: inbox[LAST].term != 0 ->
     inbox[0].term = inbox[LAST].term;
     inbox[0].newer = inbox[LAST].newer;
     inbox[0].incarnation = inbox[LAST].incarnation;
     inbox[0].left = inbox[LAST].left;
     inbox[0].change = inbox[LAST].change;
     inbox[0].version = inbox[LAST].version;
     inbox[0].grant = inbox[LAST].grant;
     inbox[0].revocation = inbox[LAST].revocation
  :: true
  fi;
  ClearMessage(LAST)
}

/* Sends what the log says: a hello to a server that has not answered this leader yet, a plain
 * renewal to one that holds the present set, else the whole set. */
inline Send(t) {
  MakeRoom();
  inbox[LAST].term = t;
  inbox[LAST].newer = (t >= last_term);
  inbox[LAST].incarnation = leader[t].incarnation;
  if
  :: leader[t].incarnation == 0
  :: else ->
     inbox[LAST].left = leader[t].reading_left;
     inbox[LAST].version = log_version;
     if
     :: leader[t].set_version == log_version
     :: else ->
        inbox[LAST].change = true;
        if
        :: ours && !moving -> inbox[LAST].grant = epoch
        :: ours && moving -> inbox[LAST].revocation = epoch
        :: else
        fi
#ifdef DEFECT_RENEWAL_OF_WRONG_SET
        ; /* Believes that the change arrives, and the server renews whatever set it holds. */
        leader[t].set_version = log_version
#endif
     fi;
     /* The lease is counted out from the receipt of the reading that was used. */
     if
     :: leader[t].receipt_left > leader[t].count_out ->
        leader[t].count_out = leader[t].receipt_left
     :: else
     fi
  fi
}

/* While an assignment that takes the shard from the server is under way, its lease is not renewed:
 * the proof that the lease is over must still hold when the assignment commits. */
#ifdef DEFECT_RENEWAL_DURING_REASSIGNMENT
#define BEING_TAKEN false
#else
#define BEING_TAKEN (proposed_by != 0 && ours)
#endif

/* The shard passes between our server and the other one. */
inline Apply() {
  epoch = epoch + 1;
  ours = !ours;
  moving = false;
  log_version = log_version + 1;
  proposed_by = 0
}

/* Forgets what can have no effect any more, so that fewer states differ. */
inline ForgetOldLeader() {
#ifdef DEFECT_LEADER_WITHOUT_LEASE
  skip
#else
  leader[1].lease_left = 0;
  leader[1].count_out = 0;
  leader[1].reading_left = 0;
  leader[1].receipt_left = 0;
  leader[1].incarnation = 0;
  leader[1].set_version = 0;
  ForgetAnswer()
#endif
}

inline ForgetAnswer() {
  answer_term = 0;
  answer_incarnation = 0;
  answer_left = 0;
  answer_version = 0;
  answer_released = 0
}

/* A new leader. What the old one proposed may have reached the log or not; the new one acts only
 * once its own term's first entry is applied, and so knows. */
inline Elect() {
  if
  :: proposed_by != 0 -> Apply()
  :: proposed_by = 0
  fi;
  ForgetOldLeader();
  term = term + 1;
  leader[term].lease_left = LEADER_LEASE;
#ifndef DEFECT_NO_WAIT_AFTER_ELECTION
  leader[term].count_out = COUNT_OUT
#endif
}

/* A leader takes an answer. It dates the lease from the receipt. */
inline TakeAnswer(t) {
  leader[t].incarnation = answer_incarnation;
  leader[t].reading_left = answer_left;
  leader[t].receipt_left = COUNT_OUT;
#ifndef DEFECT_RENEWAL_OF_WRONG_SET
  leader[t].set_version = answer_version;
#endif
  if
  :: ours && moving && proposed_by == 0 && answer_released == epoch && t == term ->
     proposed_by = t
  :: else
  fi;
  ForgetAnswer()
}

/* ---- Steps of the server ---- */

#ifdef DEFECT_NO_ORDER_CHECK
#define NEWER(k) true
#else
#define NEWER(k) inbox[k].newer
#endif
#ifdef DEFECT_NO_INCARNATION_CHECK
#define MEANT_FOR_US(k) true
#else
#define MEANT_FOR_US(k) (inbox[k].incarnation == 0 || inbox[k].incarnation == incarnation)
#endif
#ifdef DEFECT_RENEWAL_OF_WRONG_SET
#define SET_FITS(k) true
#else
#define SET_FITS(k) (inbox[k].change || inbox[k].version == set_version)
#endif

/* Gives a revoked shard up once nothing of it is in flight. */
inline Release() {
  if
#ifdef DEFECT_RELEASE_WITH_WORK_IN_FLIGHT
  :: revoked -> released = held
#else
  :: revoked && in_flight != held -> released = held; held = 0; revoked = false
#endif
  :: else
  fi
}

inline ApplySet(k) {
  if
  :: released != inbox[k].revocation -> released = 0
  :: else
  fi;
  if /* the whole set is replaced: what is not named is dropped */
  :: held != 0 && held != inbox[k].grant && held != inbox[k].revocation ->
     held = 0; revoked = false
  :: else
  fi;
  if
  :: inbox[k].grant > held && inbox[k].grant != released ->
     held = inbox[k].grant; revoked = false
  :: else
  fi;
  if
  :: inbox[k].revocation != 0 && held != inbox[k].revocation -> released = inbox[k].revocation
  :: inbox[k].revocation != 0 && held == inbox[k].revocation -> revoked = true; Release()
  :: else
  fi;
  set_version = inbox[k].version
}

/* Forgets a message that the server will refuse for ever: one of an earlier start, or one that is
 * not newer, since a restart makes it one of an earlier start. */
inline ForgetRefused(k) {
#ifdef DEFECT_NO_INCARNATION_CHECK
  skip
#else
  if
  :: inbox[k].term != 0 && (!NEWER(k) || !MEANT_FOR_US(k)) -> ClearMessage(k)
  :: else
  fi
#endif
}

/* Takes a message, which stays in the network, and answers. */
inline Take(k) {
  if
  :: NEWER(k) && MEANT_FOR_US(k) ->
     last_term = inbox[k].term;
     inbox[k].newer = false;
     if /* older: of an earlier term, or sent before by the same leader */
     :: inbox[1 - k].term < last_term || (inbox[1 - k].term == last_term && k == LAST) ->
        inbox[1 - k].newer = false
     :: else
     fi;
     if
     :: inbox[k].incarnation != 0 && SET_FITS(k) ->
        if
        :: inbox[k].change -> ApplySet(k)
        :: else
        fi;
#ifdef DEFECT_LEASE_FROM_RECEIPT
        lease_left = LEASE
#else
        lease_left = inbox[k].left
#endif
     :: else
     fi
  :: else
  fi;
  answer_term = inbox[k].term;
  answer_incarnation = incarnation;
  answer_left = LEASE;
  answer_version = set_version;
  answer_released = released;
  ForgetRefused(0);
  ForgetRefused(LAST)
}

inline Restart() {
  incarnation = incarnation + 1;
  lease_left = 0;
  held = 0;
  revoked = false;
  in_flight = 0;
  released = 0;
  set_version = 0;
  last_term = 0;
  inbox[0].newer = inbox[0].term != 0;
  inbox[LAST].newer = inbox[LAST].term != 0;
  ForgetRefused(0);
  ForgetRefused(LAST)
}

#ifdef DEFECT_COMMIT_WITHOUT_CHECK
#define MAY_COMMIT true
#else
#define MAY_COMMIT (lease_left > 0 && held == in_flight)
#endif

/* The effect of the request in flight becomes durable, if the server may still make it so. The
 * other owner may have made an effect durable since it got the shard. */
inline Commit() {
  if
  :: MAY_COMMIT -> assert(ours && in_flight == epoch)
  :: else
  fi;
  in_flight = 0;
  Release()
}

#define SENDABLE(t) (MAY_SEND(t) && !BEING_TAKEN)
#define TAKEABLE(k) (inbox[k].term != 0)

init {
  d_step {
    leader[1].lease_left = LEADER_LEASE;
    leader[1].count_out = COUNT_OUT;
    leader[1].receipt_left = COUNT_OUT;
    leader[1].reading_left = LEASE;
    leader[1].incarnation = 1
  }
  do
  :: atomic { Tick(); CHECK }
  /* The quorum hears the present leader: its lease is renewed. */
  :: atomic { MAY_ACT(term) && leader[term].lease_left < LEADER_LEASE ->
              leader[term].lease_left = LEADER_LEASE }
  /* A quorum elects another one only after the old one's lease. */
  :: atomic { term < MAXIMUM_TERM && !MAY_ACT(term) -> Elect(); CHECK }
  /* The operator, or the planner, moves the shard away. */
  :: atomic { MAY_ACT(term) && ours && !moving && proposed_by == 0 && epoch < MAXIMUM_EPOCH ->
              moving = true; log_version = log_version + 1 }
  /* The other owner has released it, or its lease is over. */
  :: atomic { MAY_ACT(term) && !ours && proposed_by == 0 && epoch < MAXIMUM_EPOCH ->
              proposed_by = term }
  /* Our server's lease is over by the leader's count: the shard goes to the other one. */
  :: atomic { MAY_ACT(term) && ours && proposed_by == 0 && epoch < MAXIMUM_EPOCH &&
              leader[term].count_out == 0 -> proposed_by = term }
  :: atomic { proposed_by != 0 && proposed_by == term -> Apply(); CHECK }
  :: atomic { SENDABLE(1) -> Send(1) }
  :: atomic { SENDABLE(2) -> Send(2) }
  :: atomic { answer_term == 1 && MAY_SEND(1) -> TakeAnswer(1) }
  :: atomic { answer_term == 2 && MAY_SEND(2) -> TakeAnswer(2) }
  :: atomic { TAKEABLE(0) -> Take(0); CHECK }
  :: atomic { TAKEABLE(1) -> Take(1); CHECK }
  :: atomic { OWNS && !revoked && in_flight == 0 -> in_flight = held }
  :: atomic { in_flight != 0 -> Commit() }
  :: atomic { incarnation < MAXIMUM_INCARNATION -> Restart() }
  od
}
