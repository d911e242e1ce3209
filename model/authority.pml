/*
 * Write authority and campaigns of one database: three endpoints, OWNERS hosts
 * that act as owners of the primary, and two rival campaigns, of which campaign
 * c runs at host c. The logs are left out: any endpoint that granted a term may
 * be chosen. log.pml has the logs.
 *
 * Every step may be delayed for any time (a pause or a slow message) or never
 * taken (a lost message). Ages replace clocks: Tick lets one unit of time pass,
 * and an answer is of use for W units after its question.
 *
 * QUIET selects the wait that subtracts the time without other owners. Guards
 * that can be removed: NOWAIT, NOMAJORITY, NOSECOND, NOGIVEUP, ONEOWNER.
 */
#define N 3
#define MAJORITY 2
#define TERMS 4     /* 1 is the first term; campaigns use 2 and 3 */
#define CAMPAIGNS 2
#ifndef W
#define W 2
#endif
#ifndef OWNERS
#define OWNERS 1
#endif

/* With QUIET and one owner the campaigns differ: only campaign 0 is at the owner. */
#if defined(QUIET) && OWNERS == 1
#define ASYMMETRIC
#endif

#ifdef NOMAJORITY
#define GRANTS 1
#else
#define GRANTS MAJORITY
#endif

#define ANSWER(o, e) ((o) * N + (e))

/* Endpoints. */
byte term[N];
bool primary[N];
byte primaryOf[TERMS];      /* endpoint + 1 that was promoted in the term, or 0 */

/* Owners. */
byte answerTerm[OWNERS * N];  /* term in the latest answer, 0 if older than W */
byte answerAge[OWNERS * N];   /* age of that answer's question */
byte askedAge[OWNERS * N];    /* time since the endpoint was asked, at most W */
byte floor[OWNERS];           /* lowest term in which the host has authority */

/* The write: 0 idle, 1 sent, 2 result on its way, 3 over. */
byte write;
byte writeOwner;
byte writeTerm;
bool ran;

/* Campaigns: 0 not started, 1 fencing and waiting, 2 over. */
byte campaign[CAMPAIGNS];
byte campaignTerm[CAMPAIGNS];
bool granted[CAMPAIGNS * N];
byte remaining[CAMPAIGNS * N];  /* time until earlier answers have lapsed */

byte newest = 1;             /* highest promoted term */

byte i, n, x;                /* scratch */
bool ok;

/* Machine.authorityUntil */
inline checkAuthority(o, t) {
	n = 0;
	for (i : 0 .. N - 1) {
		if
		:: answerTerm[ANSWER(o, i)] == t -> n++
		:: else
		fi
	}
	ok = (n >= MAJORITY && t >= floor[o])
}

/* Machine.ask, Machine.onAnswer */
inline Ask(o, e) {
	answerAge[ANSWER(o, e)] = 0;
	if
	:: term[e] >= floor[o] -> answerTerm[ANSWER(o, e)] = term[e]
	:: else -> answerTerm[ANSWER(o, e)] = 0
	fi;
#ifdef QUIET
	askedAge[ANSWER(o, e)] = 0
#endif
}

/* Machine.MaySend */
inline SendWrite(o, t) {
	checkAuthority(o, t);
	if
	:: ok ->
		write = 1;
		writeOwner = o;
		writeTerm = t
	:: else
	fi
}

/* The endpoint compares the expected term. A refused write may be sent again. */
inline RunWrite() {
	x = primaryOf[writeTerm] - 1;
	if
	:: primary[x] && term[x] == writeTerm ->
		assert(!ran);            /* no write runs twice */
		ran = true;
		write = 2
	:: else ->
		write = 0;
		writeOwner = 0;
		writeTerm = 0
	fi
}

/* Machine.MayAck */
inline Acknowledge() {
#ifdef NOSECOND
	ok = true;
#else
	checkAuthority(writeOwner, writeTerm);
#endif
	/* nothing is acknowledged in a term once a later one has its primary */
	assert(!ok || writeTerm >= newest);
	write = 3;
	writeOwner = 0;
	writeTerm = 0
}

/* Machine.startCampaign */
inline StartCampaign(c, t) {
	campaign[c] = 1;
	campaignTerm[c] = t;
#if defined(QUIET) && !defined(NOGIVEUP)
	if
	:: c < OWNERS ->
		floor[c] = t;
		for (i : 0 .. N - 1) {
			answerTerm[ANSWER(c, i)] = 0;
			answerAge[ANSWER(c, i)] = 0
		}
	:: else
	fi
#endif
}

