package database

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// noResponseWait is how long a test waits to see that no response arrives.
const noResponseWait = 100 * time.Millisecond

// execAsync runs a statement and sends its error on the returned channel.
func execAsync(ctx context.Context, conn *pgx.Conn, sql string) chan error {
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, sql)
		done <- err
	}()
	return done
}

func isPending(done chan error) bool {
	select {
	case err := <-done:
		done <- err
		return false
	case <-time.After(noResponseWait):
		return true
	}
}

func TestCutHoldsTrafficOfItsPeers(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	primary := g.Instances[0]
	cutConn := connect(t, ctx, primary, "application_name=baobabfield/one")
	otherConn := connect(t, ctx, primary, "application_name=baobabfield/two")
	exec(t, ctx, otherConn, "CREATE TABLE rounds (id bigint primary key)")

	primary.Cut(Cut{ApplicationNames: []string{"baobabfield/one"}})
	pending := execAsync(ctx, cutConn, "INSERT INTO rounds VALUES (1)")
	is.True(isPending(pending))
	exec(t, ctx, otherConn, "INSERT INTO rounds VALUES (2)")
	is.Equal(countRounds(t, ctx, primary), 1)
	short, cancel := context.WithTimeout(ctx, noResponseWait)
	defer cancel()
	_, err := tryConnect(short, primary, "application_name=baobabfield/one")
	is.True(errors.Is(err, context.DeadlineExceeded))

	primary.Heal()
	is.NoErr(<-pending)
	is.Equal(countRounds(t, ctx, primary), 2)
}

func TestOutboundCutLetsStatementsRun(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	primary := g.Instances[0]
	conn := connect(t, ctx, primary, "application_name=baobabfield/one")
	exec(t, ctx, conn, "CREATE TABLE rounds (id bigint primary key)")
	primary.Cut(Cut{ApplicationNames: []string{"baobabfield/one"}, Direction: Outbound, AllowNew: true})
	pending := execAsync(ctx, conn, "INSERT INTO rounds VALUES (1)")
	is.NoErr(primary.WaitReplicated(ctx, 2))
	is.True(isPending(pending))
	is.Equal(countRounds(t, ctx, primary), 1)
	exec(t, ctx, connect(t, ctx, primary, "application_name=baobabfield/one"), "SELECT 1")
	primary.Heal()
	is.NoErr(<-pending)
}

func TestCutReplicaCatchesUpOnceHealed(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	primary, connectedReplica, cutReplica := g.Instances[0], g.Instances[1], g.Instances[2]
	primary.Cut(Cut{ApplicationNames: []string{PeerName(cutReplica.ID())}})
	conn := connect(t, ctx, primary)
	exec(t, ctx, conn, "CREATE TABLE rounds (id bigint primary key)")
	waitReplica(t, ctx, connectedReplica, primary)
	is.Equal(int(cutReplica.Status().Last.Position), 0)
	primary.Heal()
	waitReplica(t, ctx, cutReplica, primary)
}

func TestSilencedConnectionStaysSilent(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	primary := g.Instances[0]
	conn := connect(t, ctx, primary, "application_name=baobabfield/one")
	for _, info := range primary.Connections() {
		if info.ApplicationName == "baobabfield/one" {
			is.True(primary.Silence(info.ID))
		}
	}
	abandoned, abandon := context.WithCancel(ctx)
	pending := execAsync(abandoned, conn, "SELECT 1")
	primary.Heal()
	is.True(isPending(pending))
	abandon()
	is.True(<-pending != nil)
	exec(t, ctx, connect(t, ctx, primary, "application_name=baobabfield/one"), "SELECT 1")
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx, func(c *Config) { c.MaxConnections = 1 })
	first := connect(t, ctx, g.Instances[0])
	_, err := tryConnect(ctx, g.Instances[0])
	is.Equal(sqlState(err), sqlStateTooManyConnections)
	exec(t, ctx, first, "SELECT 1")
}

func TestSlotsLimitRunningStatements(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx, func(c *Config) { c.Slots = 1 })
	primary := g.Instances[0]
	first, second := connect(t, ctx, primary), connect(t, ctx, primary)
	long, cancel := context.WithCancel(ctx)
	defer cancel()
	running := execAsync(long, first, "SELECT pg_sleep(3600)")
	waitSlotsTaken(t, ctx, primary)
	waiting := execAsync(ctx, second, "SELECT 1")
	is.True(isPending(waiting))
	is.NoErr(first.PgConn().CancelRequest(ctx))
	is.Equal(sqlState(<-running), sqlStateQueryCanceled)
	is.NoErr(<-waiting)
}

func TestFailingInstanceRejectsStatements(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	conn := connect(t, ctx, g.Instances[0])
	g.Instances[0].SetFailing(true)
	_, err := conn.Exec(ctx, "SELECT 1")
	is.Equal(sqlState(err), sqlStateSystemError)
	g.Instances[0].SetFailing(false)
	exec(t, ctx, conn, "SELECT 1")
}

// waitSlotsTaken waits until no slot is free.
func waitSlotsTaken(t *testing.T, ctx context.Context, i *Instance) {
	t.Helper()
	free := make(chan int, 1)
	for {
		i.scheduler.changes <- func(s *scheduler) { free <- s.freeSlots }
		if <-free == 0 {
			return
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
}
