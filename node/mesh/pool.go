package mesh

// releaseStream gives a stream back after a conversation that both ends have ended.
type releaseStream struct{ stream *Stream }

// Release gives a stream back after a conversation that both ends have ended,
// so that another conversation can use it.
func (t *Task) Release(s *Stream) { t.post(releaseStream{stream: s}) }

// keepIdleStream stores an unused stream, or closes it where there are enough.
func (t *Task) keepIdleStream(s *Stream) {
	p, ok := t.peers[s.Peer]
	if !ok || !s.isUsable() || len(p.idleStreams) >= maxIdleStreamsPerPeer || t.idleStreamCount >= maxIdleStreams {
		s.Close()
		return
	}
	t.idleStreamCount++
	p.idleStreams = append(p.idleStreams, s)
}

// reuseIdleStream returns an unused stream, the one used last; nil if there is none.
func (t *Task) reuseIdleStream(p *peer) *Stream {
	for len(p.idleStreams) > 0 {
		last := len(p.idleStreams) - 1
		s := p.idleStreams[last]
		p.idleStreams = p.idleStreams[:last]
		t.idleStreamCount--
		if s.isUsable() {
			streamsReused.Inc()
			return s
		}
		s.Close()
	}
	return nil
}

// closeIdleStreams closes a peer's unused streams.
func (t *Task) closeIdleStreams(p *peer) {
	for _, s := range p.idleStreams {
		s.Close()
	}
	t.idleStreamCount -= len(p.idleStreams)
	p.idleStreams = nil
}
