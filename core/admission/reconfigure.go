package admission

import (
	"sort"

	"baobabfield.example/core/types"
)

// Reconfigure replaces the configuration. Requests stay queued, and those whose rank no
// longer exists move to the least urgent rank. The effects are like those of Step.
func (q *Queue) Reconfigure(now types.Time, cfg Config) ([]Effect, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	old := q.ranks
	queued := q.queuedItems()
	q.effects = q.effects[:0]
	q.setConfig(cfg.withDefaults())
	q.copyEstimates(old)
	q.moveItems(old, queued)
	q.setSlots(q.cfg.Slots)
	q.dispatch(now)
	return q.effects, nil
}

// queuedItems returns the queued items in order of arrival.
func (q *Queue) queuedItems() []int32 {
	var out []int32
	for i := range q.items {
		if q.items[i].id != 0 && !q.items[i].started {
			out = append(out, int32(i))
		}
	}
	sort.Slice(out, func(a, b int) bool { return q.items[out[a]].seq < q.items[out[b]].seq })
	return out
}

// copyEstimates copies the estimates of ranks that still exist.
func (q *Queue) copyEstimates(old []rankQueue) {
	for i := range old {
		if at, ok := q.rankByName[old[i].spec.Name]; ok {
			q.ranks[at].serviceTime = old[i].serviceTime
			q.ranks[at].availableShare = old[i].availableShare
		}
	}
}

// moveItems moves all items from the old ranks to the current ones.
func (q *Queue) moveItems(old []rankQueue, queued []int32) {
	for i := range q.items {
		it := &q.items[i]
		if it.id != 0 {
			it.rank = q.rankIndex(old[it.rank].spec.Name)
		}
		if it.started {
			q.ranks[it.rank].runningCount++
		}
	}
	for _, i := range queued {
		it := &q.items[i]
		it.flow = q.ranks[it.rank].findOrAddFlow(it.key, q.cfg.FlowLimit)
		q.enqueue(i)
	}
}
