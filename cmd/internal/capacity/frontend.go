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
	// maxTrackedUses is the capacity of a host's tracker of uses.
	maxTrackedUses = 4096
	// fleetStatementsPerSecond and fleetConnections are the load of the whole fleet that
	// is expected within two years.
	fleetStatementsPerSecond = 9_400_000
	fleetConnections         = 8_400_000
	twoYearHostCount         = 2600
)

// measureFrontend measures the time of a frontend's decisions for one statement, and the
// memory of a frontend for admission levels and for uses.
func measureFrontend(f fleet) Row {
	store := config.NewStore()
	for _, object := range f.configObjects() {
		store.Apply(object)
	}
	decisionTime := measureStatementDecisions(f, store.Snapshot())
	hostStatementsPerSecond := float64(fleetStatementsPerSecond) / twoYearHostCount
	return Row{
		Fleet:       f.name,
		Role:        "entry",
		Hosts:       f.hosts,
		MemoryBytes: frontendHeapBytes(f),
		Mechanism:   "admission levels told by owners, bounded list of callers",
		Note: fmt.Sprintf("statements cost %v of decisions each, no part of control: %s of a core at %.0f statements a second; %d connections a host at the two-year size",
			decisionTime, formatShare(decisionTime.Seconds()*hostStatementsPerSecond), hostStatementsPerSecond, fleetConnections/twoYearHostCount),
	}
}

// measureStatementDecisions returns the mean time of the decisions for one statement.
func measureStatementDecisions(f fleet, snapshot config.Snapshot) time.Duration {
	const statements = 200_000
	gate := newFullGate(f)
	tracker := newFullTracker()
	randomSource := random.New(randomSeed)
	databases := make([]types.DatabaseSpec, f.databases)
	for n := range databases {
		databases[n] = f.databaseSpec(n)
	}
	start := time.Now()
	for n := range statements {
		database := databases[n%len(databases)]
		key := newUseKey(n % maxTrackedUses)
		_, refused := snapshot.RefusingRetirement(key.Service, key.Feature, key.Job)
		chosen, _ := routing.ChooseReadEndpoint(readCandidates(database), &routing.ReadRequirements{MaxStaleness: time.Second}, &randomSource)
		gate.Admit(types.Time(n), key.Rank, key.Feature, key.Job, database.Endpoints[chosen].ID)
		tracker.Record(int64(n), key, refused)
	}
	return time.Since(start) / statements
}

func readCandidates(database types.DatabaseSpec) []routing.Candidate {
	candidates := make([]routing.Candidate, len(database.Endpoints))
	for i, e := range database.Endpoints {
		candidates[i] = routing.Candidate{Endpoint: e.ID, DataCentre: e.DataCentre, Primary: i == 0, Reachable: true}
	}
	return candidates
}

func newUseKey(index int) config.UseKey {
	return config.UseKey{
		Service: types.Service(fmt.Sprintf("service-%04d", index%1000)),
		Feature: types.Feature(fmt.Sprintf("feature-%02d", index%40)),
		Rank:    "rank-1",
		Caller:  fmt.Sprintf("10.20.%d.%d", index>>8&255, index&255),
	}
}

// newFullTracker returns a tracker that holds maxTrackedUses uses.
func newFullTracker() *config.UseTracker {
	tracker := config.NewUseTracker(hostName(0), maxTrackedUses)
	for n := range maxTrackedUses {
		tracker.Record(int64(n), newUseKey(n), false)
	}
	return tracker
}

// newFullGate returns a gate that holds a level for each rank at each endpoint.
func newFullGate(f fleet) *admission.Gate {
	gate := admission.NewGate(randomSeed)
	for n := range f.databases {
		for _, e := range f.databaseSpec(n).Endpoints {
			for rank := range ranksPerFleet {
				notice := admission.LevelNotice{Rank: types.Rank(fmt.Sprintf("rank-%d", rank)), Level: admission.LevelFull / 2}
				gate.SetLevel(0, e.ID, notice)
			}
		}
	}
	return gate
}

func frontendHeapBytes(f fleet) int {
	return measureHeapBytes(func() any {
		return []any{newFullGate(f), newFullTracker()}
	})
}
