package gateway

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
	"baobabfield.example/node/mesh"
	"baobabfield.example/wire/frame"
	"baobabfield.example/wire/meshpb"
	"baobabfield.example/wire/peerwire"
)

const (
	// linkQueueLength is the number of messages that can wait to be sent on a link to
	// another host.
	linkQueueLength = 1024
	// linkOpenTimeout bounds opening the stream of a link.
	linkOpenTimeout = 1200 * time.Millisecond
	// replacedLinkReadTime is the time for which a replaced link is still read.
	replacedLinkReadTime = 3 * time.Second
)

var linksDisconnected = metrics.NewCounter("baobab_links_lost_total")

// link holds the gateway's end of the outbound stream to another host.
type link struct {
	out    chan<- *meshpb.Frame
	cancel context.CancelFunc
}

// linkEnded reports that a link's task has ended.
type linkEnded struct {
	host types.Host
	out  chan<- *meshpb.Frame
}

// sendToPeer queues a message for another host. The first message opens the link. A
// link whose queue is full is closed, and the machine receives the disconnection as an
// event.
func (g *Gateway) sendToPeer(ctx context.Context, e proxy.PeerSend) {
	if g.addresses[e.Host] != e.Address {
		g.addresses[e.Host] = e.Address
		addresses := make(map[types.Host]string, len(g.addresses))
		for h, a := range g.addresses {
			addresses[h] = a
		}
		g.mesh.SetAddresses(addresses)
		g.closeLink(e.Host)
	}
	l := g.peerLinks[e.Host]
	if l == nil {
		linkCtx, cancel := context.WithCancel(ctx)
		out := make(chan *meshpb.Frame, linkQueueLength)
		l = &link{out: out, cancel: cancel}
		g.peerLinks[e.Host] = l
		go g.runLink(linkCtx, e.Host, out)
	}
	select {
	case l.out <- g.encoder.Encode(e.Message):
	default:
		g.closeLink(e.Host)
		g.queueEvent(proxy.PeerDisconnected{Host: e.Host})
	}
}

// runLink opens the stream to a host, sends queued messages and starts reading the
// received ones. It returns when the stream or the context ends.
func (g *Gateway) runLink(ctx context.Context, h types.Host, out chan *meshpb.Frame) {
	defer g.post(linkEnded{host: h, out: out})
	openCtx, cancel := context.WithTimeout(ctx, linkOpenTimeout)
	s, err := g.mesh.Open(openCtx, h)
	cancel()
	if err != nil {
		return
	}
	defer s.Close()
	go g.readPeerMessages(s, h, 0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Ended():
			return
		case f := <-out:
			err := s.Send(f)
			if errors.Is(err, frame.ErrNotEncodable) {
				// The link still serves the other messages.
				g.logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: "peer message cannot be encoded", Fields: []proxy.Field{
					{Key: "peer", Value: h}, {Key: "error", Value: err.Error()},
				}})
				continue
			}
			if err != nil {
				return
			}
		}
	}
}

// removeLink removes a link whose task has ended. It returns the event for the
// machine, or nil if the link has already been replaced or closed.
func (g *Gateway) removeLink(m linkEnded) proxy.Event {
	l := g.peerLinks[m.host]
	if l == nil || l.out != m.out {
		return nil
	}
	linksDisconnected.Inc()
	l.cancel()
	delete(g.peerLinks, m.host)
	return proxy.PeerDisconnected{Host: m.host}
}

// closeLink closes a link without an event for the machine. It marks the host as
// suspect, so that the mesh dials a new session for the next link.
func (g *Gateway) closeLink(h types.Host) {
	if l := g.peerLinks[h]; l != nil {
		l.cancel()
		delete(g.peerLinks, h)
	}
	g.mesh.SuspectHost(h)
}

// reopenLink opens a new link on a new session of the mesh with the next message. The old one
// is still read for replacedLinkReadTime.
func (g *Gateway) reopenLink(h types.Host) {
	if l := g.peerLinks[h]; l != nil {
		time.AfterFunc(replacedLinkReadTime, l.cancel)
		delete(g.peerLinks, h)
	}
	g.mesh.SuspectHost(h)
}

// readPeerMessages posts the messages of another host to the gateway's task until
// the stream ends.
func (g *Gateway) readPeerMessages(s *mesh.Stream, from types.Host, link proxy.LinkID) {
	for f := range s.Frames() {
		msg, err := peerwire.Decode(f)
		if err != nil {
			g.logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: "peer message cannot be decoded", Fields: []proxy.Field{
				{Key: "peer", Value: from}, {Key: "error", Value: err.Error()},
			}})
			continue
		}
		g.post(proxy.PeerMessage{From: from, Link: link, Message: msg})
	}
}

// acceptPeerStreams reads the streams that other hosts open.
func (g *Gateway) acceptPeerStreams(ctx context.Context) {
	for link := proxy.LinkID(1); ; link++ {
		select {
		case <-ctx.Done():
			return
		case s := <-g.mesh.Inbound():
			go func() {
				defer s.Close()
				g.readPeerMessages(s, s.Peer, link)
				g.post(proxy.PeerInboundClosed{Host: s.Peer, Link: link})
			}()
		}
	}
}
