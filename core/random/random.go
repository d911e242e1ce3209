// Package random is a small seeded random number generator, so that a state
// machine makes the same choices on every run with the same seed.
package random

// Source is a splitmix64 generator.
type Source struct{ state uint64 }

// New returns a generator that starts from the seed.
func New(seed uint64) Source { return Source{state: seed} }

// Uint64 returns the next number.
func (s *Source) Uint64() uint64 {
	s.state += 0x9e3779b97f4a7c15
	z := s.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// IntN returns a number from 0 to n-1; n must be positive.
func (s *Source) IntN(n int) int { return int(s.Uint64() % uint64(n)) }

// Shuffle permutes the items.
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

// Hash mixes a string into a 64-bit hash with FNV-1a and a final mixing step.
func Hash(seed uint64, text string) uint64 {
	h := seed ^ 14695981039346656037
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return Mix(h)
}

// Mix spreads the bits of x.
func Mix(x uint64) uint64 {
	s := Source{state: x}
	return s.Uint64()
}

// Float64 returns a number in [0, 1).
func (s *Source) Float64() float64 { return float64(s.Uint64()>>11) / (1 << 53) }
