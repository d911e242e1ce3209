package pool

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// maxRank bounds the ranks that are told apart.
	maxRank = 7
	// maxWaiting bounds the requests that wait at one endpoint.
	maxWaiting = 512
	// firstService is the assumed service time before any was measured.
	firstService = 15 * time.Millisecond
	// serviceWeight is the weight, 1/serviceWeight, of a new sample.
	serviceWeight = 16
	// floorTurn is the number of starts of more urgent requests after which the
	// longest waiting request of the least urgent rank goes first.
	floorTurn = 8
	// lateTurn is the number of starts in time after which the longest waiting late
	// request goes first.
	lateTurn = 6
)

// waiting is a request in the queue.
type waiting struct {
	req      Request
	queuedAt types.Time
	// again is set on a read that is asked for the second time.
	again bool
}

// queue orders the requests that wait for a slot and a connection.
type queue struct {
	// ranks holds the requests by rank, in the order of their arrival.
	ranks [maxRank + 1][]*waiting
	size  int
	// service is the mean service time by rank.
	service [maxRank + 1]time.Duration
	// passedOver counts the starts while less urgent requests waited, and passedLate
	// those while late ones did.
	passedOver, passedLate int
}

func clampRank(r int) int { return max(0, min(r, maxRank)) }

func (q *queue) serviceTime(rank int) time.Duration {
	if s := q.service[rank]; s > 0 {
		return s
	}
	return firstService
}

func (q *queue) observe(rank int, d time.Duration) {
	rank = clampRank(rank)
	if q.service[rank] == 0 {
		q.service[rank] = d
		return
	}
	q.service[rank] += (d - q.service[rank]) / serviceWeight
}

// expectedWait estimates how long a new request of a rank would wait behind those
// that go before it.
func (q *queue) expectedWait(rank, running, slots int) time.Duration {
	var work time.Duration
	for r := 0; r <= rank; r++ {
		work += time.Duration(len(q.ranks[r])) * q.serviceTime(r)
	}
	if running >= slots {
		work += q.serviceTime(rank)
	}
	return work / time.Duration(max(slots, 1))
}

func (q *queue) push(w *waiting) {
	r := clampRank(w.req.Rank)
	q.ranks[r] = append(q.ranks[r], w)
	q.size++
}

func (q *queue) take(rank, i int) {
	list := q.ranks[rank]
	copy(list[i:], list[i+1:])
	list[len(list)-1] = nil
	q.ranks[rank] = list[:len(list)-1]
	q.size--
}

// candidates calls visit with the waiting requests in the order in which they
// should start, until visit reports true:
//   - first, now and then, the longest waiting request of the least urgent rank,
//     so that a flood of urgent work leaves the others a floor;
//   - now and then, the longest waiting request that can only be late, so that
//     those of a short backlog are not left to their deadlines;
//   - then, by rank, those that can still meet their objective;
//   - then, by rank, those that can only be late, which are worth little.
func (q *queue) candidates(now types.Time, visit func(rank, i int, w *waiting) bool) {
	if q.passedOver >= floorTurn && q.visitFloor(visit) {
		q.passedOver = 0
		return
	}
	if q.passedLate >= lateTurn && q.visitLate(now, visit) {
		q.passedLate = 0
		return
	}
	for _, wantLate := range [...]bool{false, true} {
		for r := range q.ranks {
			for i, w := range q.ranks[r] {
				if q.isLate(now, r, w) != wantLate || !visit(r, i, w) {
					continue
				}
				q.noteStart(r)
				if !wantLate && q.anyLate(now) {
					q.passedLate++
				}
				return
			}
		}
	}
}

// visitFloor offers the longest waiting request of the least urgent rank.
func (q *queue) visitFloor(visit func(rank, i int, w *waiting) bool) bool {
	for r := maxRank; r > 0; r-- {
		if len(q.ranks[r]) > 0 {
			return visit(r, 0, q.ranks[r][0])
		}
	}
	return false
}

func (q *queue) anyLate(now types.Time) bool {
	return q.visitLate(now, func(int, int, *waiting) bool { return true })
}

// visitLate offers the longest waiting request that can only be late.
func (q *queue) visitLate(now types.Time, visit func(rank, i int, w *waiting) bool) bool {
	rank, index := -1, -1
	var oldest *waiting
	for r := range q.ranks {
		for i, w := range q.ranks[r] {
			if q.isLate(now, r, w) && (oldest == nil || w.queuedAt.Before(oldest.queuedAt)) {
				rank, index, oldest = r, i, w
			}
		}
	}
	return oldest != nil && visit(rank, index, oldest)
}

// noteStart counts a start while less urgent requests wait.
func (q *queue) noteStart(rank int) {
	for r := rank + 1; r <= maxRank; r++ {
		if len(q.ranks[r]) > 0 {
			q.passedOver++
			return
		}
	}
}

// isLate reports whether a request that starts now misses its objective. A
// statement inside a transaction is never late: its earlier work would be lost.
func (q *queue) isLate(now types.Time, rank int, w *waiting) bool {
	return !w.req.continues() && now.Add(q.serviceTime(rank)).After(w.req.Due)
}

// expired returns the requests whose deadline has passed.
func (q *queue) expired(now types.Time) []*waiting {
	var out []*waiting
	for r := range q.ranks {
		for i := 0; i < len(q.ranks[r]); {
			if w := q.ranks[r][i]; !now.Before(w.req.Deadline) {
				q.take(r, i)
				out = append(out, w)
				continue
			}
			i++
		}
	}
	return out
}

// nextDeadline returns the earliest deadline; false where nothing waits.
func (q *queue) nextDeadline() (types.Time, bool) {
	var at types.Time
	found := false
	for r := range q.ranks {
		for _, w := range q.ranks[r] {
			if !found || w.req.Deadline.Before(at) {
				at, found = w.req.Deadline, true
			}
		}
	}
	return at, found
}
