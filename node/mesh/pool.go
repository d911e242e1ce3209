package mesh

// released gives a stream back after a conversation that both ends have ended.
type released struct{ stream *Stream }

// Release gives a stream back after a conversation that both ends have ended,
// so that another conversation can use it.
func (t *Task) Release(s *Stream) { t.post(released{stream: s}) }

// keep stores an unused stream, or closes it where there are enough.
func (t *Task) keep(s *Stream) {
	p, ok := t.peers[s.Peer]
	if !ok || !s.usable() || len(p.idle) >= maxIdlePeer || t.idle >= maxIdle {
		s.Close()
		return
	}
	t.idle++
	p.idle = append(p.idle, s)
}

// reuse returns an unused stream, the one used last; nil if there is none.
func (t *Task) reuse(p *peer) *Stream {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		s := p.idle[last]
		p.idle = p.idle[:last]
		t.idle--
		if s.usable() {
			streamsReused.Inc()
			return s
		}
		s.Close()
	}
	return nil
}

// dropIdle closes a peer's unused streams.
func (t *Task) dropIdle(p *peer) {
	for _, s := range p.idle {
		s.Close()
	}
	t.idle -= len(p.idle)
	p.idle = nil
}
