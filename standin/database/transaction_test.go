package database

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestTransactionsCommitAndRollBackAtomically(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	conn := connect(t, ctx, g.Instances[0])
	exec(t, ctx, conn, "CREATE TABLE rounds (id bigint primary key)")
	tx, err := conn.Begin(ctx)
	is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO rounds VALUES ($1)", 1)
	is.NoErr(err)
	is.Equal(countRounds(t, ctx, g.Instances[0]), 0)
	inner, err := tx.Begin(ctx)
	is.NoErr(err)
	_, err = inner.Exec(ctx, "INSERT INTO rounds VALUES ($1)", 2)
	is.NoErr(err)
	is.NoErr(inner.Rollback(ctx))
	is.NoErr(tx.Commit(ctx))
	is.Equal(countRounds(t, ctx, g.Instances[0]), 1)
	waitReplica(t, ctx, g.Instances[1], g.Instances[0])
	is.Equal(countRounds(t, ctx, g.Instances[1]), 1)

	tx, err = conn.Begin(ctx)
	is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO rounds VALUES ($1)", 1)
	is.Equal(sqlState(err), sqlStateUniqueViolation)
	_, err = tx.Exec(ctx, "SELECT 1")
	is.Equal(sqlState(err), sqlStateInFailedTransaction)
	is.NoErr(tx.Rollback(ctx))
	is.Equal(conn.PgConn().TxStatus(), byte('I'))
}

func TestReadOnlyTransactionReadsOneSnapshot(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	conn := connect(t, ctx, g.Instances[0])
	exec(t, ctx, conn, "CREATE TABLE rounds (id bigint primary key)")
	tx, err := connect(t, ctx, g.Instances[0]).BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	is.NoErr(err)
	for range 2 {
		var n int
		is.NoErr(tx.QueryRow(ctx, "SELECT count(*) FROM rounds").Scan(&n))
		is.Equal(n, 0)
		exec(t, ctx, conn, "INSERT INTO rounds SELECT count(*) FROM rounds")
	}
	_, err = tx.Exec(ctx, "INSERT INTO rounds VALUES (9)")
	is.Equal(sqlState(err), sqlStateReadOnly)
	is.NoErr(tx.Rollback(ctx))
}

func TestRequestKeyIsUnique(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	conn := connect(t, ctx, g.Instances[0])
	exec(t, ctx, conn, "INSERT INTO baobab_request_keys (key) VALUES ($1)", "k1")
	_, err := conn.Exec(ctx, "INSERT INTO baobab_request_keys (key) VALUES ($1)", "k1")
	var pg *pgconn.PgError
	is.True(errors.As(err, &pg))
	is.Equal(pg.Code, sqlStateUniqueViolation)
	is.Equal(pg.ConstraintName, "baobab_request_keys_pkey")
}

func TestWriteTransactionsRunOneAfterAnother(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	first, second := connect(t, ctx, g.Instances[0]), connect(t, ctx, g.Instances[0])
	exec(t, ctx, first, "CREATE TABLE rounds (id bigint primary key)")
	exec(t, ctx, first, "BEGIN")
	exec(t, ctx, first, "INSERT INTO rounds VALUES (1)")
	waiting := execAsync(ctx, second, "INSERT INTO rounds VALUES (2)")
	is.True(isPending(waiting))
	exec(t, ctx, first, "COMMIT")
	is.NoErr(<-waiting)
}

func TestIdleTransactionEnds(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx, func(c *Config) { c.IdleTransactionTimeout = time.Millisecond })
	first, second := connect(t, ctx, g.Instances[0]), connect(t, ctx, g.Instances[0])
	exec(t, ctx, first, "CREATE TABLE rounds (id bigint primary key)")
	exec(t, ctx, first, "BEGIN; INSERT INTO rounds VALUES (1)")
	exec(t, ctx, second, "INSERT INTO rounds VALUES (2)")
	is.Equal(countRounds(t, ctx, g.Instances[0]), 1)
}

func TestSimpleProtocolRunsSeveralStatementsInOneTransaction(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	g := startGroup(t, ctx)
	conn := connect(t, ctx, g.Instances[0])
	exec(t, ctx, conn, "CREATE TABLE rounds (id bigint primary key, ramp text)")
	_, err := conn.PgConn().Exec(ctx, "INSERT INTO rounds VALUES (1, 'a;b'); INSERT INTO rounds VALUES (1, 'c')").ReadAll()
	is.Equal(sqlState(err), sqlStateUniqueViolation)
	is.Equal(countRounds(t, ctx, g.Instances[0]), 0)
	_, err = conn.Exec(ctx, "INSERT INTO rounds VALUES ($1, $2)", pgx.QueryExecModeSimpleProtocol, 1, "it's $3")
	is.NoErr(err)
	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO rounds VALUES ($1, $2)", 2, "two")
	batch.Queue("SELECT count(*) FROM rounds WHERE ramp <> $1::text", "none")
	results := conn.SendBatch(ctx, batch)
	_, err = results.Exec()
	is.NoErr(err)
	var n int
	is.NoErr(results.QueryRow().Scan(&n))
	is.Equal(n, 2)
	is.NoErr(results.Close())
	exec(t, ctx, conn, "DISCARD ALL")
}
