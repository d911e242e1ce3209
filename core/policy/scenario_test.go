package policy

import (
	"time"
)

// deployment describes one of the simulated installations.
type deployment struct {
	name          string
	slots         int
	connections   int
	remoteDelay   time.Duration // one-way delay between data centres
	clientDelay   time.Duration // one-way delay between client and frontend
	frontendCount int
}

const (
	dataCentreCount = 3
	databaseCount   = 3
	instanceCount   = 3
	endpointCount   = databaseCount * instanceCount
	// localDelay is the one-way delay between two hosts of the same data centre.
	localDelay = 100 * time.Microsecond
)

var deployments = []deployment{
	{"ramp-logs", 3, 50, time.Millisecond, 3 * time.Millisecond, 15},
	{"pedidos-db", 2, 80, 500 * time.Microsecond, time.Millisecond, 21},
}

// rankLoad is the load of one rank.
type rankLoad struct {
	calmShare       float64       // share of all slots that the rank uses without a flood
	meanServiceTime time.Duration // mean time for which a request holds a slot
	writeShare      float64       // share of requests that write
}

const (
	urgent = iota
	normal
	background
	rankCount
)

var loads = [rankCount]rankLoad{
	urgent:     {0.15, 8 * time.Millisecond, 0.5},
	normal:     {0.30, 10 * time.Millisecond, 0.2},
	background: {0.12, 20 * time.Millisecond, 0.4},
}

// featuresPerRank is the number of features that share the load of a rank evenly.
const featuresPerRank = 5

const (
	// maxAgeReadShare is the share of reads that state an accepted staleness.
	maxAgeReadShare   = 0.7
	acceptedStaleness = 5 * time.Second
	// readAfterWriteShare is the share of reads that directly follow a write of the same
	// session.
	readAfterWriteShare = 0.05
	// lostTokenShare is the share of reads whose session has lost its token.
	lostTokenShare = 0.02
	normalLag      = 20 * time.Millisecond
	longLag        = 30 * time.Second
	// endpointViewDelay is the delay of the frontends' information about endpoints.
	endpointViewDelay = 50 * time.Millisecond
)

// floodLoadFactor is the load of a flood relative to the capacity of all endpoints.
const floodLoadFactor = 5

const (
	warmUpTime   = 2 * time.Second
	loadDuration = 10 * time.Second
	// loadTail is the time for which the load continues after the measurement.
	loadTail = 6 * time.Second
	// failoverAt is the time at which the primary fails. There is no primary for
	// promotionDelay from then on.
	failoverAt     = 4 * time.Second
	suspicionDelay = 500 * time.Millisecond
	promotionDelay = 2 * time.Second
)

// scenario is one case of the measurement.
type scenario struct {
	name               string
	flood              [rankCount]bool
	floodFeature       bool // one feature of the normal rank floods
	fastFailingReplica bool // replica 1 of database 0 fails every request immediately
	slowReplica        bool // replica 1 of database 0 is slower by slowdownFactor
	slowPrimary        bool // the primary of database 0 is slower by slowdownFactor
	laggingReplica     bool // replica 1 of database 0 lags by longLag
	failover           bool // the primary of database 0 fails
}

// floods reports whether any load floods.
func (sc scenario) floods() bool { return sc.flood != [rankCount]bool{} || sc.floodFeature }

const (
	slowdownFactor = 10
	fastFailTime   = 200 * time.Microsecond
	// faultyEndpoint is the endpoint with the fault, a replica of database 0.
	faultyEndpoint = 1
	// slowPrimaryEndpoint is the endpoint that is slow if slowPrimary is set.
	slowPrimaryEndpoint = 0
)

var scenarios = []scenario{
	{name: "calm"},
	{name: "background flood", flood: [rankCount]bool{background: true}},
	{name: "urgent flood", flood: [rankCount]bool{urgent: true}},
	{name: "one feature floods", floodFeature: true},
	{name: "fast-failing replica", fastFailingReplica: true},
	{name: "slow replica", slowReplica: true},
	{name: "slow primary", slowPrimary: true},
	{name: "replica 30 s behind", laggingReplica: true},
	{name: "failover in background flood", flood: [rankCount]bool{background: true}, failover: true},
	{name: "both floods", flood: [rankCount]bool{urgent: true, background: true}},
}
