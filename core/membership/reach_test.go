package membership

import (
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/core/types"
)

func TestDataCentreIsSilentAfterSeveralMissedProbes(t *testing.T) {
	is := is.New(t)
	r := NewReach()
	for range silentAfter - 1 {
		is.True(!r.Probed("pelotas", false))
	}
	is.True(!r.Probed("pelotas", true)) // one answer starts the count again
	for range silentAfter - 1 {
		is.True(!r.Probed("pelotas", false))
	}
	is.True(r.Probed("pelotas", false))
	is.Equal(r.Silent(), []types.DataCentre{"pelotas"})
	is.True(!r.Probed("pelotas", false))
	is.True(r.Probed("pelotas", true))
	is.Equal(len(r.Silent()), 0)
}

func TestViewHidesSilentDataCentres(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: Member{Host: "h1", DataCentre: "sao-jose"}, Seed: 1})
	v := View{Snapshot: m.Snapshot()}
	is.Equal(v.Live("sao-jose"), []types.Host{"h1"})
	v.Silent = []types.DataCentre{"sao-jose"}
	is.Equal(len(v.Live("sao-jose")), 0)
}
