package pool

import (
	"container/heap"
	"time"

	"baobabfield.example/core/types"
)

const (
	// maxRank is the highest rank number. Less urgent ranks share it.
	maxRank = 7
	// maxQueuedRequests bounds the memory of the queue of one endpoint.
	maxQueuedRequests = 512
	// defaultServiceTime is assumed until a service time has been measured.
	defaultServiceTime = 15 * time.Millisecond
	// floorPercent is the share of the slot time of more urgent ranks that each rank with
	// queued requests is given in addition.
	floorPercent = 12
)

// queuedRequest is a request with its queue state.
type queuedRequest struct {
	req      Request
	queuedAt types.Time
	// isResent is set on a read that is sent to the endpoint for the second time.
	isResent bool
	// mayHaveRun is set on a queued request that the endpoint may have run already.
	mayHaveRun bool
	// deadlineIndex is the position in queue.byDeadline.
	deadlineIndex int
	// share is that of a queued request; nil for a statement of an open transaction.
	share *share
	// charged is the share that was charged with chargedTime when the request started, at
	// startedAt.
	charged     *share
	chargedTime time.Duration
	startedAt   types.Time
	// list holds the request between older and newer.
	list         *requestList
	older, newer *queuedRequest
}

// queue orders the requests that wait for a slot and a connection.
type queue struct {
	ranks [maxRank + 1]rankQueue
	// byDeadline holds all requests.
	byDeadline deadlineHeap
	// countByWorkspace is the number of queued requests of each workspace that has any.
	countByWorkspace map[types.Workspace]int
}

// rankQueue holds the requests of one rank.
type rankQueue struct {
	// continuing holds the statements of open transactions.
	continuing requestList
	// shares holds all other requests.
	shares  shares
	service serviceTimes
	// floorCredit is the slot time that the rank has earned while requests of more urgent
	// ranks were started.
	floorCredit time.Duration
}

func (r *rankQueue) size() int { return r.continuing.size + r.shares.size }

func clampRank(r int) int { return max(0, min(r, maxRank)) }

func (q *queue) size() int { return len(q.byDeadline) }

func (q *queue) serviceTime(rank int) time.Duration { return q.ranks[rank].service.expected() }

func (q *queue) recordServiceTime(rank int, d time.Duration) {
	q.ranks[clampRank(rank)].service.record(d)
}

// expectedWait estimates how long a new request of a workspace waits behind requests of more urgent
// ranks, and of its own rank up to the workspace's fair share.
func (q *queue) expectedWait(w types.Workspace, rank, running, slots int) time.Duration {
	own := &q.ranks[rank]
	work := time.Duration(own.continuing.size+own.shares.countAhead(w)) * q.serviceTime(rank)
	for r := 0; r < rank; r++ {
		work += time.Duration(q.ranks[r].size()) * q.serviceTime(r)
	}
	if running >= slots {
		work += q.serviceTime(rank)
	}
	return work / time.Duration(max(slots, 1))
}

func (q *queue) push(qr *queuedRequest) {
	r := &q.ranks[clampRank(qr.req.Rank)]
	if qr.req.continuesTx() {
		r.continuing.push(qr)
	} else {
		r.shares.push(qr)
	}
	if q.countByWorkspace == nil {
		q.countByWorkspace = map[types.Workspace]int{}
	}
	q.countByWorkspace[qr.req.Workspace]++
	heap.Push(&q.byDeadline, qr)
}

func (q *queue) remove(qr *queuedRequest) {
	r := &q.ranks[clampRank(qr.req.Rank)]
	if qr.share != nil {
		r.shares.remove(qr)
		qr.share = nil
	} else {
		r.continuing.remove(qr)
	}
	if q.countByWorkspace[qr.req.Workspace]--; q.countByWorkspace[qr.req.Workspace] == 0 {
		delete(q.countByWorkspace, qr.req.Workspace)
	}
	heap.Remove(&q.byDeadline, qr.deadlineIndex)
}

