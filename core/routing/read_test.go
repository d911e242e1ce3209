package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

func logPoint(n int) types.LogPoint { return types.LogPoint{Term: 1, Position: types.Position(n)} }

// threeEndpoints returns a primary and two replicas, one in each data centre.
func threeEndpoints() []Candidate {
	return []Candidate{
		{Endpoint: "p", DataCentre: "a", Primary: true, Reachable: true, Applied: logPoint(100)},
		{Endpoint: "r1", DataCentre: "b", Reachable: true, Applied: logPoint(90), Staleness: time.Second},
		{Endpoint: "r2", DataCentre: "c", Reachable: true, Applied: logPoint(50), Staleness: time.Minute},
	}
}

func TestReadsGoToEligibleReplicas(t *testing.T) {
	rng := random.New(1)
	for name, c := range map[string]struct {
		read   ReadRequirements
		change func(c []Candidate)
		want   map[int]bool
	}{
		"no constraint":                    {ReadRequirements{}, nil, map[int]bool{1: true, 2: true}},
		"minimum position":                 {ReadRequirements{MinPosition: logPoint(80)}, nil, map[int]bool{1: true}},
		"minimum position not reached":     {ReadRequirements{MinPosition: logPoint(95)}, nil, map[int]bool{0: true}},
		"maximum staleness":                {ReadRequirements{MaxStaleness: 5 * time.Second}, nil, map[int]bool{1: true}},
		"maximum staleness and own writes": {ReadRequirements{MaxStaleness: time.Hour, MinPosition: logPoint(95)}, nil, map[int]bool{0: true}},
		"unknown staleness":                {ReadRequirements{MaxStaleness: time.Hour}, func(c []Candidate) { c[1].Staleness = -1 }, map[int]bool{2: true}},
		"primary required":                 {ReadRequirements{RequirePrimary: true}, nil, map[int]bool{0: true}},
		"leaving":                          {ReadRequirements{}, func(c []Candidate) { c[2].Leaving = true }, map[int]bool{1: true}},
		"excluded":                         {ReadRequirements{}, func(c []Candidate) { c[1].Excluded = true }, map[int]bool{2: true}},
		"unreachable":                      {ReadRequirements{}, func(c []Candidate) { c[1].Reachable, c[2].Reachable = false, false }, map[int]bool{0: true}},
		"no usable endpoint":               {ReadRequirements{RequirePrimary: true}, func(c []Candidate) { c[0].Leaving = true }, map[int]bool{-1: true}},
		"same data centre":                 {ReadRequirements{DataCentre: "c"}, nil, map[int]bool{2: true}},
		"many requests in flight": {ReadRequirements{DataCentre: "c"}, func(c []Candidate) {
			c[2].InFlight = 9
		}, map[int]bool{1: true}},
		"low success rate": {ReadRequirements{DataCentre: "c"}, func(c []Candidate) {
			c[1].SuccessRate, c[2].SuccessRate = 1, 0.1
		}, map[int]bool{1: true}},
		"high latency": {ReadRequirements{DataCentre: "c"}, func(c []Candidate) {
			c[1].Latency, c[2].Latency = time.Millisecond, 5*time.Millisecond
		}, map[int]bool{1: true}},
		"latency known for one only": {ReadRequirements{DataCentre: "c"}, func(c []Candidate) {
			c[2].Latency = time.Second
		}, map[int]bool{2: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			candidates := threeEndpoints()
			if c.change != nil {
				c.change(candidates)
			}
			got := map[int]bool{}
			for range 100 {
				i, reason := ChooseReadEndpoint(candidates, &c.read, &rng)
				is.Equal(i < 0, reason != types.ReasonNone)
				got[i] = true
			}
			is.Equal(got, c.want)
		})
	}
}

func TestEndpointStatsFollowSamplesAndExpire(t *testing.T) {
	is := is.New(t)
	var s EndpointStats
	now := types.Time(0)
	observe := func(seconds int, latency time.Duration, ok bool) {
		for range seconds * 10 {
			s.Observe(now, latency, ok)
			now = now.Add(100 * time.Millisecond)
		}
	}
	observe(20, 10*time.Millisecond, true)
	is.Equal(s.Latency(now), 10*time.Millisecond)
	is.Equal(s.SuccessRate(now), 1.0)
	observe(1, 100*time.Millisecond, true)
	is.Equal(s.Latency(now), 100*time.Millisecond) // an increase takes effect at once
	observe(5, 0, false)
	is.True(s.SuccessRate(now) < 0.2)
	is.True(s.Latency(now) == 100*time.Millisecond) // the latency of failures is ignored
	now = now.Add(statsLifetime)
	is.Equal(s.Latency(now), time.Duration(0))
	is.Equal(s.SuccessRate(now), 1.0)
}
