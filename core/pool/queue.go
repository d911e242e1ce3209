package pool

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// maxRank bounds the ranks that are told apart.
	maxRank = 7
	// maxQueuedRequests bounds the requests that wait at one endpoint.
	maxQueuedRequests = 512
	// defaultServiceTime is the assumed service time before any was measured.
	defaultServiceTime = 15 * time.Millisecond
	// serviceAverageSamples is the weight, 1/serviceAverageSamples, of a new sample.
	serviceAverageSamples = 16
	// startsPerFloorTurn is the number of starts of more urgent requests after which the
	// longest waiting request of the least urgent rank goes first.
	startsPerFloorTurn = 8
	// startsPerLateTurn is the number of starts in time after which the longest waiting late
	// request goes first.
	startsPerLateTurn = 6
)

// queuedRequest is a request in the queue.
type queuedRequest struct {
	req      Request
	queuedAt types.Time
	// isRetry is set on a read that is asked for the second time.
	isRetry bool
}

// queue orders the requests that wait for a slot and a connection.
type queue struct {
	// byRank holds the requests by rank, in the order of their arrival.
	byRank [maxRank + 1][]*queuedRequest
	size   int
	// meanServiceTime is the mean meanServiceTime time by rank.
	meanServiceTime [maxRank + 1]time.Duration
	// startsSinceFloorTurn counts the starts while less urgent requests waited, and startsSinceLateTurn
	// those while late ones did.
	startsSinceFloorTurn, startsSinceLateTurn int
}

func clampRank(r int) int { return max(0, min(r, maxRank)) }

func (q *queue) serviceTime(rank int) time.Duration {
	if s := q.meanServiceTime[rank]; s > 0 {
		return s
	}
	return defaultServiceTime
}

func (q *queue) recordServiceTime(rank int, d time.Duration) {
	rank = clampRank(rank)
	if q.meanServiceTime[rank] == 0 {
		q.meanServiceTime[rank] = d
		return
	}
	q.meanServiceTime[rank] += (d - q.meanServiceTime[rank]) / serviceAverageSamples
}

// expectedWait estimates how long a new request of a rank would wait behind those
// that go before it.
func (q *queue) expectedWait(rank, running, slots int) time.Duration {
	var work time.Duration
	for r := 0; r <= rank; r++ {
		work += time.Duration(len(q.byRank[r])) * q.serviceTime(r)
	}
	if running >= slots {
		work += q.serviceTime(rank)
	}
	return work / time.Duration(max(slots, 1))
}

func (q *queue) push(qr *queuedRequest) {
	r := clampRank(qr.req.Rank)
	q.byRank[r] = append(q.byRank[r], qr)
	q.size++
}

func (q *queue) remove(rank, i int) {
	list := q.byRank[rank]
	copy(list[i:], list[i+1:])
	list[len(list)-1] = nil
	q.byRank[rank] = list[:len(list)-1]
	q.size--
}

// visitCandidates calls visit with the waiting requests in the order in which they
// should start, until visit reports true:
//   - first, now and then, the longest waiting request of the least urgent rank,
//     so that a flood of urgent work leaves the others a floor;
//   - now and then, the longest waiting request that can only be late, so that
//     those of a short backlog are not left to their deadlines;
//   - then, by rank, those that can still meet their objective;
//   - then, by rank, those that can only be late, which are worth little.
func (q *queue) visitCandidates(now types.Time, visit func(rank, i int, qr *queuedRequest) bool) {
	if q.startsSinceFloorTurn >= startsPerFloorTurn && q.visitLeastUrgent(visit) {
		q.startsSinceFloorTurn = 0
		return
	}
	if q.startsSinceLateTurn >= startsPerLateTurn && q.visitOldestLate(now, visit) {
		q.startsSinceLateTurn = 0
		return
	}
	for _, wantLate := range [...]bool{false, true} {
		for r := range q.byRank {
			for i, qr := range q.byRank[r] {
				if q.isLate(now, r, qr) != wantLate || !visit(r, i, qr) {
					continue
				}
				q.countFloorTurn(r)
				if !wantLate && q.hasLate(now) {
					q.startsSinceLateTurn++
				}
				return
			}
		}
	}
}

// visitLeastUrgent offers the longest waiting request of the least urgent rank.
func (q *queue) visitLeastUrgent(visit func(rank, i int, qr *queuedRequest) bool) bool {
	for r := maxRank; r > 0; r-- {
		if len(q.byRank[r]) > 0 {
			return visit(r, 0, q.byRank[r][0])
		}
	}
	return false
}

func (q *queue) hasLate(now types.Time) bool {
	return q.visitOldestLate(now, func(int, int, *queuedRequest) bool { return true })
}

// visitOldestLate offers the longest waiting request that can only be late.
func (q *queue) visitOldestLate(now types.Time, visit func(rank, i int, qr *queuedRequest) bool) bool {
	rank, index := -1, -1
	var oldest *queuedRequest
	for r := range q.byRank {
		for i, qr := range q.byRank[r] {
			if q.isLate(now, r, qr) && (oldest == nil || qr.queuedAt.Before(oldest.queuedAt)) {
				rank, index, oldest = r, i, qr
			}
		}
	}
	return oldest != nil && visit(rank, index, oldest)
}

// countFloorTurn counts a start while less urgent requests wait.
func (q *queue) countFloorTurn(rank int) {
	for r := rank + 1; r <= maxRank; r++ {
		if len(q.byRank[r]) > 0 {
			q.startsSinceFloorTurn++
			return
		}
	}
}

// isLate reports whether a request that starts now misses its objective. A
// statement inside a transaction is never late: its earlier work would be lost.
func (q *queue) isLate(now types.Time, rank int, qr *queuedRequest) bool {
	return !qr.req.continuesTx() && now.Add(q.serviceTime(rank)).After(qr.req.Due)
}

// removeExpired returns the requests whose deadline has passed.
func (q *queue) removeExpired(now types.Time) []*queuedRequest {
	var out []*queuedRequest
	for r := range q.byRank {
		for i := 0; i < len(q.byRank[r]); {
			if qr := q.byRank[r][i]; !now.Before(qr.req.Deadline) {
				q.remove(r, i)
				out = append(out, qr)
				continue
			}
			i++
		}
	}
	return out
}

// earliestDeadline returns the earliest deadline; false where nothing waits.
func (q *queue) earliestDeadline() (types.Time, bool) {
	var at types.Time
	found := false
	for r := range q.byRank {
		for _, qr := range q.byRank[r] {
			if !found || qr.req.Deadline.Before(at) {
				at, found = qr.req.Deadline, true
			}
		}
	}
	return at, found
}
