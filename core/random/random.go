// Package random provides a small seeded random number generator and hash functions. A
// state machine that uses it makes the same choices on every run with the same seed. The
// numbers are not suitable for secrets.
package random

// Source is a splitmix64 random number generator.
type Source struct{ state uint64 }

// New returns a Source. Equal seeds give equal sequences.
func New(seed uint64) Source { return Source{state: seed} }

// Uint64 returns a number from the whole range of uint64.
func (s *Source) Uint64() uint64 {
	s.state += 0x9e3779b97f4a7c15
	z := s.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// IntN returns a number in [0, n). n must be positive.
func (s *Source) IntN(n int) int { return int(s.Uint64() % uint64(n)) }

// Shuffle permutes the items in place.
func Shuffle[T any](s *Source, items []T) {
	for i := len(items) - 1; i > 0; i-- {
		j := s.IntN(i + 1)
		items[i], items[j] = items[j], items[i]
	}
}

// Sample returns up to k distinct items in random order.
func Sample[T any](s *Source, items []T, k int) []T {
	chosen := append([]T(nil), items...)
	k = min(k, len(chosen))
	for i := range k {
		j := i + s.IntN(len(chosen)-i)
		chosen[i], chosen[j] = chosen[j], chosen[i]
	}
	return chosen[:k]
}

// Hash returns a 64-bit hash of the seed and the text. It applies Mix to an FNV-1a
// hash.
func Hash(seed uint64, text string) uint64 {
	h := seed ^ 14695981039346656037
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return Mix(h)
}

// Mix returns a hash of x in which each bit of x affects all bits.
func Mix(x uint64) uint64 {
	s := Source{state: x}
	return s.Uint64()
}

// Float64 returns a number in [0, 1).
func (s *Source) Float64() float64 { return float64(s.Uint64()>>11) / (1 << 53) }
