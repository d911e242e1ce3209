package routing

// Rand is a seeded source of pseudo-random numbers (splitmix64).
type Rand struct{ state uint64 }

// NewRand returns a source whose numbers depend on the seed alone.
func NewRand(seed uint64) Rand { return Rand{state: seed} }

// Uint64 returns the next number.
func (r *Rand) Uint64() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Intn returns a number in [0, n); n must be positive.
func (r *Rand) Intn(n int) int { return int(r.Uint64() % uint64(n)) }

// Float64 returns a number in [0, 1).
func (r *Rand) Float64() float64 { return float64(r.Uint64()>>11) / (1 << 53) }
