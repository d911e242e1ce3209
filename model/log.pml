/*
 * Model of the logs of one database (core/failover). It has three endpoints,
 * asynchronous replication, one write of each durability, and two rival campaigns.
 * Authority and time are left out: a result may be acknowledged at any time.
 * authority.pml models them.
 *
 * Every step may be delayed for any time (a paused process or a slow message) or
 * never be taken (a lost message).
 *
 * Each of these switches removes a safeguard, so that a check must fail:
 *   NOMAJORITY   a campaign promotes after one grant
 *   NOHIGHEST    a campaign promotes a granting endpoint whose log may not be the
 *                highest
 *   EARLYRESULT  the result of a replicated write is sent as soon as one endpoint
 *                has its log entry
 */
#define N 3
#define MAJORITY 2
#ifdef EARLYRESULT
#define REQUIRED_HOLDERS 1
#else
#define REQUIRED_HOLDERS MAJORITY
#endif
#define TERMS 4     /* terms 1 to 3: 1 is the first one, campaigns use 2 and 3 */
#define WRITES 2
#define CAMPAIGNS 2
#ifdef NOMAJORITY
#define REQUIRED_GRANTS 1
#else
#define REQUIRED_GRANTS MAJORITY
#endif

#define REPLICATED(id) ((id) == 0)   /* write 1 has the durability "primary" */
#define ENTRY(e, k) logEntry[(e) * WRITES + (k)]

/* Endpoints. */
byte term[N];
bool isPrimary[N];
byte logLength[N];
byte logEntry[N * WRITES];  /* write of each log entry, plus 1; 0 for none */
byte primaryOf[TERMS];      /* endpoint promoted in the term, plus 1; 0 for none */

/* Writes. State: 0 idle, 1 sent, 2 run, 3 result in flight, 4 ended. */
byte writeState[WRITES];
byte writeTerm[WRITES];
byte writePosition[WRITES];    /* log length right after the write */
bool writeHasRun[WRITES];
bool acknowledged[WRITES];     /* acknowledged as replicated */

/* Campaigns. State: 0 not started, 1 fencing, 2 ended. */
byte campaignState[CAMPAIGNS];
byte campaignTerm[CAMPAIGNS];
bool granted[CAMPAIGNS * N];
byte grantLastTerm[CAMPAIGNS * N];   /* term of the endpoint's last log entry */
byte grantLogLength[CAMPAIGNS * N];

/* Scratch variables. */
byte i, j, n, selected;

/* A host sends a write that expects term t. */
inline SendWrite(id, t) {
	writeState[id] = 1;
	writeTerm[id] = t
}

/*
 * The endpoint runs the write only as the primary of the expected term. A refused
 * write may be sent again.
 */
inline RunWrite(id) {
	selected = primaryOf[writeTerm[id]] - 1;
	if
	:: isPrimary[selected] && term[selected] == writeTerm[id] ->
		assert(!writeHasRun[id]);  /* the write does not run twice */
		writeHasRun[id] = true;
		ENTRY(selected, logLength[selected]) = id + 1;
		logLength[selected]++;
		writePosition[id] = logLength[selected];
		writeState[id] = 2
	:: else ->
		writeState[id] = 0;
		writeTerm[id] = 0
	fi
}

/*
 * The primary sends the result. For a replicated write it first waits until a majority
 * has the entry.
 */
inline SendResult(id) {
	n = 0;
	for (i : 0 .. N - 1) {
		if
		:: term[i] == writeTerm[id] && ENTRY(i, writePosition[id] - 1) == id + 1 -> n++
		:: else
		fi
	}
	if
	:: n >= REQUIRED_HOLDERS || !REPLICATED(id) -> writeState[id] = 3
	:: else
	fi
}

inline Acknowledge(id) {
	writeState[id] = 4;
	acknowledged[id] = REPLICATED(id);
	for (i : 2 .. TERMS - 1) {
		if
		:: REPLICATED(id) && i > writeTerm[id] && primaryOf[i] > 0 && term[primaryOf[i] - 1] == i ->
			assertContains(primaryOf[i] - 1, id)
		:: else
		fi
	}
}

/* An acknowledged replicated write is in the log of every later primary. */
inline assertContains(e, id) {
	assert(ENTRY(e, writePosition[id] - 1) == id + 1)
}

/* Machine.startCampaign */
inline StartCampaign(c, t) {
	campaignState[c] = 1;
	campaignTerm[c] = t
}

