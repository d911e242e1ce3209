package events

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"baobabfield.example/core/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestQueryReturnsStampedEvents checks that a query sees the events recorded before it,
// although they wait in a queue. The events keep their causes and have distinct ids. Their
// stamps increase, even if the wall clock does not advance.
func TestQueryReturnsStampedEvents(t *testing.T) {
	is := is.New(t)
	wall := int64(1000)
	task := New(Settings{Host: "a", MaxEvents: 2, WallNanos: func() int64 { return wall }})
	first, second := task.Recorder(1), task.Recorder(2)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		task.Run(ctx)
	}()
	cause := first.Record(timeline.Event{Kind: timeline.KindHostStarted})
	first.Record(timeline.Event{Kind: timeline.KindHostJoined, Cause: cause})
	second.Record(timeline.Event{Kind: timeline.KindHostDead})
	reply := make(chan []timeline.Event, 1)
	task.Queries() <- Query{Reply: reply}
	got := <-reply
	is.Equal(len(got), 2) // the ring keeps the newest two events
	is.Equal(got[0].Cause, cause)
	is.True(got[0].Stamp.Less(got[1].Stamp))
	is.True(got[0].ID != got[1].ID)
	cancel()
	<-done
}
