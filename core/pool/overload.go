package pool

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// serviceAverageSamples sets the weight, 1/serviceAverageSamples, of a new sample.
	serviceAverageSamples = 16
	// reservedDeviations mean deviations are reserved for a request beyond the mean service time.
	// Four are usual for time-outs of replies (RFC 6298).
	reservedDeviations = 4
	// minWayTime is the least time reserved for the way between the endpoint and the caller. The
	// part between the frontend and the caller is not measured. At most maxWayPercent of the
	// objective is reserved for the way, and maxReservedPercent in total.
	minWayTime         = 10 * time.Millisecond
	maxWayPercent      = 33
	maxReservedPercent = 75
	// firstsPerRetry is the number of first attempts that start before a retry that waits. Without a
	// share of the starts, retries waited until their deadline at an endpoint that was always busy.
	firstsPerRetry = 4
)

// serviceTimes are the observed service times of a rank.
type serviceTimes struct {
	// mean is zero if nothing has been measured yet. deviation is the mean absolute deviation.
	mean, deviation time.Duration
}

func (s *serviceTimes) record(d time.Duration) {
	if s.mean == 0 {
		s.mean, s.deviation = d, d/2
		return
	}
	s.deviation += ((d - s.mean).Abs() - s.deviation) / serviceAverageSamples
	s.mean += (d - s.mean) / serviceAverageSamples
}

// expected returns the expected service time of a request.
func (s *serviceTimes) expected() time.Duration {
	if s.mean > 0 {
		return s.mean
	}
	return defaultServiceTime
}

// usualLimit returns the service time that few requests exceed; zero if nothing has been measured
// yet. A guess above the objective would make all requests of the rank late, and while others go
// first, nothing would be measured.
func (s *serviceTimes) usualLimit() time.Duration { return s.mean + reservedDeviations*s.deviation }

// isLate reports whether a request that starts now would probably miss its objective.
func (s *serviceTimes) isLate(now types.Time, qr *queuedRequest) bool {
	return now.Add(s.reservedTime(qr)).After(qr.req.Due)
}

// canSpare reports whether a request that is late, but by less than the reserve, can start without
// making the next one late. The next one is nearly late too while the endpoint is asked for more
// than it can run.
func (s *serviceTimes) canSpare(now types.Time, qr *queuedRequest) bool {
	end := now.Add(s.mean)
	return !end.Add(qr.wayTime()).After(qr.req.Due) && (qr.newer == nil || !s.isLate(end, qr.newer))
}

// reservedTime returns the time that a request needs to meet its objective in most cases,
// since service times vary. At a slow endpoint it is a part of the objective, so that requests
// are not late already on arrival.
func (s *serviceTimes) reservedTime(qr *queuedRequest) time.Duration {
	objective := qr.req.Due.Sub(qr.queuedAt)
	reserved := s.usualLimit() + qr.wayTime()
	return max(s.mean, min(reserved, objective*maxReservedPercent/100))
}

// wayTime returns the time that is reserved for the way.
func (qr *queuedRequest) wayTime() time.Duration {
	return min(max(qr.req.WayTime, minWayTime), qr.req.Due.Sub(qr.queuedAt)*maxWayPercent/100)
}

// line holds the requests of one workspace in a rank that do not continue a transaction.
type line struct {
	// inTime holds the requests that can probably meet their objective, and late the others.
	// A request moves from inTime to late when its turn comes or a request behind it is chosen.
	inTime, late attempts
	// firstsStarted is the number of first attempts that have started since the last retry.
	firstsStarted int
}

// attempts holds first attempts, which go first but for a share of the starts, and retries.
type attempts struct{ first, retries requestList }

// inOrder returns the lists in the order in which they are served.
func (a *attempts) inOrder(firstsStarted int) [2]*requestList {
	if firstsStarted >= firstsPerRetry {
		return [...]*requestList{&a.retries, &a.first}
	}
	return [...]*requestList{&a.first, &a.retries}
}

// noteStart records that a request starts.
func (l *line) noteStart(qr *queuedRequest) {
	if qr.list == &l.inTime.retries || qr.list == &l.late.retries {
		l.firstsStarted = 0
		return
	}
	l.firstsStarted++
}

func (a *attempts) listOf(qr *queuedRequest) *requestList {
	if qr.req.Retry || qr.isResent {
		return &a.retries
	}
	return &a.first
}

func (l *line) push(qr *queuedRequest) { l.inTime.listOf(qr).push(qr) }

// visitInTime calls visit with the requests that can meet their objective, until visit returns
// true.
func (l *line) visitInTime(now types.Time, service *serviceTimes, visit func(*queuedRequest) bool) bool {
	var blocked trustSet
	for _, list := range l.inTime.inOrder(l.firstsStarted) {
		for qr := list.oldest; qr != nil; {
			newer := qr.newer
			if service.isLate(now, qr) && !service.canSpare(now, qr) {
				list.remove(qr)
				l.late.listOf(qr).push(qr)
			} else if !blocked.has(qr) {
				if visit(qr) {
					return true
				}
				blocked.add(qr)
			}
			if blocked == allBlocked {
				return false
			}
			qr = newer
		}
	}
	return false
}

// visitLate calls visit with the late requests until it returns true.
func (l *line) visitLate(visit func(*queuedRequest) bool) bool {
	var blocked trustSet
	for _, list := range l.late.inOrder(l.firstsStarted) {
		for qr := list.oldest; qr != nil && blocked != allBlocked; qr = qr.newer {
			if blocked.has(qr) {
				continue
			}
			if visit(qr) {
				return true
			}
			blocked.add(qr)
		}
	}
	return false
}

// trustSet records whether the requests of a line that require a trusted connection, and those that
// do not, find no connection. It avoids a search for each request.
type trustSet uint8

const (
	blockedTrusted trustSet = 1 << iota
	blockedAny
	allBlocked = blockedTrusted | blockedAny
)

func trustOf(qr *queuedRequest) trustSet {
	if qr.req.RequireTrusted {
		return blockedTrusted
	}
	return blockedAny
}

func (b *trustSet) has(qr *queuedRequest) bool { return *b&trustOf(qr) != 0 }

// add records that a request finds no connection. If none is idle, none is trusted either.
func (b *trustSet) add(qr *queuedRequest) {
	*b |= trustOf(qr) | blockedTrusted
}
