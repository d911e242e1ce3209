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

// Times of a replica's connection to its primary.
const (
	followRetry   = 50 * time.Millisecond
	followTimeout = 3 * time.Second
)

var errNotPrimary = errors.New("the endpoint that is followed is not the primary of the term")

// follower copies the primary's log to a replica. It runs on its own
// goroutine and changes the ledger by messages that carry its generation.
type follower struct {
	ledger     *ledger
	target     followTarget
	term       types.Term
	generation uint64
	// position is the last position that the replica holds.
	position types.Position
}

func (l *ledger) startFollower() {
	l.stopFollowing()
	if l.halted || l.follow.address == "" {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	l.following = cancel
	f := &follower{ledger: l, target: l.follow, term: l.term, generation: l.generation}
	go f.run(ctx)
}

func (l *ledger) stopFollowing() {
	l.generation++
	if l.following != nil {
		l.following()
		l.following = nil
	}
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = f.copy(ctx)
		_ = sleep(ctx, followRetry)
	}
}

// copy copies the log over one connection until it fails.
func (f *follower) copy(ctx context.Context) error {
	conn, err := f.connect(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	if err := f.align(ctx, conn); err != nil {
		return err
	}
	for {
		entries, err := f.fetch(ctx, conn)
		if err != nil {
			return err
		}
		if err := f.waitLag(ctx, time.Now()); err != nil {
			return err
		}
		if err := f.apply(ctx, entries); err != nil {
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
	config.Database = string(f.ledger.config.Database)
	config.RuntimeParams["application_name"] = PeerName(f.ledger.config.ID)
	return pgconn.ConnectConfig(ctx, config)
}

// query runs a control function and returns its rows.
func query(ctx context.Context, conn *pgconn.PgConn, text string) ([][][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	results, err := conn.Exec(ctx, text).ReadAll()
	if err != nil {
		return nil, err
	}
	if len(results) != 1 {
		return nil, errors.Errorf("%d results in place of one", len(results))
	}
	return results[0].Rows, results[0].Err
}

// align drops the entries that the primary does not have.
func (f *follower) align(ctx context.Context, conn *pgconn.PgConn) error {
	status := ask(f.ledger, f.ledger.status)
	rows, err := query(ctx, conn, fmt.Sprintf("SELECT * FROM baobab_fork(%d, %d, '%s')",
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
	return f.change(ctx, func(ctx context.Context) error { return f.ledger.truncate(ctx, f.position) })
}

// fetch acknowledges what the replica holds and waits for more.
func (f *follower) fetch(ctx context.Context, conn *pgconn.PgConn) ([]Entry, error) {
	rows, err := query(ctx, conn, fmt.Sprintf("SELECT * FROM baobab_log('%s', %d, %d)",
		f.ledger.config.ID, f.term, f.position))
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

// waitLag waits until the lag in force has passed since a time.
func (f *follower) waitLag(ctx context.Context, since time.Time) error {
	type setting struct {
		lag     time.Duration
		changed chan struct{}
	}
	l := f.ledger
	for {
		s := ask(l, func() setting { return setting{l.lag, l.lagChanged} })
		left := time.Until(since.Add(s.lag))
		if left <= 0 {
			return ctx.Err()
		}
		timer := time.NewTimer(left)
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

func (f *follower) apply(ctx context.Context, entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	err := f.change(ctx, func(ctx context.Context) error { return f.ledger.extend(ctx, entries) })
	if err == nil {
		f.position = entries[len(entries)-1].Point.Position
	}
	return err
}

// change waits for the right to write and runs f on the ledger's goroutine,
// unless the follower has been replaced.
func (f *follower) change(ctx context.Context, change func(context.Context) error) error {
	l := f.ledger
	claim := newWriterClaim()
	ask(l, func() bool { l.claimWriter(claim, true); return true })
	defer ask(l, func() bool { l.releaseWriter(claim); return true })
	select {
	case err := <-claim.granted:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	return ask(l, func() error {
		if l.generation != f.generation {
			return errNotPrimary
		}
		return change(l.ctx)
	})
}

// extend applies entries that follow the log's last one.
func (l *ledger) extend(ctx context.Context, entries []Entry) error {
	if entries[0].Point.Position != l.history.last().Position+1 {
		return errors.Errorf("entry %v does not follow %v", entries[0].Point, l.history.last())
	}
	if err := l.storage.apply(ctx, entries); err != nil {
		return err
	}
	for _, e := range entries {
		l.history.append(e)
	}
	l.wakeWaiters(false)
	return nil
}

// truncate drops the entries after a position and rebuilds the tables.
func (l *ledger) truncate(ctx context.Context, p types.Position) error {
	if err := l.storage.rebuild(ctx, l.history.entries[:p]); err != nil {
		return err
	}
	l.history.truncate(p)
	l.wakeWaiters(false)
	return nil
}
