package database

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"baobabfield.example/core/types"
)

// Retry delay and timeout of a replica's connection to its primary.
const (
	followRetryDelay = 50 * time.Millisecond
	followTimeout    = 3 * time.Second
)

var errNotPrimary = errors.New("the followed endpoint is not the primary of the term")

// follower copies the primary's log to a replica. It runs on its own goroutine and
// sends its changes to the replicated log. A change whose generation is not the
// current one is rejected.
type follower struct {
	log        *replicatedLog
	target     primaryTarget
	term       types.Term
	generation uint64
	// position is the last position that the replica has applied.
	position types.Position
}

func (l *replicatedLog) startFollower() {
	l.stopFollowing()
	if l.killed || l.target.address == "" {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	l.cancelFollower = cancel
	f := &follower{log: l, target: l.target, term: l.term, generation: l.followerGeneration}
	go f.run(ctx)
}

func (l *replicatedLog) stopFollowing() {
	l.followerGeneration++
	if l.cancelFollower != nil {
		l.cancelFollower()
		l.cancelFollower = nil
	}
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = f.copyLog(ctx)
		_ = sleep(ctx, followRetryDelay)
	}
}

// copyLog copies entries over one connection until an error occurs.
func (f *follower) copyLog(ctx context.Context) error {
	conn, err := f.connect(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	if err := f.dropDivergentEntries(ctx, conn); err != nil {
		return err
	}
	for {
		entries, err := f.fetchEntries(ctx, conn)
		if err != nil {
			return err
		}
		if err := f.waitReplicationLag(ctx, time.Now()); err != nil {
			return err
		}
		if err := f.applyEntries(ctx, entries); err != nil {
			return err
		}
	}
}

func (f *follower) connect(ctx context.Context) (*pgconn.PgConn, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	config, err := pgconn.ParseConfig(fmt.Sprintf("postgres://replica@%s/?sslmode=disable", f.target.address))
	if err != nil {
		return nil, err
	}
	config.Database = string(f.log.config.Database)
	config.RuntimeParams["application_name"] = PeerName(f.log.config.ID)
	return pgconn.ConnectConfig(ctx, config)
}

// queryPrimary runs a control function on the primary and returns its rows.
func queryPrimary(ctx context.Context, conn *pgconn.PgConn, text string) ([][][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	results, err := conn.Exec(ctx, text).ReadAll()
	if err != nil {
		return nil, err
	}
	if len(results) != 1 {
		return nil, errors.Errorf("control function returned %d results, want 1", len(results))
	}
	return results[0].Rows, results[0].Err
}

// dropDivergentEntries truncates the replica's log at the last position that it shares
// with the primary's log.
func (f *follower) dropDivergentEntries(ctx context.Context, conn *pgconn.PgConn) error {
	status := runOnLog(f.log, f.log.status)
	rows, err := queryPrimary(ctx, conn, fmt.Sprintf("SELECT * FROM baobab_fork(%d, %d, '%s')",
		f.term, status.Last.Position, formatStarts(status.Starts)))
	if err != nil {
		return err
	}
	if len(rows) != 1 || string(rows[0][0]) != "t" {
		return errNotPrimary
	}
	common, err := strconv.ParseUint(string(rows[0][1]), 10, 64)
	if err != nil {
		return err
	}
	f.position = types.Position(common)
	if f.position == status.Last.Position {
		return nil
	}
	return f.runAsWriter(ctx, func(ctx context.Context) error { return f.log.truncateLog(ctx, f.position) })
}

// fetchEntries acknowledges the replica's position and returns the entries after it,
// which may be none.
func (f *follower) fetchEntries(ctx context.Context, conn *pgconn.PgConn) ([]Entry, error) {
	rows, err := queryPrimary(ctx, conn, fmt.Sprintf("SELECT * FROM baobab_log('%s', %d, %d)",
		f.log.config.ID, f.term, f.position))
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, len(rows))
	for i, row := range rows {
		if entries[i], err = decodeEntry(row); err != nil {
			return nil, err
		}
	}
	return entries, nil
}

func decodeEntry(row [][]byte) (Entry, error) {
	var e Entry
	term, err := strconv.ParseUint(string(row[0]), 10, 64)
	if err != nil {
		return e, err
	}
	position, err := strconv.ParseUint(string(row[1]), 10, 64)
	if err != nil {
		return e, err
	}
	e.Point = types.LogPoint{Term: types.Term(term), Position: types.Position(position)}
	return e, json.Unmarshal(row[2], &e.Statements)
}

// waitReplicationLag waits until the replication lag has passed since entries were
// received. It follows changes of the lag while it waits.
func (f *follower) waitReplicationLag(ctx context.Context, received time.Time) error {
	type setting struct {
		lag     time.Duration
		changed chan struct{}
	}
	l := f.log
	for {
		s := runOnLog(l, func() setting { return setting{l.replicationLag, l.lagChanged} })
		remaining := time.Until(received.Add(s.lag))
		if remaining <= 0 {
			return ctx.Err()
		}
		timer := time.NewTimer(remaining)
		select {
		case <-timer.C:
		case <-s.changed:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (f *follower) applyEntries(ctx context.Context, entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	err := f.runAsWriter(ctx, func(ctx context.Context) error { return f.log.appendEntries(ctx, entries) })
	if err == nil {
		f.position = entries[len(entries)-1].Point.Position
	}
	return err
}

// runAsWriter waits for the right to write and runs change on the log's goroutine. It
// returns errNotPrimary if another follower has replaced this one.
func (f *follower) runAsWriter(ctx context.Context, change func(context.Context) error) error {
	l := f.log
	claim := newWriterClaim()
	runOnLog(l, func() bool { l.claimWriter(claim, true); return true })
	defer runOnLog(l, func() bool { l.releaseWriter(claim); return true })
	select {
	case err := <-claim.granted:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	return runOnLog(l, func() error {
		if l.followerGeneration != f.generation {
			return errNotPrimary
		}
		return change(l.ctx)
	})
}

// appendEntries applies and appends entries, which must follow the last one.
func (l *replicatedLog) appendEntries(ctx context.Context, entries []Entry) error {
	if entries[0].Point.Position != l.history.lastPoint().Position+1 {
		return errors.Errorf("log entry %v does not follow the last entry %v", entries[0].Point, l.history.lastPoint())
	}
	if err := l.storage.applyEntries(ctx, entries); err != nil {
		return err
	}
	for _, e := range entries {
		l.history.append(e)
	}
	l.notifyWaiters(false)
	return nil
}

// truncateLog removes the entries after a position and rebuilds the tables.
func (l *replicatedLog) truncateLog(ctx context.Context, p types.Position) error {
	if err := l.storage.rebuild(ctx, l.history.entries[:p]); err != nil {
		return err
	}
	l.history.truncate(p)
	l.notifyWaiters(false)
	return nil
}
