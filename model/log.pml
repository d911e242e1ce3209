/*
 * The logs of one database: three endpoints, asynchronous replication, writes
 * of both promises, and two rival campaigns. Authority and time are left out: a
 * result may be acknowledged at any time. authority.pml has them.
 *
 * Every step may be delayed for any time (a pause or a slow message) or never
 * taken (a lost message).
 *
 * Guards that can be removed: NOMAJORITY, NOHIGHEST, EARLYRESULT.
 */
#define N 3
#define MAJORITY 2
#ifdef EARLYRESULT
#define HOLDERS 1
#else
#define HOLDERS MAJORITY
#endif
#define TERMS 4     /* 1 is the first term; campaigns use 2 and 3 */
#define WRITES 2
#define CAMPAIGNS 2
#ifdef NOMAJORITY
#define GRANTS 1
#else
#define GRANTS MAJORITY
#endif

#define REPLICATED(id) ((id) == 0)   /* write 1 has the promise "primary" */
#define ENTRY(e, k) entry[(e) * WRITES + (k)]

/* Endpoints. */
byte term[N];
bool primary[N];
byte length[N];
byte entry[N * WRITES];     /* write + 1 of each log entry */
byte primaryOf[TERMS];      /* endpoint + 1 that was promoted in the term, or 0 */

/* Writes: 0 idle, 1 sent, 2 run, 3 result on its way, 4 over. */
byte write[WRITES];
byte writeTerm[WRITES];
byte writePosition[WRITES];
bool ran[WRITES];
bool acknowledged[WRITES];

/* Campaigns: 0 not started, 1 fencing and waiting, 2 over. */
byte campaign[CAMPAIGNS];
byte campaignTerm[CAMPAIGNS];
bool granted[CAMPAIGNS * N];
byte grantTerm[CAMPAIGNS * N];
byte grantLength[CAMPAIGNS * N];

byte i, j, n, x;             /* scratch */

/* A host sends a write that expects the term. */
inline SendWrite(id, t) {
	write[id] = 1;
	writeTerm[id] = t
}

/* The endpoint compares the expected term. A refused write may be sent again. */
inline RunWrite(id) {
	x = primaryOf[writeTerm[id]] - 1;
	if
	:: primary[x] && term[x] == writeTerm[id] ->
		assert(!ran[id]);            /* no write runs twice */
		ran[id] = true;
		ENTRY(x, length[x]) = id + 1;
		length[x]++;
		writePosition[id] = length[x];
		write[id] = 2
	:: else ->
		write[id] = 0;
		writeTerm[id] = 0
	fi
}

/* The result leaves the primary, for a replicated write once a majority holds it. */
inline Result(id) {
	n = 0;
	for (i : 0 .. N - 1) {
		if
		:: term[i] == writeTerm[id] && ENTRY(i, writePosition[id] - 1) == id + 1 -> n++
		:: else
		fi
	}
	if
	:: n >= HOLDERS || !REPLICATED(id) -> write[id] = 3
	:: else
	fi
}

inline Acknowledge(id) {
	write[id] = 4;
	acknowledged[id] = REPLICATED(id);
	for (i : 2 .. TERMS - 1) {
		if
		:: REPLICATED(id) && i > writeTerm[id] && primaryOf[i] > 0 && term[primaryOf[i] - 1] == i -> checkHolds(primaryOf[i] - 1, id)
		:: else
		fi
	}
}

/* An acknowledged replicated write is in every later primary's log. */
inline checkHolds(e, id) {
	assert(ENTRY(e, writePosition[id] - 1) == id + 1)
}

/* Machine.startCampaign */
inline StartCampaign(c, t) {
	campaign[c] = 1;
	campaignTerm[c] = t
}

/* The endpoint's fence. An answer that is not lost reaches Machine.onFenceAnswer. */
inline Fence(c, e, lost) {
	term[e] = campaignTerm[c];
	primary[e] = false;
	if
	:: !lost ->
		granted[c * N + e] = true;
		grantLength[c * N + e] = length[e];
		if
		:: length[e] > 0 -> grantTerm[c * N + e] = writeTerm[ENTRY(e, length[e] - 1) - 1]
		:: else
		fi
	:: else
	fi
}

