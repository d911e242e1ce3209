package session

import "baobabfield.example/core/types"

// Coverage says how a replica's log relates to a session's last write.
type Coverage uint8

// The verdicts.
const (
	// Covered: the replica's log contains the write.
	Covered Coverage = iota
	// Behind: the replica's log does not contain the write yet.
	Behind
	// Lost: a later term's log began before the write, which no longer exists.
	Lost
)

// String returns the verdict's name.
func (v Coverage) String() string {
	switch v {
	case Covered:
		return "covered"
	case Behind:
		return "behind"
	case Lost:
		return "lost"
	}
	return "invalid"
}

// CheckCoverage compares a session's write with a replica's last log entry. The term
// starts are those of all terms in the replica's own history, in any order. The
// zero token is covered by every replica.
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

// forkedBefore reports whether a term after the token's begins at a position
// before the token's.
func forkedBefore(write types.LogPoint, starts []types.TermStart) bool {
	for _, s := range starts {
		if s.Term > write.Term && s.Position < write.Position {
			return true
		}
	}
	return false
}

// inHistory reports whether the term has a start.
func inHistory(term types.Term, starts []types.TermStart) bool {
	for _, s := range starts {
		if s.Term == term {
			return true
		}
	}
	return false
}
