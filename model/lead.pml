/*
 * Authority over a primary and its replacement on the users' platform (core/lead,
 * core/pool, core/proxy): the old primary, two replicas, one owner of the old primary,
 * and one campaign at another host. Two campaigns cannot run under one token, since the
 * store grants it by a conditional update.
 *
 * Every step may be delayed for any time or never taken. Ages replace clocks: Tick lets
 * one unit of time pass, and a confirmation is of use for W units after its question.
 * The old primary may crash and come back once; its owner may miss that, since its
 * connections may have gone silent.
 *
 * Guards that can be removed: NOWAIT, ONEPAUSE, EARLYREFUSAL, NOCOVER, NOACKCHECK.
 */
#define W 2
#define REPLICAS 2
#define EXPIRED W        /* age of a confirmation that does not count */

/* The old primary. */
bool oldIsRunning = true;
byte oldIncarnation;

/* Replicas. */
bool paused[REPLICAS];

/* The owner: ages of the replicas' confirmations, and its connection. */
byte confirmationAge[REPLICAS];
bool connected = true;
byte connIncarnation;
bool connTrusted = true;    /* the authority covers the connection */
bool hasOlderTrustedConn;          /* there is an older connection that was covered */
byte olderConnIncarnation;

/* An operation: 0 idle, 1 sent, 2 answer on its way. */
byte opState;
bool opIsWrite;
bool opAdmittedAfterChange;           /* the successor led when the operation was admitted */
bool opRanAfterChange;        /* the successor led when it ran */
byte opIncarnation;

/* The campaign: 0 not started, 1 fencing, 2 promotion asked for, 3 the successor leads. */
byte campaignState;
bool startedOnRefusal;              /* it began with a refused connection */
bool fenceComplete;
byte fenceAge;
bool oldRefusedAfterFence;           /* the old primary has refused a connection behind the fence */

byte i;
bool ok;

/* Authority.Valid: one replica makes a majority with the primary. */
inline checkAuthority() {
	ok = (confirmationAge[0] < W || confirmationAge[1] < W)
}

/* Authority.Answered; pool.Trust for the connections that are open. */
inline Confirm(r) {
	if
	:: !paused[r] ->
		confirmationAge[r] = 0;
		connTrusted = true
	:: else
	fi
}

/* Machine.mayUsePrimary, Pool.connFor */
inline SendOp(isWrite) {
	checkAuthority();
#ifndef NOCOVER
	ok = (ok && connTrusted);
#endif
	if
	:: ok ->
		opState = 1;
		opIsWrite = isWrite;
		opAdmittedAfterChange = (campaignState == 3);
		opIncarnation = connIncarnation
	:: else
	fi
}

/* The endpoint; a connection to an earlier incarnation leads nowhere. */
inline RunOp() {
	if
	:: oldIsRunning && opIncarnation == oldIncarnation ->
		opRanAfterChange = (campaignState == 3);
		/* no read that began after the successor led runs at the old primary */
		assert(opIsWrite || !opAdmittedAfterChange);
		opState = 2
	:: else -> opState = 0
	fi
}

/* Machine.mayAcknowledge */
inline Acknowledge() {
	checkAuthority();
#ifdef NOACKCHECK
	ok = true;
#endif
	/* no write that was committed beside the successor is acknowledged */
	assert(!(ok && opIsWrite && opRanAfterChange));
	opState = 0;
	opRanAfterChange = false
}

/* The process ends. Its owner hears of it, or not. */
inline Crash(noticed) {
	oldIsRunning = false;
	if
	:: noticed ->
		connected = false;
		hasOlderTrustedConn = false;
		confirmationAge[0] = EXPIRED;
		confirmationAge[1] = EXPIRED
	:: else
	fi
}

inline OpenConn() {
	if
	:: connected && connTrusted ->
		hasOlderTrustedConn = true;
		olderConnIncarnation = connIncarnation
	:: else
	fi;
	connected = true;
	connIncarnation = oldIncarnation;
	connTrusted = false
}

/* Pool.Replied: an older covered connection answers a later question. */
inline TrustConn() {
	connTrusted = true
}

inline PauseReplica(r) {
	paused[r] = true;
	if
#ifdef ONEPAUSE
	:: paused[0] || paused[1] ->
#else
	:: paused[0] && paused[1] ->
#endif
		if
		:: !fenceComplete -> fenceComplete = true; fenceAge = 0
		:: else
		fi
	:: else
	fi
}

/* Campaign.mustWait */
inline RequestPromotion() {
#if defined(NOWAIT)
	ok = true;
#elif defined(EARLYREFUSAL)
	ok = (fenceAge >= W || startedOnRefusal);
#else
	ok = (fenceAge >= W || oldRefusedAfterFence);
#endif
	if
	:: ok -> campaignState = 2
	:: else
	fi
}

inline Tick() {
	for (i : 0 .. REPLICAS - 1) {
		if
		:: confirmationAge[i] < EXPIRED -> confirmationAge[i]++
		:: else
		fi
	}
	if
	:: fenceComplete && fenceAge < W -> fenceAge++
	:: else
	fi
}

#define STEP(guard, act) :: d_step { guard -> act; i = 0; ok = false }

init {
	do
	/* the owner */
	STEP(connected, Confirm(0))
	STEP(connected, Confirm(1))
	STEP(opState == 0 && connected, SendOp(true))
	STEP(opState == 0 && connected, SendOp(false))
	STEP(opState == 1, RunOp())
	STEP(opState == 2, Acknowledge())
	STEP(oldIsRunning, OpenConn())
	STEP(hasOlderTrustedConn && oldIsRunning && olderConnIncarnation == oldIncarnation, TrustConn())
	/* the old primary */
	STEP(oldIsRunning && oldIncarnation == 0, Crash(true))
	STEP(oldIsRunning && oldIncarnation == 0, Crash(false))
	STEP(!oldIsRunning && campaignState < 3, oldIsRunning = true; oldIncarnation = 1)
	/* the campaign */
	STEP(campaignState == 0, campaignState = 1)
	STEP(campaignState == 0 && !oldIsRunning, campaignState = 1; startedOnRefusal = true)
	STEP(campaignState == 1 && !paused[0], PauseReplica(0))
	STEP(campaignState == 1 && !paused[1], PauseReplica(1))
	STEP(campaignState == 1 && startedOnRefusal && fenceComplete && !oldIsRunning, oldRefusedAfterFence = true)
	STEP(campaignState == 1 && fenceComplete, RequestPromotion())
	STEP(campaignState == 2, campaignState = 3)
	STEP(true, Tick())
	od
}
