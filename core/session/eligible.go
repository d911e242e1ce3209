package session

import "baobabfield.example/core/types"

// Verdict says how a replica's log relates to a session's last write.
type Verdict uint8

// The verdicts.
const (
	// Covered: the replica's log contains the write.
	Covered Verdict = iota
	// Behind: the replica's log does not contain the write yet.
	Behind
	// Lost: a later term's log began before the write, which no longer exists.
	Lost
)

// String returns the verdict's name.
func (v Verdict) String() string {
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

// Eligible compares a session's write with a replica's last log entry. The term
// starts are those of all terms in the replica's own history, in any order. The
// zero token is covered by every replica.
func Eligible(token, last types.LogPoint, starts []types.TermStart) Verdict {
	switch {
	case token == (types.LogPoint{}):
		return Covered
	case forkedBefore(token, starts):
		return Lost
	case last.Less(token):
		return Behind
	case last.Term > token.Term && !inHistory(token.Term, starts):
		return Lost
	}
	return Covered
}

// forkedBefore reports whether a term after the token's begins at a position
// before the token's.
func forkedBefore(token types.LogPoint, starts []types.TermStart) bool {
	for _, s := range starts {
		if s.Term > token.Term && s.Position < token.Position {
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
