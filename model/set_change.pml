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

#define OLD(e) ((e) < 3)
#define NEW(e) ((e) > 0)
#define NEWTERM(t) ((t) > 2)
#define INSET(t, e) ((NEWTERM(t) && NEW(e)) || (!NEWTERM(t) && OLD(e)))

byte term[N];
bool primary[N];
bool holds[N];              /* the endpoint's log contains the write */
byte lastTerm[N];           /* term of the last entry, 0 for an empty log */
byte primaryOf[TERMS];

bool answered[N];           /* the owner's latest answer is not older than W */
byte answerTerm[N];
bool knowsNew;              /* the owner has the new description */

/* The write: 0 idle, 1 run, 2 result on its way, 3 over. */
byte write;
byte writeTerm;
bool acknowledged;

/* Campaigns: 0 not started, 1 fencing, 2 over. */
byte campaign[CAMPAIGNS];
bool granted[CAMPAIGNS * N];
bool lapsed[CAMPAIGNS * N]; /* time W has passed since the grant */
byte grantTerm[CAMPAIGNS * N];
bool complete;              /* the previous set is needed no more */
byte newest = 1;

byte i, n, k, x;
bool ok;

#define TERMOF(c) ((c) + 2)

#ifdef LOG
#define LAPSED(g) true
#else
#define LAPSED(g) lapsed[g]
#endif

/* Campaign 0 does not know the new set. */
#ifdef ONESET
#define NEEDSOLD(c) (c == 0)
#else
#define NEEDSOLD(c) (c < 2 || !complete)
#endif

/* Machine.setOf, Machine.authorityUntil */
inline checkAuthority(t) {
	n = 0;
	for (i : 0 .. N - 1) {
		if
#ifdef ANYSET
		:: answered[i] && answerTerm[i] == t && ((knowsNew && NEW(i)) || (!knowsNew && OLD(i))) -> n++
#else
		:: answered[i] && answerTerm[i] == t && INSET(t, i) -> n++
#endif
		:: else
		fi
	}
#ifdef ANYSET
	ok = (n >= MAJORITY)
#else
	ok = (n >= MAJORITY && (knowsNew || !NEWTERM(t)))
#endif
}

inline Ask(e) {
	answered[e] = true;
	answerTerm[e] = term[e]
}

inline RunWrite(e) {
	writeTerm = term[e];
#ifdef LOG
	write = 1;
	holds[e] = true;
	lastTerm[e] = term[e]
#else
	write = 2
#endif
}

/* The primary counts a majority of the set of its term. */
inline Result() {
	n = 0;
	for (i : 0 .. N - 1) {
		if
		:: term[i] == writeTerm && holds[i] && INSET(writeTerm, i) -> n++
		:: else
		fi
	}
	if
	:: n >= MAJORITY -> write = 2
	:: else
	fi
}

inline Acknowledge() {
#ifdef LOG
	acknowledged = true;
#else
	checkAuthority(writeTerm);
	assert(!ok || writeTerm >= newest);
#endif
	write = 3
}

inline Fence(c, e) {
	term[e] = TERMOF(c);
	primary[e] = false;
	granted[c * N + e] = true;
	grantTerm[c * N + e] = lastTerm[e]
}

/* Machine.majorityOfAll, Machine.lapseOfMajority: n counts the old set, k the new. */
inline countGrants(c) {
	n = 0;
	k = 0;
	for (i : 0 .. N - 1) {
		if
		:: granted[c * N + i] && LAPSED(c * N + i) ->
			if
			:: OLD(i) -> n++
			:: else
			fi;
			if
			:: NEW(i) -> k++
			:: else
			fi
		:: else
		fi
	}
	ok = ((c == 0 || k >= MAJORITY) && (!NEEDSOLD(c) || n >= MAJORITY))
}

