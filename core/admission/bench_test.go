package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/types"
)

// loadGenerator submits more requests to queues than they can serve.
type loadGenerator struct {
	queues   []*Queue
	started  [][]types.RequestID
	features []types.Feature
	now      types.Time
	nextID   types.RequestID
}

func newLoadGenerator(endpoints, features int) *loadGenerator {
	l := &loadGenerator{started: make([][]types.RequestID, endpoints)}
	for i := range endpoints {
		l.queues = append(l.queues, New(Config{Slots: 3, Connections: 50, InitialServiceTime: 5 * time.Millisecond}, 0))
		l.started[i] = make([]types.RequestID, 0, 8)
	}
	for i := range features {
		l.features = append(l.features, types.Feature(fmt.Sprintf("feature-%d", i)))
	}
	return l
}

var benchRanks = []types.Rank{"urgent", "normal", "background"}

// submitNext submits one request. Every third call also finishes a request if the
// queue's slots are full.
func (l *loadGenerator) submitNext() {
	l.nextID++
	i := int(l.nextID) * 7919 % len(l.queues)
	l.now = l.now.Add(2 * time.Millisecond / time.Duration(len(l.queues)))
	l.applyEvent(i, Event{
		Kind: EventSubmit, ID: l.nextID, Rank: benchRanks[l.nextID%3],
		Feature: l.features[int(l.nextID)%len(l.features)],
	})
	if len(l.started[i]) == 3 && l.nextID%3 == 0 {
		id := l.started[i][0]
		l.started[i] = append(l.started[i][:0], l.started[i][1:]...)
		l.applyEvent(i, Event{Kind: EventFinish, ID: id, Completed: true, ServiceTime: 5 * time.Millisecond})
	}
}

func (l *loadGenerator) applyEvent(i int, ev Event) {
	for _, e := range l.queues[i].Step(l.now, ev) {
		if e.Kind == EffectStart {
			l.started[i] = append(l.started[i], e.ID)
		}
	}
}

// fleetSizes are deployment sizes. In the last one, a single host owns all endpoints.
var fleetSizes = []struct{ databases, hosts int }{{3, 21}, {30, 210}, {300, 2600}, {3000, 2600}, {3000, 1}}

const endpointsPerDatabase = 3

// BenchmarkQueue measures one event at the queues that one host of a fleet owns.
func BenchmarkQueue(b *testing.B) {
	for _, fleet := range fleetSizes {
		for _, features := range []int{5, 200} {
			name := fmt.Sprintf("databases=%d/hosts=%d/features=%d", fleet.databases, fleet.hosts, features)
			b.Run(name, func(b *testing.B) {
				owned := (fleet.databases*endpointsPerDatabase + fleet.hosts - 1) / fleet.hosts
				l := newLoadGenerator(owned, features)
				for range 100 * owned {
					l.submitNext()
				}
				b.ReportAllocs()
				for b.Loop() {
					l.submitNext()
				}
			})
		}
	}
}

func newLoadedGate(endpoints int) (*Gate, []types.Endpoint) {
	g := NewGate(1)
	var names []types.Endpoint
	for i := range endpoints {
		e := types.Endpoint(fmt.Sprintf("database-%d", i))
		names = append(names, e)
		g.SetLevel(0, e, LevelNotice{Rank: "background", Feature: "f", Level: LevelFull / 2})
	}
	return g, names
}

func BenchmarkGate(b *testing.B) {
	for _, databases := range []int{3, 30, 300, 3000} {
		b.Run(fmt.Sprintf("databases=%d", databases), func(b *testing.B) {
			g, names := newLoadedGate(databases * 3)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				g.Admit(0, "background", "f", "", names[i%len(names)])
				i++
			}
		})
	}
}

func TestAdmissionDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	l := newLoadGenerator(9, 20)
	for range 20_000 {
		l.submitNext()
	}
	is.Equal(testing.AllocsPerRun(20_000, l.submitNext), 0.0)
	g, names := newLoadedGate(9)
	i := 0
	is.Equal(testing.AllocsPerRun(1000, func() {
		g.Admit(0, "background", "f", "", names[i%len(names)])
		i++
	}), 0.0)
}
