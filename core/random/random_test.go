package random

import (
	"testing"

	"github.com/matryer/is"
)

func TestSourceRepeatsForSameSeed(t *testing.T) {
	is := is.New(t)
	a, b := New(7), New(7)
	for range 100 {
		is.Equal(a.Uint64(), b.Uint64())
	}
}

func TestSampleReturnsDistinctItems(t *testing.T) {
	is := is.New(t)
	s := New(1)
	seen := map[int]bool{}
	for _, v := range Sample(&s, []int{1, 2, 3, 4}, 3) {
		seen[v] = true
	}
	is.Equal(len(seen), 3)
	is.Equal(len(Sample(&s, []int{1}, 3)), 1)
}
