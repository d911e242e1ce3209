package database

import (
	"context"
	"time"
)

// scheduler owns the slots in which statements run.
type scheduler struct {
	requests chan slotRequest
	releases chan struct{}
	changes  chan func(*scheduler)

	freeSlots   int
	serviceTime time.Duration
	failing     bool
	queue       []slotRequest
}

// slotGrant assigns a slot to one statement.
type slotGrant struct {
	serviceTime time.Duration
	// failing is set if the statement must fail immediately.
	failing bool
}

type slotRequest struct {
	ctx   context.Context
	grant chan slotGrant
}

func newScheduler(c Config) *scheduler {
	return &scheduler{
		requests: make(chan slotRequest), releases: make(chan struct{}), changes: make(chan func(*scheduler)),
		freeSlots: c.Slots, serviceTime: c.ServiceTime,
	}
}

func (s *scheduler) run(ctx context.Context) {
	for {
		select {
		case r := <-s.requests:
			s.queue = append(s.queue, r)
		case <-s.releases:
			s.freeSlots++
		case change := <-s.changes:
			change(s)
		case <-ctx.Done():
			return
		}
		s.grantSlots()
	}
}

func (s *scheduler) grantSlots() {
	for s.freeSlots > 0 && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if next.ctx.Err() != nil {
			continue
		}
		s.freeSlots--
		next.grant <- slotGrant{serviceTime: s.serviceTime, failing: s.failing}
	}
}

// acquire waits for a slot. After a nil error the caller must call release.
func (s *scheduler) acquire(ctx context.Context) (slotGrant, error) {
	r := slotRequest{ctx: ctx, grant: make(chan slotGrant)}
	grant := make(chan slotGrant, 1)
	r.grant = grant
	select {
	case s.requests <- r:
	case <-ctx.Done():
		return slotGrant{}, ctx.Err()
	}
	select {
	case g := <-grant:
		return g, nil
	case <-ctx.Done():
	}
	s.releaseUnused(grant)
	return slotGrant{}, ctx.Err()
}

// releaseUnused releases a slot that was granted after its statement was canceled. The
// scheduler sends the grant before it handles its next message. One more message
// therefore shows whether the grant was sent.
func (s *scheduler) releaseUnused(grant chan slotGrant) {
	synced := make(chan struct{})
	s.changes <- func(*scheduler) { close(synced) }
	<-synced
	select {
	case <-grant:
		s.release()
	default:
	}
}

func (s *scheduler) release() { s.releases <- struct{}{} }
