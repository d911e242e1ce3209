package pool

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// maxRank is the highest rank number. Less urgent ranks share it.
	maxRank = 7
	// maxQueuedRequests bounds the queued requests of one endpoint.
	maxQueuedRequests = 512
	// defaultServiceTime is assumed until a service time has been measured.
	defaultServiceTime = 15 * time.Millisecond
	// serviceAverageSamples sets the weight, 1/serviceAverageSamples, of a new sample.
	serviceAverageSamples = 16
	// startsPerFloorTurn is the number of starts of more urgent requests after which the
	// longest queued request of the least urgent rank goes first.
	startsPerFloorTurn = 8
	// startsPerLateTurn is the number of starts of requests that are not late after which
	// the longest queued late request goes first.
	startsPerLateTurn = 6
)

// queuedRequest is a request with its queue state.
type queuedRequest struct {
	req      Request
	queuedAt types.Time
	// isRetry is set on a read that is sent for the second time.
	isRetry bool
}

// queue orders the requests that wait for a slot and a connection.
type queue struct {
	// byRank holds the requests of each rank in order of arrival.
	byRank [maxRank + 1][]*queuedRequest
	size   int
	// meanServiceTime is the mean service time of each rank; zero if not yet measured.
	meanServiceTime [maxRank + 1]time.Duration
	// startsSinceFloorTurn counts the starts while less urgent requests were queued.
	// startsSinceLateTurn counts the starts of requests that were not late while late
	// requests were queued.
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

// expectedWait estimates how long a new request of a rank waits behind requests of the
// same or a more urgent rank.
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

// visitCandidates calls visit with the queued requests in the order in which they should
// start, until visit returns true:
//   - after startsPerFloorTurn starts, the longest queued request of the least urgent
//     rank, so that an overload of urgent requests does not starve the other ranks;
//   - after startsPerLateTurn starts, the longest queued late request, so that late
//     requests of a short backlog do not wait until their deadlines;
//   - by rank, requests that can still meet their objective;
//   - by rank, late requests, which have little worth.
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
				q.countStartForFloor(r)
				if !wantLate && q.hasLate(now) {
					q.startsSinceLateTurn++
				}
				return
			}
		}
	}
}

// visitLeastUrgent calls visit with the longest queued request of the least urgent rank.
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

// visitOldestLate calls visit with the longest queued request that cannot meet its
// objective.
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

// countStartForFloor counts a start of the rank if less urgent requests are queued.
func (q *queue) countStartForFloor(rank int) {
	for r := rank + 1; r <= maxRank; r++ {
		if len(q.byRank[r]) > 0 {
			q.startsSinceFloorTurn++
			return
		}
	}
}

// isLate reports whether a request that starts now would miss its objective. A statement
// of an open transaction is never late, because the transaction's earlier work would be
// lost.
func (q *queue) isLate(now types.Time, rank int, qr *queuedRequest) bool {
	return !qr.req.continuesTx() && now.Add(q.serviceTime(rank)).After(qr.req.Due)
}

// removeExpired removes and returns the requests whose deadline has passed.
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

// earliestDeadline returns the earliest deadline; false if the queue is empty.
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
