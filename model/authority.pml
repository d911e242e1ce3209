/*
 * Model of the write authority and the election campaigns of one database
 * (core/failover). It has three endpoints, OWNERS hosts that act as owners of the
 * primary, and two rival campaigns, of which campaign c runs at host c. The logs
 * are left out: any endpoint that granted a term may be promoted. log.pml models
 * the logs.
 *
 * Every step may be delayed for any time (a paused process or a slow message) or
 * never be taken (a lost message). Ages replace clocks: Tick lets one unit of time
 * pass, and a response counts for W units after its query.
 *
 * A campaign waits until earlier authority has lapsed, which takes W units. With
 * QUIET the wait at an endpoint is shorter by the time since the endpoint was last
 * queried by another owner (FenceResponse.AuthorityIdle).
 *
 * Each of these switches removes a safeguard, so that a check must fail:
 *   NOWAIT      a campaign does not wait for earlier authority to lapse
 *   NOMAJORITY  a campaign promotes after one grant
 *   NOSECOND    a write is acknowledged without a second check of the authority
 *   NOGIVEUP    a host keeps its own authority when it starts a campaign (QUIET)
 *   ONEOWNER    the wait ignores the queries of other owners (QUIET)
 */
#define N 3
#define MAJORITY 2
#define TERMS 4     /* terms 1 to 3: 1 is the first one, campaigns use 2 and 3 */
#define CAMPAIGNS 2
/* The authority window. */
#ifndef W
#define W 2
#endif
#ifndef OWNERS
#define OWNERS 1
#endif

/*
 * The campaigns are interchangeable, so only campaign 0 has to try term 2. They
 * differ with QUIET and one owner, since only campaign 0 runs at the owner.
 */
#if defined(QUIET) && OWNERS == 1
#define ASYMMETRIC
#endif

#ifdef NOMAJORITY
#define REQUIRED_GRANTS 1
#else
#define REQUIRED_GRANTS MAJORITY
#endif

/* Index of owner o's state for endpoint e. */
#define INDEX(o, e) ((o) * N + (e))

/* Endpoints. */
byte term[N];
bool isPrimary[N];
byte primaryOf[TERMS];      /* endpoint promoted in the term, plus 1; 0 for none */

/* Owners. */
byte responseTerm[OWNERS * N];      /* term in the latest response; 0 if its query is W old */
byte responseQueryAge[OWNERS * N];  /* time since that response's query was sent */
byte authorityIdle[OWNERS * N];     /* time since the endpoint's last query, at most W */
byte minAuthorityTerm[OWNERS];      /* lowest term in which the host may have authority */

/* The write. State: 0 idle, 1 sent, 2 result in flight, 3 ended. */
byte writeState;
byte writeOwner;
byte writeTerm;
bool writeHasRun;

/* Campaigns. State: 0 not started, 1 fencing and waiting, 2 ended. */
byte campaignState[CAMPAIGNS];
byte campaignTerm[CAMPAIGNS];
bool granted[CAMPAIGNS * N];
byte timeToLapse[CAMPAIGNS * N];  /* time until earlier responses no longer count */

byte highestPromotedTerm = 1;

/* Scratch variables. */
byte i, n, selected;
bool ok;

/* Machine.authorityUntil: sets ok if owner o has authority in term t. */
inline checkAuthority(o, t) {
	n = 0;
	for (i : 0 .. N - 1) {
		if
		:: responseTerm[INDEX(o, i)] == t -> n++
		:: else
		fi
	}
	ok = (n >= MAJORITY && t >= minAuthorityTerm[o])
}

/* Machine.sendQuery and Machine.onStatusResponse, in one step. */
inline QueryStatus(o, e) {
	responseQueryAge[INDEX(o, e)] = 0;
	if
	:: term[e] >= minAuthorityTerm[o] -> responseTerm[INDEX(o, e)] = term[e]
	:: else -> responseTerm[INDEX(o, e)] = 0
	fi;
#ifdef QUIET
	authorityIdle[INDEX(o, e)] = 0
#endif
}

/* Machine.MaySendWrite */
inline SendWrite(o, t) {
	checkAuthority(o, t);
	if
	:: ok ->
		writeState = 1;
		writeOwner = o;
		writeTerm = t
	:: else
	fi
}

/*
 * The endpoint runs the write only as the primary of the expected term. A refused
 * write may be sent again.
 */
inline RunWrite() {
	selected = primaryOf[writeTerm] - 1;
	if
	:: isPrimary[selected] && term[selected] == writeTerm ->
		assert(!writeHasRun);  /* the write does not run twice */
		writeHasRun = true;
		writeState = 2
	:: else ->
		writeState = 0;
		writeOwner = 0;
		writeTerm = 0
	fi
}

/* Machine.MayAcknowledgeWrite */
inline Acknowledge() {
#ifdef NOSECOND
	ok = true;
#else
	checkAuthority(writeOwner, writeTerm);
#endif
	/* no write of a term is acknowledged once a later term has a primary */
	assert(!ok || writeTerm >= highestPromotedTerm);
	writeState = 3;
	writeOwner = 0;
	writeTerm = 0
}

/* Machine.startCampaign */
inline StartCampaign(c, t) {
	campaignState[c] = 1;
	campaignTerm[c] = t;
#if defined(QUIET) && !defined(NOGIVEUP)
	if
	:: c < OWNERS ->
		minAuthorityTerm[c] = t;
		for (i : 0 .. N - 1) {
			responseTerm[INDEX(c, i)] = 0;
			responseQueryAge[INDEX(c, i)] = 0
		}
	:: else
	fi
#endif
}

