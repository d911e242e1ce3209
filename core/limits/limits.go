// Package limits bounds the rate of each workspace's operations over all hosts. It is a state
// machine without input or output.
//
// Each of at most maxHolders hosts holds an equal static share of every limit. A holder lends its
// shares for a short time to the allocator of a group of workspaces. The allocator divides what was lent
// between the hosts that report demand, as grants that expire, and keeps the rest in token buckets
// of its own, from which it serves sudden demand with single tokens. A host that has no allocator
// uses its static share once its loan has expired.
//
// At every time, the shares in use at all hosts add up to at most the shares of the holders. The
// depth of a token bucket is proportional to its share, so that the depths have the same bound.
package limits

import (
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

const (
	// maxHolders bounds the number of hosts that lend, and so the messages of an allocator.
	maxHolders = 64
	// groupCount is the number of groups of workspaces. Each has its own allocator.
	groupCount = 4
	// reportInterval is the time between the reports of a host to an allocator, and
	// urgentReportInterval that between reports while operations are pending.
	reportInterval       = 300 * time.Millisecond
	urgentReportInterval = 50 * time.Millisecond
	// tokenReportInterval is that while a bucket is empty and no operation is pending. In the
	// simulation of 8 hosts, 1.4 % of the operations were pending with 150 ms, 1.1 % with 50 ms and
	// 23 % more messages, and 2.1 % with 300 ms.
	tokenReportInterval = 150 * time.Millisecond
	// reportAlignment is the time by which a report is sent early together with another one.
	reportAlignment = 30 * time.Millisecond
	// loanTime is the time for which a host's static shares are lent, from the reply before the
	// report. A killed allocator makes the shares unusable for this time.
	loanTime = 1200 * time.Millisecond
	// grantTime is the time for which a grant is valid. A loan counts from the reply before the
	// report and is renewed by the next one, so that up to two report intervals and two round
	// trips of it have passed when a grant is decided. What remains covers the grant.
	grantTime = 560 * time.Millisecond
	// tokenTime is the time for which single tokens are valid, unless the allocator extends it. It
	// lasts over one report without a reply, and like a grant it must end before the loans.
	tokenTime = grantTime
	// earlierTokenTime is that of the tokens of an allocator that does not send it.
	earlierTokenTime = 150 * time.Millisecond
	// tokenRetention is the time after the last operation for which a host keeps single tokens of
	// a workspace. It is shorter while more than maxIdleTokens workspaces of a group have tokens
	// and no demand, since each of them is an entry in every report.
	tokenRetention    = 15 * time.Second
	minTokenRetention = 500 * time.Millisecond
	maxIdleTokens     = 32
	// levelDeviations is the number of standard deviations by which a host's single tokens exceed
	// the operations that it expects in a report interval.
	levelDeviations = 2
	// tokenReserve is the part of the depth below which the allocator's bucket gives tokens only to
	// operations that wait. In the simulation of 24 owners, 7.5 % of the operations were pending with
	// 0.25 and 4.4 % with 0.15, while equally few were refused.
	tokenReserve = 0.15
	// maxPendingTime is the time for which an operation waits for a grant.
	maxPendingTime = 100 * time.Millisecond
	// startDelay is the time after its start for which a process does not use or lend its
	// static share, because an earlier process of the host may have lent it. What remains of
	// loanTime adds 0.45 times the rate if all holders restart at once; the overshoot that the
	// limit allows in 5 s is 0.5 times the rate.
	startDelay = 750 * time.Millisecond
	// shareRiseDelay is the time for which a higher static share is not used after a change of
	// the hosts. Other hosts may learn of the change later and use their earlier shares until
	// then.
	shareRiseDelay = 5 * time.Second
	// vanishedHostRetention is the time for which a host without a record counts as a holder,
	// unless it had announced that it leaves. It may be partitioned and still use its share.
	vanishedHostRetention = 2 * time.Minute
	// hostCountValidity is the time for which the number of hosts that another host knows is
	// taken into account.
	hostCountValidity = 5 * time.Second
	// allocatorSilenceTimeout is the time without a reply after which another allocator is used.
	allocatorSilenceTimeout = 450 * time.Millisecond
	// suspensionThreshold is the time without a tick after which this process must have been
	// suspended, since a tick is due at allocatorSilenceTimeout after an unanswered report.
	suspensionThreshold = allocatorSilenceTimeout + 250*time.Millisecond
	// silentAllocatorProbeInterval is the time between reports to an allocator that was silent.
	silentAllocatorProbeInterval = time.Second
	// clockDriftPercent is added to the length of a loan at the lender, whose clock may run
	// faster than the allocator's.
	clockDriftPercent = 1
	// exhaustedTime is the time after a grant below the demand in which operations above the
	// grant are refused at once.
	exhaustedTime = 100 * time.Millisecond
	// demandTime is the time constant of the demand estimate. Demand that moves to another host
	// is followed within about a second.
	demandTime = 300 * time.Millisecond
	// tokenDemandTime is the time constant of the estimate that determines how many single tokens
	// a host keeps. With demandTime, a few operations a second would change it with each one.
	tokenDemandTime = 2 * time.Second
	// minDemand is the demand per second below which a host reports none.
	minDemand = 0.05
	// burstFraction and minDepth give the depth of all buckets of a workspace together:
	// burstFraction of the burst, and minDepth operations so that low limits can be divided
	// between hosts.
	burstFraction = 0.6
	minDepth      = 16
	// grantDepthFraction is the part of the depth of a granted share that the host's bucket
	// has. The rest is that of the allocator's bucket, which serves sudden demand on any host.
	grantDepthFraction = 0.5
	// keptTime is the time of the estimated demand for which a host keeps tokens in addition to
	// minKeptTokens. It returns the others to the allocator with each report.
	keptTime      = 150 * time.Millisecond
	minKeptTokens = 2
	// nearlyFullFraction is the part of its depth at which a bucket causes an early report.
	nearlyFullFraction = 0.7
	// minGrantDepth is the depth below which a share is not granted. A bucket that is less deep
	// loses much of its share, and is often nearly full, which causes early reports. The demand is
	// served with single tokens instead. In the simulation of 8 hosts at 0.62 of the limits, a depth
	// of 2 instead of 5 gave 6 % more messages.
	minGrantDepth = 8
	// minGrantedDemand is the demand per second from which a share is granted, and minKeptDemand
	// that below which it is withdrawn. The operations of a lower demand come so irregularly that
	// most of a share would be unused. In the simulation of 8 hosts, 12 instead of 25 gave 14 % more
	// messages.
	minGrantedDemand = 25
	minKeptDemand    = 12
	// maxGrantSurplus bounds the part of a host's demand by which a grant exceeds it.
	maxGrantSurplus = 0.25
	// confirmedReduction is the part of the earlier share below which a share causes an early
	// report, so that the allocator can grant the difference to others.
	confirmedReduction = 0.75
	// minRetryAfter and maxRetryAfter bound the retry-after time.
	minRetryAfter = 30 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// minRetryShare is the least part of the limit at whose rate retries are spread. A retry may
	// arrive at a host with a larger share.
	minRetryShare = 1.0 / 16
	// limitedTime is the time after the last refusal for which a workspace counts as limited.
	limitedTime = 5 * time.Second
	// maxSentReports bounds the reports that are remembered for the replies to them.
	maxSentReports = 16
)

// Limit is the limit of a workspace.
type Limit struct {
	Workspace types.Workspace
	// Rate is the number of operations per second; 0 means that there is no limit. Burst is the
	// number that may exceed it at once.
	Rate, Burst float64
}

// depth returns the number of operations that all buckets of the workspace may hold together.
func (l *Limit) depth() float64 { return burstFraction*l.Burst + minDepth }

// Host is a host of the deployment.
type Host struct {
	ID types.Host
	// Eligible is set if the host can own endpoints, Usable if it can be an allocator, and Leaving
	// if it has announced that it leaves.
	Eligible, Usable, Leaving bool
}

// Report is a host's message to the allocator of a group.
type Report struct {
	// Seq identifies the report. It is random for the first report of a process.
	Seq   uint64
	Group int
	// AllocatorProcess and AllocatorClock are those of the last reply; zero if there is none.
	AllocatorProcess uint64
	AllocatorClock   types.Time
	// LendFor is the time from AllocatorClock for which the allocator has the sender's static Share
	// of each limit; zero for no loan.
	LendFor time.Duration
	Share   float64
	// Hosts is the number of eligible hosts that the sender knows.
	Hosts   int
	Demands []Demand
}

// Demand is the demand for a workspace at the sender of a report.
type Demand struct {
	Workspace types.Workspace
	// Rate is the demand in operations per second, Need the number of single tokens that pending
	// operations wait for, and Ahead the number that the sender requests for later ones.
	Rate        float64
	Need, Ahead int
	// Held is the number of single tokens of this allocator that the sender has and wants to keep.
	Held int
	// Returned is the number of tokens that the sender gives up, since it has no use for them.
	Returned int
}

// Grants is an allocator's reply to a Report. It replaces all earlier grants of the group. The grants
// are valid for ValidFor from the sending of the report.
type Grants struct {
	Seq              uint64
	Group            int
	AllocatorProcess uint64
	AllocatorClock   types.Time
	ValidFor         time.Duration
	// TokensFor is the time from the sending of the report for which single tokens are valid.
	TokensFor time.Duration
	// Hosts is the highest number of eligible hosts that a host has recently reported.
	Hosts  int
	Grants []Grant
}

// Grant is a part of a workspace's limit.
type Grant struct {
	Workspace types.Workspace
	// Share is the fraction of the limit. Tokens is the number of new single tokens beside it.
	Share  float64
	Tokens int
	// Keep is set if the single tokens that the host has are valid as long as new ones. If it is
	// not set, the host returns them.
	Keep bool
}

// Message is a message to another host, or to this host: either Report or Grants is set.
type Message struct {
	To     types.Host
	Report *Report
	Grants *Grants
}

// Verdict is what happens to an operation.
type Verdict uint8

// The verdicts on an operation.
const (
	// Admitted operations run.
	Admitted Verdict = iota
	// Refused operations must not run.
	Refused
	// Pending operations wait for a Resolution.
	Pending
)

// Decision is the decision on an operation. The fields after RetryAfter describe the state that it
// was based on.
type Decision struct {
	Verdict Verdict
	// RetryAfter is when a refused operation can be repeated.
	RetryAfter time.Duration
	Limit      float64
	// Tokens is the number of operations left, Share the granted fraction of the limit.
	Tokens, Share float64
	// GrantAge is the time since the report that the grant answers was sent; zero for no grant.
	GrantAge  time.Duration
	Allocator types.Host
}

// Resolution is the decision on a pending operation.
type Resolution struct {
	Operation uint64
	Decision  Decision
}

// AllocatorChange is a change of the allocator that this host uses for a group.
type AllocatorChange struct {
	Group    int
	From, To types.Host
	Silent   bool
}

// LimitedChange tells that a workspace begins or ends to be limited on this host.
type LimitedChange struct {
	Workspace types.Workspace
	Limited   bool
	// Refused is the number of operations that were refused while it was limited.
	Refused int
}

// Settings describes the host of a Machine.
type Settings struct {
	Host types.Host
	// Seed must differ between the processes that a host runs one after the other.
	Seed uint64
}

// Machine is the state machine of one host. A single task must own it.
type Machine struct {
	settings Settings
	rng      random.Source
	process  uint64
	// startedAt is the time of the first event.
	startedAt types.Time
	started   bool
	nextSeq   uint64
	// lastTickAt is the time of the last Tick.
	lastTickAt types.Time

	buckets map[types.Workspace]*bucket
	groups  [groupCount]group
	// limited holds the buckets that have refused operations recently.
	limited []*bucket

	membership membership
	// share is the static share of this host.
	share float64

	messages         []Message
	resolutions      []Resolution
	allocatorChanges []AllocatorChange
	limitedChanges   []LimitedChange
}

// New returns a Machine without limits and hosts.
func New(settings Settings) *Machine {
	rng := random.New(settings.Seed)
	m := &Machine{settings: settings, rng: rng, buckets: map[types.Workspace]*bucket{}}
	m.process, m.nextSeq = m.rng.Uint64()|1, m.rng.Uint64()>>1
	for i := range m.groups {
		m.groups[i].init(i)
	}
	return m
}

// GroupOf returns the group of a workspace.
func GroupOf(w types.Workspace) int { return int(random.Hash(0, string(w)) % groupCount) }

func (m *Machine) start(now types.Time) {
	if !m.started {
		m.started, m.startedAt = true, now
		for i := range m.groups {
			m.groups[i].staticFrom = now.Add(startDelay)
		}
	}
}

// Active reports whether a workspace has a limit.
func (m *Machine) Active() bool { return len(m.buckets) > 0 }

// HasLimit reports whether a workspace has a limit.
func (m *Machine) HasLimit(w types.Workspace) bool { return m.buckets[w] != nil }

// Configure replaces the limits. Workspaces with a rate of 0 have none.
func (m *Machine) Configure(now types.Time, list []Limit) {
	m.start(now)
	kept := map[types.Workspace]bool{}
	for _, l := range list {
		if l.Rate <= 0 {
			continue
		}
		kept[l.Workspace] = true
		if b := m.buckets[l.Workspace]; b != nil {
			m.advance(b, now)
			b.limit = l
			b.clip(m, now)
			continue
		}
		g := &m.groups[GroupOf(l.Workspace)]
		if len(g.buckets) == 0 && g.allocatorHost != "" {
			m.allocatorChanges = append(m.allocatorChanges, AllocatorChange{Group: g.number, To: g.allocatorHost})
		}
		b := &bucket{limit: l, group: g, advancedAt: now}
		m.buckets[l.Workspace] = b
		g.buckets = append(g.buckets, b)
	}
	for i := range m.groups {
		g := &m.groups[i]
		kept := func(w types.Workspace) bool { return kept[w] }
		for _, b := range g.removeExcept(kept) {
			delete(m.buckets, b.limit.Workspace)
			for _, p := range b.pending {
				m.resolutions = append(m.resolutions, Resolution{Operation: p.operation, Decision: Decision{Verdict: Admitted}})
			}
			b.pending = nil
		}
		g.allocator.configure(now, g.buckets)
	}
	m.limited = removeUnlimited(m.limited, kept)
}

func removeUnlimited(list []*bucket, kept map[types.Workspace]bool) []*bucket {
	var out []*bucket
	for _, b := range list {
		if kept[b.limit.Workspace] {
			out = append(out, b)
		}
	}
	return out
}

// TakeMessages returns the messages since the last call.
func (m *Machine) TakeMessages() []Message {
	out := m.messages
	m.messages = nil
	return out
}

// TakeResolutions returns the decisions on pending operations since the last call.
func (m *Machine) TakeResolutions() []Resolution {
	out := m.resolutions
	m.resolutions = nil
	return out
}

// TakeAllocatorChanges returns the changes of allocators since the last call.
func (m *Machine) TakeAllocatorChanges() []AllocatorChange {
	out := m.allocatorChanges
	m.allocatorChanges = nil
	return out
}

// TakeLimitedChanges returns the changes of the limited workspaces since the last call.
func (m *Machine) TakeLimitedChanges() []LimitedChange {
	out := m.limitedChanges
	m.limitedChanges = nil
	return out
}
