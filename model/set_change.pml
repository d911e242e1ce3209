/*
 * Model of a change of the endpoint set (core/failover): the set of endpoints 0, 1 and
 * 2 is replaced by 1, 2 and 3 while one write runs.
 *
 * With LOG the write is replicated, and may be acknowledged at any time after a majority
 * has it. Without LOG there is an owner with authority, no log, and no campaign with the
 * old specification.
 *
 * Terms 1 and 2 belong to the old set, terms 3 and 4 to the new one. Campaign 0 uses
 * term 2 and runs at a host with the old specification. Campaigns 1 and 2 use terms 3
 * and 4 and run at hosts with the new specification. Campaign 2 needs a majority of the
 * old set only until the change is complete.
 *
 * PassAuthorityWindow lets the authority window pass: all earlier responses no longer
 * count. A campaign's wait starts at its fences. It promotes after the window has passed.
 *
 * Each of these switches removes a safeguard, so that a check must fail:
 *   ONESET         campaigns with the new specification need no majority of the old set
 *   ANYSET         the owner counts the majority in the set of its own specification,
 *                  whatever the term
 *   EARLYCOMPLETE  the change is reported complete before a majority of the new set has
 *                  the log entries from before the term
 */
#define N 4
#define MAJORITY 2
#define TERMS 5
#define CAMPAIGNS 3

#define IN_OLD_SET(e) ((e) < 3)
#define IN_NEW_SET(e) ((e) > 0)
#define TERM_OF_NEW_SET(t) ((t) > 2)
#define IN_SET_OF_TERM(t, e) \
	((TERM_OF_NEW_SET(t) && IN_NEW_SET(e)) || (!TERM_OF_NEW_SET(t) && IN_OLD_SET(e)))

byte term[N];
bool isPrimary[N];
bool containsWrite[N];      /* the endpoint's log contains the write */
byte lastEntryTerm[N];      /* term of the last log entry; 0 for an empty log */
byte primaryOf[TERMS];      /* endpoint promoted in the term, plus 1; 0 for none */

/* The owner, and its latest response from each endpoint. */
bool responseFresh[N];      /* the response is within the authority window */
byte responseTerm[N];
bool ownerKnowsNewSet;      /* the owner has the new specification */

/* The write. State: 0 idle, 1 run, 2 result in flight, 3 ended. */
byte writeState;
byte writeTerm;
bool acknowledged;

/* Campaigns. State: 0 not started, 1 fencing, 2 ended. */
byte campaignState[CAMPAIGNS];
bool granted[CAMPAIGNS * N];
bool lapsed[CAMPAIGNS * N]; /* the authority window has passed since the grant */
byte grantLastTerm[CAMPAIGNS * N];  /* term of the endpoint's last log entry */
bool setChangeComplete;     /* campaigns no longer need the old set */
byte highestPromotedTerm = 1;

/* Scratch variables. */
byte i, n, newSetGrants, selected;
bool ok;

#define CAMPAIGN_TERM(c) ((c) + 2)

#ifdef LOG
#define HAS_LAPSED(g) true
#else
#define HAS_LAPSED(g) lapsed[g]
#endif

/* Campaign 0 knows only the old set. */
#ifdef ONESET
#define NEEDS_OLD_SET(c) (c == 0)
#else
#define NEEDS_OLD_SET(c) (c < 2 || !setChangeComplete)
#endif

/* Machine.endpointSetOf and Machine.authorityUntil: sets ok if the owner has authority. */
inline checkAuthority(t) {
	n = 0;
	for (i : 0 .. N - 1) {
		if
#ifdef ANYSET
		:: responseFresh[i] && responseTerm[i] == t &&
		   ((ownerKnowsNewSet && IN_NEW_SET(i)) || (!ownerKnowsNewSet && IN_OLD_SET(i))) -> n++
#else
		:: responseFresh[i] && responseTerm[i] == t && IN_SET_OF_TERM(t, i) -> n++
#endif
		:: else
		fi
	}
#ifdef ANYSET
	ok = (n >= MAJORITY)
#else
	ok = (n >= MAJORITY && (ownerKnowsNewSet || !TERM_OF_NEW_SET(t)))
#endif
}

inline QueryStatus(e) {
	responseFresh[e] = true;
	responseTerm[e] = term[e]
}

inline RunWrite(e) {
	writeTerm = term[e];
#ifdef LOG
	writeState = 1;
	containsWrite[e] = true;
	lastEntryTerm[e] = term[e]
#else
	writeState = 2
#endif
}

/* The primary sends the result once a majority of its term's set has the write. */
inline SendResult() {
	n = 0;
	for (i : 0 .. N - 1) {
		if
		:: term[i] == writeTerm && containsWrite[i] && IN_SET_OF_TERM(writeTerm, i) -> n++
		:: else
		fi
	}
	if
	:: n >= MAJORITY -> writeState = 2
	:: else
	fi
}

inline Acknowledge() {
#ifdef LOG
	acknowledged = true;
#else
	checkAuthority(writeTerm);
	/* no write of a term is acknowledged once a later term has a primary */
	assert(!ok || writeTerm >= highestPromotedTerm);
#endif
	writeState = 3
}

inline Fence(c, e) {
	term[e] = CAMPAIGN_TERM(c);
	isPrimary[e] = false;
	granted[c * N + e] = true;
	grantLastTerm[c * N + e] = lastEntryTerm[e]
}

/*
 * Machine.requiredSets and Machine.majorityExpiryTime: n counts the grants of the old set.
 * Sets ok if the campaign has the majorities that it needs.
 */
