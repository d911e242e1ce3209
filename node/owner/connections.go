package owner

import (
	"context"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/types"
	"baobabfield.example/node/clock"
	"baobabfield.example/node/endpoint"
)

// idleConn is a connection that no request uses.
type idleConn struct {
	conn  *endpoint.Conn
	since types.Time
}

// hand gives connections to the requests that hold a slot, and opens
// connections where too few are idle.
func (t *endpointTask) hand(ctx context.Context) {
	for len(t.ready) > 0 && len(t.idle) > 0 {
		last := len(t.idle) - 1
		c := t.idle[last]
		t.idle = t.idle[:last]
		id := t.ready[0]
		t.ready = t.ready[1:]
		t.grant(id, c.conn, clock.Now().Sub(c.since) > idleCheck)
	}
	limit := admission.ConnectionLimit(clock.Now(), t.qcfg.Connections-controlConnections, t.since)
	for t.dialing < len(t.ready) && t.open+t.dialing < max(1, limit) {
		t.dialing++
		go t.dial(ctx)
	}
}

// grant hands a connection over.
func (t *endpointTask) grant(id types.RequestID, c *endpoint.Conn, check bool) {
	w := t.waiting[id]
	delete(t.waiting, id)
	w.reply <- grant{conn: c, check: check, replaced: t.running[id].replaced, levels: t.currentLevels()}
}

func (t *endpointTask) dial(ctx context.Context) {
	conn, err := endpoint.Dial(ctx, t.cfg)
	if !t.post(connected{conn: conn, err: err}) && conn != nil {
		conn.Close()
	}
}

// connected uses a new connection, or refuses the request that waits longest.
func (t *endpointTask) connected(ctx context.Context, m connected) {
	t.dialing--
	if m.err == nil {
		connsOpened.Inc()
		t.open++
		t.idle = append(t.idle, idleConn{conn: m.conn, since: clock.Now()})
		t.hand(ctx)
		return
	}
	if len(t.ready) == 0 {
		return
	}
	id := t.ready[0]
	t.ready = t.ready[1:]
	w := t.waiting[id]
	delete(t.waiting, id)
	w.reply <- grant{outcome: types.RefusedOutcome(types.ReasonUnreachable, m.err.Error())}
	t.release(ctx, finish{id: id})
}

// closeIdle closes the idle connections, which a broken one makes suspect.
func (t *endpointTask) closeIdle() {
	for _, c := range t.idle {
		c.conn.Close()
		t.open--
	}
	t.idle = nil
}
