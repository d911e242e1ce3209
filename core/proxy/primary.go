package proxy

import (
	"time"

	"baobabfield.example/core/lead"
	"baobabfield.example/core/types"
)

const (
	// authorityWait is how long a statement waits for the authority to be confirmed,
	// which takes a few round trips; the entry decides what comes after.
	authorityWait = 250 * time.Millisecond
	// fencedPause is the time after which a fenced primary is looked at again.
	fencedPause = 300 * time.Millisecond
)

// mayUsePrimary checks the authority for a job; the job waits or is refused where
// there is none.
func (m *Machine) mayUsePrimary(o *owned, j *job) bool {
	a := m.authority(o)
	a.Use(m.now)
	switch {
	case a.Fenced():
		m.finishJob(o, j, Done{Reason: types.ReasonNotPrimary})
		return false
	case !a.Valid(m.now) && !o.held && m.now.Sub(j.arrived) >= authorityWait:
		m.finishJob(o, j, Done{Reason: types.ReasonNoAuthority})
		return false
	case o.held && !j.continues(), !a.Valid(m.now):
		o.waiting = append(o.waiting, j)
		m.confirm(o)
		return false
	}
	m.confirm(o)
	m.trust(o)
	return true
}

// trust lets the pool of a primary use the connections that its authority covers.
func (m *Machine) trust(o *owned) {
	if o.authority != nil && o.authority.Valid(m.now) {
		o.pool.Trust(m.now, o.authority.Since(m.now))
	}
}

// opened has a new connection to a primary covered by its authority, unless the answers
// on others soon vouch for it.
func (m *Machine) opened(o *owned) {
	if !o.pool.HasTrusted() {
		m.cover(o)
	}
}

// cover has the connections that are open now covered by the authority.
func (m *Machine) cover(o *owned) {
	if o.authority != nil {
		o.authority.Require(m.now)
		m.confirm(o)
	}
}

// authority returns the authority over an endpoint that serves as the primary.
func (m *Machine) authority(o *owned) *lead.Authority {
	var doubt types.Endpoint
	if o.authority != nil && o.authority.Fenced() && m.now.Sub(o.fencedAt) >= fencedPause {
		doubt = o.authority.FencedBy()
		o.authority = nil
	}
	if o.authority == nil {
		o.authority = lead.NewAuthority(o.id, m.replicasOf(o))
		o.authority.Doubt(doubt)
	}
	return o.authority
}

// replicasOf returns the other listed endpoints of an endpoint's service.
func (m *Machine) replicasOf(o *owned) []types.Endpoint {
	var out []types.Endpoint
	for _, e := range m.cat.EndpointsOf(o.service) {
		if e.ID != o.id && m.cat.IsListed(e.ID) {
			out = append(out, e.ID)
		}
	}
	return out
}

// confirm asks what the authority needs to be confirmed.
func (m *Machine) confirm(o *owned) {
	for _, e := range o.authority.Questions(m.now) {
		m.order(lead.Order{Endpoint: e, Op: lead.AskStatus}, purposeAuthority)
	}
}

// mayAcknowledge reports whether the endpoint certainly was the primary when it
// committed.
func (m *Machine) mayAcknowledge(o *owned) bool {
	return o.authority != nil && o.authority.Valid(m.now)
}

func (m *Machine) fenced(o *owned, reason string) {
	if o.fencedAt == 0 || m.now.Sub(o.fencedAt) >= fencedPause {
		m.log(Warn, "authority lost", f("endpoint", o.id), f("service", o.service), f("reason", reason))
		o.fencedAt = m.now
	}
	o.authority.Fence()
}
