package owner

import (
	"context"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/types"
	"baobabfield.example/node/clock"
	"baobabfield.example/node/endpoint"
)

// idleConn is an open connection that no request uses.
type idleConn struct {
	conn      *endpoint.Conn
	idleSince types.Time
}

// assignConnections sends idle connections to the requests that hold a slot, the most
// recently used connection first. It dials new connections for the remaining requests,
// up to the connection limit.
func (t *endpointTask) assignConnections(ctx context.Context) {
	for len(t.awaitingConn) > 0 && len(t.idleConns) > 0 {
		last := len(t.idleConns) - 1
		c := t.idleConns[last]
		t.idleConns = t.idleConns[:last]
		id := t.awaitingConn[0]
		t.awaitingConn = t.awaitingConn[1:]
		t.sendConnection(id, c.conn, clock.Now().Sub(c.idleSince) > idleCheckAfter)
	}
	limit := admission.ConnectionLimit(clock.Now(), t.queueConfig.Connections-reservedControlConnections, t.startedAt)
	for t.dialsInFlight < len(t.awaitingConn) && t.openConnCount+t.dialsInFlight < max(1, limit) {
		t.dialsInFlight++
		go t.dialConnection(ctx)
	}
}

// sendConnection replies to a pending request with a connection.
func (t *endpointTask) sendConnection(id types.RequestID, c *endpoint.Conn, checkBeforeUse bool) {
	req := t.pending[id]
	delete(t.pending, id)
	req.reply <- connectionReply{conn: c, checkBeforeUse: checkBeforeUse, primaryReplaced: t.running[id].primaryReplaced, levels: t.currentLevels()}
}

func (t *endpointTask) dialConnection(ctx context.Context) {
	conn, err := endpoint.Dial(ctx, t.cfg)
	if !t.post(dialResult{conn: conn, err: err}) && conn != nil {
		conn.Close()
	}
}

// handleDialResult adds a new connection. If the dial failed, it refuses the request that
// has waited longest for a connection.
func (t *endpointTask) handleDialResult(ctx context.Context, m dialResult) {
	t.dialsInFlight--
	if m.err == nil {
		connectionsOpened.Inc()
		t.openConnCount++
		t.idleConns = append(t.idleConns, idleConn{conn: m.conn, idleSince: clock.Now()})
		t.assignConnections(ctx)
		return
	}
	if len(t.awaitingConn) == 0 {
		return
	}
	id := t.awaitingConn[0]
	t.awaitingConn = t.awaitingConn[1:]
	req := t.pending[id]
	delete(t.pending, id)
	req.reply <- connectionReply{outcome: types.NotRunOutcome(types.ReasonUnreachable, m.err.Error())}
	t.releaseSlot(ctx, returnConnection{id: id})
}

// closeIdleConns closes all idle connections. After one connection breaks, the idle ones
// are likely to be broken too.
func (t *endpointTask) closeIdleConns() {
	for _, c := range t.idleConns {
		c.conn.Close()
		t.openConnCount--
	}
	t.idleConns = nil
}
