/*
 * Model of the authority over a primary and of its replacement on the users' platform
 * (core/lead, core/pool, core/proxy). It has the old primary, two replicas, one owner of
 * the old primary, and one campaign at another host. Two campaigns cannot hold the same
 * token, since the store grants it by a conditional update.
 *
 * Every step may be delayed for any time or never be taken. Ages replace clocks: Tick
 * lets one unit of time pass, and a confirmation counts for W units after its query. The
 * old primary may crash and restart once. Its owner may not notice, since a broken
 * connection may give no error.
 *
 * The campaign may leave out replica 1, which does not respond to it, if the old primary refused a
 * connection. The owner reaches the replica all the while. It may open its connections to the
 * replicas anew at any time, and read the leadership record.
 *
 * After the change the replica that was not promoted is resumed. It does not follow the new primary,
 * and holds no later term.
 *
 * With PLANNED the model is that of a planned change instead, in which the old primary steps down
 * by itself and a replica that holds its whole log is promoted. Replica 1 may be left out, too. The
 * replicas are not paused, and confirm the old primary to its owner all the while. The owner does not
 * hear of the change: it queries the old primary, opens and closes its connection, and reads.
 *
 * With EXPIRY the records of replicas expire. An owner that has started meanwhile may not know a
 * replica; one that has known it goes on to count it, as the campaign does.
 *
 * With SYNC the model is that of the logs if a commit is acknowledged once a replica holds it. Any endpoint
 * may crash and return with its log, also a candidate before or after it leads; a replica may receive
 * nothing for any time. The old primary is endpoint 0.
 *
 * Each of these switches removes a safeguard, so that a check must fail:
 *   NOWAIT        the campaign does not wait for the lease to expire
 *   ONEPAUSE      the fence counts as complete with one paused replica
 *   EARLYREFUSAL  a connection refused before the fence already ends the wait
 *   NOCOVER       the owner uses connections that its authority does not cover
 *   NOACKCHECK    a write is acknowledged without a second check of the authority
 *   LATERESUME    the campaign resumes the replicas although the platform may still carry
 *                 out the promotion that it has requested
 *   ANYCONN       a majority is enough on connections that are newer than the last read of a
 *                 record without a campaign
 *   LEFTOUTWAIT   the expiry of the lease counts although a replica was left out
 *   NOWATCH       a majority is enough from a replica that the owner has not watched without a gap
 *   EARLYRESUME   the replica is resumed as soon as the new primary is in use
 *   NOCATCHUP     a planned change promotes a replica that lacks a part of the log (with PLANNED)
 *   NOSTEPDOWN    a planned change does not wait for the old primary to step down (with PLANNED)
 *   NOROLE        the authority needs no reply of the primary itself (with PLANNED)
 *   ROLEONARRIVAL such a reply counts from its arrival, not from its query (with PLANNED)
 *   NEWCONN       the owner uses a connection opened after such a query (with PLANNED)
 *   NOROLEWAIT    a planned change does not wait for such replies to expire (with PLANNED)
 *   EARLYUNUSED   the old primary's connections are counted before it steps down (with PLANNED)
 *   FORGETOWNER   the owner takes a replica whose record has expired for gone (with EXPIRY)
 *   FORGETCAMPAIGN the campaign does so (with EXPIRY)
 *   ALLOFKNOWN    to an owner that may not know all replicas, those that it knows are all (with EXPIRY)
 *   FORGETCOPY    the campaign chooses without a replica whose record has expired (with SYNC)
 *   ANYREPLACEMENT a crashed candidate is replaced by any replica (with SYNC)
 *   NEVERLED      a crashed candidate counts as one that has never led (with SYNC)
 */
#define W 2             /* LeaseDuration */
#define G 3             /* maxWatchGap */
#define D 2             /* DemotionDelay */
#define REPLICAS 2
#define EXPIRED W       /* age of a confirmation that does not count */

/* The old primary. */
bool oldIsRunning = true;
byte oldIncarnation;

/* Replicas. */
bool paused[REPLICAS];

/* The owner: the ages of the replicas' confirmations, and its connections. */
byte confirmationAge[REPLICAS];
bool replicaCovered[REPLICAS] = true;   /* watched since the last clear read, on one connection */
byte watchAge[REPLICAS];                /* time since the last confirmation, at most G + 1 */
bool connConfirmed[REPLICAS];           /* confirmed since the newest connection was opened */
bool connRead;                          /* a clear read since the newest connection was opened */
bool connected = true;
byte connIncarnation;
bool connTrusted = true;    /* the authority covers the newest connection */
bool hasOlderTrustedConn;   /* an older connection was trusted when a newer one was opened */
byte olderConnIncarnation;

