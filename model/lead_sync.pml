/* The logs of lead.pml with SYNC. */
#define ENDPOINTS 3
#define COMMITS 3
#define CRASHES 3

byte held[ENDPOINTS];       /* length of the log */
byte acked;                 /* acknowledged commits */
bool runs[ENDPOINTS] = true;
bool held_up[ENDPOINTS];    /* paused */
byte crashes;
byte leader;                /* the endpoint that leads in the latest term */
byte primary;               /* the primary on record */
/* Campaign: 0 none, 1 waits for the replicas, 2 promotion requested. */
byte campaign;
byte chosen = ENDPOINTS;    /* the candidate on record */
bool accepted;
bool answered[ENDPOINTS];
byte answeredWith[ENDPOINTS];
bool hasExpired[ENDPOINTS];

#define OTHER1 ((primary + 1) % ENDPOINTS)
#define OTHER2 ((primary + 2) % ENDPOINTS)
#ifdef FORGETCOPY
#define HASANSWERED(r) (answered[r] || hasExpired[r])
#else
#define HASANSWERED(r) answered[r]
#endif

inline CrashEndpoint(e) {
	runs[e] = false;
	held_up[e] = false;
	crashes++
}

/* Campaign.HandleStatus while fencing */
inline Answer(r) {
	held_up[r] = true;
	answered[r] = true;
	answeredWith[r] = held[r]
}

/* Campaign.promoteMostAdvanced; a campaign that inherits a candidate chooses it again */
inline ChooseCandidate() {
	if
	:: chosen == ENDPOINTS && answered[OTHER1] && (!answered[OTHER2] || answeredWith[OTHER1] >= answeredWith[OTHER2]) -> chosen = OTHER1
	:: chosen == ENDPOINTS && answered[OTHER2] && (!answered[OTHER1] || answeredWith[OTHER2] > answeredWith[OTHER1]) -> chosen = OTHER2
	:: else
	fi;
	if
	:: chosen < ENDPOINTS -> campaign = 2
	:: else
	fi
}

inline Lead() {
	leader = chosen;
	held_up[chosen] = false;
	assert(held[chosen] >= acked);
	for (i : 0 .. ENDPOINTS - 1) {
		/* what the others hold beyond that is rolled back */
		if
		:: held[i] > held[chosen] -> held[i] = held[chosen]
		:: else
		fi
	}
}

inline EndCampaign() {
	campaign = 0;
	accepted = false;
	chosen = ENDPOINTS;
	for (i : 0 .. ENDPOINTS - 1) {
		answered[i] = false;
		answeredWith[i] = 0;
		held_up[i] = false
	}
}

/* The campaign ends, and the record goes on naming the candidate. */
inline EndUnsettled() {
	campaign = 0;
	for (i : 0 .. ENDPOINTS - 1) {
		answered[i] = false;
		answeredWith[i] = 0
	}
}

#ifdef NEVERLED
#define MAYHAVELED false
#else
#define MAYHAVELED accepted
#endif
#ifdef ANYREPLACEMENT
#define ISREPLACEABLE(other) answered[other]
#else
#define ISREPLACEABLE(other) (answered[other] && answeredWith[other] >= answeredWith[chosen])
#endif

/* Campaign.replaceCandidate */
inline NotRunning(other) {
	if
	:: MAYHAVELED -> EndUnsettled()
	:: !MAYHAVELED && ISREPLACEABLE(other) -> chosen = other; accepted = false
	:: !MAYHAVELED && !ISREPLACEABLE(other) -> EndCampaign()
	fi
}

#define ISUSED(e) (campaign == 0 && chosen == ENDPOINTS && primary == e)

/* The owner of a primary acknowledges nothing while a campaign fences it. */
#define MAYACK (leader != primary || ISUSED(primary))

init {
	do
	/* commits */
	STEP(runs[leader] && held[leader] < COMMITS, held[leader]++)
	STEP(runs[primary] && primary != leader && ISUSED(primary), assert(held[primary] >= acked))
	STEP(runs[0] && runs[leader] && leader != 0 && !held_up[0] && held[0] < held[leader], held[0]++)
	STEP(runs[1] && runs[leader] && leader != 1 && !held_up[1] && held[1] < held[leader], held[1]++)
	STEP(runs[2] && runs[leader] && leader != 2 && !held_up[2] && held[2] < held[leader], held[2]++)
	STEP(runs[leader] && MAYACK && acked < held[leader] && (leader == 0 || held[0] > acked) && (leader != 0 || held[1] > acked || held[2] > acked), acked++)
	STEP(runs[leader] && MAYACK && acked < held[leader] && leader != 0 && (held[3 - leader] > acked), acked++)
	/* crashes */
	STEP(runs[0] && crashes < CRASHES, CrashEndpoint(0))
	STEP(runs[1] && crashes < CRASHES, CrashEndpoint(1))
	STEP(runs[2] && crashes < CRASHES, CrashEndpoint(2))
	STEP(!runs[0], runs[0] = true)
	STEP(!runs[1], runs[1] = true)
	STEP(!runs[2], runs[2] = true)
#ifdef FORGETCOPY
	STEP(!hasExpired[1], hasExpired[1] = true)
#endif
	/* the campaign */
	STEP(campaign == 0 && !runs[primary], campaign = 1)
	STEP(campaign == 0 && chosen < ENDPOINTS, campaign = 1)
	STEP(campaign == 1 && runs[OTHER1] && leader != OTHER1 && !answered[OTHER1], Answer(OTHER1))
	STEP(campaign == 1 && runs[OTHER2] && leader != OTHER2 && !answered[OTHER2], Answer(OTHER2))
	STEP(campaign == 1 && runs[leader] && leader != primary, primary = leader; EndCampaign())
	STEP(campaign == 1 && HASANSWERED(OTHER1) && HASANSWERED(OTHER2), ChooseCandidate())
	STEP(campaign == 2 && runs[chosen], accepted = true)
	STEP(accepted && runs[chosen] && leader != chosen, Lead())
	STEP(campaign == 2 && leader == chosen && runs[chosen], primary = chosen; EndCampaign())
	STEP(campaign == 2 && !runs[chosen], NotRunning(3 - primary - chosen))
	od
}
