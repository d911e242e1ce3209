package pool_test

import (
	"maps"
	"slices"
	"time"

	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// arrivalOrder is the rule that the pool's order is compared with: within a rank, requests that
// can still meet their objective start in order of arrival, and late ones after them until their
// deadline. It has connections for all requests.
type arrivalOrder struct {
	cfg      pool.Config
	nextConn func() pool.ConnID
	queued   [8][]*arrivalEntry
	size     int
	mean     [8]time.Duration
	credit   [8]time.Duration
	running  map[pool.ConnID]*arrivalEntry
	effects  []pool.Effect
	// firstCome is set if ranks and objectives count for nothing.
	firstCome bool
}

type arrivalEntry struct {
	req                 pool.Request
	queuedAt, startedAt types.Time
	began               bool
}

func newArrivalOrder(cfg pool.Config, nextConn func() pool.ConnID) *arrivalOrder {
	return &arrivalOrder{cfg: cfg, nextConn: nextConn, running: map[pool.ConnID]*arrivalEntry{}}
}

func (a *arrivalOrder) TakeEffects() []pool.Effect {
	out := a.effects
	a.effects = nil
	return out
}

func (a *arrivalOrder) HandleConnected(types.Time, pool.ConnID) {}

func (a *arrivalOrder) AbortTx(types.Time, pool.TxID) {}

func (a *arrivalOrder) end(e *arrivalEntry, now types.Time, reason types.Reason) {
	a.effects = append(a.effects, pool.Result{ID: e.req.ID, Reason: reason, QueueTime: now.Sub(e.queuedAt)})
}

func (a *arrivalOrder) serviceTime(rank int) time.Duration {
	if a.mean[rank] > 0 {
		return a.mean[rank]
	}
	return 15 * time.Millisecond
}

func (a *arrivalOrder) Submit(now types.Time, req pool.Request) {
	if a.firstCome {
		req.Rank, req.Due = 0, req.Deadline
	}
	e := &arrivalEntry{req: req, queuedAt: now}
	var work time.Duration
	for r := 0; r <= req.Rank; r++ {
		work += time.Duration(len(a.queued[r])) * a.serviceTime(r)
	}
	if len(a.running) >= a.cfg.Slots {
		work += a.serviceTime(req.Rank)
	}
	opensOrSingle := req.Tx == 0 || req.Begin != nil
	if opensOrSingle && (a.size >= 512 || now.Add(work/time.Duration(a.cfg.Slots)).After(req.Deadline)) {
		a.end(e, now, types.ReasonLate)
		return
	}
	a.queued[req.Rank] = append(a.queued[req.Rank], e)
	a.size++
	a.dispatch(now)
}

func (a *arrivalOrder) Tick(now types.Time) {
	for r := range a.queued {
		a.queued[r] = slices.DeleteFunc(a.queued[r], func(e *arrivalEntry) bool {
			expired := !now.Before(e.req.Deadline)
			if expired {
				a.size--
				a.end(e, now, types.ReasonLate)
			}
			return expired
		})
	}
	a.dispatch(now)
}

func (a *arrivalOrder) CloseAll(now types.Time, reason types.Reason) {
	for r := range a.queued {
		for _, e := range a.queued[r] {
			a.end(e, now, reason)
		}
		a.queued[r] = nil
	}
	a.size = 0
	for _, id := range slices.Sorted(maps.Keys(a.running)) {
		a.end(a.running[id], now, reason)
	}
	clear(a.running)
}

func (a *arrivalOrder) HandleReply(now types.Time, id pool.ConnID, _ statement.Reply) {
	e := a.running[id]
	switch {
	case e == nil:
		return
	case e.req.Begin != nil && !e.began:
		e.began = true
		e.startedAt = now
		a.effects = append(a.effects, pool.Send{Conn: id, Command: pool.Command{ID: e.req.Query.ID, Stmt: e.req.Query.Stmt}})
		return
	}
	delete(a.running, id)
	took := now.Sub(e.startedAt)
	if a.mean[e.req.Rank] == 0 {
		a.mean[e.req.Rank] = took
	}
	a.mean[e.req.Rank] += (took - a.mean[e.req.Rank]) / 16
	a.effects = append(a.effects, pool.Result{ID: e.req.ID, QueueTime: e.startedAt.Sub(e.queuedAt), ServiceTime: took})
	a.dispatch(now)
}

func (a *arrivalOrder) dispatch(now types.Time) {
	for len(a.running) < a.cfg.Slots && a.size > 0 {
		rank, i := a.next(now)
		e := a.queued[rank][i]
		a.queued[rank] = slices.Delete(a.queued[rank], i, i+1)
		a.size--
		e.startedAt = now
		id := a.nextConn()
		a.running[id] = e
		cmd := pool.Command{ID: e.req.Query.ID, Stmt: e.req.Query.Stmt}
		if e.req.Begin != nil {
			cmd = pool.Command{ID: e.req.Begin.ID, Stmt: e.req.Begin.Stmt}
		}
		a.effects = append(a.effects, pool.Send{Conn: id, Command: cmd})
	}
}

// next returns the rank and the index of the request that starts next.
func (a *arrivalOrder) next(now types.Time) (rank, index int) {
	for r := len(a.queued) - 1; r > 0; r-- {
		if len(a.queued[r]) > 0 && a.credit[r] >= a.serviceTime(r) {
			a.credit[r] -= a.serviceTime(r)
			return r, max(0, a.first(now, r, false))
		}
	}
	for _, late := range []bool{false, true} {
		for r := range a.queued {
			if i := a.first(now, r, late); i >= 0 {
				a.creditFloors(r)
				return r, i
			}
		}
	}
	panic("no queued request")
}

func (a *arrivalOrder) creditFloors(started int) {
	for r := started + 1; r < len(a.queued); r++ {
		if len(a.queued[r]) == 0 {
			a.credit[r] = 0
			continue
		}
		a.credit[r] = min(a.credit[r]+a.serviceTime(started)*12/100, 2*a.serviceTime(r))
	}
}

func (a *arrivalOrder) first(now types.Time, rank int, late bool) int {
	return slices.IndexFunc(a.queued[rank], func(e *arrivalEntry) bool {
		objective := e.req.Due.Sub(e.queuedAt)
		reserved := a.serviceTime(rank)*5/2 + min(10*time.Millisecond, objective/4)
		reserved = max(a.serviceTime(rank), min(reserved, objective*3/4))
		continues := e.req.Tx != 0 && e.req.Begin == nil
		return (!continues && now.Add(reserved).After(e.req.Due)) == late
	})
}