/* Machine.choose, the endpoint's promotion */
inline Promote(c) {
	n = 0;
	x = N;
	for (i : 0 .. N - 1) {
		if
		:: granted[c * N + i] ->
			n++;
			if
			:: x == N -> x = i
#ifndef NOHIGHEST
			:: x < N && (grantTerm[c * N + i] > grantTerm[c * N + x] ||
			   (grantTerm[c * N + i] == grantTerm[c * N + x] &&
			    grantLength[c * N + i] > grantLength[c * N + x])) -> x = i
#endif
			:: else
			fi
		:: else
		fi
	}
	if
	:: n >= GRANTS && term[x] == campaignTerm[c] -> becomePrimary(x)
	:: else
	fi;
	if
	:: n >= GRANTS -> EndCampaign(c)
	:: else
	fi
}

inline becomePrimary(e) {
	/* one primary in a term */
	assert(primaryOf[term[e]] == 0);
	primaryOf[term[e]] = e + 1;
	primary[e] = true;
	for (j : 0 .. WRITES - 1) {
		if
		:: acknowledged[j] && writeTerm[j] < term[e] -> checkHolds(e, j)
		:: else
		fi
	}
}

inline EndCampaign(c) {
	campaign[c] = 2;
	campaignTerm[c] = 0;
	for (i : 0 .. N - 1) {
		granted[c * N + i] = false;
		grantTerm[c * N + i] = 0;
		grantLength[c * N + i] = 0
	}
}

/* Machine.followPrimary, and the endpoint's replication of at most one entry */
inline Replicate(from, to) {
	term[to] = term[from];
	primary[to] = false;
	n = 0;
	do
	:: n < length[to] && n < length[from] && ENTRY(to, n) == ENTRY(from, n) -> n++
	:: else -> break
	od;
	for (i : 0 .. WRITES - 1) {
		if
		:: i >= n -> ENTRY(to, i) = 0
		:: else
		fi
	}
	length[to] = n;
	if
	:: n < length[from] ->
		ENTRY(to, n) = ENTRY(from, n);
		length[to]++
	:: else
	fi
}

#define STEP(guard, act) :: d_step { guard -> act; i = 0; j = 0; n = 0; x = 0 }

#define SEND(id, t) STEP(write[id] == 0 && primaryOf[t] > 0, SendWrite(id, t))

#define WRITE(id) \
	SEND(id, 1) SEND(id, 2) SEND(id, 3) \
	STEP(write[id] == 1, RunWrite(id)) \
	STEP(write[id] == 2, Result(id)) \
	STEP(write[id] == 3, Acknowledge(id))

#define FENCE(c, e) \
	STEP(campaign[c] == 1 && term[e] < campaignTerm[c], Fence(c, e, false)) \
	STEP(campaign[c] == 1 && term[e] < campaignTerm[c], Fence(c, e, true))

#define CAMPAIGN(c) \
	STEP(campaign[c] == 0, StartCampaign(c, 2)) \
	STEP(campaign[c] == 0, StartCampaign(c, 3)) \
	FENCE(c, 0) FENCE(c, 1) FENCE(c, 2) \
	STEP(campaign[c] == 1, Promote(c))

#define COPY(from, to) STEP(primary[from] && term[to] <= term[from], Replicate(from, to))

init {
	d_step {
		for (i : 0 .. N - 1) { term[i] = 1 }
		primary[0] = true;
		primaryOf[1] = 1;
		i = 0
	}
	do
	WRITE(0)
	WRITE(1)
	CAMPAIGN(0)
	CAMPAIGN(1)
	COPY(0, 1) COPY(0, 2) COPY(1, 0) COPY(1, 2) COPY(2, 0) COPY(2, 1)
	od
}