/* An operation. State: 0 idle, 1 sent, 2 reply in flight. */
byte opState;
bool opIsWrite;
bool opAdmittedAfterChange; /* the new primary was in use when the operation was sent */
bool opRanAfterChange;      /* the new primary was in use when the operation ran */
byte opIncarnation;

/*
 * The campaign. State: 0 not started, 1 fencing, 2 promotion requested, 3 the new primary
 * is in use.
 */
byte campaignState;
bool startedOnRefusal;      /* the old primary refused a connection before the campaign */
bool fenceComplete;         /* the replicas are paused, but for one that was left out */
bool leftOut;
byte fenceAge;
bool oldRefusedAfterFence;  /* the old primary refused a connection after the fence */
byte candidate;

#ifdef EXPIRY
bool unknownToOwner[REPLICAS];  /* the owner has started after the record had expired */
bool restarted;
bool expired[REPLICAS];         /* the campaign's host has no record */
#endif

/* Scratch variables. */
byte i;
bool ok;

/* The replicas that the owner knows count as all. */
#if defined(FORGETOWNER)
#define ALLKNOWN true
#elif defined(ALLOFKNOWN)
#define ALLKNOWN (!unknownToOwner[0] || !unknownToOwner[1])
#else
#define ALLKNOWN (!unknownToOwner[0] && !unknownToOwner[1])
#endif

/*
 * Authority.Valid: the primary and one replica are a majority, which is enough if the replica's
 * connection is covered. Otherwise all replicas have to confirm.
 */
inline checkAuthority() {
#ifdef ANYCONN
	ok = (confirmationAge[0] < W || confirmationAge[1] < W)
#elif defined(EXPIRY)
	ok = ((ALLKNOWN && (unknownToOwner[0] || confirmationAge[0] < W) && (unknownToOwner[1] || confirmationAge[1] < W))
		|| (!unknownToOwner[0] && confirmationAge[0] < W && replicaCovered[0])
		|| (!unknownToOwner[1] && confirmationAge[1] < W && replicaCovered[1]))
#else
	ok = ((confirmationAge[0] < W && confirmationAge[1] < W)
		|| (confirmationAge[0] < W && replicaCovered[0])
		|| (confirmationAge[1] < W && replicaCovered[1]))
#endif
}

/* Authority.ConfirmedSince, and Pool.TrustConnections for the open connections. */
inline updateTrust() {
	if
#ifdef ANYCONN
	:: connConfirmed[0] || connConfirmed[1] -> connTrusted = true
#elif defined(EXPIRY)
	:: ALLKNOWN && (unknownToOwner[0] || connConfirmed[0]) && (unknownToOwner[1] || connConfirmed[1]) -> connTrusted = true
	:: connRead && !unknownToOwner[0] && connConfirmed[0] && replicaCovered[0] -> connTrusted = true
	:: connRead && !unknownToOwner[1] && connConfirmed[1] && replicaCovered[1] -> connTrusted = true
#else
	:: connConfirmed[0] && connConfirmed[1] -> connTrusted = true
	:: connRead && connConfirmed[0] && replicaCovered[0] -> connTrusted = true
	:: connRead && connConfirmed[1] && replicaCovered[1] -> connTrusted = true
#endif
	:: else
	fi
}

/* Authority.HandleStatus */
inline Confirm(r) {
	if
	:: !paused[r] && !(campaignState == 3 && r == candidate) ->
#ifndef NOWATCH
		if
		:: watchAge[r] > G -> replicaCovered[r] = false
		:: else
		fi;
#endif
		watchAge[r] = 0;
		confirmationAge[r] = 0;
		connConfirmed[r] = true;
		updateTrust()
	:: else
	fi
}

/* Machine.noteClaimFree: a read that shows no campaign, and no other primary. */
inline ReadRecord() {
	replicaCovered[0] = true;
	replicaCovered[1] = true;
	connRead = true;
	updateTrust()
}

/* Machine.mayUsePrimary and Pool.findConnection. */
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

/* The endpoint. A connection to an earlier incarnation is broken. */
inline RunOp() {
	if
	:: oldIsRunning && opIncarnation == oldIncarnation ->
		opRanAfterChange = (campaignState == 3);
		/* no read sent after the change runs at the old primary */
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
	/* no acknowledged write ran at the old primary after the change */
	assert(!(ok && opIsWrite && opRanAfterChange));
	opState = 0;
	opRanAfterChange = false
}

/* The old primary's process ends. Its owner may notice or not. */
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

/* The owner opens a connection. The authority does not cover it yet. */
inline OpenConn() {
	if
	:: connected && connTrusted ->
		hasOlderTrustedConn = true;
		olderConnIncarnation = connIncarnation
	:: else
	fi;
	connected = true;
	connIncarnation = oldIncarnation;
	connTrusted = false;
	connConfirmed[0] = false;
	connConfirmed[1] = false;
	connRead = false
}

