package proxy

import "baobabfield.example/core/types"

// restoreState is what this host knows about restores of the store.
type restoreState struct {
	// era is the latest known era of the store.
	era   uint64
	known bool
}

// noteEra records the era of a revision of the store.
func (m *Machine) noteEra(r types.Revision) {
	s := &m.restore
	switch {
	case !s.known:
		s.known, s.era = true, r.Era()
	case r.Era() > s.era:
		m.log(Warn, "store restored", field("era", r.Era()), field("revision", r.Number()), field("previous_era", s.era))
		s.era = r.Era()
	}
}
