package freshness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/freshness"
	"baobabfield.example/core/types"
)

func point(n int) types.LogPoint { return types.LogPoint{Term: 1, Position: types.Position(n)} }

func at(ms int) types.Time { return types.Time(time.Duration(ms) * time.Millisecond) }

func TestRequiredPositionWithinStaleness(t *testing.T) {
	is := is.New(t)
	var h freshness.History
	_, ok := h.RequiredPosition(at(1000), time.Second)
	is.True(!ok)
	for i := 1; i <= 5; i++ {
		h.Add(at(1000*i), point(i))
	}
	got, ok := h.RequiredPosition(at(5500), 1500*time.Millisecond)
	is.True(ok)
	is.Equal(got, point(4))
	_, ok = h.RequiredPosition(at(9000), 1500*time.Millisecond)
	is.True(!ok)
}

func TestOlderSamplesDoNotReplaceNewerOnes(t *testing.T) {
	is := is.New(t)
	var h freshness.History
	h.Add(at(2000), point(9))
	h.Add(at(1000), point(3))
	got, ok := h.RequiredPosition(at(2000), 5*time.Second)
	is.True(ok)
	is.Equal(got, point(9))
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	var h freshness.History
	for i := range 10000 {
		h.Add(at(1000+i), point(i))
	}
	got, ok := h.RequiredPosition(at(11000), time.Hour)
	is.True(ok)
	is.True(got.Position > 9000)
}
