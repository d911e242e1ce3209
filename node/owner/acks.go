package owner

import (
	"context"
	"time"

	"baobabfield.example/core/types"
	"baobabfield.example/node/clock"
	"baobabfield.example/node/endpoint"
	"baobabfield.example/node/mailbox"
)

const (
	// acksInbox is the number of waits that queue for the acknowledgement task.
	acksInbox = 1024
	// replicatedPoll is how long one question to the primary waits.
	replicatedPoll = 200 * time.Millisecond
	// acksRetry is the pause after a failed question.
	acksRetry = 50 * time.Millisecond
)

// ackWait asks to hear once a majority holds a commit.
type ackWait struct {
	at    types.LogPoint
	until types.Time
	reply chan bool
}

// ackTask waits, for all commits of a database at once, until a majority of
// its endpoints holds them. It owns one connection to the primary.
type ackTask struct {
	inbox   chan any
	stopped chan struct{}
	waiting []ackWait
	asking  bool
	conn    *endpoint.Conn
	target  endpoint.Config
}

// ackAnswer is the result of a question to the primary.
type ackAnswer struct {
	at   types.LogPoint
	conn *endpoint.Conn
	err  error
}

// ackTarget names the primary to ask.
type ackTarget struct{ cfg endpoint.Config }

func newAckTask() *ackTask {
	return &ackTask{inbox: make(chan any, acksInbox), stopped: make(chan struct{})}
}

// wait reports whether a majority holds the commit; false also means that this
// cannot be found out in time.
func (t *ackTask) wait(ctx context.Context, at types.LogPoint) bool {
	m := ackWait{at: at, until: clock.Now().Add(replicationWait), reply: make(chan bool, 1)}
	t.post(m)
	timer := time.NewTimer(replicationWait)
	defer timer.Stop()
	select {
	case ok := <-m.reply:
		return ok
	case <-timer.C:
	case <-ctx.Done():
	case <-t.stopped:
	}
	return false
}

func (t *ackTask) post(msg any) {
	mailbox.Post(t.inbox, t.stopped, msg)
}

func (t *ackTask) run(ctx context.Context) {
	defer close(t.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-t.inbox:
			t.handle(ctx, msg)
		}
	}
}

func (t *ackTask) handle(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case ackWait:
		t.waiting = append(t.waiting, m)
	case ackAnswer:
		t.answered(m)
	case ackTarget:
		t.retarget(m.cfg)
	}
	if len(t.waiting) > 0 && !t.asking && t.target.Endpoint != "" {
		t.asking = true
		go t.ask(ctx, t.conn, t.target, t.least())
		t.conn = nil
	}
}

// retarget moves to another primary; commits of older terms cannot be
// confirmed there.
func (t *ackTask) retarget(cfg endpoint.Config) {
	if cfg.Endpoint == t.target.Endpoint {
		return
	}
	t.target = cfg
	if t.conn != nil {
		t.conn.Close()
		t.conn = nil
	}
}

// least returns the lowest position that is waited for.
func (t *ackTask) least() types.Position {
	pos := t.waiting[0].at.Position
	for _, w := range t.waiting[1:] {
		pos = min(pos, w.at.Position)
	}
	return pos
}

// answered releases the commits that a majority holds.
func (t *ackTask) answered(m ackAnswer) {
	t.asking = false
	if m.err == nil {
		t.conn = m.conn
	}
	now := clock.Now()
	kept := t.waiting[:0]
	for _, w := range t.waiting {
		switch {
		case now.After(w.until):
			w.reply <- false
		case m.err == nil && m.at.Term == w.at.Term && m.at.Position >= w.at.Position:
			w.reply <- true
		case m.err == nil && m.at.Term > w.at.Term:
			w.reply <- false
		default:
			kept = append(kept, w)
		}
	}
	t.waiting = kept
}

// ask puts one question to the primary; it owns the connection meanwhile.
func (t *ackTask) ask(ctx context.Context, conn *endpoint.Conn, cfg endpoint.Config, pos types.Position) {
	if conn == nil {
		var err error
		conn, err = endpoint.Dial(ctx, cfg)
		if err != nil {
			t.retry(ctx, err)
			return
		}
	}
	stop := context.AfterFunc(ctx, conn.Interrupt)
	at, err := conn.Replicated(pos, replicatedPoll)
	stop()
	if err != nil {
		conn.Close()
		t.retry(ctx, err)
		return
	}
	t.post(ackAnswer{at: at, conn: conn})
}

// retry reports a failure after a pause.
func (t *ackTask) retry(ctx context.Context, err error) {
	select {
	case <-time.After(acksRetry):
	case <-ctx.Done():
	}
	t.post(ackAnswer{err: err})
}