/* The endpoint's fence. A response that is not lost reaches Machine.onFenceResponse. */
inline Fence(c, e, lost) {
	term[e] = campaignTerm[c];
	isPrimary[e] = false;
	if
	:: !lost ->
		granted[c * N + e] = true;
		setTimeToLapse(c, e)
	:: else
	fi
}

/* Machine.authorityExpiryTime */
inline setTimeToLapse(c, e) {
#if defined(NOWAIT)
	timeToLapse[c * N + e] = 0
#elif defined(QUIET)
	for (i : 0 .. OWNERS - 1) {
#ifdef ONEOWNER
		if
		:: false
#else
		if
		:: i != c && W - authorityIdle[INDEX(i, e)] > timeToLapse[c * N + e] ->
			timeToLapse[c * N + e] = W - authorityIdle[INDEX(i, e)]
#endif
		:: else
		fi
	}
#else
	timeToLapse[c * N + e] = W
#endif
}

/* Machine.majorityExpiryTime, Machine.chooseCandidate and the endpoint's promotion. */
inline Promote(c, e) {
	n = 0;
	for (i : 0 .. N - 1) {
		if
		:: granted[c * N + i] && timeToLapse[c * N + i] == 0 -> n++
		:: else
		fi
	}
	if
	:: n >= REQUIRED_GRANTS ->
		if
		:: term[e] == campaignTerm[c] -> becomePrimary(e)
		:: else
		fi;
		EndCampaign(c)
	:: else
	fi
}

inline becomePrimary(e) {
	/* a term has at most one primary */
	assert(primaryOf[term[e]] == 0);
	primaryOf[term[e]] = e + 1;
	isPrimary[e] = true;
	if
	:: term[e] > highestPromotedTerm -> highestPromotedTerm = term[e]
	:: else
	fi
}

inline EndCampaign(c) {
	campaignState[c] = 2;
	campaignTerm[c] = 0;
	for (i : 0 .. N - 1) {
		granted[c * N + i] = false;
		timeToLapse[c * N + i] = 0
	}
}

/* Machine.followPrimary */
inline Follow(from, to) {
	term[to] = term[from];
	isPrimary[to] = false
}

inline Tick() {
	for (i : 0 .. OWNERS * N - 1) {
		if
		:: responseTerm[i] > 0 && responseQueryAge[i] + 1 >= W ->
			responseTerm[i] = 0;
			responseQueryAge[i] = 0
		:: responseTerm[i] > 0 && responseQueryAge[i] + 1 < W -> responseQueryAge[i]++
		:: else
		fi;
#ifdef QUIET
		if
		:: authorityIdle[i] < W -> authorityIdle[i]++
		:: else
		fi
#endif
	}
	for (i : 0 .. CAMPAIGNS * N - 1) {
		if
		:: timeToLapse[i] > 0 -> timeToLapse[i]--
		:: else
		fi
	}
}

/* One atomic step. It resets the scratch variables, so that they add no states. */
#define STEP(guard, act) :: d_step { guard -> act; i = 0; n = 0; selected = 0; ok = false }

#define QUERY(o) STEP(true, QueryStatus(o, 0)) STEP(true, QueryStatus(o, 1)) STEP(true, QueryStatus(o, 2))

#define SEND_WRITE(o, t) STEP(writeState == 0 && primaryOf[t] > 0, SendWrite(o, t))

#define OWNER_STEPS(o) QUERY(o) SEND_WRITE(o, 1) SEND_WRITE(o, 2) SEND_WRITE(o, 3)

#define FENCE(c, e) \
	STEP(campaignState[c] == 1 && term[e] < campaignTerm[c], Fence(c, e, false)) \
	STEP(campaignState[c] == 1 && term[e] < campaignTerm[c], Fence(c, e, true))

#define CAMPAIGN_STEPS(c) \
	STEP(campaignState[c] == 0, StartCampaign(c, 3)) \
	FENCE(c, 0) FENCE(c, 1) FENCE(c, 2) \
	STEP(campaignState[c] == 1 && granted[c * N], Promote(c, 0)) \
	STEP(campaignState[c] == 1 && granted[c * N + 1], Promote(c, 1)) \
	STEP(campaignState[c] == 1 && granted[c * N + 2], Promote(c, 2))

#define FOLLOW(from, to) STEP(isPrimary[from] && term[to] < term[from], Follow(from, to))

init {
	d_step {
		for (i : 0 .. N - 1) { term[i] = 1 }
		for (i : 0 .. OWNERS * N - 1) { authorityIdle[i] = W }
		isPrimary[0] = true;
		primaryOf[1] = 1;
		i = 0
	}
	do
	OWNER_STEPS(0)
#if OWNERS > 1
	OWNER_STEPS(1)
#endif
	STEP(writeState == 1, RunWrite())
	STEP(writeState == 2, Acknowledge())
	CAMPAIGN_STEPS(0)
	CAMPAIGN_STEPS(1)
	STEP(campaignState[0] == 0, StartCampaign(0, 2))
#ifdef ASYMMETRIC
	STEP(campaignState[1] == 0, StartCampaign(1, 2))
#endif
	FOLLOW(0, 1) FOLLOW(0, 2) FOLLOW(1, 0) FOLLOW(1, 2) FOLLOW(2, 0) FOLLOW(2, 1)
	STEP(true, Tick())
	od
}
