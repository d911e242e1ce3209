package proxy_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// The variables of a session and a statement are each within the limits, but do not fit one message
// to another host. Such a message was dropped, and the caller was told that the answer was lost.
func TestStatementThatExceedsFrameIsServed(t *testing.T) {
	const maxFrameBytes = 2 << 20
	is := is.New(t)
	sim := newSimulation(t, 63, 1)
	sim.isLost = func(_ types.Host, msg proxy.Message) bool {
		req, ok := msg.(proxy.ExecRequest)
		if !ok {
			return false
		}
		size := len(req.Query.Stmt.Text) + len(req.Query.Stmt.Value)
		for _, v := range req.Variables {
			size += len(v.Name) + len(v.Value)
		}
		return size > maxFrameBytes
	}
	host := sim.hosts["h-b0"]
	s := sim.callers.openSession(host.id, "primary-db", "write")
	s.isStopped = true
	sim.runFor(time.Second)
	large := strings.Repeat("x", 900<<10)
	query := func(stmt statement.Statement) {
		s.statementCount++
		id := s.name + "." + stmt.Kind.String()
		s.currentID, s.remaining = id, nil
		s.sentIDs = []string{id}
		sim.callers.startedAt[id] = sim.now
		if stmt.Writes() {
			sim.callers.writes[id] = &writeSim{id: id, caller: s.name}
		}
		sim.deliver(host, proxy.CallerQuery{Session: s.session, Query: pool.Query{ID: id, Stmt: stmt}})
		sim.runFor(300 * time.Millisecond)
	}
	query(statement.Statement{Kind: statement.KindSet, Name: "a", Value: large})
	query(statement.Statement{Kind: statement.KindSet, Name: "b", Value: large})
	served := sim.callers.ok
	query(statement.Statement{Kind: statement.KindWrite, Text: "WRITE 1 " + large, Name: "1", Value: large})
	is.Equal(sim.callers.ok, served+1)
	is.Equal(sim.callers.unknown, 0)
	sim.reportViolations()
}
