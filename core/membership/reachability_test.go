package membership

import (
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/core/types"
)

func TestDataCentreIsUnreachableAfterMissedProbes(t *testing.T) {
	is := is.New(t)
	r := NewReachability()
	for range missedProbeLimit - 1 {
		is.True(!r.RecordProbe("pelotas", false))
	}
	is.True(!r.RecordProbe("pelotas", true)) // a response resets the count
	for range missedProbeLimit - 1 {
		is.True(!r.RecordProbe("pelotas", false))
	}
	is.True(r.RecordProbe("pelotas", false))
	is.Equal(r.Unreachable(), []types.DataCentre{"pelotas"})
	is.True(!r.RecordProbe("pelotas", false))
	is.True(r.RecordProbe("pelotas", true))
	is.Equal(len(r.Unreachable()), 0)
}

func TestViewHidesUnreachableDataCentres(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: Member{Host: "h1", DataCentre: "sao-jose"}, Seed: 1})
	v := View{Snapshot: m.Snapshot()}
	is.Equal(v.Live("sao-jose"), []types.Host{"h1"})
	v.Unreachable = []types.DataCentre{"sao-jose"}
	is.Equal(len(v.Live("sao-jose")), 0)
}
