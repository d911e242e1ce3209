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
#define LAPSED W        /* age of a confirmation that does not count */

/* The old primary. */
bool running = true;
byte incarnation;

/* Replicas. */
bool paused[REPLICAS];

/* The owner: ages of the replicas' confirmations, and its connection. */
byte age[REPLICAS];
bool connected = true;
byte connIncarnation;
bool covered = true;    /* the authority covers the connection */
bool hasOther;          /* there is an older connection that was covered */
byte otherIncarnation;

/* An operation: 0 idle, 1 sent, 2 answer on its way. */
byte op;
bool opWrites;
bool opAfter;           /* the successor led when the operation was admitted */
bool opRanAfter;        /* the successor led when it ran */
byte opIncarnation;

/* The campaign: 0 not started, 1 fencing, 2 promotion asked for, 3 the successor leads. */
byte campaign;
bool gone;              /* it began with a refused connection */
bool fenced;
byte fenceAge;
bool refused;           /* the old primary has refused a connection behind the fence */

byte i;
bool ok;

/* Authority.Valid: one replica makes a majority with the primary. */
inline checkAuthority() {
	ok = (age[0] < W || age[1] < W)
}

/* Authority.Answered; pool.Trust for the connections that are open. */
inline Confirm(r) {
	if
	:: !paused[r] ->
		age[r] = 0;
		covered = true
	:: else
	fi
}

/* Machine.mayUsePrimary, Pool.connFor */
inline Send(writes) {
	checkAuthority();
#ifndef NOCOVER
	ok = (ok && covered);
#endif
	if
	:: ok ->
		op = 1;
		opWrites = writes;
		opAfter = (campaign == 3);
		opIncarnation = connIncarnation
	:: else
	fi
}

/* The endpoint; a connection to an earlier incarnation leads nowhere. */
inline Run() {
	if
	:: running && opIncarnation == incarnation ->
		opRanAfter = (campaign == 3);
		/* no read that began after the successor led runs at the old primary */
		assert(opWrites || !opAfter);
		op = 2
	:: else -> op = 0
	fi
}

/* Machine.mayAcknowledge */
inline Acknowledge() {
	checkAuthority();
#ifdef NOACKCHECK
	ok = true;
#endif
	/* no write that was committed beside the successor is acknowledged */
	assert(!(ok && opWrites && opRanAfter));
	op = 0;
	opRanAfter = false
}

/* The process ends. Its owner hears of it, or not. */
inline Crash(heard) {
	running = false;
	if
	:: heard ->
		connected = false;
		hasOther = false;
		age[0] = LAPSED;
		age[1] = LAPSED
	:: else
	fi
}

inline Open() {
	if
	:: connected && covered ->
		hasOther = true;
		otherIncarnation = connIncarnation
	:: else
	fi;
	connected = true;
	connIncarnation = incarnation;
	covered = false
}

/* Pool.Replied: an older covered connection answers a later question. */
inline Vouch() {
	covered = true
}

inline Fence(r) {
	paused[r] = true;
	if
#ifdef ONEPAUSE
	:: paused[0] || paused[1] ->
#else
	:: paused[0] && paused[1] ->
#endif
		if
		:: !fenced -> fenced = true; fenceAge = 0
		:: else
		fi
	:: else
	fi
}

/* Campaign.mustWait */
inline Promote() {
#if defined(NOWAIT)
	ok = true;
#elif defined(EARLYREFUSAL)
	ok = (fenceAge >= W || gone);
#else
	ok = (fenceAge >= W || refused);
#endif
	if
	:: ok -> campaign = 2
	:: else
	fi
}

inline Tick() {
	for (i : 0 .. REPLICAS - 1) {
		if
		:: age[i] < LAPSED -> age[i]++
		:: else
		fi
	}
	if
	:: fenced && fenceAge < W -> fenceAge++
	:: else
	fi
}

#define STEP(guard, act) :: d_step { guard -> act; i = 0; ok = false }

init {
	do
	/* the owner */
	STEP(connected, Confirm(0))
	STEP(connected, Confirm(1))
	STEP(op == 0 && connected, Send(true))
	STEP(op == 0 && connected, Send(false))
	STEP(op == 1, Run())
	STEP(op == 2, Acknowledge())
	STEP(running, Open())
	STEP(hasOther && running && otherIncarnation == incarnation, Vouch())
	/* the old primary */
	STEP(running && incarnation == 0, Crash(true))
	STEP(running && incarnation == 0, Crash(false))
	STEP(!running && campaign < 3, running = true; incarnation = 1)
	/* the campaign */
	STEP(campaign == 0, campaign = 1)
	STEP(campaign == 0 && !running, campaign = 1; gone = true)
	STEP(campaign == 1 && !paused[0], Fence(0))
	STEP(campaign == 1 && !paused[1], Fence(1))
	STEP(campaign == 1 && gone && fenced && !running, refused = true)
	STEP(campaign == 1 && fenced, Promote())
	STEP(campaign == 2, campaign = 3)
	STEP(true, Tick())
	od
}
