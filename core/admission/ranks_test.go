package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/types"
)

func TestRanksOrDefault(t *testing.T) {
	is := is.New(t)
	ranks, err := RanksOrDefault(nil)
	is.NoErr(err)
	is.Equal(ranks, DefaultRanks())

	own := []types.RankSpec{{Name: "urgent", Target: time.Second, Worth: 1, Floor: 60}}
	ranks, err = RanksOrDefault(own)
	is.NoErr(err)
	is.Equal(ranks, own)

	conflicting := append(own, types.RankSpec{Name: "normal", Target: time.Second, Worth: 1, Floor: 60, Order: 1})
	ranks, err = RanksOrDefault(conflicting)
	is.True(err != nil) // the floors exceed 100 percent
	is.Equal(ranks, DefaultRanks())
}
