package e2e

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5"

	"baobabfield.example/core/types"
	"baobabfield.example/standin/database"
)

// requestTimeout is after how long a writer gives a request up.
const requestTimeout = 20 * time.Second

// outcomes is what a writer was told about its rounds.
type outcomes struct {
	acknowledged, refused, unknown []int64
}

// writer writes rounds one after another through a host.
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

// writeRow writes one round and notes what it was told.
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
		w.refused = append(w.refused, id)
	default:
		w.unknown = append(w.unknown, id)
	}
	return err
}

// writeUntilAcknowledged writes rounds until one is acknowledged.
func (w *writer) writeUntilAcknowledged() {
	w.fixture.t.Helper()
	w.fixture.eventually("a write through host "+string(w.host), w.writeRow)
}

// checkRows compares what the writer was told with what an instance holds.
func (w *writer) checkRows(i *database.Instance) {
	w.fixture.t.Helper()
	rows := w.fixture.rowCounts(i)
	for _, id := range w.acknowledged {
		if rows[id] != 1 {
			w.fixture.t.Errorf("acknowledged round %d is on endpoint %q %d times", id, i.ID(), rows[id])
		}
	}
	for _, id := range w.refused {
		if rows[id] != 0 {
			w.fixture.t.Errorf("round %d was answered with \"not run\" but is on endpoint %q", id, i.ID())
		}
	}
	for _, id := range w.unknown {
		if rows[id] > 1 {
			w.fixture.t.Errorf("round %d is on endpoint %q %d times", id, i.ID(), rows[id])
		}
	}
}