// start removes a request that starts and charges its workspace.
func (q *queue) start(now types.Time, qr *queuedRequest) {
	if qr.share != nil {
		qr.share.noteStart(qr)
	}
	q.remove(qr)
	qr.startedAt = now
	r := &q.ranks[clampRank(qr.req.Rank)]
	qr.chargedTime = r.service.expected()
	qr.charged = r.shares.start(qr.req.Workspace, qr.chargedTime)
}

// finish corrects the charge of a request to the slot time that it has used. It is called when the
// slot is released, and again if the reply comes later.
func (q *queue) finish(now types.Time, qr *queuedRequest) {
	used := now.Sub(qr.startedAt)
	q.ranks[clampRank(qr.req.Rank)].shares.charge(qr.charged, used-qr.chargedTime)
	qr.chargedTime = used
}

// visitCandidates calls visit with the queued requests in the order in which they should
// start, until visit returns true:
//   - a rank whose floor has earned the slot time of a request, so that an overload of more
//     urgent requests does not starve it;
//   - by rank, requests that can still meet their objective;
//   - by rank, late requests, which have little worth.
//
// Within a rank, the workspace goes first that has used the least slot time, see shares.
//
// It answers the load of an endpoint that is asked for more than its slots can run, for
// instance of a primary whose replicas lag behind. The requests of the overloaded rank then
// wait until they are nearly late. Those that would end just after their objective, and late
// ones, would take the slots of requests that can still be served in time.
func (q *queue) visitCandidates(now types.Time, visit func(*queuedRequest) bool) {
	for r := maxRank; r > 0; r-- {
		if q.ranks[r].floorCredit < q.serviceTime(r) {
			continue
		}
		if q.ranks[r].visitInTime(now, visit) || q.ranks[r].shares.visitLate(visit) {
			q.ranks[r].floorCredit -= q.serviceTime(r)
			return
		}
	}
	for r := range q.ranks {
		if q.ranks[r].visitInTime(now, visit) {
			q.creditFloors(r)
			return
		}
	}
	for r := range q.ranks {
		if q.ranks[r].shares.visitLate(visit) {
			q.creditFloors(r)
			return
		}
	}
}

// visitInTime calls visit with the statements of open transactions, whose earlier work would
// otherwise be lost, and then with the requests that can meet their objective.
func (r *rankQueue) visitInTime(now types.Time, visit func(*queuedRequest) bool) bool {
	for qr := r.continuing.oldest; qr != nil; qr = qr.newer {
		if visit(qr) {
			return true
		}
	}
	return r.shares.visitInTime(now, &r.service, visit)
}

// creditFloors credits the less urgent ranks that have queued requests for a started request.
// A credit covers at most two requests.
func (q *queue) creditFloors(started int) {
	for r := started + 1; r <= maxRank; r++ {
		rank := &q.ranks[r]
		if rank.size() == 0 {
			rank.floorCredit = 0
			continue
		}
		earned := rank.floorCredit + q.serviceTime(started)*floorPercent/100
		rank.floorCredit = min(earned, 2*q.serviceTime(r))
	}
}

// removeExpired removes and returns the requests whose deadline has passed.
func (q *queue) removeExpired(now types.Time) []*queuedRequest {
	var out []*queuedRequest
	for len(q.byDeadline) > 0 && !now.Before(q.byDeadline[0].req.Deadline) {
		qr := q.byDeadline[0]
		q.remove(qr)
		out = append(out, qr)
	}
	return out
}

// removeIf removes and returns the requests for which match returns true.
func (q *queue) removeIf(match func(*queuedRequest) bool) []*queuedRequest {
	var out []*queuedRequest
	for _, qr := range q.byDeadline {
		if match(qr) {
			out = append(out, qr)
		}
	}
	for _, qr := range out {
		q.remove(qr)
	}
	return out
}

// earliestDeadline returns the earliest deadline; false if the queue is empty.
func (q *queue) earliestDeadline() (types.Time, bool) {
	if len(q.byDeadline) == 0 {
		return 0, false
	}
	return q.byDeadline[0].req.Deadline, true
}
