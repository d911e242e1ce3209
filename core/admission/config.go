package admission

import (
	"fmt"
	"sort"
	"time"

	"baobabfield.example/core/types"
)

// Defaults of Config's limits.
const (
	DefaultQueueLimit = 256 // queued requests per rank
	DefaultFlowLimit  = 256 // features and jobs with a flow of their own per rank
)

// maxRanks is the maximum number of ranks of a service.
const maxRanks = 16

// hundredPercent is the sum of all shares that are given in percent.
const hundredPercent = 100

// Config configures the queue of one endpoint.
type Config struct {
	// Ranks are the ranks of the service. If empty, DefaultRanks applies.
	Ranks []types.RankSpec
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// Connections is the number of connections that the endpoint accepts.
	Connections int
	// InitialServiceTime is the time for which a request usually holds a slot. If zero,
	// the queue estimates it from the first requests.
	InitialServiceTime time.Duration
	// QueueLimit bounds the queued requests of each rank. Zero means DefaultQueueLimit.
	QueueLimit int
	// FlowLimit bounds the features and jobs that have a flow of their own in each rank.
	// Further ones share one flow. Zero means DefaultFlowLimit.
	FlowLimit int
}

// DefaultRanks returns the ranks of a service that configures none.
func DefaultRanks() []types.RankSpec {
	return []types.RankSpec{
		{Name: "urgent", Target: 100 * time.Millisecond, Worth: 100, Order: 0},
		{Name: "normal", Target: 400 * time.Millisecond, Worth: 10, Floor: 25, Order: 1},
		{Name: "background", Target: 5 * time.Second, Worth: 1, Floor: 5, Order: 2},
	}
}

// Check returns an error for the first invalid value of the configuration.
func (c Config) Check() error {
	if c.Slots < 1 {
		return fmt.Errorf("slots is %d, must be at least 1", c.Slots)
	}
	if owner, _ := SplitConnections(c.Connections); owner < c.Slots {
		return fmt.Errorf("connections is %d: the owner's share of %d is less than %d slots", c.Connections, owner, c.Slots)
	}
	if c.QueueLimit < 0 || c.FlowLimit < 0 || c.InitialServiceTime < 0 {
		return fmt.Errorf("queue limit %d, flow limit %d and initial service time %v must not be negative", c.QueueLimit, c.FlowLimit, c.InitialServiceTime)
	}
	return checkRanks(c.Ranks)
}

// RanksOrDefault returns the configured ranks. It returns DefaultRanks if none are
// configured. It returns DefaultRanks and an error if the configured ranks are invalid,
// for example after two conflicting plans were confirmed.
func RanksOrDefault(configured []types.RankSpec) ([]types.RankSpec, error) {
	if len(configured) == 0 {
		return DefaultRanks(), nil
	}
	if err := checkRanks(configured); err != nil {
		return DefaultRanks(), err
	}
	return configured, nil
}

func checkRanks(ranks []types.RankSpec) error {
	if len(ranks) > maxRanks {
		return fmt.Errorf("service has %d ranks, more than the maximum of %d", len(ranks), maxRanks)
	}
	floorSum := 0
	names := map[types.Rank]bool{}
	for _, r := range ranks {
		if r.Name == "" {
			return fmt.Errorf("rank of order %d has no name", r.Order)
		}
		if names[r.Name] {
			return fmt.Errorf("rank %q is defined twice", r.Name)
		}
		names[r.Name] = true
		if r.Target <= 0 {
			return fmt.Errorf("target of rank %q is %v, must be positive", r.Name, r.Target)
		}
		if r.Worth < 1 {
			return fmt.Errorf("worth of rank %q is %d, must be at least 1", r.Name, r.Worth)
		}
		if r.Floor < 0 {
			return fmt.Errorf("floor of rank %q is %d, must not be negative", r.Name, r.Floor)
		}
		floorSum += r.Floor
	}
	if floorSum >= hundredPercent {
		return fmt.Errorf("floors of all ranks sum to %d percent, must be below %d", floorSum, hundredPercent)
	}
	return nil
}

// withDefaults returns the configuration with defaults filled in and the ranks sorted,
// most urgent first.
func (c Config) withDefaults() Config {
	if len(c.Ranks) == 0 {
		c.Ranks = DefaultRanks()
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = DefaultQueueLimit
	}
	if c.FlowLimit == 0 {
		c.FlowLimit = DefaultFlowLimit
	}
	c.Ranks = append([]types.RankSpec(nil), c.Ranks...)
	sort.SliceStable(c.Ranks, func(i, j int) bool { return c.Ranks[i].Order < c.Ranks[j].Order })
	return c
}
