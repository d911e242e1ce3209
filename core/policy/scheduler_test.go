package policy

import (
	"baobabfield.example/core/admission"
	"baobabfield.example/core/types"
)

// scheduler is the policy of an owner: the real queue or a baseline.
type scheduler interface {
	Step(now types.Time, ev admission.Event) []admission.Effect
}

type policyKind int

const (
	policyRanked policyKind = iota
	policyFirstCome
	policyStrict
	// policyTwoChoices is policyRanked, but chooses replicas only by requests in flight.
	policyTwoChoices
	policyCount
)

var policyNames = [policyCount]string{"baobabfield", "first come", "strict priority", "two choices"}

func newScheduler(kind policyKind, d deployment) scheduler {
	switch kind {
	case policyFirstCome:
		return &baselineQueue{slots: d.slots, queueLimit: rankCount * admission.DefaultQueueLimit, queues: make([][]types.RequestID, 1)}
	case policyStrict:
		return &baselineQueue{slots: d.slots, queueLimit: admission.DefaultQueueLimit, queues: make([][]types.RequestID, rankCount)}
	}
	return admission.New(admission.Config{Slots: d.slots, Connections: d.connections}, 0)
}

// baselineQueue is the baseline: strictly ordered first-in, first-out queues without
// floors, early refusal or admission levels.
type baselineQueue struct {
	slots, slotsInUse int
	queueLimit        int
	queues            [][]types.RequestID
	effects           []admission.Effect
}

var rankIndexByName = func() map[types.Rank]int {
	out := map[types.Rank]int{}
	for i, r := range admission.DefaultRanks() {
		out[r.Name] = i
	}
	return out
}()

func (f *baselineQueue) Step(_ types.Time, ev admission.Event) []admission.Effect {
	f.effects = f.effects[:0]
	switch ev.Kind {
	case admission.EventSubmit:
		i := min(rankIndexByName[ev.Rank], len(f.queues)-1)
		if len(f.queues[i]) >= f.queueLimit {
			return append(f.effects, admission.Effect{Kind: admission.EffectRefuse, ID: ev.ID, Reason: types.ReasonQueueFull})
		}
		f.queues[i] = append(f.queues[i], ev.ID)
	case admission.EventFinish:
		f.slotsInUse--
	}
	for i := range f.queues {
		for f.slotsInUse < f.slots && len(f.queues[i]) > 0 {
			f.effects = append(f.effects, admission.Effect{Kind: admission.EffectStart, ID: f.queues[i][0]})
			f.queues[i] = f.queues[i][1:]
			f.slotsInUse++
		}
	}
	return f.effects
}
