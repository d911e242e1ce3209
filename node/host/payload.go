package host

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"baobabfield.example/core/types"
	"baobabfield.example/node/mesh"
	"baobabfield.example/wire/meshpb"
)

const (
	// payloadQueue is the number of configuration messages that wait to be sent.
	payloadQueue = 1024
	// payloadSenders is the number of messages that are sent at a time.
	payloadSenders = 16
	// confTopic is the topic of configuration messages.
	confTopic = "config"
)

var payloadsDropped = metrics.NewCounter("baobab_payloads_dropped_total")

// outgoing is a message to another host.
type outgoing struct {
	host types.Host
	body []byte
}

// payloadSender sends configuration messages to other hosts; it drops those
// that it cannot take, since digests repair what is missing.
type payloadSender struct {
	mesh  *mesh.Task
	self  types.Host
	queue chan outgoing
}

func newPayloadSender(m *mesh.Task, self types.Host) *payloadSender {
	return &payloadSender{mesh: m, self: self, queue: make(chan outgoing, payloadQueue)}
}

// Send queues a message; it does not wait.
func (p *payloadSender) Send(h types.Host, payload []byte) {
	select {
	case p.queue <- outgoing{host: h, body: payload}:
	default:
		payloadsDropped.Inc()
	}
}

func (p *payloadSender) run(ctx context.Context) {
	for range payloadSenders {
		go p.sendAll(ctx)
	}
}

// sendAll sends queued messages until the context ends.
func (p *payloadSender) sendAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			p.send(ctx, m)
		}
	}
}

func (p *payloadSender) send(ctx context.Context, m outgoing) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	f := &meshpb.Frame{Body: &meshpb.Frame_Payload{Payload: &meshpb.Payload{
		Topic: confTopic, From: string(p.self), Body: m.body,
	}}}
	if p.mesh.Send(ctx, m.host, f) != nil {
		payloadsDropped.Inc()
	}
}
