package database

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"time"

	"github.com/pkg/errors"

	"baobabfield.example/core/types"
)

// Instance is one running endpoint of a database.
type Instance struct {
	config    Config
	storage   *storage
	listener  net.Listener
	registry  *connectionRegistry
	log       *replicatedLog
	scheduler *scheduler
	// stop ends the replicated log and the scheduler.
	stop       context.CancelFunc
	logStopped chan struct{}
}

// New returns an instance that has not been started.
func New(c Config) (*Instance, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Instance{config: c, logStopped: make(chan struct{})}, nil
}

// Start opens the storage and begins to accept connections.
func (i *Instance) Start(ctx context.Context) error {
	storage, err := openStorage(ctx)
	if err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", i.config.Address)
	if err != nil {
		storage.close()
		return errors.Wrapf(err, "listen for endpoint %q", i.config.ID)
	}
	inner, stop := context.WithCancel(context.Background())
	i.storage, i.listener, i.stop = storage, listener, stop
	i.registry = newConnectionRegistry(i.config)
	i.log = newReplicatedLog(inner, i.config, storage)
	i.scheduler = newScheduler(i.config)
	go i.registry.run()
	go i.scheduler.run(inner)
	go func() {
		i.log.run()
		close(i.logStopped)
	}()
	go i.acceptConnections()
	return nil
}

func (i *Instance) acceptConnections() {
	for {
		socket, err := i.listener.Accept()
		if err != nil {
			return
		}
		go i.serveConnection(socket)
	}
}

func (i *Instance) newCancelSecret() uint32 {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint32(b[:])
}

// Close ends all connections, stops the instance and deletes its storage.
func (i *Instance) Close() {
	_ = i.listener.Close()
	i.registry.drain()
	<-i.registry.drained
	i.stop()
	<-i.logStopped
	i.storage.close()
}

// ID returns the endpoint's name.
func (i *Instance) ID() types.Endpoint { return i.config.ID }

// Address returns the listening address as host:port.
func (i *Instance) Address() string { return i.listener.Addr().String() }

// Status returns the same state as baobab_status.
func (i *Instance) Status() Status { return runOnLog(i.log, i.log.status) }

// Fence raises the term and makes the instance a replica. It reports whether the new term
// is above the current one.
func (i *Instance) Fence(term types.Term) bool {
	return runOnLog(i.log, func() bool { return i.log.fence(term) })
}

// Promote makes the instance the primary of the term. It reports whether the term is the
// current one.
func (i *Instance) Promote(term types.Term) bool {
	return runOnLog(i.log, func() bool { return i.log.promote(term) })
}

// Follow makes the instance a replica of the primary of the term. It reports whether the
// term was accepted.
func (i *Instance) Follow(primary types.Endpoint, address string, term types.Term) bool {
	target := primaryTarget{id: primary, address: address}
	return runOnLog(i.log, func() bool { return i.log.follow(target, term) })
}

// WaitReplicated waits until a majority of the database's endpoints has a position. It
// returns an error if the context ends or the instance is closed first.
func (i *Instance) WaitReplicated(ctx context.Context, position types.Position) error {
	return i.waitUntil(ctx, func() bool { return i.log.replicatedPosition() >= position })
}

func (i *Instance) waitUntil(ctx context.Context, ready func() bool) error {
	l := i.log
	for {
		wake := runOnLog(l, func() chan struct{} { return l.addWaiter(ready) })
		select {
		case <-wake:
		case <-ctx.Done():
			runOnLog(l, func() bool { l.removeWaiter(wake); return true })
			return ctx.Err()
		case <-l.ctx.Done():
			return errors.Errorf("endpoint %q is closed", i.config.ID)
		}
		if runOnLog(l, ready) {
			return nil
		}
	}
}

// Kill closes all connections and accepts no new ones, like a crash of the process. The
// log, the term and the tables are kept.
func (i *Instance) Kill() {
	i.registry.setKilled(true)
	runOnLog(i.log, func() bool {
		i.log.killed = true
		i.log.stopFollowing()
		return true
	})
}

// Revive ends the effect of Kill. The record of earlier status queries is lost, as it
// is in a restart.
func (i *Instance) Revive() {
	runOnLog(i.log, func() bool {
		i.log.killed = false
		i.log.clearQueries()
		i.log.startFollower()
		return true
	})
	i.registry.setKilled(false)
}

// Cut adds a cut to the active ones.
func (i *Instance) Cut(c Cut) { i.registry.addCut(c) }

// Heal removes all cuts. Silenced connections stay silent.
func (i *Instance) Heal() { i.registry.removeCuts() }

// Silence permanently stops the traffic of one connection without closing it. It
// reports whether the connection exists.
func (i *Instance) Silence(id uint32) bool { return i.registry.silence(id) }

// Connections returns the open connections.
func (i *Instance) Connections() []ConnectionInfo { return i.registry.list() }

// SetReplicationLag sets the replication lag that applies while the instance is a replica.
func (i *Instance) SetReplicationLag(lag time.Duration) {
	runOnLog(i.log, func() bool { i.log.setReplicationLag(lag); return true })
}

// SetServiceTime sets the time that is added to the duration of each statement.
func (i *Instance) SetServiceTime(serviceTime time.Duration) {
	i.scheduler.changes <- func(s *scheduler) { s.serviceTime = serviceTime }
}

// SetFailing sets whether every statement fails immediately.
func (i *Instance) SetFailing(failing bool) {
	i.scheduler.changes <- func(s *scheduler) { s.failing = failing }
}
