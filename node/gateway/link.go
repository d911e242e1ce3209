package gateway

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
	"baobabfield.example/node/mesh"
	"baobabfield.example/wire/meshpb"
	"baobabfield.example/wire/peerwire"
)

const (
	// linkQueue is the number of messages that wait for a link to another host.
	linkQueue = 1024
	// linkOpenTimeout bounds the opening of a link.
	linkOpenTimeout = 1200 * time.Millisecond
)

var linksLost = metrics.NewCounter("baobab_links_lost_total")

// link is the gateway's side of the stream to another host.
type link struct {
	out    chan<- *meshpb.Frame
	cancel context.CancelFunc
}

// linkEnded tells that a link's task has ended.
type linkEnded struct {
	host types.Host
	out  chan<- *meshpb.Frame
}

// sendPeer queues a message for another host; the link is opened at its first use.
func (g *Gateway) sendPeer(ctx context.Context, e proxy.PeerSend) {
	if g.addresses[e.Host] != e.Address {
		g.addresses[e.Host] = e.Address
		addresses := make(map[types.Host]string, len(g.addresses))
		for h, a := range g.addresses {
			addresses[h] = a
		}
		g.mesh.SetAddresses(addresses)
		g.dropLink(e.Host)
	}
	l := g.links[e.Host]
	if l == nil {
		linkCtx, cancel := context.WithCancel(ctx)
		out := make(chan *meshpb.Frame, linkQueue)
		l = &link{out: out, cancel: cancel}
		g.links[e.Host] = l
		go g.runLink(linkCtx, e.Host, out)
	}
	select {
	case l.out <- g.encoder.Encode(e.Message):
	default:
		g.dropLink(e.Host)
		g.postLater(proxy.PeerDisconnected{Host: e.Host})
	}
}

// runLink opens the stream to a host, writes what is queued and passes on what
// comes, until either fails.
func (g *Gateway) runLink(ctx context.Context, h types.Host, out chan *meshpb.Frame) {
	defer g.post(linkEnded{host: h, out: out})
	openCtx, cancel := context.WithTimeout(ctx, linkOpenTimeout)
	s, err := g.mesh.Open(openCtx, h)
	cancel()
	if err != nil {
		return
	}
	defer s.Close()
	go g.readStream(s, h)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Ended():
			return
		case f := <-out:
			if s.Send(f) != nil {
				return
			}
		}
	}
}

// linkEnded forgets a link and tells the machine that what was outstanding is lost.
func (g *Gateway) linkEnded(m linkEnded) proxy.Event {
	l := g.links[m.host]
	if l == nil || l.out != m.out {
		return nil
	}
	linksLost.Inc()
	l.cancel()
	delete(g.links, m.host)
	return proxy.PeerDisconnected{Host: m.host}
}

// dropLink closes a link without a word to the machine.
func (g *Gateway) dropLink(h types.Host) {
	if l := g.links[h]; l != nil {
		l.cancel()
		delete(g.links, h)
	}
	g.mesh.SuspectHost(h)
}

// readStream passes another host's messages on until the stream ends.
func (g *Gateway) readStream(s *mesh.Stream, from types.Host) {
	for f := range s.Frames() {
		msg, err := peerwire.Decode(f)
		if err != nil {
			g.logs.Line(proxy.Log{Level: proxy.Warn, Event: "message of another host not usable", Fields: []proxy.Field{
				{Key: "peer", Value: from}, {Key: "error", Value: err.Error()},
			}})
			continue
		}
		g.post(proxy.PeerMessage{From: from, Message: msg})
	}
}

// acceptLinks serves the streams that other hosts open.
func (g *Gateway) acceptLinks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-g.mesh.Inbound():
			go func() {
				defer s.Close()
				g.readStream(s, s.Peer)
				g.post(proxy.PeerInboundClosed{Host: s.Peer})
			}()
		}
	}
}
