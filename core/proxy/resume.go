package proxy

import (
	"time"

	"baobabfield.example/core/lead"
	"baobabfield.example/core/types"
)

// resumeTimeout is the time after which a replica that could not be resumed is left to the owner of
// the primary, see resumePausedReplica.
const resumeTimeout = 10 * time.Second

// pendingResume is a replica whose pause is to end. The command names no pause at the endpoint, so
// the replica is asked first whether it is still the same one.
type pendingResume struct {
	// term is that of the pause.
	term types.Term
	// dueAt is when the pause may end, and queriedAt when the replica was last asked; zero for
	// never.
	dueAt, queriedAt types.Time
}

// resumeReplica ends the pause of a replica at a time or later.
func (m *Machine) resumeReplica(fs *failoverState, cmd lead.Command, at types.Time) {
	fs.resumes[cmd.Endpoint] = pendingResume{term: cmd.Term, dueAt: at}
}

// queryReplicasToResume queries the replicas that are due to be resumed, unless a campaign is in
// progress that may have paused them.
func (m *Machine) queryReplicasToResume(s *serviceState) {
	fs := &s.failover
	if len(fs.resumes) == 0 || m.mayBePausing(s) {
		return
	}
	for id, r := range ordered(fs.resumes) {
		switch {
		case m.now.Sub(r.dueAt) >= resumeTimeout:
			delete(fs.resumes, id)
		case m.now.Before(r.dueAt) || isRecent(m.now, r.queriedAt, commandTimeout):
		default:
			r.queriedAt = m.now
			fs.resumes[id] = r
			m.enqueueCommand(lead.Command{Endpoint: id, Op: lead.OpQueryStatus}, purposeResume)
		}
	}
}

// mayBePausing reports whether a campaign that pauses replicas is in progress, as far as this host
// knows.
func (m *Machine) mayBePausing(s *serviceState) bool {
	if c := s.failover.campaign; c != nil {
		return c.Reason != lead.ReasonLeaving
	}
	record := m.catalog.Leadership(s.name)
	return record.CampaignOpen && record.Holder != m.settings.Host
}

// handleResumeStatus resumes a replica that is still paused for the term of the campaign that has
// ended.
func (m *Machine) handleResumeStatus(name types.Service, sent *controlCommand, st lead.Status) {
	s := m.serviceFor(name)
	id := sent.command.Endpoint
	r, ok := s.failover.resumes[id]
	if !ok || m.mayBePausing(s) {
		return
	}
	if sent.sentAt.Before(r.queriedAt) {
		m.enqueueCommand(sent.command, purposeResume)
		return
	}
	delete(s.failover.resumes, id)
	if st.FencedTerm == 0 || st.FencedTerm > r.term {
		return
	}
	m.enqueueCommand(lead.Command{Endpoint: id, Op: lead.OpResume, Term: r.term}, 0)
}