/*
 * Pool.HandleReply: a reply on the older trusted connection, to a command sent after the
 * newer one was opened, shows that both lead to the same instance.
 */
inline TrustConn() {
	connTrusted = true
}

inline PauseReplica(r) {
	paused[r] = true;
	if
#ifdef ONEPAUSE
	:: paused[0] || paused[1] ->
#elif defined(FORGETCAMPAIGN)
	:: (paused[0] || expired[0]) && (paused[1] || expired[1]) ->
#else
	:: paused[0] && paused[1] ->
#endif
		if
		:: !fenceComplete || leftOut -> fenceComplete = true; leftOut = false; fenceAge = 0
		:: else
		fi
	:: else
	fi
}

/* Campaign.mayLeaveOutSilent */
inline LeaveOut() {
	fenceComplete = true;
	fenceAge = 0;
	leftOut = true
}

/* Campaign.promoteIfFenced with Campaign.mustAwaitLeaseExpiry. */
inline RequestPromotion(r) {
#if defined(NOWAIT)
	ok = true;
#elif defined(EARLYREFUSAL)
	ok = (fenceAge >= W || startedOnRefusal);
#elif defined(LEFTOUTWAIT)
	ok = (fenceAge >= W || oldRefusedAfterFence);
#else
	ok = ((fenceAge >= W && !leftOut) || oldRefusedAfterFence);
#endif
	if
	:: ok && paused[r] -> campaignState = 2; candidate = r
	:: else
	fi
}

/*
 * Campaign.endCampaign without a new primary. While the platform may carry out a requested
 * promotion, the campaign goes on or its successor finishes it, so that it never ends so.
 */
inline GiveUp() {
	paused[0] = false;
	paused[1] = false;
	fenceComplete = false;
	leftOut = false;
	oldRefusedAfterFence = false
}

inline Tick() {
	for (i : 0 .. REPLICAS - 1) {
		if
		:: confirmationAge[i] < EXPIRED -> confirmationAge[i]++
		:: else
		fi;
		if
		:: watchAge[i] <= G -> watchAge[i]++
		:: else
		fi
	}
	if
	:: fenceComplete && fenceAge < W + D -> fenceAge++
	:: else
	fi
}

/* One atomic step. It resets the scratch variables, so that they add no states. */
#define STEP(guard, act) :: d_step { guard -> act; i = 0; ok = false }

#ifdef EXPIRY
/* The owner's process ends and another one takes its place. */
inline Restart() {
	restarted = true;
	connected = false;
	hasOlderTrustedConn = false;
	connTrusted = false;
	opState = 0;
	opRanAfterChange = false;
	confirmationAge[0] = EXPIRED;
	confirmationAge[1] = EXPIRED;
	replicaCovered[0] = false;
	replicaCovered[1] = false
}
#endif

#if !defined(PLANNED) && !defined(SYNC)
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
	STEP(campaignState == 0, ReadRecord())
	STEP(replicaCovered[0], replicaCovered[0] = false)
	STEP(replicaCovered[1], replicaCovered[1] = false)
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
	STEP(campaignState == 1 && startedOnRefusal && !fenceComplete && paused[0], LeaveOut())
	STEP(campaignState == 1 && startedOnRefusal && fenceComplete && !oldIsRunning, oldRefusedAfterFence = true)
	STEP(campaignState == 1 && fenceComplete, RequestPromotion(0))
	STEP(campaignState == 1 && fenceComplete, RequestPromotion(1))
	STEP(campaignState == 1, GiveUp(); startedOnRefusal = false; campaignState = 0)
#ifdef LATERESUME
	STEP(campaignState == 2, GiveUp())
#endif
	STEP(campaignState == 2, campaignState = 3)
#ifdef EARLYRESUME
	STEP(campaignState == 3, paused[1 - candidate] = false)
#else
	STEP(campaignState == 3 && fenceAge >= W + D, paused[1 - candidate] = false)
#endif
#ifdef EXPIRY
	/* the owner's process ends once, and the next one may not know a replica */
	STEP(!restarted, Restart(); unknownToOwner[0] = true)
	STEP(!restarted, Restart(); unknownToOwner[1] = true)
	STEP(!restarted, Restart(); unknownToOwner[0] = true; unknownToOwner[1] = true)
#ifdef FORGETCAMPAIGN
	STEP(!expired[0], expired[0] = true)
	STEP(!expired[1], expired[1] = true)
#endif
#endif
	STEP(true, Tick())
	od
}

#elif defined(SYNC)
#include "lead_sync.pml"

#else
#define WRITES 3

/*
 * The old primary's log, and what each replica has received of it. Replica 1 responds to the
 * campaign at any time or never.
 */
byte logged;
byte acknowledged;
byte received[REPLICAS];
bool oldIsPrimary = true;

/* State: 0 not started, 1 stepping down, 2 catching up, 3 promoting, 4 promoted. */
byte changeState;
byte target;                /* the old primary's log after it has stepped down */

