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
	// ackInboxSize is the number of waits that queue for the acknowledgement task.
	ackInboxSize = 1024
	// replicatedQueryWait is how long one question to the primary waits.
	replicatedQueryWait = 200 * time.Millisecond
	// ackRetryDelay is the pause after a failed question.
	ackRetryDelay = 50 * time.Millisecond
)

// ackRequest asks to hear once a majority holds a commit.
type ackRequest struct {
	commit   types.LogPoint
	deadline types.Time
	reply    chan bool
}

// ackTask waits, for all commits of a database at once, until a majority of
// its endpoints holds them. It owns one connection to the primary.
type ackTask struct {
	inbox         chan any
	stopped       chan struct{}
	pending       []ackRequest
	queryInFlight bool
	conn          *endpoint.Conn
	primary       endpoint.Config
}

// replicatedResult is the result of a question to the primary.
type replicatedResult struct {
	replicated types.LogPoint
	conn       *endpoint.Conn
	err        error
}

// primaryTarget names the primary to ask.
type primaryTarget struct{ cfg endpoint.Config }

func newAckTask() *ackTask {
	return &ackTask{inbox: make(chan any, ackInboxSize), stopped: make(chan struct{})}
}

// waitReplicated reports whether a majority holds the commit; false also means that this
// cannot be found out in time.
func (t *ackTask) waitReplicated(ctx context.Context, commit types.LogPoint) bool {
	req := ackRequest{commit: commit, deadline: clock.Now().Add(replicationTimeout), reply: make(chan bool, 1)}
	t.post(req)
	timer := time.NewTimer(replicationTimeout)
	defer timer.Stop()
	select {
	case ok := <-req.reply:
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
	case ackRequest:
		t.pending = append(t.pending, m)
	case replicatedResult:
		t.handleResult(m)
	case primaryTarget:
		t.setPrimary(m.cfg)
	}
	if len(t.pending) > 0 && !t.queryInFlight && t.primary.Endpoint != "" {
		t.queryInFlight = true
		go t.queryPrimary(ctx, t.conn, t.primary, t.lowestPendingPosition())
		t.conn = nil
	}
}

// setPrimary moves to another primary; commits of older terms cannot be
// confirmed there.
func (t *ackTask) setPrimary(cfg endpoint.Config) {
	if cfg.Endpoint == t.primary.Endpoint {
		return
	}
	t.primary = cfg
	if t.conn != nil {
		t.conn.Close()
		t.conn = nil
	}
}

// lowestPendingPosition returns the lowest position that is waited for.
func (t *ackTask) lowestPendingPosition() types.Position {
	pos := t.pending[0].commit.Position
	for _, req := range t.pending[1:] {
		pos = min(pos, req.commit.Position)
	}
	return pos
}

// handleResult releases the commits that a majority holds.
func (t *ackTask) handleResult(m replicatedResult) {
	t.queryInFlight = false
	if m.err == nil {
		t.conn = m.conn
	}
	now := clock.Now()
	pending := t.pending[:0]
	for _, req := range t.pending {
		switch {
		case now.After(req.deadline):
			req.reply <- false
		case m.err == nil && m.replicated.Term == req.commit.Term && m.replicated.Position >= req.commit.Position:
			req.reply <- true
		case m.err == nil && m.replicated.Term > req.commit.Term:
			req.reply <- false
		default:
			pending = append(pending, req)
		}
	}
	t.pending = pending
}

// queryPrimary puts one question to the primary; it owns the connection meanwhile.
func (t *ackTask) queryPrimary(ctx context.Context, conn *endpoint.Conn, cfg endpoint.Config, pos types.Position) {
	if conn == nil {
		var err error
		conn, err = endpoint.Dial(ctx, cfg)
		if err != nil {
			t.reportFailureAfterDelay(ctx, err)
			return
		}
	}
	stop := context.AfterFunc(ctx, conn.Interrupt)
	replicated, err := conn.WaitReplicated(pos, replicatedQueryWait)
	stop()
	if err != nil {
		conn.Close()
		t.reportFailureAfterDelay(ctx, err)
		return
	}
	t.post(replicatedResult{replicated: replicated, conn: conn})
}

// reportFailureAfterDelay reports a failure after a pause.
func (t *ackTask) reportFailureAfterDelay(ctx context.Context, err error) {
	select {
	case <-time.After(ackRetryDelay):
	case <-ctx.Done():
	}
	t.post(replicatedResult{err: err})
}
