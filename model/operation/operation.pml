/*
 * One operation that may not be repeated, from its callers' submissions to its answers.
 *
 * What is modelled: src/operation/operation_journal.cc (claims and completions applied from the
 * replicated log), the router's steps claim, send, answer and completion, and a server that may
 * freeze, refuse, run, and lose its answer. See docs/design/model-checking.md.
 *
 * A submission is one request of the caller with the operation's id, through any router; the caller
 * sends the next one (a resend) at any time, whether the one before was answered or not. Each
 * submission is handled by a router that may die at any step and forget everything.
 *
 * Network and log: a claim or a completion waits in `*_pending` until it commits, and it may commit
 * any number of times, later or never (a resend after a leader change, a proposal that an old
 * leader left behind). A verdict may be lost. A request to the server may be taken late, or never;
 * it is taken once, since a connection carries bytes once.
 *
 * Properties: the operation runs at most once. Who is told that it did not run is told the truth,
 * and it does not run later but by a claim made after. Who is told an answer was told after the run.
 */

#define SUBMISSIONS 3
#define ATTEMPTS 2 /* sends of one submission: a second one only after a proven not-run */

/* A submission's stage in its router. */
#define IDLE 0
#define CLAIMING 1 /* claim handed to the leader, verdict awaited */
#define CLAIMED 2  /* the claim has committed; nothing was sent yet */
#define SENT 3     /* a request is on its way to the server */
#define ENDED 4    /* the caller has its answer, or the router died */

/* The journal's state of the operation. */
#define NONE 0
#define HELD 1
#define NOT_RUN 2
#define ANSWERED 3
#define UNKNOWN 4

/* What was told to the caller. */
#define TOLD_NOTHING 0
#define TOLD_NOT_RUN 1
#define TOLD_ANSWER 2
#define TOLD_UNKNOWN 3

typedef Submission {
  byte stage;
  byte attempt;               /* of the present send, from 1 */
  bool claim_pending;         /* a claim may yet be applied */
  byte verdict;               /* journal's word on its way: 0 none, else 1 + what it said */
  byte completion_pending;    /* NOT_RUN, ANSWERED or UNKNOWN; NONE when there is none */
  byte request;               /* attempt number of the request that the server may take; 0 none */
  byte answer_attempt;        /* attempt number that the server's answer echoes; 0 none */
  bool answer_not_run;
  byte told;
};
Submission submission[SUBMISSIONS];

#define VERDICT_CLAIMED 1
#define VERDICT_ANSWERED 2
#define VERDICT_UNKNOWN 3

byte journal = NONE;
byte holder = SUBMISSIONS;  /* the submission whose claim holds the operation */
byte runs = 0;

#define RAN (runs > 0)

/* The leader applies a claim from the log. The verdict may be lost. */
inline ApplyClaim(s) {
  if
#ifdef DEFECT_CLAIM_GIVEN_TWICE
  :: journal == HELD && holder != s -> submission[s].verdict = VERDICT_CLAIMED; holder = s
#else
  :: journal == HELD && holder != s -> submission[s].verdict = VERDICT_UNKNOWN
#endif
  :: journal == HELD && holder == s -> submission[s].verdict = VERDICT_CLAIMED
  :: journal == NONE || journal == NOT_RUN ->
#ifndef DEFECT_VERDICT_BEFORE_COMMIT
     journal = HELD; holder = s;
#endif
     submission[s].verdict = VERDICT_CLAIMED
  :: journal == ANSWERED -> submission[s].verdict = VERDICT_ANSWERED
  :: journal == UNKNOWN -> submission[s].verdict = VERDICT_UNKNOWN
  fi
}

inline ApplyCompletion(s) {
  if
#ifdef DEFECT_COMPLETION_OF_ANY_CLAIM
  :: journal == HELD || journal == UNKNOWN -> journal = submission[s].completion_pending
#else
  :: holder == s && (journal == HELD || (journal == UNKNOWN &&
     submission[s].completion_pending == ANSWERED)) ->
     journal = submission[s].completion_pending
#endif
  :: else
  fi
}

/* A caller is told that the operation did not run: true now, and no claim stands that could still
 * run it. */
inline TellNotRun(s) {
  assert(!RAN);
  submission[s].told = TOLD_NOT_RUN;
  submission[s].stage = ENDED
}

inline TellUnknown(s) {
  submission[s].told = TOLD_UNKNOWN;
  submission[s].stage = ENDED
}

inline TellAnswer(s) {
  assert(RAN);
  submission[s].told = TOLD_ANSWER;
  submission[s].stage = ENDED
}

inline TakeVerdict(s) {
  if
  :: submission[s].stage == CLAIMING && submission[s].verdict == VERDICT_CLAIMED ->
     submission[s].stage = CLAIMED
  :: submission[s].stage == CLAIMING && submission[s].verdict == VERDICT_ANSWERED -> TellAnswer(s)
  :: submission[s].stage == CLAIMING && submission[s].verdict == VERDICT_UNKNOWN -> TellUnknown(s)
  :: else
  fi;
  submission[s].verdict = 0
}

