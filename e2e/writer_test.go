package e2e

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"

	"baobabfield.example/core/types"
	"baobabfield.example/standin/database"
)

// requestTimeout is the time after which a writer abandons a request.
const requestTimeout = 20 * time.Second

// outcomes holds the IDs of a writer's rows by the reply to their insertion.
type outcomes struct {
	acknowledged, notRun, unknown []int64
}

// writer inserts rows one after another through one host.
type writer struct {
	fixture *fixture
	host    types.Host
	conn    *pgx.Conn
	nextID  int64
	outcomes
}

func (f *fixture) newWriter(h types.Host, first int64) *writer {
	return &writer{fixture: f, host: h, nextID: first}
}

// writeRow inserts one row, connecting first if there is no connection, and records the
// outcome.
func (w *writer) writeRow() error {
	if w.conn == nil || w.conn.IsClosed() {
		conn, err := w.fixture.dial(w.host)
		if err != nil {
			return err
		}
		w.fixture.t.Cleanup(func() { _ = conn.Close(context.Background()) })
		w.conn = conn
	}
	id := w.nextID
	w.nextID++
	ctx, cancel := context.WithTimeout(w.fixture.ctx, requestTimeout)
	defer cancel()
	_, err := w.conn.Exec(ctx, "INSERT INTO rounds (id, note) VALUES ($1, $2)", id, "greased")
	switch {
	case err == nil:
		w.acknowledged = append(w.acknowledged, id)
	case isNotRun(err):
		w.notRun = append(w.notRun, id)
	default:
		w.unknown = append(w.unknown, id)
	}
	return err
}

// writeUntilAcknowledged inserts rows until one is acknowledged.
func (w *writer) writeUntilAcknowledged() {
	w.fixture.t.Helper()
	w.fixture.eventually(fmt.Sprintf("host %q acknowledges a write", w.host), w.writeRow)
}

// checkRows checks the rows that an instance stores against the writer's outcomes.
func (w *writer) checkRows(i *database.Instance) {
	w.fixture.t.Helper()
	rows := w.fixture.rowCounts(i)
	for _, id := range w.acknowledged {
		if rows[id] != 1 {
			w.fixture.t.Errorf("endpoint %q stores acknowledged row %d %d times, want once", i.ID(), id, rows[id])
		}
	}
	for _, id := range w.notRun {
		if rows[id] != 0 {
			w.fixture.t.Errorf("the insertion of row %d was not run, but endpoint %q stores the row", id, i.ID())
		}
	}
	for _, id := range w.unknown {
		if rows[id] > 1 {
			w.fixture.t.Errorf("endpoint %q stores row %d %d times, want at most once", i.ID(), id, rows[id])
		}
	}
}
