package database

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"baobabfield.example/core/types"
)

// testTimeout is far above the duration of any test; it ends a test that hangs.
const testTimeout = time.Minute

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func startGroup(t *testing.T, ctx context.Context, change ...func(*Config)) *Group {
	t.Helper()
	base := Config{Database: "rounds", ConnectDelay: -1}
	for _, f := range change {
		f(&base)
	}
	g, err := StartGroup(ctx, base, "a", "b", "c")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func connect(t *testing.T, ctx context.Context, i *Instance, options ...string) *pgx.Conn {
	t.Helper()
	conn, err := tryConnect(ctx, i, options...)
	if err != nil {
		t.Fatalf("connect to endpoint %q: %v", i.ID(), err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func tryConnect(ctx context.Context, i *Instance, options ...string) (*pgx.Conn, error) {
	url := "postgres://keeper@" + i.Address() + "/rounds?sslmode=disable"
	for _, o := range options {
		url += "&" + o
	}
	return pgx.Connect(ctx, url)
}

func exec(t *testing.T, ctx context.Context, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(ctx, sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func sqlState(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return ""
}

func TestClientReadsAndWrites(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	conn := connect(t, ctx, g.Instances[0])
	is.Equal(conn.PgConn().ParameterStatus("baobab.endpoint"), "a")

	exec(t, ctx, conn, "CREATE TABLE rounds (id bigint primary key, ramp text, fit boolean, grease double precision, photo bytea)")
	tag, err := conn.Exec(ctx, "INSERT INTO rounds VALUES ($1, $2, $3, $4, $5)", 7, "north", true, 1.5, []byte{1, 2})
	is.NoErr(err)
	is.Equal(tag.String(), "INSERT 0 1")
	is.Equal(conn.PgConn().ParameterStatus("baobab.position"), formatPoint(types.LogPoint{Term: FirstTerm, Position: 2}))

	var (
		id     int64
		ramp   string
		fit    bool
		grease float64
	)
	is.NoErr(conn.QueryRow(ctx, "SELECT id, ramp, fit, grease FROM rounds WHERE id = $1", 7).Scan(&id, &ramp, &fit, &grease))
	is.Equal(id, int64(7))
	is.Equal(ramp, "north")
	is.Equal(fit, true)
	is.Equal(grease, 1.5)
	is.NoErr(conn.QueryRow(ctx, "INSERT INTO rounds (id, ramp) VALUES ($1, $2) RETURNING id", 8, "south").Scan(&id))
	is.Equal(id, int64(8))

	_, err = conn.Exec(ctx, "SELECT * FROM missing")
	is.Equal(sqlState(err), sqlStateUndefinedTable)
	_, err = conn.Exec(ctx, "INSERT INTO rounds (id) VALUES (7)")
	is.Equal(sqlState(err), sqlStateUniqueViolation)
}