inline SendRequest(s) {
  submission[s].attempt = submission[s].attempt + 1;
  submission[s].request = submission[s].attempt;
  submission[s].answer_attempt = 0;
  submission[s].stage = SENT
}

/* The server takes a request: it runs it or says that it did not and never will. */
inline ServerTakes(s) {
  if
  :: runs = runs + 1;
     submission[s].answer_not_run = false;
     assert(runs <= 1);
     assert(submission[s].told != TOLD_NOT_RUN)
  :: submission[s].answer_not_run = true
  fi;
  submission[s].answer_attempt = submission[s].request;
  submission[s].request = 0
}

#define ANSWERED_BY_SERVER(s) (submission[s].answer_attempt == submission[s].attempt)

inline TakeAnswer(s) {
  if
  :: submission[s].answer_not_run ->
     if
     :: submission[s].attempt < ATTEMPTS -> SendRequest(s)
     :: submission[s].completion_pending = NOT_RUN; TellNotRun(s)
     fi
  :: else -> submission[s].completion_pending = ANSWERED; TellAnswer(s)
  fi
}

/* The router waits no longer for the server, or the connection broke: the request may have run, may
 * run yet, or may never arrive. */
inline GiveUpSent(s) {
#ifdef DEFECT_NOT_RUN_AFTER_TIME_OUT
  submission[s].completion_pending = NOT_RUN;
  TellNotRun(s)
#elif defined(DEFECT_RETRY_AFTER_TIME_OUT)
  if
  :: submission[s].attempt < ATTEMPTS ->
     if /* the request on its way is taken first, or never */
     :: submission[s].request != 0 -> ServerTakes(s)
     :: true
     fi;
     SendRequest(s)
  :: else -> submission[s].completion_pending = UNKNOWN; TellUnknown(s)
  fi
#else
  submission[s].completion_pending = UNKNOWN;
  TellUnknown(s)
#endif
}

/* The answer to another request arrives on the connection. It does not echo this attempt, so the
 * connection is closed. */
inline TakeForeignAnswer(s) {
#ifdef DEFECT_ANSWER_WITHOUT_ATTEMPT
  if
  :: submission[s].answer_not_run = true
  :: submission[s].answer_not_run = false
  fi;
  TakeAnswer(s)
#else
  GiveUpSent(s)
#endif
}

/* Nothing was sent under this claim, and nothing will be. */
inline GiveUpClaimed(s) {
  submission[s].completion_pending = NOT_RUN;
  TellNotRun(s)
}

/* No verdict came in time. Another submission may have run the operation, and the claim may yet
 * commit: the outcome is unknown here. */
inline GiveUpClaiming(s) {
#ifdef DEFECT_NOT_RUN_WITHOUT_VERDICT
  TellNotRun(s)
#else
  TellUnknown(s)
#endif
}

#ifdef DEFECT_SEND_BEFORE_CLAIM
#define MAY_SEND(s) (submission[s].stage == CLAIMING)
#else
#define MAY_SEND(s) (submission[s].stage == CLAIMED)
#endif

/* The submission before this one, or this one when it is the first. */
#define BEFORE(s) (s - (s > 0))

#define STEPS(s) \
  :: atomic { submission[s].stage == IDLE && (s == 0 || submission[BEFORE(s)].stage != IDLE) \
       -> submission[s].stage = CLAIMING; submission[s].claim_pending = true } \
  :: atomic { submission[s].claim_pending -> ApplyClaim(s) } \
  :: atomic { submission[s].verdict != 0 -> TakeVerdict(s) } \
  :: atomic { MAY_SEND(s) && submission[s].attempt == 0 -> SendRequest(s) } \
  :: atomic { submission[s].request != 0 -> ServerTakes(s) } \
  :: atomic { submission[s].stage == SENT && ANSWERED_BY_SERVER(s) -> TakeAnswer(s) } \
  :: atomic { submission[s].stage == SENT -> GiveUpSent(s) } \
  :: atomic { submission[s].stage == SENT -> TakeForeignAnswer(s) } \
  :: atomic { submission[s].stage == CLAIMED -> GiveUpClaimed(s) } \
  :: atomic { submission[s].stage == CLAIMING -> GiveUpClaiming(s) } \
  :: atomic { submission[s].completion_pending != NONE -> ApplyCompletion(s) } \
  /* The router dies: what it handed to the network is still there, the rest is forgotten. */ \
  :: atomic { submission[s].stage != IDLE && submission[s].stage != ENDED -> \
       submission[s].stage = ENDED }

init {
  do
  STEPS(0)
  STEPS(1)
  STEPS(2)
  od
}
