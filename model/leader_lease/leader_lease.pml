/*
 * The leader lease: at no time do two members act as leader.
 *
 * What is modelled: src/consensus (election.cc, leader.cc, leadership_transfer.cc) without the log,
 * which has a specification of its own, consensus.pml. See docs/design/consensus.md.
 *
 * Time: all clocks advance by ticks. SILENCE is how long a member refuses votes after it heard of a
 * leader, LEASE how long a leader acts after it sent a round of heartbeats that a quorum answered.
 * A leader's clock may stand still for DRIFT ticks while one lease runs; it is as if the others'
 * clocks ran ahead. A member that takes no step while ticks pass is one that is paused.
 *
 * Network: nothing that was sent is forgotten. A vote request or a round of heartbeats may be taken
 * at any later time, any number of times, or never.
 *
 * Bounds: three voters; a leader and two more elections.
 */

#define VOTERS 3
#define QUORUM(set) (set == 3 || set == 5 || set == 6 || set == 7)
#define BIT(i) (1 << (i))
#define FIRST 0
#define SECOND 1
#define LAST 2
#define LEASE 1
#define DRIFT 1
#ifdef DEFECT_NO_DRIFT_MARGIN
#define SILENCE LEASE
#else
#define SILENCE (LEASE + DRIFT)
#endif

/* ---- Each member ---- */

byte term[VOTERS] = FIRST;
byte voted_for[VOTERS] = 1; /* member + 1; 0: nobody in this term */
bool leads[VOTERS];
byte silence[VOTERS]; /* ticks for which it still refuses votes */

/* ---- The network and the leader, by term ---- */

typedef Term {
  byte votes[VOTERS]; /* set of those that voted for the member; 0: it did not ask */
  bool transfer;      /* the leader of the term before asked one to stand */
  byte leader;        /* member + 1; 0: none yet */
  byte answered;      /* set of members that answered the newest round of heartbeats */
  bool round_open;    /* the round was sent less than LEASE ticks ago, on the leader's clock */
  bool lease;         /* its leader acts */
  bool drifted;       /* its leader's clock stood still in the present lease */
};
Term terms[LAST + 1];

#define LEASE_CHECK \
  assert(!((terms[FIRST].lease && terms[SECOND].lease) || \
           (terms[FIRST].lease && terms[LAST].lease) || \
           (terms[SECOND].lease && terms[LAST].lease)))

#define FALL(x) if :: x > 0 -> x = x - 1 :: else fi

inline StepDown(i) {
  if
  :: leads[i] ->
     leads[i] = false;
     terms[term[i]].lease = false; terms[term[i]].round_open = false; terms[term[i]].drifted = false
  :: else
  fi
}

/* Forgets what nobody can take any more, so that fewer states differ. */
inline Forget(t) {
  if
  :: term[0] > t && term[1] > t && term[2] > t ->
     terms[t].votes[0] = 0; terms[t].votes[1] = 0; terms[t].votes[2] = 0;
     terms[t].transfer = false; terms[t].leader = 0; terms[t].answered = 0
  :: else
  fi
}

inline EnterTerm(i, t) {
  if
  :: term[i] < t -> StepDown(i); term[i] = t; voted_for[i] = 0; Forget(FIRST); Forget(SECOND)
  :: else
  fi
}

/* The leader's clock moves on, or stands still once in a lease. */
inline TickLeader(t) {
  if
  :: terms[t].lease || terms[t].round_open ->
     if
     :: terms[t].lease = false; terms[t].round_open = false; terms[t].drifted = false
     :: !terms[t].drifted -> terms[t].drifted = true
     fi
  :: else
  fi
}

inline Tick() {
  FALL(silence[0]); FALL(silence[1]); FALL(silence[2]);
  TickLeader(FIRST); TickLeader(SECOND); TickLeader(LAST)
}

/* ---- Elections ---- */

inline Stand(i, by_transfer) {
  EnterTerm(i, term[i] + 1);
  voted_for[i] = i + 1;
  terms[term[i]].votes[i] = BIT(i);
  terms[term[i]].transfer = by_transfer
}

#ifdef DEFECT_VOTE_WITHIN_LEASE
#define SILENT(i) false
#else
#define SILENT(i) (leads[i] || silence[i] > 0)
#endif

#define MAY_VOTE(i, j, t) \
  (terms[t].votes[j] != 0 && term[i] <= t && (!SILENT(i) || terms[t].transfer) && \
   (term[i] < t || voted_for[i] == 0 || voted_for[i] == j + 1) && \
   (terms[t].votes[j] & BIT(i)) == 0)

