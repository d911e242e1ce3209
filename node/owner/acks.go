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
	// ackInboxSize is the capacity of an acknowledgement task's inbox in messages.
	ackInboxSize = 1024
	// replicatedQueryWait is the longest time that the primary may hold back its response
	// to one query.
	replicatedQueryWait = 200 * time.Millisecond
	// ackRetryDelay is the delay before the retry of a failed query.
	ackRetryDelay = 50 * time.Millisecond
)

// ackRequest queries whether a majority of the endpoints holds a commit. The reply is
// sent once this is known, or is false after the deadline.
type ackRequest struct {
	commit   types.LogPoint
	deadline types.Time
	reply    chan bool
}

// ackTask waits until a majority of a database's endpoints holds each commit. It sends one
// query at a time to the primary, for all pending commits, over one connection.
type ackTask struct {
	inbox         chan any
	stopped       chan struct{}
	pending       []ackRequest
	queryInFlight bool
	conn          *endpoint.Conn
	primary       endpoint.Config
}

// replicatedResult is the result of queryPrimary.
type replicatedResult struct {
	replicated types.LogPoint
	conn       *endpoint.Conn
	err        error
}

// primaryTarget carries the primary to query.
type primaryTarget struct{ cfg endpoint.Config }

func newAckTask() *ackTask {
	return &ackTask{inbox: make(chan any, ackInboxSize), stopped: make(chan struct{})}
}

// waitReplicated waits until a majority of the endpoints holds the commit. It returns
// false if the commit belongs to an older term than the primary's, or if the answer is
// not known within replicationTimeout.
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
			t.handleMessage(ctx, msg)
		}
	}
}

func (t *ackTask) handleMessage(ctx context.Context, msg any) {
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

// setPrimary sets the primary to query. A new primary does not confirm commits of older
// terms.
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

// lowestPendingPosition returns the lowest position of the pending commits.
func (t *ackTask) lowestPendingPosition() types.Position {
	pos := t.pending[0].commit.Position
	for _, req := range t.pending[1:] {
		pos = min(pos, req.commit.Position)
	}
	return pos
}

// handleResult replies true to the pending requests whose commit a majority holds. It
// replies false to requests for a commit of an older term, and to those whose deadline
// has passed.
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

// queryPrimary sends one query to the primary and posts the result. It owns the
// connection until then.
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

// reportFailureAfterDelay posts a failed result after ackRetryDelay, so that a failing
// primary is not queried in a tight loop.
func (t *ackTask) reportFailureAfterDelay(ctx context.Context, err error) {
	select {
	case <-time.After(ackRetryDelay):
	case <-ctx.Done():
	}
	t.post(replicatedResult{err: err})
}
