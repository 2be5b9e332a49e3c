/*
 * The replicated log: votes, replication, commit, restarts, loss of a disk.
 *
 * What is modelled: src/consensus (election.cc, leader.cc, follower.cc). The leader lease has a
 * specification of its own, leader_lease.pml; here any member may stand for election at any time.
 * See docs/design/consensus.md.
 *
 * Properties: what is committed is never replaced by something else; a new leader holds all that
 * older terms committed; a term has one leader.
 *
 * Network: nothing that was sent is forgotten. A vote request or an append of any term may be taken
 * at any later time, any number of times, or never. What a leader sends in its term is one entry,
 * kept in sent_log.
 *
 * Bounds: three voters, one log index, two elections. They begin either with a leader and empty
 * logs, or after two terms in which two members each wrote an entry on their own disk only.
 */

#define VOTERS 3
#define QUORUM(set) (set == 3 || set == 5 || set == 6 || set == 7)
#define BIT(i) (1 << (i))
#define FIRST 2 /* terms 1 and 2 are history */
#define SECOND 3
#define LAST 4

/* ---- What each member keeps on its disk ---- */

byte term[VOTERS] = FIRST;
byte voted_for[VOTERS] = 1; /* member + 1; 0: nobody in this term */
byte log[VOTERS];           /* term of the one entry; 0: the log is empty */
bool lost[VOTERS];          /* its disk is lost: it is a voter no more */

bool leads[VOTERS]; /* forgotten at a restart */

/* ---- The network, by term ---- */

typedef Term {
  bool asked[VOTERS];     /* the member asked for votes in this term */
  byte asked_log[VOTERS]; /* its log as it asked */
  byte votes[VOTERS];     /* set of those that voted for it */
  byte leader;            /* member + 1; 0: none yet */
  byte sent_log;          /* the log that its leader sends */
  byte holds;             /* set of members known to hold sent_log durably */
};
Term terms[LAST + 1];

byte committed = 0; /* term of the entry committed at the index; 0: none */
bool disk_used = false;

/* Forgets what nobody can take any more, so that fewer states differ. */
#define BEYOND(i, t) (lost[i] || term[i] > t)
inline Forget(t) {
  if
  :: BEYOND(0, t) && BEYOND(1, t) && BEYOND(2, t) ->
     terms[t].asked[0] = false; terms[t].asked[1] = false; terms[t].asked[2] = false;
     terms[t].asked_log[0] = 0; terms[t].asked_log[1] = 0; terms[t].asked_log[2] = 0;
     terms[t].votes[0] = 0; terms[t].votes[1] = 0; terms[t].votes[2] = 0;
     terms[t].leader = 0; terms[t].sent_log = 0; terms[t].holds = 0
  :: else
  fi
}

inline EnterTerm(i, t) {
  if
  :: term[i] < t -> leads[i] = false; term[i] = t; voted_for[i] = 0; Forget(FIRST); Forget(SECOND)
  :: else
  fi
}

/* ---- Elections ---- */

inline Stand(i) {
  EnterTerm(i, term[i] + 1);
  voted_for[i] = i + 1;
  terms[term[i]].asked[i] = true;
  terms[term[i]].asked_log[i] = log[i];
  terms[term[i]].votes[i] = BIT(i)
}

#ifdef DEFECT_VOTE_FOR_SHORTER_LOG
#define UP_TO_DATE(i, j, t) true
#else
#define UP_TO_DATE(i, j, t) (terms[t].asked_log[j] >= log[i])
#endif

#define MAY_VOTE(i, j, t) \
  (!lost[i] && terms[t].asked[j] && term[i] <= t && \
   (term[i] < t || voted_for[i] == 0 || voted_for[i] == j + 1) && \
   UP_TO_DATE(i, j, t) && (terms[t].votes[j] & BIT(i)) == 0)

/* A vote is on disk before it is answered. */
inline Vote(i, j, t) {
  EnterTerm(i, t);
  voted_for[i] = j + 1;
  terms[t].votes[j] = terms[t].votes[j] | BIT(i)
}

#define MAY_LEAD(i) \
  (!lost[i] && !leads[i] && terms[term[i]].asked[i] && voted_for[i] == i + 1 && \
   terms[term[i]].leader != i + 1 && QUORUM(terms[term[i]].votes[i]))

