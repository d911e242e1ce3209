/*
 * A change of the endpoint set: endpoints 0, 1 and 2 become 1, 2 and 3, with
 * one write. With LOG the write is replicated and may be acknowledged at any
 * time once it is; without, there is an owner with authority, no log, and no
 * campaign with the old description. Terms 1 and 2
 * are of the first set, terms 3 and 4 of the second. Campaign 0 uses term 2 at
 * a host with the old description, campaign 1 uses term 3, and campaign 2 uses
 * term 4, at hosts with the new one. Campaign 2 needs the previous set only
 * until the change is complete. Time passes by Lapse: all answers become older
 * than W. A campaign starts to wait at its fences and promotes after a Lapse.
 *
 * Guards that can be removed: ONESET, ANYSET, EARLYCOMPLETE.
 */
#define N 4
#define MAJORITY 2
#define TERMS 5
#define CAMPAIGNS 3

#define IN_OLD_SET(e) ((e) < 3)
#define IN_NEW_SET(e) ((e) > 0)
#define TERM_OF_NEW_SET(t) ((t) > 2)
#define IN_SET_OF_TERM(t, e) ((TERM_OF_NEW_SET(t) && IN_NEW_SET(e)) || (!TERM_OF_NEW_SET(t) && IN_OLD_SET(e)))

byte term[N];
bool isPrimary[N];
bool containsWrite[N];              /* the endpoint's log contains the write */
byte lastEntryTerm[N];           /* term of the last entry, 0 for an empty log */
byte primaryOf[TERMS];

bool responseFresh[N];           /* the owner's latest answer is not older than W */
byte responseTerm[N];
bool ownerKnowsNewSet;              /* the owner has the new description */

/* The write: 0 idle, 1 run, 2 result on its way, 3 over. */
byte writeState;
byte writeTerm;
bool acknowledged;

/* Campaigns: 0 not started, 1 fencing, 2 over. */
byte campaignState[CAMPAIGNS];
bool granted[CAMPAIGNS * N];
bool lapsed[CAMPAIGNS * N]; /* time W has passed since the grant */
byte grantLastTerm[CAMPAIGNS * N];
bool setChangeComplete;              /* the previous set is needed no more */
byte highestPromotedTerm = 1;

byte i, n, newSetGrants, selected;
bool ok;

#define CAMPAIGN_TERM(c) ((c) + 2)

#ifdef LOG
#define HAS_LAPSED(g) true
#else
#define HAS_LAPSED(g) lapsed[g]
#endif

/* Campaign 0 does not know the new set. */
#ifdef ONESET
#define NEEDS_OLD_SET(c) (c == 0)
#else
#define NEEDS_OLD_SET(c) (c < 2 || !setChangeComplete)
#endif

/* Machine.setOf, Machine.authorityUntil */
inline checkAuthority(t) {
	n = 0;
	for (i : 0 .. N - 1) {
		if
#ifdef ANYSET
		:: responseFresh[i] && responseTerm[i] == t && ((ownerKnowsNewSet && IN_NEW_SET(i)) || (!ownerKnowsNewSet && IN_OLD_SET(i))) -> n++
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

/* The primary counts a majority of the set of its term. */
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

/* Machine.majorityOfAll, Machine.lapseOfMajority: n counts the old set, k the new. */
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
			assert(primaryOf[term[selected]] == 0);
			primaryOf[term[selected]] = selected + 1;
			isPrimary[selected] = true;
			highestPromotedTerm = (term[selected] > highestPromotedTerm -> term[selected] : highestPromotedTerm);
			/* an acknowledged replicated write is in every later primary's log */
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

/* Machine.reportComplete: a majority of the new set holds what the term began with. */
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

inline Replicate(from, to) {
	term[to] = term[from];
	isPrimary[to] = false;
	containsWrite[to] = containsWrite[from];
	lastEntryTerm[to] = lastEntryTerm[from]
}

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

#define STEP(guard, act) :: d_step { guard -> act; i = 0; n = 0; newSetGrants = 0; selected = 0; ok = false }

/* The old description names only endpoints 0 to 2. */
#define FENCE(c, e) STEP(campaignState[c] < 2 && term[e] < CAMPAIGN_TERM(c) && (c > 0 || IN_OLD_SET(e)), campaignState[c] = 1; Fence(c, e))

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
	STEP(isPrimary[from] && from != to && term[to] <= term[from] && (containsWrite[to] != containsWrite[from] || term[to] < term[from]), Replicate(from, to)) \
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
