package database

import (
	"context"
	"database/sql"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	_ "modernc.org/sqlite" // registers the SQL driver
)

const createRequestKeys = "CREATE TABLE IF NOT EXISTS baobab_request_keys (key text PRIMARY KEY)"

// storage is an instance's SQLite database, in a temporary directory.
type storage struct {
	dir string
	db  *sql.DB
}

func openStorage(ctx context.Context) (*storage, error) {
	dir, err := os.MkdirTemp("", "baobab-database-")
	if err != nil {
		return nil, errors.Wrap(err, "create the SQLite directory")
	}
	dsn := "file:" + filepath.Join(dir, "data.sqlite") +
		"?_pragma=busy_timeout(5000)&_pragma=journal_mode(WAL)&_pragma=synchronous(OFF)"
	db, err := sql.Open("sqlite", dsn)
	if err != nil {
		return nil, errors.Wrap(err, "open SQLite")
	}
	s := &storage{dir: dir, db: db}
	if _, err := db.ExecContext(ctx, createRequestKeys); err != nil {
		s.close()
		return nil, errors.Wrap(err, "create the table of request keys")
	}
	return s, nil
}

func (s *storage) close() {
	_ = s.db.Close()
	_ = os.RemoveAll(s.dir)
}

// applyEntries replays log entries in one SQLite transaction.
func (s *storage) applyEntries(ctx context.Context, entries []Entry) error {
	return s.inTransaction(ctx, func(conn *sql.Conn) error { return replayEntries(ctx, conn, entries) })
}

// rebuild drops all tables and replays log entries.
func (s *storage) rebuild(ctx context.Context, entries []Entry) error {
	return s.inTransaction(ctx, func(conn *sql.Conn) error {
		if err := dropAllTables(ctx, conn); err != nil {
			return err
		}
		if _, err := conn.ExecContext(ctx, createRequestKeys); err != nil {
			return err
		}
		return replayEntries(ctx, conn, entries)
	})
}

func (s *storage) inTransaction(ctx context.Context, change func(*sql.Conn) error) error {
	conn, err := s.db.Conn(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return err
	}
	if err := change(conn); err != nil {
		_, _ = conn.ExecContext(context.WithoutCancel(ctx), "ROLLBACK")
		return err
	}
	_, err = conn.ExecContext(ctx, "COMMIT")
	return err
}

func replayEntries(ctx context.Context, conn *sql.Conn, entries []Entry) error {
	for _, e := range entries {
		for _, s := range e.Statements {
			if _, err := conn.ExecContext(ctx, s.SQL, arguments(s.Values)...); err != nil {
				return errors.Wrapf(err, "replay log entry %v", e.Point)
			}
		}
	}
	return nil
}

func dropAllTables(ctx context.Context, conn *sql.Conn) error {
	rows, err := conn.QueryContext(ctx,
		"SELECT type, name FROM sqlite_master WHERE type IN ('table', 'view') AND name NOT LIKE 'sqlite_%'")
	if err != nil {
		return err
	}
	defer func() { _ = rows.Close() }()
	var drops []string
	for rows.Next() {
		var kind, name string
		if err := rows.Scan(&kind, &name); err != nil {
			return err
		}
		drops = append(drops, "DROP "+kind+" "+quoteIdentifier(name))
	}
	if err := rows.Err(); err != nil {
		return err
	}
	for _, drop := range drops {
		if _, err := conn.ExecContext(ctx, drop); err != nil {
			return err
		}
	}
	return nil
}

func quoteIdentifier(name string) string {
	return `"` + strings.ReplaceAll(name, `"`, `""`) + `"`
}

// arguments converts logged values to arguments of database/sql.
func arguments(values []Value) []any {
	args := make([]any, len(values))
	for i, v := range values {
		args[i] = v.argument()
	}
	return args
}

func (v Value) argument() any {
	switch {
	case v.Int != nil:
		return *v.Int
	case v.Float != nil:
		return *v.Float
	case v.Text != nil:
		return *v.Text
	case v.Bytes != nil:
		return v.Bytes
	}
	return nil
}
