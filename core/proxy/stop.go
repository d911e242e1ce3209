package proxy

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// leaveNoticePeriod is the time from the announcement that this host is leaving until it
	// refuses new work at its endpoints. The other hosts receive the announcement in this time.
	leaveNoticePeriod = 400 * time.Millisecond
	// txSharePercent is the share of the grace period after which open transactions are ended.
	txSharePercent = 50
	// exitSharePercent is the share of the grace period after which the host exits even if work
	// is outstanding.
	exitSharePercent = 85
	// closeSharePercent is the share of the grace period over which idle sessions are closed.
	// Closing them gradually prevents their callers from reconnecting elsewhere all at once.
	closeSharePercent = 30
)

// exitQuietPeriod is how long nothing may have been outstanding before the process exits, so
// that the last replies to callers and other hosts have been sent.
const exitQuietPeriod = 200 * time.Millisecond

// stopState is the state of a planned stop.
type stopState struct {
	begun        bool
	begunAt      types.Time
	grace        time.Duration
	refusingWork bool
	exited       bool
	// lastBusyAt is the last time at which something was outstanding.
	lastBusyAt types.Time
}

func (s *stopState) atPercent(percent int) types.Time {
	return s.begunAt.Add(s.grace * time.Duration(percent) / 100)
}

// beginStop announces that the host is leaving.
func (m *Machine) beginStop(grace time.Duration) {
	if m.stop.begun {
		return
	}
	m.stop = stopState{begun: true, begunAt: m.now, grace: grace}
	m.log(Info, "stop begun", field("grace", grace), field("sessions", len(m.sessions)), field("jobs", len(m.executions)))
	m.clearOwnerCache()
	m.emit(StoreHostRecord{Leaving: true})
	for h := range ordered(m.peers) {
		m.sendToHost(h, Leaving{})
	}
}

// tickStop advances a planned stop.
func (m *Machine) tickStop() {
	if !m.stop.begun || m.stop.exited {
		return
	}
	if !m.stop.refusingWork && m.now.Sub(m.stop.begunAt) >= leaveNoticePeriod {
		m.stop.refusingWork = true
		for _, o := range ordered(m.owned) {
			o.pool.Drain(m.now)
		}
	}
	m.closeIdleSessions(m.stop.atPercent(closeSharePercent))
	if m.now.After(m.stop.atPercent(txSharePercent)) {
		m.abortOpenTransactions()
	}
	if len(m.sessions) > 0 || len(m.executions) > 0 || len(m.ownedTxs) > 0 || !m.stop.refusingWork {
		m.stop.lastBusyAt = m.now
	}
	if m.now.Sub(m.stop.lastBusyAt) >= exitQuietPeriod || m.now.After(m.stop.atPercent(exitSharePercent)) {
		m.stop.exited = true
		m.log(Info, "stop completed", field("sessions", len(m.sessions)), field("jobs", len(m.executions)), field("transactions", len(m.ownedTxs)))
		m.emit(Exit{})
	}
}

// closeIdleSessions closes the idle sessions that are due, at least one per tick, so that none
// is left at a time.
func (m *Machine) closeIdleSessions(until types.Time) {
	remaining := until.Sub(m.now)
	n := len(m.sessions)
	if remaining > 0 {
		n = int(int64(n)*int64(busyTickInterval)/int64(remaining)) + 1
	}
	for _, s := range ordered(m.sessions) {
		if n == 0 {
			return
		}
		if s.tx == nil && s.currentRequest == nil && s.drain == drainNone {
			m.drainSession(s)
			n--
		}
	}
}

// abortOpenTransactions closes the sessions whose transactions are still open.
func (m *Machine) abortOpenTransactions() {
	for _, s := range ordered(m.sessions) {
		if s.tx != nil && s.currentRequest == nil && !s.endsTx {
			m.log(Info, "transaction ended", field("session", s.id), field("reason", "host is stopping"))
			s.endsTx = true
			m.drainSession(s)
		}
	}
}
