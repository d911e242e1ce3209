package mesh

// releaseStream returns a stream for reuse.
type releaseStream struct{ stream *Stream }

// Release returns a stream for reuse. Both ends must have finished their exchange on it.
func (t *Task) Release(s *Stream) { t.post(releaseStream{stream: s}) }

// keepIdleStream stores an idle stream. It closes the stream if it is not usable or a limit
// of idle streams is reached.
func (t *Task) keepIdleStream(s *Stream) {
	p, ok := t.peers[s.Peer]
	if !ok || !s.isUsable() || len(p.idleStreams) >= maxIdleStreamsPerPeer || t.idleStreamCount >= maxIdleStreams {
		s.Close()
		return
	}
	t.idleStreamCount++
	p.idleStreams = append(p.idleStreams, s)
}

// reuseIdleStream returns the most recently used idle stream, or nil if there is none.
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

// closeIdleStreams closes a peer's idle streams.
func (t *Task) closeIdleStreams(p *peer) {
	for _, s := range p.idleStreams {
		s.Close()
	}
	t.idleStreamCount -= len(p.idleStreams)
	p.idleStreams = nil
}
