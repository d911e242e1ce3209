package watch

import (
	"context"
	"time"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
	"baobabfield.example/node/endpoint"
)

const (
	// controlTimeout bounds the connecting to an endpoint and each command.
	controlTimeout = 2 * time.Second
	// commandQueueLength is the number of commands that wait for a controller.
	commandQueueLength = 16
)

// commandKind is what a command does at an endpoint.
type commandKind uint8

const (
	cmdStatus commandKind = iota
	cmdStatusForAuthority
	cmdFence
	cmdPromote
	cmdFollow
)

// command is one question or control operation.
type command struct {
	requestID failover.RequestID
	kind      commandKind
	term      types.Term
	primary   types.Endpoint
	address   string
}

// controller is the task that owns the control connection to one endpoint.
type controller struct {
	cfg      endpoint.Config
	commands chan command
	cancel   context.CancelFunc
	post     func(any)
	conn     *endpoint.Conn
}

// startController starts the task; it connects when the first command comes.
func startController(ctx context.Context, cfg endpoint.Config, post func(any)) *controller {
	ctx, cancel := context.WithCancel(ctx)
	c := &controller{cfg: cfg, commands: make(chan command, commandQueueLength), cancel: cancel, post: post}
	go c.run(ctx)
	return c
}

// stop ends the task and interrupts a command in progress.
func (c *controller) stop() { c.cancel() }

// enqueue queues a command; a full queue means that the endpoint gives no
// answers, and the command gets none either.
func (c *controller) enqueue(cmd command) {
	select {
	case c.commands <- cmd:
	default:
		go c.post(failover.NoResponse{RequestID: cmd.requestID, Endpoint: c.cfg.Endpoint})
	}
}

func (c *controller) run(ctx context.Context) {
	defer c.closeConn()
	for {
		select {
		case <-ctx.Done():
			return
		case cmd := <-c.commands:
			c.post(c.execute(ctx, cmd))
		}
	}
}

// execute runs one command and returns the event that tells its result.
func (c *controller) execute(ctx context.Context, cmd command) failover.Event {
	noResponse := failover.NoResponse{RequestID: cmd.requestID, Endpoint: c.cfg.Endpoint}
	if c.conn == nil {
		conn, err := endpoint.Dial(ctx, c.cfg)
		if err != nil {
			controlFailures.Inc()
			return noResponse
		}
		c.conn = conn
	}
	stopInterrupt := context.AfterFunc(ctx, c.conn.Interrupt)
	defer stopInterrupt()
	ev, err := c.perform(cmd)
	if err != nil {
		controlFailures.Inc()
		c.closeConn()
		return noResponse
	}
	return ev
}

// perform runs a command on the open connection.
func (c *controller) perform(cmd command) (failover.Event, error) {
	id := c.cfg.Endpoint
	switch cmd.kind {
	case cmdFence:
		r, err := c.conn.Fence(cmd.term)
		return failover.FenceResponse{RequestID: cmd.requestID, Endpoint: id, Granted: r.Granted, Term: r.Term, LastLogPoint: r.Last, AuthorityIdleKnown: r.QuietKnown, AuthorityIdle: r.Quiet}, err
	case cmdPromote:
		r, err := c.conn.Promote(cmd.term)
		return failover.PromoteResponse{RequestID: cmd.requestID, Endpoint: id, Done: r.Done, Term: r.Term, LastLogPoint: r.Last}, err
	case cmdFollow:
		r, err := c.conn.Follow(cmd.primary, cmd.address, cmd.term)
		return failover.FollowResponse{RequestID: cmd.requestID, Endpoint: id, Done: r.Done, Term: r.Term}, err
	case cmdStatusForAuthority:
		s, err := c.conn.StatusForAuthority()
		return failover.StatusResponse{RequestID: cmd.requestID, Endpoint: id, Status: toEndpointStatus(s)}, err
	default:
		s, err := c.conn.Status()
		return failover.StatusResponse{RequestID: cmd.requestID, Endpoint: id, Status: toEndpointStatus(s)}, err
	}
}

// toEndpointStatus converts an endpoint's toEndpointStatus to the core's.
func toEndpointStatus(s endpoint.Status) failover.EndpointStatus {
	role := failover.RoleReplica
	if s.Primary {
		role = failover.RolePrimary
	}
	return failover.EndpointStatus{Role: role, Term: s.Term, LastLogPoint: s.Last, ReplicatedPosition: s.Replicated, TermStarts: s.TermStarts}
}

// closeConn closes the connection.
func (c *controller) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
