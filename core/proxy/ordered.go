package proxy

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// ordered iterates over a map in the order of its keys, so that equal inputs give equal
// effects.
func ordered[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}
