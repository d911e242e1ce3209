package host

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"baobabfield.example/core/types"
	"baobabfield.example/node/mesh"
	"baobabfield.example/wire/meshpb"
)

const (
	// payloadQueueLength is the number of configuration messages that wait to be sent.
	payloadQueueLength = 1024
	// maxConcurrentSends is the number of messages that are sent at a time.
	maxConcurrentSends = 16
	// confTopic is the topic of configuration messages.
	confTopic = "config"
)

var payloadsDropped = metrics.NewCounter("baobab_payloads_dropped_total")

// outgoingPayload is a message to another host.
type outgoingPayload struct {
	host types.Host
	body []byte
}

// payloadSender sends configuration messages to other hosts; it drops those
// that it cannot take, since digests repair what is missing.
type payloadSender struct {
	mesh  *mesh.Task
	self  types.Host
	queue chan outgoingPayload
}

func newPayloadSender(m *mesh.Task, self types.Host) *payloadSender {
	return &payloadSender{mesh: m, self: self, queue: make(chan outgoingPayload, payloadQueueLength)}
}

// Send queues a message; it does not wait.
func (p *payloadSender) Send(h types.Host, payload []byte) {
	select {
	case p.queue <- outgoingPayload{host: h, body: payload}:
	default:
		payloadsDropped.Inc()
	}
}

func (p *payloadSender) run(ctx context.Context) {
	for range maxConcurrentSends {
		go p.sendQueued(ctx)
	}
}

// sendQueued sends queued messages until the context ends.
func (p *payloadSender) sendQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			p.send(ctx, m)
		}
	}
}

func (p *payloadSender) send(ctx context.Context, m outgoingPayload) {
	ctx, cancel := context.WithTimeout(ctx, peerSendTimeout)
	defer cancel()
	f := &meshpb.Frame{Body: &meshpb.Frame_Payload{Payload: &meshpb.Payload{
		Topic: confTopic, From: string(p.self), Body: m.body,
	}}}
	if p.mesh.Send(ctx, m.host, f) != nil {
		payloadsDropped.Inc()
	}
}
