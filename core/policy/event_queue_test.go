package policy

import (
	"baobabfield.example/core/types"
)

// event is a function to run at a virtual time.
type event struct {
	at  types.Time
	seq uint64
	run func()
}

// eventQueue is a binary heap of events, with the earliest event first.
type eventQueue []event

func (q eventQueue) less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q *eventQueue) push(e event) {
	*q = append(*q, e)
	h := *q
	for i := len(h) - 1; i > 0 && h.less(i, (i-1)/2); i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
	}
}

func (q *eventQueue) pop() event {
	h := *q
	top, last := h[0], len(h)-1
	h[0] = h[last]
	h = h[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child+1 < last && h.less(child+1, child) {
			child++
		}
		if child >= last || !h.less(child, i) {
			break
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
	*q = h
	return top
}