inline countGrants(c) {
	n = 0;
	newSetGrants = 0;
	for (i : 0 .. N - 1) {
		if
		:: granted[c * N + i] && HAS_LAPSED(c * N + i) ->
			if
			:: IN_OLD_SET(i) -> n++
			:: else
			fi;
			if
			:: IN_NEW_SET(i) -> newSetGrants++
			:: else
			fi
		:: else
		fi
	}
	ok = ((c == 0 || newSetGrants >= MAJORITY) && (!NEEDS_OLD_SET(c) || n >= MAJORITY))
}

inline chooseCandidate(c) {
	selected = N;
	for (i : 0 .. N - 1) {
		if
		:: granted[c * N + i] ->
			if
			:: selected == N -> selected = i
			:: selected < N && grantLastTerm[c * N + i] > grantLastTerm[c * N + selected] -> selected = i
			:: else
			fi
		:: else
		fi
	}
}

inline Promote(c) {
	countGrants(c);
	if
	:: ok ->
		chooseCandidate(c);
		if
		:: term[selected] == CAMPAIGN_TERM(c) ->
			/* a term has at most one primary */
			assert(primaryOf[term[selected]] == 0);
			primaryOf[term[selected]] = selected + 1;
			isPrimary[selected] = true;
			highestPromotedTerm = (term[selected] > highestPromotedTerm -> term[selected] : highestPromotedTerm);
			/* an acknowledged replicated write is in the log of every later primary */
			assert(!acknowledged || writeTerm >= term[selected] || containsWrite[selected])
		:: else
		fi;
		campaignState[c] = 2;
		for (i : 0 .. N - 1) {
			granted[c * N + i] = false;
			lapsed[c * N + i] = false;
			grantLastTerm[c * N + i] = 0
		}
	:: else
	fi
}

/*
 * Machine.reportSetComplete: a majority of the new set has the log entries from before
 * the term.
 */
inline ReportSetComplete(e) {
	n = 0;
	for (i : 0 .. N - 1) {
		if
		:: IN_NEW_SET(i) && term[i] == term[e] && (containsWrite[i] || !containsWrite[e]) -> n++
		:: else
		fi
	}
#ifdef EARLYCOMPLETE
	setChangeComplete = true
#else
	setChangeComplete = (n >= MAJORITY)
#endif
}

/* Endpoint "to" follows the primary "from" and copies its log. */
inline Replicate(from, to) {
	term[to] = term[from];
	isPrimary[to] = false;
	containsWrite[to] = containsWrite[from];
	lastEntryTerm[to] = lastEntryTerm[from]
}

/* Endpoint "to" follows the primary "from" and drops the entries that "from" does not have. */
inline Follow(from, to) {
	term[to] = term[from];
	isPrimary[to] = false;
	containsWrite[to] = (containsWrite[to] && containsWrite[from]);
	lastEntryTerm[to] = (containsWrite[to] -> lastEntryTerm[to] : 0)
}

inline PassAuthorityWindow() {
	for (i : 0 .. N - 1) {
		responseFresh[i] = false;
		responseTerm[i] = 0
	}
	for (i : 0 .. CAMPAIGNS * N - 1) {
		lapsed[i] = granted[i]
	}
}

/* One atomic step. It resets the scratch variables, so that they add no states. */
#define STEP(guard, act) :: d_step { guard -> act; i = 0; n = 0; newSetGrants = 0; selected = 0; ok = false }

/* A campaign with the old specification fences only endpoints 0 to 2. */
#define FENCE(c, e) \
	STEP(campaignState[c] < 2 && term[e] < CAMPAIGN_TERM(c) && (c > 0 || IN_OLD_SET(e)), \
		campaignState[c] = 1; Fence(c, e))

#ifdef LOG
#define FENCE_BY_OLD_SET(e) FENCE(0, e)
#define QUERY(e)
#else
#define FENCE_BY_OLD_SET(e)
#define QUERY(e) STEP(!responseFresh[e] || responseTerm[e] != term[e], QueryStatus(e))
#endif

#define ENDPOINT_STEPS(e) \
	QUERY(e) \
	STEP(writeState == 0 && isPrimary[e], RunWrite(e)) \
	STEP(!setChangeComplete && isPrimary[e] && TERM_OF_NEW_SET(term[e]) && IN_NEW_SET(e), ReportSetComplete(e)) \
	FENCE_BY_OLD_SET(e) FENCE(1, e) FENCE(2, e)

#define REPLICATE(from, to) \
	STEP(isPrimary[from] && from != to && term[to] <= term[from] && \
		(containsWrite[to] != containsWrite[from] || term[to] < term[from]), Replicate(from, to)) \
	STEP(isPrimary[from] && from != to && term[to] < term[from], Follow(from, to))

#define REPLICATE_FROM(from) REPLICATE(from, 0) REPLICATE(from, 1) REPLICATE(from, 2) REPLICATE(from, 3)

init {
	d_step {
		for (i : 0 .. 2) { term[i] = 1 }
		isPrimary[0] = true;
		primaryOf[1] = 1;
		i = 0
	}
	do
	ENDPOINT_STEPS(0)
	ENDPOINT_STEPS(1)
	ENDPOINT_STEPS(2)
	ENDPOINT_STEPS(3)
	REPLICATE_FROM(0)
	REPLICATE_FROM(1)
	REPLICATE_FROM(2)
	REPLICATE_FROM(3)
	STEP(campaignState[0] == 1, Promote(0))
	STEP(campaignState[1] == 1, Promote(1))
	STEP(campaignState[2] == 1, Promote(2))
	STEP(writeState == 1, SendResult())
	STEP(writeState == 2, Acknowledge())
#ifndef LOG
	STEP(!ownerKnowsNewSet, ownerKnowsNewSet = true)
	STEP(true, PassAuthorityWindow())
#endif
	od
}
