package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a reserve that hides how long busy hosts take, and against one that stays after
// they are idle again.
func TestWayTimeFollowsBusyHosts(t *testing.T) {
	is := is.New(t)
	var w wayTime
	is.Equal(w.usualLimit(), time.Duration(0))
	for range 100 {
		w.record(2 * time.Millisecond)
	}
	is.True(w.usualLimit() < 3*time.Millisecond)
	for range 50 {
		w.record(60 * time.Millisecond)
	}
	is.True(w.usualLimit() > 50*time.Millisecond)
	for range 100 {
		w.record(2 * time.Millisecond)
	}
	is.True(w.usualLimit() < 5*time.Millisecond)
}