/* The owner's connection to the old primary. */
bool ownerConnected = true;
bool ownerConnCovered = true;   /* opened before the last query with a primary's reply was sent */
byte roleAge;                   /* age of that query */

/* The owner's query in flight. State: 0 none, 1 sent, 2 a primary has replied, 3 a replica has. */
byte queryState;
byte queryAge;
bool queryCoversConn;           /* the connection was open when the query was sent */

bool oldUnused;                 /* the old primary has reported no owner's connection */
byte stepDownAge;

/* Authority.DueQueries */
inline SendQuery() {
	queryState = 1;
	queryAge = 0;
	queryCoversConn = ownerConnected
}

/* The endpoint. */
inline AnswerQuery() {
	if
	:: oldIsPrimary -> queryState = 2
	:: else -> queryState = 3
	fi
}

/* Authority.handlePrimaryStatus */
inline HandleRole() {
	if
	:: queryState == 2 ->
#ifdef ROLEONARRIVAL
		roleAge = 0;
#else
		if
		:: queryAge < roleAge -> roleAge = queryAge
		:: else
		fi;
#endif
		if
		:: queryCoversConn -> ownerConnCovered = true
		:: else
		fi
	:: else ->
		roleAge = EXPIRED;
		ownerConnCovered = false
	fi;
	queryState = 0;
	queryAge = 0;
	queryCoversConn = false
}

inline OpenOwnerConn() {
	ownerConnected = true;
	ownerConnCovered = false;
	queryCoversConn = false
}

/* Machine.mayUsePrimary and Pool.findConnection: no read is sent once the new primary is in use. */
inline Read() {
	ok = true;
#ifndef NOROLE
	ok = (ok && roleAge < W);
#endif
#ifndef NEWCONN
	ok = (ok && ownerConnCovered);
#endif
	assert(!(ok && changeState == 4))
}

/* Campaign.handleSteppedDownStatus */
inline CountConnections() {
	if
	:: !ownerConnected -> oldUnused = true
	:: else
	fi
}

inline StepDown() {
	oldIsPrimary = false;
	target = logged;
	stepDownAge = 0;
	changeState = 2
}

/* Campaign.MayPromote */
inline Promote() {
#ifdef NOROLEWAIT
	ok = true;
#else
	ok = (oldUnused || stepDownAge >= W);
#endif
	if
	:: ok ->
		/* what the candidate lacks is rolled back: no acknowledged write may be among it */
		assert(received[candidate] >= acknowledged && received[candidate] >= logged);
		changeState = 4
	:: else
	fi
}

inline TickPlanned() {
	if
	:: roleAge < EXPIRED -> roleAge++
	:: else
	fi;
	if
	:: queryState != 0 && queryAge < EXPIRED -> queryAge++
	:: else
	fi;
	if
	:: changeState >= 2 && stepDownAge < W -> stepDownAge++
	:: else
	fi
}

/* Campaign.promoteIfCaughtUp */
inline Choose(r) {
#ifdef NOCATCHUP
	ok = true;
#else
	ok = (received[r] >= target);
#endif
	if
	:: ok -> candidate = r; changeState = 3
	:: else
	fi
}

/* Campaign.tickCatchingUp: the old primary is promoted again. */
inline ReturnToOld() {
	oldIsPrimary = true;
	oldUnused = false;
	stepDownAge = 0;
	changeState = 0
}

init {
	do
	/* the old primary: a write is acknowledged before or after the replicas receive it */
	STEP(oldIsPrimary && logged < WRITES, logged++; assert(changeState < 4))
	STEP(acknowledged < logged, acknowledged++)
	STEP(changeState < 4 && received[0] < logged, received[0]++)
	STEP(changeState < 4 && received[1] < logged, received[1]++)
	/* the planned change */
	STEP(changeState == 0, changeState = 1)
	STEP(changeState == 1, StepDown())
#ifdef EARLYUNUSED
	STEP(changeState == 1, CountConnections())
#endif
	STEP(changeState == 2 || changeState == 3, CountConnections())
#ifdef NOSTEPDOWN
	STEP(changeState == 1, target = logged; changeState = 2)
#endif
	STEP(changeState == 2, Choose(0))
	STEP(changeState == 2, Choose(1))
	STEP(changeState == 2, ReturnToOld())
	STEP(changeState == 3, Promote())
	/* the owner */
	STEP(queryState == 0, SendQuery())
	STEP(queryState == 1, AnswerQuery())
	STEP(queryState >= 2, HandleRole())
	STEP(ownerConnected, ownerConnected = false; ownerConnCovered = false; queryCoversConn = false)
	STEP(true, OpenOwnerConn())
	STEP(ownerConnected, Read())
	STEP(true, TickPlanned())
	od
}
#endif