inline choose(c) {
	x = N;
	for (i : 0 .. N - 1) {
		if
		:: granted[c * N + i] ->
			if
			:: x == N -> x = i
			:: x < N && grantTerm[c * N + i] > grantTerm[c * N + x] -> x = i
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
		choose(c);
		if
		:: term[x] == TERMOF(c) ->
			assert(primaryOf[term[x]] == 0);
			primaryOf[term[x]] = x + 1;
			primary[x] = true;
			newest = (term[x] > newest -> term[x] : newest);
			/* an acknowledged replicated write is in every later primary's log */
			assert(!acknowledged || writeTerm >= term[x] || holds[x])
		:: else
		fi;
		campaign[c] = 2;
		for (i : 0 .. N - 1) {
			granted[c * N + i] = false;
			lapsed[c * N + i] = false;
			grantTerm[c * N + i] = 0
		}
	:: else
	fi
}

/* Machine.reportComplete: a majority of the new set holds what the term began with. */
inline Complete(e) {
	n = 0;
	for (i : 0 .. N - 1) {
		if
		:: NEW(i) && term[i] == term[e] && (holds[i] || !holds[e]) -> n++
		:: else
		fi
	}
#ifdef EARLYCOMPLETE
	complete = true
#else
	complete = (n >= MAJORITY)
#endif
}

inline Replicate(from, to) {
	term[to] = term[from];
	primary[to] = false;
	holds[to] = holds[from];
	lastTerm[to] = lastTerm[from]
}

inline Follow(from, to) {
	term[to] = term[from];
	primary[to] = false;
	holds[to] = (holds[to] && holds[from]);
	lastTerm[to] = (holds[to] -> lastTerm[to] : 0)
}

inline Lapse() {
	for (i : 0 .. N - 1) {
		answered[i] = false;
		answerTerm[i] = 0
	}
	for (i : 0 .. CAMPAIGNS * N - 1) {
		lapsed[i] = granted[i]
	}
}

#define STEP(guard, act) :: d_step { guard -> act; i = 0; n = 0; k = 0; x = 0; ok = false }

/* The old description names only endpoints 0 to 2. */
#define FENCE(c, e) STEP(campaign[c] < 2 && term[e] < TERMOF(c) && (c > 0 || OLD(e)), campaign[c] = 1; Fence(c, e))

#ifdef LOG
#define OLDFENCE(e) FENCE(0, e)
#define ASK(e)
#else
#define OLDFENCE(e)
#define ASK(e) STEP(!answered[e] || answerTerm[e] != term[e], Ask(e))
#endif

#define ENDPOINT(e) \
	ASK(e) \
	STEP(write == 0 && primary[e], RunWrite(e)) \
	STEP(!complete && primary[e] && NEWTERM(term[e]) && NEW(e), Complete(e)) \
	OLDFENCE(e) FENCE(1, e) FENCE(2, e)

#define COPY(from, to) \
	STEP(primary[from] && from != to && term[to] <= term[from] && (holds[to] != holds[from] || term[to] < term[from]), Replicate(from, to)) \
	STEP(primary[from] && from != to && term[to] < term[from], Follow(from, to))

#define COPIES(from) COPY(from, 0) COPY(from, 1) COPY(from, 2) COPY(from, 3)

init {
	d_step {
		for (i : 0 .. 2) { term[i] = 1 }
		primary[0] = true;
		primaryOf[1] = 1;
		i = 0
	}
	do
	ENDPOINT(0)
	ENDPOINT(1)
	ENDPOINT(2)
	ENDPOINT(3)
	COPIES(0)
	COPIES(1)
	COPIES(2)
	COPIES(3)
	STEP(campaign[0] == 1, Promote(0))
	STEP(campaign[1] == 1, Promote(1))
	STEP(campaign[2] == 1, Promote(2))
	STEP(write == 1, Result())
	STEP(write == 2, Acknowledge())
#ifndef LOG
	STEP(!knowsNew, knowsNew = true)
	STEP(true, Lapse())
#endif
	od
}
