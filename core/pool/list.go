package pool

// requestList is a doubly linked list of queued requests in order of arrival. Requests leave it
// at both ends and, when they expire, in the middle.
type requestList struct {
	oldest, newest *queuedRequest
	size           int
}

func (l *requestList) push(qr *queuedRequest) {
	qr.list, qr.older, qr.newer = l, l.newest, nil
	if l.newest != nil {
		l.newest.newer = qr
	} else {
		l.oldest = qr
	}
	l.newest = qr
	l.size++
}

func (l *requestList) remove(qr *queuedRequest) {
	if qr.older != nil {
		qr.older.newer = qr.newer
	} else {
		l.oldest = qr.newer
	}
	if qr.newer != nil {
		qr.newer.older = qr.older
	} else {
		l.newest = qr.older
	}
	qr.list, qr.older, qr.newer = nil, nil, nil
	l.size--
}

// deadlineHeap orders the queued requests by deadline, for container/heap.
type deadlineHeap []*queuedRequest

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].req.Deadline.Before(h[j].req.Deadline) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}

func (h *deadlineHeap) Push(x any) {
	qr := x.(*queuedRequest)
	qr.deadlineIndex = len(*h)
	*h = append(*h, qr)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	qr := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return qr
}