inline Vote(i, j, t) {
  EnterTerm(i, t);
  voted_for[i] = j + 1;
  terms[t].votes[j] = terms[t].votes[j] | BIT(i)
}

#define MAY_LEAD(i) \
  (!leads[i] && term[i] != FIRST && voted_for[i] == i + 1 && terms[term[i]].leader == 0 && \
   QUORUM(terms[term[i]].votes[i]))

inline StartRound(i) {
  terms[term[i]].round_open = true;
  terms[term[i]].answered = BIT(i);
  /* While the lease before it runs, the clock has stood still at most once in both. */
  if
  :: !terms[term[i]].lease -> terms[term[i]].drifted = false
  :: else
  fi
}

inline BecomeLeader(i) {
  leads[i] = true;
  terms[term[i]].leader = i + 1;
  StartRound(i)
}

/* ---- Heartbeats and lease ---- */

#define MAY_HEAR(i, t) \
  (terms[t].leader != 0 && terms[t].leader != i + 1 && term[i] <= t && \
   ((terms[t].answered & BIT(i)) == 0 || silence[i] < SILENCE))

inline Hear(i, t) {
  EnterTerm(i, t);
  silence[i] = SILENCE;
  terms[t].answered = terms[t].answered | BIT(i)
}

#ifdef DEFECT_LEASE_FROM_ANSWER
#define ROUND_COUNTS(t) true
#else
#define ROUND_COUNTS(t) terms[t].round_open
#endif
#define MAY_COUNT(i) \
  (leads[i] && ROUND_COUNTS(term[i]) && QUORUM(terms[term[i]].answered) && !terms[term[i]].lease)

/* ---- Faults, and the planned stop ---- */

inline Restart(i) {
  StepDown(i);
#ifdef DEFECT_VOTE_AFTER_RESTART
  silence[i] = 0
#else
  silence[i] = SILENCE
#endif
}
#ifdef DEFECT_VOTE_AFTER_RESTART
#define MAY_RESTART(i) (leads[i] || silence[i] > 0)
#else
/* The restart of a follower only lengthens its silence. */
#define MAY_RESTART(i) leads[i]
#endif

/* The leader gives its lease up before it asks another one to stand, at any later time. */
inline Transfer(i, j) {
#ifndef DEFECT_TRANSFER_KEEPS_LEASE
  StepDown(i);
#endif
  Stand(j, true)
}
#define MAY_TRANSFER(i, j) (leads[i] && term[i] < LAST && term[j] == term[i])

#define MEMBER_STEPS(i, j, k) \
  :: atomic { !leads[i] && term[i] < LAST && silence[i] == 0 -> Stand(i, false) } \
  :: atomic { MAY_VOTE(i, j, SECOND) -> Vote(i, j, SECOND) } \
  :: atomic { MAY_VOTE(i, k, SECOND) -> Vote(i, k, SECOND) } \
  :: atomic { MAY_VOTE(i, j, LAST) -> Vote(i, j, LAST) } \
  :: atomic { MAY_VOTE(i, k, LAST) -> Vote(i, k, LAST) } \
  :: atomic { MAY_LEAD(i) -> BecomeLeader(i) } \
  :: atomic { leads[i] && !terms[term[i]].round_open -> StartRound(i) } \
  :: atomic { MAY_COUNT(i) -> terms[term[i]].lease = true; LEASE_CHECK } \
  :: atomic { MAY_HEAR(i, FIRST) -> Hear(i, FIRST) } \
  :: atomic { MAY_HEAR(i, SECOND) -> Hear(i, SECOND) } \
  :: atomic { MAY_HEAR(i, LAST) -> Hear(i, LAST) } \
  :: atomic { MAY_RESTART(i) -> Restart(i) } \
  :: atomic { MAY_TRANSFER(i, j) -> Transfer(i, j) } \
  :: atomic { MAY_TRANSFER(i, k) -> Transfer(i, k) }

init {
  d_step {
    leads[0] = true;
    terms[FIRST].leader = 1;
    terms[FIRST].answered = 1;
    terms[FIRST].round_open = true
  }
  do
  :: atomic { Tick() }
  MEMBER_STEPS(0, 1, 2)
  MEMBER_STEPS(1, 0, 2)
  MEMBER_STEPS(2, 0, 1)
  od
}
