package database

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/types"
)

func secondTerm() types.Term { return types.MakeTerm(1, 2) }

// waitPosition waits until an instance's log ends at a position.
func waitPosition(t *testing.T, ctx context.Context, i *Instance, p types.Position) {
	t.Helper()
	err := i.waitUntil(ctx, func() bool { return i.log.history.lastPoint().Position == p })
	if err != nil {
		t.Fatalf("endpoint %q did not reach position %d: %v", i.ID(), p, err)
	}
}

// waitReplica waits until a replica reaches its primary's last position.
func waitReplica(t *testing.T, ctx context.Context, replica, primary *Instance) {
	t.Helper()
	waitPosition(t, ctx, replica, primary.Status().Last.Position)
}

// callControl runs a control function and returns its only row.
func callControl(t *testing.T, ctx context.Context, i *Instance, call string) []string {
	t.Helper()
	conn := connect(t, ctx, i)
	results, err := conn.PgConn().Exec(ctx, "SELECT * FROM "+call).ReadAll()
	if err != nil {
		t.Fatalf("%s: %v", call, err)
	}
	var row []string
	for _, field := range results[0].Rows[0] {
		row = append(row, string(field))
	}
	return row
}

func countRounds(t *testing.T, ctx context.Context, i *Instance) int {
	t.Helper()
	var n int
	conn := connect(t, ctx, i)
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM rounds").Scan(&n); err != nil {
		t.Fatalf("count the rows of endpoint %q: %v", i.ID(), err)
	}
	return n
}

func TestReplicasApplyTheLog(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	primary, replica := g.Instances[0], g.Instances[1]
	conn := connect(t, ctx, primary)
	exec(t, ctx, conn, "CREATE TABLE rounds (id bigint primary key)")
	exec(t, ctx, conn, "INSERT INTO rounds VALUES ($1)", 1)
	waitReplica(t, ctx, replica, primary)
	is.Equal(countRounds(t, ctx, replica), 1)
	is.Equal(callControl(t, ctx, primary, "baobab_replicated(2, 60000)"), []string{formatTerm(FirstTerm), "2"})

	_, err := connect(t, ctx, replica).Exec(ctx, "INSERT INTO rounds VALUES (2)")
	is.Equal(sqlState(err), sqlStateReadOnly)
	starts := formatTerm(FirstTerm) + ":0"
	is.Equal(callControl(t, ctx, replica, "baobab_status()"),
		[]string{"replica", formatTerm(FirstTerm), formatTerm(FirstTerm), "2", "0", starts})
}

func TestFenceStopsPrimaryAndItsOpenTransaction(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	primary := g.Instances[0]
	conn := connect(t, ctx, primary)
	exec(t, ctx, conn, "CREATE TABLE rounds (id bigint primary key)")
	exec(t, ctx, conn, "BEGIN")
	exec(t, ctx, conn, "INSERT INTO rounds VALUES (1)")

	second, third := formatTerm(secondTerm()), formatTerm(secondTerm()+1)
	fenced := callControl(t, ctx, primary, "baobab_fence("+second+")")
	is.Equal(fenced[:4], []string{"t", second, formatTerm(FirstTerm), "1"})
	_, err := strconv.Atoi(fenced[4])
	is.NoErr(err) // the time since the last query, in milliseconds
	is.Equal(callControl(t, ctx, primary, "baobab_fence("+second+")")[0], "f")
	is.Equal(callControl(t, ctx, primary, "baobab_promote("+third+")")[0], "f")

	_, err = conn.Exec(ctx, "COMMIT")
	is.Equal(sqlState(err), sqlStateReadOnly)
	is.Equal(countRounds(t, ctx, primary), 0)
	is.Equal(callControl(t, ctx, primary, "baobab_promote("+second+")")[0], "t")
	exec(t, ctx, conn, "INSERT INTO rounds VALUES (2)")
	is.Equal(countRounds(t, ctx, primary), 1)
}