/* The endpoint's fence. A response that is not lost reaches Machine.onFenceResponse. */
inline Fence(c, e, lost) {
	term[e] = campaignTerm[c];
	isPrimary[e] = false;
	if
	:: !lost ->
		granted[c * N + e] = true;
		grantLogLength[c * N + e] = logLength[e];
		if
		:: logLength[e] > 0 -> grantLastTerm[c * N + e] = writeTerm[ENTRY(e, logLength[e] - 1) - 1]
		:: else
		fi
	:: else
	fi
}

/* Machine.chooseCandidate and the endpoint's promotion. */
inline Promote(c) {
	n = 0;
	selected = N;
	for (i : 0 .. N - 1) {
		if
		:: granted[c * N + i] ->
			n++;
			if
			:: selected == N -> selected = i
#ifndef NOHIGHEST
			:: selected < N && (grantLastTerm[c * N + i] > grantLastTerm[c * N + selected] ||
			   (grantLastTerm[c * N + i] == grantLastTerm[c * N + selected] &&
			    grantLogLength[c * N + i] > grantLogLength[c * N + selected])) -> selected = i
#endif
			:: else
			fi
		:: else
		fi
	}
	if
	:: n >= REQUIRED_GRANTS && term[selected] == campaignTerm[c] -> becomePrimary(selected)
	:: else
	fi;
	if
	:: n >= REQUIRED_GRANTS -> EndCampaign(c)
	:: else
	fi
}

inline becomePrimary(e) {
	/* a term has at most one primary */
	assert(primaryOf[term[e]] == 0);
	primaryOf[term[e]] = e + 1;
	isPrimary[e] = true;
	for (j : 0 .. WRITES - 1) {
		if
		:: acknowledged[j] && writeTerm[j] < term[e] -> assertContains(e, j)
		:: else
		fi
	}
}

inline EndCampaign(c) {
	campaignState[c] = 2;
	campaignTerm[c] = 0;
	for (i : 0 .. N - 1) {
		granted[c * N + i] = false;
		grantLastTerm[c * N + i] = 0;
		grantLogLength[c * N + i] = 0
	}
}

/*
 * Machine.followPrimary, and the endpoint's replication: it drops the entries that the
 * primary does not have, and copies at most one entry.
 */
inline Replicate(from, to) {
	term[to] = term[from];
	isPrimary[to] = false;
	n = 0;
	do
	:: n < logLength[to] && n < logLength[from] && ENTRY(to, n) == ENTRY(from, n) -> n++
	:: else -> break
	od;
	for (i : 0 .. WRITES - 1) {
		if
		:: i >= n -> ENTRY(to, i) = 0
		:: else
		fi
	}
	logLength[to] = n;
	if
	:: n < logLength[from] ->
		ENTRY(to, n) = ENTRY(from, n);
		logLength[to]++
	:: else
	fi
}

/* One atomic step. It resets the scratch variables, so that they add no states. */
#define STEP(guard, act) :: d_step { guard -> act; i = 0; j = 0; n = 0; selected = 0 }

#define SEND_WRITE(id, t) STEP(writeState[id] == 0 && primaryOf[t] > 0, SendWrite(id, t))

#define WRITE_STEPS(id) \
	SEND_WRITE(id, 1) SEND_WRITE(id, 2) SEND_WRITE(id, 3) \
	STEP(writeState[id] == 1, RunWrite(id)) \
	STEP(writeState[id] == 2, SendResult(id)) \
	STEP(writeState[id] == 3, Acknowledge(id))

#define FENCE(c, e) \
	STEP(campaignState[c] == 1 && term[e] < campaignTerm[c], Fence(c, e, false)) \
	STEP(campaignState[c] == 1 && term[e] < campaignTerm[c], Fence(c, e, true))

#define CAMPAIGN_STEPS(c) \
	STEP(campaignState[c] == 0, StartCampaign(c, 2)) \
	STEP(campaignState[c] == 0, StartCampaign(c, 3)) \
	FENCE(c, 0) FENCE(c, 1) FENCE(c, 2) \
	STEP(campaignState[c] == 1, Promote(c))

#define REPLICATE(from, to) STEP(isPrimary[from] && term[to] <= term[from], Replicate(from, to))

init {
	d_step {
		for (i : 0 .. N - 1) { term[i] = 1 }
		isPrimary[0] = true;
		primaryOf[1] = 1;
		i = 0
	}
	do
	WRITE_STEPS(0)
	WRITE_STEPS(1)
	CAMPAIGN_STEPS(0)
	CAMPAIGN_STEPS(1)
	REPLICATE(0, 1) REPLICATE(0, 2) REPLICATE(1, 0) REPLICATE(1, 2) REPLICATE(2, 0) REPLICATE(2, 1)
	od
}