/* The endpoint's fence. An answer that is not lost reaches Machine.onFenceAnswer. */
inline Fence(c, e, lost) {
	term[e] = campaignTerm[c];
	primary[e] = false;
	if
	:: !lost ->
		granted[c * N + e] = true;
		setRemaining(c, e)
	:: else
	fi
}

/* Machine.lapseOf */
inline setRemaining(c, e) {
#if defined(NOWAIT)
	remaining[c * N + e] = 0
#elif defined(QUIET)
	for (i : 0 .. OWNERS - 1) {
#ifdef ONEOWNER
		if
		:: false
#else
		if
		:: i != c && W - askedAge[ANSWER(i, e)] > remaining[c * N + e] ->
			remaining[c * N + e] = W - askedAge[ANSWER(i, e)]
#endif
		:: else
		fi
	}
#else
	remaining[c * N + e] = W
#endif
}

/* Machine.lapseOfMajority, Machine.choose, the endpoint's promotion */
inline Promote(c, e) {
	n = 0;
	for (i : 0 .. N - 1) {
		if
		:: granted[c * N + i] && remaining[c * N + i] == 0 -> n++
		:: else
		fi
	}
	if
	:: n >= GRANTS ->
		if
		:: term[e] == campaignTerm[c] -> becomePrimary(e)
		:: else
		fi;
		EndCampaign(c)
	:: else
	fi
}

inline becomePrimary(e) {
	/* one primary in a term */
	assert(primaryOf[term[e]] == 0);
	primaryOf[term[e]] = e + 1;
	primary[e] = true;
	if
	:: term[e] > newest -> newest = term[e]
	:: else
	fi
}

inline EndCampaign(c) {
	campaign[c] = 2;
	campaignTerm[c] = 0;
	for (i : 0 .. N - 1) {
		granted[c * N + i] = false;
		remaining[c * N + i] = 0
	}
}

/* Machine.followPrimary */
inline Follow(from, to) {
	term[to] = term[from];
	primary[to] = false
}

inline Tick() {
	for (i : 0 .. OWNERS * N - 1) {
		if
		:: answerTerm[i] > 0 && answerAge[i] + 1 >= W ->
			answerTerm[i] = 0;
			answerAge[i] = 0
		:: answerTerm[i] > 0 && answerAge[i] + 1 < W -> answerAge[i]++
		:: else
		fi;
#ifdef QUIET
		if
		:: askedAge[i] < W -> askedAge[i]++
		:: else
		fi
#endif
	}
	for (i : 0 .. CAMPAIGNS * N - 1) {
		if
		:: remaining[i] > 0 -> remaining[i]--
		:: else
		fi
	}
}

#define STEP(guard, act) :: d_step { guard -> act; i = 0; n = 0; x = 0; ok = false }

#define ASK(o) STEP(true, Ask(o, 0)) STEP(true, Ask(o, 1)) STEP(true, Ask(o, 2))

#define SEND(o, t) STEP(write == 0 && primaryOf[t] > 0, SendWrite(o, t))

#define OWNER(o) ASK(o) SEND(o, 1) SEND(o, 2) SEND(o, 3)

#define FENCE(c, e) \
	STEP(campaign[c] == 1 && term[e] < campaignTerm[c], Fence(c, e, false)) \
	STEP(campaign[c] == 1 && term[e] < campaignTerm[c], Fence(c, e, true))

#define CAMPAIGN(c) \
	STEP(campaign[c] == 0, StartCampaign(c, 3)) \
	FENCE(c, 0) FENCE(c, 1) FENCE(c, 2) \
	STEP(campaign[c] == 1 && granted[c * N], Promote(c, 0)) \
	STEP(campaign[c] == 1 && granted[c * N + 1], Promote(c, 1)) \
	STEP(campaign[c] == 1 && granted[c * N + 2], Promote(c, 2))

#define FOLLOW(from, to) STEP(primary[from] && term[to] < term[from], Follow(from, to))

init {
	d_step {
		for (i : 0 .. N - 1) { term[i] = 1 }
		for (i : 0 .. OWNERS * N - 1) { askedAge[i] = W }
		primary[0] = true;
		primaryOf[1] = 1;
		i = 0
	}
	do
	OWNER(0)
#if OWNERS > 1
	OWNER(1)
#endif
	STEP(write == 1, RunWrite())
	STEP(write == 2, Acknowledge())
	CAMPAIGN(0)
	CAMPAIGN(1)
	STEP(campaign[0] == 0, StartCampaign(0, 2))
#ifdef ASYMMETRIC
	STEP(campaign[1] == 0, StartCampaign(1, 2))
#endif
	FOLLOW(0, 1) FOLLOW(0, 2) FOLLOW(1, 0) FOLLOW(1, 2) FOLLOW(2, 0) FOLLOW(2, 1)
	STEP(true, Tick())
	od
}
