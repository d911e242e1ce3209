package capacity

import (
	"fmt"
	"time"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/config"
	"baobabfield.example/core/random"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

const (
	// usesKept is the number of uses that a host remembers.
	usesKept = 4096
	// statementsPerSecond and connections are those of the whole fleet within
	// two years.
	statementsPerSecond = 9_400_000
	connections         = 8_400_000
	twoYearHosts        = 2600
)

// measureEntry measures what the decisions of an entry host cost a statement,
// and what the host remembers of callers and owners.
func measureEntry(f fleet) Row {
	store := config.NewStore()
	for _, object := range f.objects() {
		store.Apply(object)
	}
	perStatement := entryDecision(f, store.Snapshot())
	load := float64(statementsPerSecond) / twoYearHosts
	return Row{
		Fleet:     f.name,
		Role:      "entry",
		Hosts:     f.hosts,
		Memory:    entryHeap(f),
		Mechanism: "admission levels told by owners, bounded list of callers",
		Note: fmt.Sprintf("statements cost %v of decisions each, no part of control: %s of a core at %.0f statements a second; %d connections a host at the two-year size",
			perStatement, formatShare(perStatement.Seconds()*load), load, connections/twoYearHosts),
	}
}

// entryDecision returns the time of one statement's decisions.
func entryDecision(f fleet, snapshot config.Snapshot) time.Duration {
	const statements = 200_000
	gate := newGate(f)
	tracker := newTracker()
	rng := random.New(seed)
	databases := make([]types.DatabaseSpec, f.databases)
	for n := range databases {
		databases[n] = f.database(n)
	}
	start := time.Now()
	for n := range statements {
		database := databases[n%len(databases)]
		key := useKey(n % usesKept)
		_, refused := snapshot.RefusingRetirement(key.Service, key.Feature, key.Job)
		chosen, _ := routing.ChooseReadEndpoint(candidates(database), &routing.ReadRequirements{MaxStaleness: time.Second}, &rng)
		gate.Admit(types.Time(n), key.Rank, key.Feature, key.Job, database.Endpoints[chosen].ID)
		tracker.Record(int64(n), key, refused)
	}
	return time.Since(start) / statements
}

func candidates(database types.DatabaseSpec) []routing.Candidate {
	all := make([]routing.Candidate, len(database.Endpoints))
	for i, e := range database.Endpoints {
		all[i] = routing.Candidate{Endpoint: e.ID, DataCentre: e.DataCentre, Primary: i == 0, Reachable: true}
	}
	return all
}

func useKey(n int) config.UseKey {
	return config.UseKey{
		Service: types.Service(fmt.Sprintf("service-%04d", n%1000)),
		Feature: types.Feature(fmt.Sprintf("feature-%02d", n%40)),
		Rank:    "rank-1",
		Caller:  fmt.Sprintf("10.20.%d.%d", n>>8&255, n&255),
	}
}

// newTracker returns a full tracker of uses.
func newTracker() *config.UseTracker {
	tracker := config.NewUseTracker(hostName(0), usesKept)
	for n := range usesKept {
		tracker.Record(int64(n), useKey(n), false)
	}
	return tracker
}

// newGate returns a gate with a level for each rank at each endpoint.
func newGate(f fleet) *admission.Gate {
	gate := admission.NewGate(seed)
	for n := range f.databases {
		for _, e := range f.database(n).Endpoints {
			for rank := range ranksPerFleet {
				notice := admission.LevelNotice{Rank: types.Rank(fmt.Sprintf("rank-%d", rank)), Level: admission.LevelFull / 2}
				gate.SetLevel(0, e.ID, notice)
			}
		}
	}
	return gate
}

func entryHeap(f fleet) int {
	return heapOf(func() any {
		return []any{newGate(f), newTracker()}
	})
}
