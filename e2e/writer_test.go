package e2e

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5"

	"baobabfield.example/core/types"
	"baobabfield.example/standin/database"
)

// answerTimeout is after how long a writer gives a request up.
const answerTimeout = 20 * time.Second

// ledger is what a writer was told about its rounds.
type ledger struct {
	acknowledged, refused, unknown []int64
}

// writer writes rounds one after another through a host.
type writer struct {
	f    *fixture
	host types.Host
	conn *pgx.Conn
	next int64
	ledger
}

func (f *fixture) newWriter(h types.Host, first int64) *writer {
	return &writer{f: f, host: h, next: first}
}

// write writes one round and notes what it was told.
func (w *writer) write() error {
	if w.conn == nil || w.conn.IsClosed() {
		conn, err := w.f.dial(w.host)
		if err != nil {
			return err
		}
		w.f.t.Cleanup(func() { _ = conn.Close(context.Background()) })
		w.conn = conn
	}
	id := w.next
	w.next++
	ctx, cancel := context.WithTimeout(w.f.ctx, answerTimeout)
	defer cancel()
	_, err := w.conn.Exec(ctx, "INSERT INTO rounds (id, note) VALUES ($1, $2)", id, "greased")
	switch {
	case err == nil:
		w.acknowledged = append(w.acknowledged, id)
	case notRun(err):
		w.refused = append(w.refused, id)
	default:
		w.unknown = append(w.unknown, id)
	}
	return err
}

// writeOne writes rounds until one is acknowledged.
func (w *writer) writeOne() {
	w.f.t.Helper()
	w.f.eventually("a write through host "+string(w.host), w.write)
}

// check compares what the writer was told with what an instance holds.
func (w *writer) check(i *database.Instance) {
	w.f.t.Helper()
	held := w.f.ids(i)
	for _, id := range w.acknowledged {
		if held[id] != 1 {
			w.f.t.Errorf("acknowledged round %d is on endpoint %q %d times", id, i.ID(), held[id])
		}
	}
	for _, id := range w.refused {
		if held[id] != 0 {
			w.f.t.Errorf("round %d was answered with \"not run\" but is on endpoint %q", id, i.ID())
		}
	}
	for _, id := range w.unknown {
		if held[id] > 1 {
			w.f.t.Errorf("round %d is on endpoint %q %d times", id, i.ID(), held[id])
		}
	}
}
