package policy

import (
	"time"
)

// deployment describes one of the two installations that the brief names.
type deployment struct {
	name        string
	slots       int
	connections int
	between     time.Duration // one way between data centres
	client      time.Duration // one way between client and entry host
	entries     int
}

const (
	dataCentres = 3
	databases   = 3
	instances   = 3
	endpoints   = databases * instances
	// within is the way between two hosts of one data centre.
	within = 100 * time.Microsecond
)

var deployments = []deployment{
	{"ramp-logs", 3, 50, time.Millisecond, 3 * time.Millisecond, 15},
	{"pedidos-db", 2, 80, 500 * time.Microsecond, time.Millisecond, 21},
}

// rankLoad is the work of one rank.
type rankLoad struct {
	calm    float64       // share of all slots that the rank asks for in calm
	service time.Duration // mean time for which a request holds a slot
	writes  float64       // share of writes
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
	// agedReads is the share of reads that state the age they accept.
	agedReads   = 0.7
	acceptedAge = 5 * time.Second
	// hotReads is the share of reads that follow a write of their own session.
	hotReads = 0.05
	// lostTokens is the share of reads whose session lost its token.
	lostTokens = 0.02
	usualLag   = 20 * time.Millisecond
	longLag    = 30 * time.Second
	// viewDelay is the age of what entry hosts know of endpoints.
	viewDelay = 50 * time.Millisecond
)

// floodFactor is the load of a flood relative to the capacity of all endpoints.
const floodFactor = 5

const (
	warmUp   = 2 * time.Second
	duration = 10 * time.Second
	// tail is the time for which the load goes on after the measured requests.
	tail = 6 * time.Second
	// failAt and failoverGap time the failover: no primary in between.
	failAt        = 4 * time.Second
	suspicionTime = 500 * time.Millisecond
	failoverGap   = 2 * time.Second
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
	slowTimes    = 10
	fastFailTime = 200 * time.Microsecond
	// faulty is the endpoint with the fault; it is a replica of database 0.
	faulty = 1
	// slowest is the endpoint that slowPrimary names.
	slowest = 0
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
