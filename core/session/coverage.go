package session

import "baobabfield.example/core/types"

// Coverage is the relation of a replica's log to the last write of a session.
type Coverage uint8

// Values of Coverage.
const (
	// Covered means that the replica's log contains the write.
	Covered Coverage = iota
	// Behind means that the replica's log does not contain the write yet.
	Behind
	// Lost means that the write no longer exists, because a later term's log began
	// before it.
	Lost
)

// String returns the name of the value.
func (c Coverage) String() string {
	switch c {
	case Covered:
		return "covered"
	case Behind:
		return "behind"
	case Lost:
		return "lost"
	}
	return "invalid"
}

// CheckCoverage compares a session's last write with the last entry of a replica's log.
// starts holds the starts of all terms in the replica's history, in any order. Every
// replica covers the zero write.
func CheckCoverage(write, last types.LogPoint, starts []types.TermStart) Coverage {
	switch {
	case write == (types.LogPoint{}):
		return Covered
	case forkedBefore(write, starts):
		return Lost
	case last.Less(write):
		return Behind
	case last.Term > write.Term && !inHistory(write.Term, starts):
		return Lost
	}
	return Covered
}

// forkedBefore reports whether a later term than that of the write begins before the
// write.
func forkedBefore(write types.LogPoint, starts []types.TermStart) bool {
	for _, s := range starts {
		if s.Term > write.Term && s.Position < write.Position {
			return true
		}
	}
	return false
}

// inHistory reports whether the history contains the term.
func inHistory(term types.Term, starts []types.TermStart) bool {
	for _, s := range starts {
		if s.Term == term {
			return true
		}
	}
	return false
}
