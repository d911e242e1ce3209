package failover

import (
	"slices"
	"time"

	"baobabfield.example/core/session"
	"baobabfield.example/core/types"
)

// EndpointView is what a machine knows of one endpoint.
type EndpointView struct {
	ID         types.Endpoint
	Role       Role
	Term       types.Term
	Last       types.LogPoint
	TermStarts []types.TermStart
	// Reachable says that the endpoint answers in time.
	Reachable bool
	// FreshAt is a time at which the endpoint's log contained everything that
	// the primary had made visible, valid only if FreshKnown.
	FreshAt    types.Time
	FreshKnown bool
}

// Staleness returns a bound on the age of the endpoint's data. The second result is
// false if no bound is known.
func (v EndpointView) Staleness(now types.Time) (time.Duration, bool) {
	return now.Sub(v.FreshAt), v.FreshKnown
}

// View is what a machine knows of a database.
type View struct {
	Term types.Term
	// Primary is empty while the primary of Term is not known.
	Primary types.Endpoint
	// Owner is the host that owns the primary.
	Owner     types.Host
	Suspected bool
	// Endpoints is sorted by ID.
	Endpoints []EndpointView
}

// View returns what the machine knows of the database.
func (m *Machine) View() View {
	v := View{Term: m.term, Primary: m.primary, Owner: m.owners[m.primary], Suspected: m.suspicion.self}
	for _, e := range m.ids {
		v.Endpoints = append(v.Endpoints, m.endpointView(e))
	}
	return v
}

func (m *Machine) endpointView(e types.Endpoint) EndpointView {
	w := m.watches[e]
	return EndpointView{
		ID:         e,
		Role:       w.status.Role,
		Term:       w.status.Term,
		Last:       w.status.Last,
		TermStarts: slices.Clone(w.status.TermStarts),
		Reachable:  w.reachable(m.now, m.cfg.AnswerTimeout),
		FreshAt:    w.freshAt,
		FreshKnown: w.freshKnown,
	}
}

// reportedView is the part of a view whose change is reported.
type reportedView struct {
	term      types.Term
	primary   types.Endpoint
	owner     types.Host
	suspected bool
	endpoints []reportedEndpoint
}

type reportedEndpoint struct {
	id        types.Endpoint
	role      Role
	reachable bool
}

func (m *Machine) reportView() {
	r := reportedView{term: m.term, primary: m.primary, owner: m.owners[m.primary], suspected: m.suspicion.self}
	for _, e := range m.ids {
		w := m.watches[e]
		r.endpoints = append(r.endpoints, reportedEndpoint{
			id: e, role: w.status.Role, reachable: w.reachable(m.now, m.cfg.AnswerTimeout),
		})
	}
	if r.equal(m.reported) {
		return
	}
	m.reported = r
	m.emit(ViewChanged{View: m.View()})
}

func (r reportedView) equal(o reportedView) bool {
	return r.term == o.term && r.primary == o.primary && r.owner == o.owner &&
		r.suspected == o.suspected && slices.Equal(r.endpoints, o.endpoints)
}

// maxMarks bounds the number of marks kept.
const maxMarks = 64

// mark is the primary's last entry in an answer to a question sent at a time.
type mark struct {
	sentAt types.Time
	last   types.LogPoint
}

// learnFreshness updates the bound on the age of the endpoint's data.
func (m *Machine) learnFreshness(e types.Endpoint, w *watch) {
	if w.status.Term != m.term || m.primary == "" {
		return
	}
	if e == m.primary {
		m.addMark(mark{sentAt: w.statusSent, last: w.status.Last})
	}
	confirmed, ok := m.confirmedAt()
	if !ok {
		return
	}
	for _, k := range slices.Backward(m.marks) {
		if session.CheckCoverage(k.last, w.status.Last, w.status.TermStarts) == session.Covered {
			w.refresh(min(k.sentAt, confirmed))
			return
		}
	}
}

func (w *watch) refresh(at types.Time) {
	if !w.freshKnown || w.freshAt < at {
		w.freshAt = at
		w.freshKnown = true
	}
}

// addMark keeps the mark. When there are too many it drops every second one.
func (m *Machine) addMark(k mark) {
	m.marks = append(m.marks, k)
	if len(m.marks) <= maxMarks {
		return
	}
	kept := m.marks[:0]
	for i, old := range m.marks {
		if i%2 == 0 {
			kept = append(kept, old)
		}
	}
	m.marks = kept
}
