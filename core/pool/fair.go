package pool

import (
	"slices"
	"time"

	"baobabfield.example/core/types"
)

// shares divides the slot time of a rank between workspaces by start-time fair queueing: the
// workspace that has used the least slot time goes first. A workspace that has asked for nothing
// saves up no time, because its used time starts at that of the request that started last.
type shares struct {
	byWorkspace map[types.Workspace]*share
	// active holds the shares with queued requests, ordered by used.
	active []*share
	// usedAtStart is the highest used time of a share whose request has started.
	usedAtStart time.Duration
	// size is the number of queued requests.
	size int
}

// share holds the queued requests of one workspace in a rank.
type share struct {
	line
	workspace types.Workspace
	// used is the slot time that the workspace has used, with the offset described at shares.
	used time.Duration
	// size is the number of queued requests.
	size int
}

const (
	// minUnusedShares is the number of shares without queued requests up to which they are kept.
	minUnusedShares = 16
	// maxLagServiceTimes is the number of service times that a workspace catches up at most, after
	// its requests could not start because they had no connection or were late.
	maxLagServiceTimes = 10
)

// of returns the share of a workspace and creates it on first use.
func (s *shares) of(w types.Workspace) *share {
	sh := s.byWorkspace[w]
	if sh == nil {
		if s.byWorkspace == nil {
			s.byWorkspace = map[types.Workspace]*share{}
		}
		s.dropUnused()
		sh = &share{workspace: w}
		s.byWorkspace[w] = sh
	}
	return sh
}

// dropUnused drops the shares without queued requests whose used time makes no difference. It does
// so once they are the majority, so that the cost of an added share is constant on average.
func (s *shares) dropUnused() {
	if len(s.byWorkspace) < 2*len(s.active)+minUnusedShares {
		return
	}
	for w, sh := range s.byWorkspace {
		if sh.size == 0 && sh.used <= s.usedAtStart {
			delete(s.byWorkspace, w)
		}
	}
}

func (s *shares) push(qr *queuedRequest) {
	sh := s.of(qr.req.Workspace)
	qr.share = sh
	sh.push(qr)
	sh.size++
	s.size++
	if sh.size == 1 {
		sh.used = max(sh.used, s.usedAtStart)
		s.insert(sh)
	}
}

func (s *shares) remove(qr *queuedRequest) {
	sh := qr.share
	qr.list.remove(qr)
	sh.size--
	s.size--
	if sh.size == 0 {
		i := slices.Index(s.active, sh)
		s.active = slices.Delete(s.active, i, i+1)
	}
}

// insert adds a share to the active ones, behind those with the same used time.
func (s *shares) insert(sh *share) {
	i, _ := slices.BinarySearchFunc(s.active, sh.used, func(other *share, used time.Duration) int {
		if other.used <= used {
			return -1
		}
		return 1
	})
	s.active = slices.Insert(s.active, i, sh)
}

// charge adds slot time to the used time of a workspace. Negative time corrects an earlier charge.
func (s *shares) charge(sh *share, d time.Duration) {
	sh.used += d
	if sh.size > 0 {
		i := slices.Index(s.active, sh)
		s.active = slices.Delete(s.active, i, i+1)
		s.insert(sh)
	}
}

// start charges a workspace for a request that starts. The service time is corrected when it is
// known.
func (s *shares) start(w types.Workspace, expected time.Duration) *share {
	sh := s.of(w)
	sh.used = max(sh.used, s.usedAtStart-maxLagServiceTimes*expected)
	s.usedAtStart = max(s.usedAtStart, sh.used)
	s.charge(sh, expected)
	return sh
}

// visitInTime calls visit with the requests that can meet their objective, by workspace, until
// visit returns true.
func (s *shares) visitInTime(now types.Time, service *serviceTimes, visit func(*queuedRequest) bool) bool {
	for _, sh := range s.active {
		if sh.visitInTime(now, service, visit) {
			return true
		}
	}
	return false
}

// visitLate does so with the late requests.
func (s *shares) visitLate(visit func(*queuedRequest) bool) bool {
	for _, sh := range s.active {
		if sh.visitLate(visit) {
			return true
		}
	}
	return false
}

// countAhead returns the number of requests that start before a new one of a workspace: its own,
// and those of other workspaces while they have used no more slot time than it.
func (s *shares) countAhead(w types.Workspace) int {
	own := 0
	if sh := s.byWorkspace[w]; sh != nil {
		own = sh.size
	}
	count := own
	for _, sh := range s.active {
		if sh.workspace != w {
			count += min(sh.size, own+1)
		}
	}
	return count
}

// largestWorkspace returns the workspace with the most queued requests of all ranks, and their
// number.
func (q *queue) largestWorkspace() (types.Workspace, int) {
	var largest types.Workspace
	most := 0
	for w, n := range q.countByWorkspace {
		if n > most || (n == most && w < largest) {
			largest, most = w, n
		}
	}
	return largest, most
}

// chooseExcess returns the request to refuse when the queue is full and a request of a workspace
// arrives; nil for the one that arrives. It is one of the workspace with the most queued requests.
func (q *queue) chooseExcess(arriving types.Workspace) *queuedRequest {
	largest, most := q.largestWorkspace()
	if largest == arriving || most <= q.countByWorkspace[arriving]+1 {
		return nil
	}
	for r := maxRank; r >= 0; r-- {
		if sh := q.ranks[r].shares.byWorkspace[largest]; sh != nil && sh.size > 0 {
			return sh.leastWorthwhile()
		}
	}
	return nil
}

// leastWorthwhile returns the request that is least likely to be of use to its caller: the late one
// that is nearest to its deadline, or else the one whose caller has waited least.
func (l *line) leastWorthwhile() *queuedRequest {
	for _, qr := range [...]*queuedRequest{l.late.retries.oldest, l.late.first.oldest, l.inTime.retries.newest} {
		if qr != nil {
			return qr
		}
	}
	return l.inTime.first.newest
}