inline BecomeLeader(i) {
  assert(terms[term[i]].leader == 0);
  /* A late leader of an older term need not hold what newer terms committed. */
  assert(committed > term[i] || log[i] >= committed);
  leads[i] = true;
  terms[term[i]].leader = i + 1;
  terms[term[i]].sent_log = log[i];
  terms[term[i]].holds = BIT(i)
}

/* ---- Replication ---- */

inline Propose(i) {
  log[i] = term[i];
  terms[term[i]].sent_log = term[i];
  terms[term[i]].holds = BIT(i)
}

#define MAY_TAKE(i, t) \
  (!lost[i] && terms[t].leader != 0 && terms[t].leader != i + 1 && term[i] <= t && \
   terms[t].sent_log != 0 && (terms[t].holds & BIT(i)) == 0)

inline TakeAppend(i, t) {
  EnterTerm(i, t);
  log[i] = terms[t].sent_log;
  terms[t].holds = terms[t].holds | BIT(i)
}

/* Counting copies commits only entries of the leader's own term. */
#ifdef DEFECT_COMMIT_OLDER_TERM
#define OWN_ENTRY(t) (terms[t].sent_log != 0)
#else
#define OWN_ENTRY(t) (terms[t].sent_log == t)
#endif
#define MAY_COMMIT(i) \
  (leads[i] && OWN_ENTRY(term[i]) && QUORUM(terms[term[i]].holds) && \
   committed != terms[term[i]].sent_log)

inline Commit(t) {
  assert(committed == 0 || committed == terms[t].sent_log);
  committed = terms[t].sent_log
}

/* ---- Faults ---- */

inline Restart(i) {
  leads[i] = false;
#ifdef DEFECT_VOTE_NOT_PERSISTED
  voted_for[i] = 0
#endif
}
#ifdef DEFECT_VOTE_NOT_PERSISTED
#define MAY_RESTART(i) (!lost[i] && (leads[i] || voted_for[i] != 0))
#else
#define MAY_RESTART(i) (!lost[i] && leads[i])
#endif

/* The process comes back with an empty disk: as another incarnation, which nobody counts. */
inline LoseDisk(i) {
  leads[i] = false;
#ifdef DEFECT_OLD_VOTE_OF_A_LOST_DISK
  term[i] = FIRST;
  voted_for[i] = 0;
  log[i] = 0
#else
  lost[i] = true
#endif
}

#define MEMBER_STEPS(i, j, k) \
  :: atomic { !lost[i] && !leads[i] && term[i] < LAST -> Stand(i) } \
  :: atomic { MAY_VOTE(i, j, SECOND) -> Vote(i, j, SECOND) } \
  :: atomic { MAY_VOTE(i, k, SECOND) -> Vote(i, k, SECOND) } \
  :: atomic { MAY_VOTE(i, j, LAST) -> Vote(i, j, LAST) } \
  :: atomic { MAY_VOTE(i, k, LAST) -> Vote(i, k, LAST) } \
  :: atomic { MAY_LEAD(i) -> BecomeLeader(i) } \
  :: atomic { MAY_TAKE(i, FIRST) -> TakeAppend(i, FIRST) } \
  :: atomic { MAY_TAKE(i, SECOND) -> TakeAppend(i, SECOND) } \
  :: atomic { MAY_TAKE(i, LAST) -> TakeAppend(i, LAST) } \
  :: atomic { leads[i] && log[i] == 0 -> Propose(i) } \
  :: atomic { MAY_COMMIT(i) -> Commit(term[i]) } \
  :: atomic { MAY_RESTART(i) -> Restart(i) }

init {
  if
  :: d_step { leads[0] = true; terms[FIRST].leader = 1; terms[FIRST].holds = 1 }
  :: d_step { log[0] = 1; log[1] = 2; voted_for[1] = 2; voted_for[2] = 2 }
  fi;
end: /* a run may stop anywhere */
  do
  MEMBER_STEPS(0, 1, 2)
  MEMBER_STEPS(1, 0, 2)
  MEMBER_STEPS(2, 0, 1)
  :: atomic { !disk_used -> disk_used = true; LoseDisk(2) }
  od
}
