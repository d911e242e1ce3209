package limits

import "baobabfield.example/core/types"

// Describe returns the state that a decision on an operation of a workspace would be based on now.
// It counts nothing. It returns false if the workspace has no limit.
func (m *Machine) Describe(now types.Time, w types.Workspace) (Decision, bool) {
	b := m.buckets[w]
	if b == nil {
		return Decision{}, false
	}
	m.advance(b, now)
	return m.decide(b, now, Admitted), true
}
