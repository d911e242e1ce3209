package policy

import (
	"time"
)

// deployment describes one of the two installations that the brief names.
type deployment struct {
	name          string
	slots         int
	connections   int
	remoteDelay   time.Duration // one way between data centres
	clientDelay   time.Duration // one way between client and entry host
	frontendCount int
}

const (
	dataCentres = 3
	databases   = 3
	instances   = 3
	endpoints   = databases * instances
	// localDelay is the way between two hosts of one data centre.
	localDelay = 100 * time.Microsecond
)

var deployments = []deployment{
	{"ramp-logs", 3, 50, time.Millisecond, 3 * time.Millisecond, 15},
	{"pedidos-db", 2, 80, 500 * time.Microsecond, time.Millisecond, 21},
}

// rankLoad is the work of one rank.
type rankLoad struct {
	calmShare       float64       // share of all slots that the rank asks for in calm
	meanServiceTime time.Duration // mean time for which a request holds a slot
	writeShare      float64       // share of writes
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

// featuresPerRank share the load of a rank evenly.
const featuresPerRank = 5

const (
	// maxAgeReadShare is the share of reads that state the age they accept.
	maxAgeReadShare   = 0.7
	acceptedStaleness = 5 * time.Second
	// readAfterWriteShare is the share of reads that follow a write of their own session.
	readAfterWriteShare = 0.05
	// lostTokenShare is the share of reads whose session lost its token.
	lostTokenShare = 0.02
	normalLag      = 20 * time.Millisecond
	longLag        = 30 * time.Second
	// endpointViewDelay is the age of what entry hosts know of endpoints.
	endpointViewDelay = 50 * time.Millisecond
)

// floodFactor is the load of a flood relative to the capacity of all endpoints.
const floodFactor = 5

const (
	warmUpTime   = 2 * time.Second
	loadDuration = 10 * time.Second
	// loadTail is the time for which the load goes on after the measured requests.
	loadTail = 6 * time.Second
	// failoverAt and failoverGap time the failover: no primary in between.
	failoverAt     = 4 * time.Second
	suspicionDelay = 500 * time.Millisecond
	promotionDelay = 2 * time.Second
)

// scenario is one case of the measurement.
type scenario struct {
	name         string
	flood        [rankCount]bool
	floodFeature bool // one feature of the normal rank floods
	fastFail     bool // replica 1 of database 0 fails every request at once
	slow         bool // replica 1 of database 0 is ten times slower
	slowPrimary  bool // the primary of database 0 is ten times slower
	behind       bool // replica 1 of database 0 is 30 s behind
	failover     bool // the primary of database 0 dies
}

// floods reports whether any work floods.
func (sc scenario) floods() bool { return sc.flood != [rankCount]bool{} || sc.floodFeature }

const (
	slowdownFactor = 10
	fastFailTime   = 200 * time.Microsecond
	// faultyEndpoint is the endpoint with the fault; it is a replica of database 0.
	faultyEndpoint = 1
	// slowPrimaryEndpoint is the endpoint that slowPrimary names.
	slowPrimaryEndpoint = 0
)

var scenarios = []scenario{
	{name: "calm"},
	{name: "background flood", flood: [rankCount]bool{background: true}},
	{name: "urgent flood", flood: [rankCount]bool{urgent: true}},
	{name: "one feature floods", floodFeature: true},
	{name: "fast-failing replica", fastFail: true},
	{name: "slow replica", slow: true},
	{name: "slow primary", slowPrimary: true},
	{name: "replica 30 s behind", behind: true},
	{name: "failover in background flood", flood: [rankCount]bool{background: true}, failover: true},
	{name: "both floods", flood: [rankCount]bool{urgent: true, background: true}},
}
