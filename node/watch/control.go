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
	// commandQueue is the number of commands that wait for a controller.
	commandQueue = 16
)

// commandKind is what a command does at an endpoint.
type commandKind uint8

const (
	cmdAsk commandKind = iota
	cmdAskAuthority
	cmdFence
	cmdPromote
	cmdFollow
)

// command is one question or control operation.
type command struct {
	question failover.RequestID
	kind     commandKind
	term     types.Term
	primary  types.Endpoint
	address  string
}

// controller is the task that owns the control connection to one endpoint.
type controller struct {
	cfg    endpoint.Config
	queue  chan command
	cancel context.CancelFunc
	post   func(any)
	conn   *endpoint.Conn
}

// startController starts the task; it connects when the first command comes.
func startController(ctx context.Context, cfg endpoint.Config, post func(any)) *controller {
	ctx, cancel := context.WithCancel(ctx)
	c := &controller{cfg: cfg, queue: make(chan command, commandQueue), cancel: cancel, post: post}
	go c.run(ctx)
	return c
}

// stop ends the task and interrupts a command in progress.
func (c *controller) stop() { c.cancel() }

// send queues a command; a full queue means that the endpoint gives no
// answers, and the command gets none either.
func (c *controller) send(cmd command) {
	select {
	case c.queue <- cmd:
	default:
		go c.post(failover.NoResponse{RequestID: cmd.question, Endpoint: c.cfg.Endpoint})
	}
}

func (c *controller) run(ctx context.Context) {
	defer c.drop()
	for {
		select {
		case <-ctx.Done():
			return
		case cmd := <-c.queue:
			c.post(c.execute(ctx, cmd))
		}
	}
}

// execute runs one command and returns the event that tells its result.
func (c *controller) execute(ctx context.Context, cmd command) failover.Event {
	silence := failover.NoResponse{RequestID: cmd.question, Endpoint: c.cfg.Endpoint}
	if c.conn == nil {
		conn, err := endpoint.Dial(ctx, c.cfg)
		if err != nil {
			controlFailures.Inc()
			return silence
		}
		c.conn = conn
	}
	stop := context.AfterFunc(ctx, c.conn.Interrupt)
	defer stop()
	ev, err := c.perform(cmd)
	if err != nil {
		controlFailures.Inc()
		c.drop()
		return silence
	}
	return ev
}

// perform runs a command on the open connection.
func (c *controller) perform(cmd command) (failover.Event, error) {
	id := c.cfg.Endpoint
	switch cmd.kind {
	case cmdFence:
		r, err := c.conn.Fence(cmd.term)
		return failover.FenceResponse{RequestID: cmd.question, Endpoint: id, Granted: r.Granted, Term: r.Term, LastLogPoint: r.LastLogPoint, AuthorityIdleKnown: r.AuthorityIdleKnown, AuthorityIdle: r.AuthorityIdle}, err
	case cmdPromote:
		r, err := c.conn.Promote(cmd.term)
		return failover.PromoteResponse{RequestID: cmd.question, Endpoint: id, Done: r.Done, Term: r.Term, LastLogPoint: r.LastLogPoint}, err
	case cmdFollow:
		r, err := c.conn.Follow(cmd.primary, cmd.address, cmd.term)
		return failover.FollowResponse{RequestID: cmd.question, Endpoint: id, Done: r.Done, Term: r.Term}, err
	case cmdAskAuthority:
		s, err := c.conn.StatusForAuthority()
		return failover.StatusResponse{RequestID: cmd.question, Endpoint: id, Status: status(s)}, err
	default:
		s, err := c.conn.Status()
		return failover.StatusResponse{RequestID: cmd.question, Endpoint: id, Status: status(s)}, err
	}
}

// status converts an endpoint's status to the core's.
func status(s endpoint.Status) failover.EndpointStatus {
	role := failover.RoleReplica
	if s.Primary {
		role = failover.RolePrimary
	}
	return failover.EndpointStatus{Role: role, Term: s.Term, LastLogPoint: s.LastLogPoint, ReplicatedPosition: s.ReplicatedPosition, TermStarts: s.TermStarts}
}

// drop closes the connection.
func (c *controller) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
