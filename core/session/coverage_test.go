package session_test

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baobabfield.example/core/session"
	"baobabfield.example/core/types"
)

// TestMain sets a fixed seed for rapid and disables its fail files.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func point(term types.Term, p types.Position) types.LogPoint {
	return types.LogPoint{Term: term, Position: p}
}

func TestCheckCoverage(t *testing.T) {
	starts := []types.TermStart{{Term: 1, Position: 0}, {Term: 3, Position: 10}, {Term: 4, Position: 12}}
	for _, c := range []struct {
		name        string
		token, last types.LogPoint
		want        session.Coverage
	}{
		{"no write", point(0, 0), point(0, 0), session.Covered},
		{"same term, reached", point(4, 15), point(4, 15), session.Covered},
		{"same term, not reached", point(4, 16), point(4, 15), session.Behind},
		{"earlier term, before its end", point(1, 10), point(4, 15), session.Covered},
		{"earlier term, past the fork", point(1, 11), point(4, 15), session.Lost},
		{"later term", point(5, 1), point(4, 15), session.Behind},
		{"term not in history", point(2, 9), point(4, 15), session.Lost},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(session.CheckCoverage(c.token, c.last, starts), c.want)
		})
	}
}

// TestCheckCoverageMatchesFullLogs compares CheckCoverage with a lookup in the full log.
func TestCheckCoverageMatchesFullLogs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, starts := drawHistory(t)
		old := rapid.IntRange(0, len(log)).Draw(t, "fork")
		tokenTerm := types.Term(rapid.IntRange(1, 6).Draw(t, "token term"))
		token := point(tokenTerm, types.Position(rapid.IntRange(1, len(log)+2).Draw(t, "token position")))
		if !isPossible(token, starts) {
			t.Skip("no write has this point")
		}
		n := rapid.IntRange(0, old).Draw(t, "length")
		last, known := lastEntryAndStarts(log[:n], starts)
		held := int(token.Position) <= n && log[token.Position-1] == token.Term
		if got := session.CheckCoverage(token, last, known); (got == session.Covered) != held {
			t.Fatalf("CheckCoverage(%v, %v, %v) is %v, but the log contains the write: %v", token, last, known, got, held)
		}
	})
}

// isPossible reports whether a write of the token's term can have its position.
func isPossible(token types.LogPoint, starts []types.TermStart) bool {
	for _, s := range starts {
		if s.Term == token.Term && token.Position <= s.Position {
			return false
		}
	}
	return true
}

// drawHistory returns the term of each log entry and the starts of the terms.
func drawHistory(t *rapid.T) ([]types.Term, []types.TermStart) {
	var log []types.Term
	var starts []types.TermStart
	for term := types.Term(1); term <= 5; term++ {
		if !rapid.Bool().Draw(t, "term exists") {
			continue
		}
		starts = append(starts, types.TermStart{Term: term, Position: types.Position(len(log))})
		for range rapid.IntRange(0, 4).Draw(t, "entries") {
			log = append(log, term)
		}
	}
	return log, starts
}

// lastEntryAndStarts returns the last entry of a log and the starts of the terms in it.
func lastEntryAndStarts(log []types.Term, starts []types.TermStart) (types.LogPoint, []types.TermStart) {
	if len(log) == 0 {
		return types.LogPoint{}, nil
	}
	var known []types.TermStart
	for _, s := range starts {
		if int(s.Position) < len(log) {
			known = append(known, s)
		}
	}
	return point(log[len(log)-1], types.Position(len(log))), known
}

func TestMergedTokenCoversBoth(t *testing.T) {
	is := is.New(t)
	a := session.Token{"x": point(1, 5), "y": point(2, 1)}
	b := session.Token{"x": point(2, 3)}
	merged := a.Merge(b)
	is.Equal(merged, session.Token{"x": point(2, 3), "y": point(2, 1)})
	is.True(merged.Covers(a))
	is.True(merged.Covers(b))
	is.True(!a.Covers(b))
	is.True(!b.Covers(a))
	is.Equal(a["x"], point(1, 5)) // unchanged
}