// TestFollowDropsEntriesThatThePrimaryLacks covers a replaced primary. After the new term
// began, it wrote two entries that no majority has.
func TestFollowDropsEntriesThatThePrimaryLacks(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	oldPrimary, newPrimary, third := g.Instances[0], g.Instances[1], g.Instances[2]
	conn := connect(t, ctx, oldPrimary)
	exec(t, ctx, conn, "CREATE TABLE rounds (id bigint primary key)")
	exec(t, ctx, conn, "INSERT INTO rounds VALUES (1)")
	waitReplica(t, ctx, newPrimary, oldPrimary)
	waitReplica(t, ctx, third, oldPrimary)

	is.True(newPrimary.Fence(secondTerm()))
	is.True(third.Fence(secondTerm()))
	exec(t, ctx, conn, "INSERT INTO rounds VALUES (2)")
	exec(t, ctx, conn, "INSERT INTO rounds VALUES (3)")
	is.Equal(oldPrimary.Status().Replicated, types.Position(2))
	is.True(newPrimary.Promote(secondTerm()))
	is.True(!newPrimary.Follow("c", third.Address(), secondTerm()))
	exec(t, ctx, connect(t, ctx, newPrimary), "INSERT INTO rounds VALUES (4)")
	is.True(oldPrimary.Follow("b", newPrimary.Address(), secondTerm()))
	is.NoErr(newPrimary.WaitReplicated(ctx, 3))
	waitPosition(t, ctx, oldPrimary, 3)

	is.Equal(oldPrimary.Status().Last, types.LogPoint{Term: secondTerm(), Position: 3})
	is.Equal(oldPrimary.Status().Starts, newPrimary.Status().Starts)
	is.Equal(countRounds(t, ctx, oldPrimary), 2)
	is.True(third.Follow("b", newPrimary.Address(), secondTerm()))
	waitReplica(t, ctx, third, newPrimary)
}

func TestExpectedTerm(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	primary := g.Instances[0]
	conn := connect(t, ctx, primary)
	exec(t, ctx, conn, "CREATE TABLE rounds (id bigint primary key)")
	exec(t, ctx, conn, "SET baobab.expected_term = '"+formatTerm(FirstTerm)+"'")
	exec(t, ctx, conn, "INSERT INTO rounds VALUES (1)")
	exec(t, ctx, conn, "BEGIN")
	exec(t, ctx, conn, "INSERT INTO rounds VALUES (2)")
	is.True(primary.Fence(secondTerm()))
	is.True(primary.Promote(secondTerm()))

	_, err := conn.Exec(ctx, "COMMIT")
	is.Equal(sqlState(err), sqlStateWrongTerm)
	for _, sql := range []string{"SELECT 1", "BEGIN", "INSERT INTO rounds VALUES (3)"} {
		_, err = conn.Exec(ctx, sql)
		is.Equal(sqlState(err), sqlStateWrongTerm)
	}
	exec(t, ctx, conn, "SET baobab.expected_term = ''")
	is.Equal(countRounds(t, ctx, primary), 1)
	exec(t, ctx, conn, "INSERT INTO rounds VALUES (3)")
}

func TestLogAndTablesSurviveKill(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	primary, replica := g.Instances[0], g.Instances[1]
	conn := connect(t, ctx, primary)
	exec(t, ctx, conn, "CREATE TABLE rounds (id bigint primary key)")
	exec(t, ctx, conn, "INSERT INTO rounds VALUES (1)")
	exec(t, ctx, conn, "BEGIN")
	exec(t, ctx, conn, "INSERT INTO rounds VALUES (2)")

	primary.Kill()
	_, err := conn.Exec(ctx, "COMMIT")
	is.True(err != nil)
	_, err = tryConnect(ctx, primary)
	is.True(err != nil)
	primary.Revive()
	is.Equal(countRounds(t, ctx, primary), 1)
	exec(t, ctx, connect(t, ctx, primary), "INSERT INTO rounds VALUES (3)")
	waitReplica(t, ctx, replica, primary)
	is.Equal(countRounds(t, ctx, replica), 2)
}

func TestReplicationLagDelaysReplicaUntilRemoved(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	primary, currentReplica, laggingReplica := g.Instances[0], g.Instances[1], g.Instances[2]
	laggingReplica.SetReplicationLag(time.Hour)
	exec(t, ctx, connect(t, ctx, primary), "CREATE TABLE rounds (id bigint primary key)")
	is.NoErr(primary.WaitReplicated(ctx, 1))
	waitReplica(t, ctx, currentReplica, primary)
	is.Equal(int(laggingReplica.Status().Last.Position), 0)
	laggingReplica.SetReplicationLag(0)
	waitReplica(t, ctx, laggingReplica, primary)
}

// TestFenceReportsTimeSinceQueriesOfOtherHosts checks the time in the response to a fence
// command. The write authority of another host may depend on its last query.
func TestFenceReportsTimeSinceQueriesOfOtherHosts(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	replica := g.Instances[1]
	runOnLog(replica.log, func() bool { replica.log.queriesKnownSince = time.Now().Add(-time.Hour); return true })
	callControl(t, ctx, replica, "baobab_status('host-a')")
	second, third := formatTerm(secondTerm()), formatTerm(secondTerm()+1)
	sameHostMs, err := strconv.Atoi(callControl(t, ctx, replica, "baobab_fence("+second+", 'host-a')")[4])
	is.NoErr(err)
	is.True(sameHostMs >= 3600_000) // the requesting host's own queries do not count
	otherHostMs, err := strconv.Atoi(callControl(t, ctx, replica, "baobab_fence("+third+", 'host-b')")[4])
	is.NoErr(err)
	is.True(otherHostMs < 3600_000)
}
