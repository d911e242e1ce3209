package watch

import (
	"context"
	"time"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
	"baobabfield.example/node/endpoint"
)

const (
	// controlTimeout bounds the dialling of a control connection, and the time without
	// a byte from the endpoint during a command.
	controlTimeout = 2 * time.Second
	// commandQueueLength is the number of commands that can wait for a controller.
	commandQueueLength = 16
)

// commandKind selects the operation of a command.
type commandKind uint8

const (
	cmdStatus commandKind = iota
	cmdStatusForAuthority
	cmdFence
	cmdPromote
	cmdFollow
)

// command is a status query or a control operation for an endpoint.
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

// startController starts the task. The task connects to the endpoint on the first
// command.
func startController(ctx context.Context, cfg endpoint.Config, post func(any)) *controller {
	ctx, cancel := context.WithCancel(ctx)
	c := &controller{cfg: cfg, commands: make(chan command, commandQueueLength), cancel: cancel, post: post}
	go c.run(ctx)
	return c
}

// stop ends the task and interrupts the command in progress.
func (c *controller) stop() { c.cancel() }

// enqueue queues a command. A full queue means that the endpoint does not respond,
// so the command is dropped and reported as having no response.
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

// execute connects if necessary, runs one command and returns the event with its
// result. A failure closes the connection, so that the next command reconnects.
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

// perform runs a command on the open connection and returns the response.
func (c *controller) perform(cmd command) (failover.Event, error) {
	id := c.cfg.Endpoint
	switch cmd.kind {
	case cmdFence:
		r, err := c.conn.Fence(cmd.term)
		return failover.FenceResponse{RequestID: cmd.requestID, Endpoint: id, Granted: r.Granted, Term: r.Term, LastLogPoint: r.LastLogPoint, AuthorityIdleKnown: r.AuthorityIdleKnown, AuthorityIdle: r.AuthorityIdle}, err
	case cmdPromote:
		r, err := c.conn.Promote(cmd.term)
		return failover.PromoteResponse{RequestID: cmd.requestID, Endpoint: id, Done: r.Done, Term: r.Term, LastLogPoint: r.LastLogPoint}, err
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

// toEndpointStatus converts an endpoint's status to the form of the failover machine.
func toEndpointStatus(s endpoint.Status) failover.EndpointStatus {
	role := failover.RoleReplica
	if s.Primary {
		role = failover.RolePrimary
	}
	return failover.EndpointStatus{Role: role, Term: s.Term, LastLogPoint: s.LastLogPoint, ReplicatedPosition: s.ReplicatedPosition, TermStarts: s.TermStarts}
}

// closeConn closes the connection if it is open.
func (c *controller) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
