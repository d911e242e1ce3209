package host

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"baobabfield.example/core/types"
	"baobabfield.example/node/mesh"
	"baobabfield.example/wire/meshpb"
)

const (
	// payloadQueueLength is the number of configuration messages that can wait to be
	// sent.
	payloadQueueLength = 1024
	// maxConcurrentSends bounds the messages that are sent concurrently.
	maxConcurrentSends = 16
	// confTopic is the mesh topic of configuration messages.
	confTopic = "config"
)

var payloadsDropped = metrics.NewCounter("baobab_payloads_dropped_total")

// outgoingPayload is a configuration message to another host.
type outgoingPayload struct {
	to   types.Host
	data []byte
}

// payloadSender is the task that sends configuration messages to other hosts. It
// drops messages when its queue is full. The periodic exchange of digests later
// finds and sends the objects that a host lacks.
type payloadSender struct {
	mesh  *mesh.Task
	self  types.Host
	queue chan outgoingPayload
}

func newPayloadSender(m *mesh.Task, self types.Host) *payloadSender {
	return &payloadSender{mesh: m, self: self, queue: make(chan outgoingPayload, payloadQueueLength)}
}

// Send queues a message, or drops it if the queue is full. It does not block.
func (p *payloadSender) Send(h types.Host, payload []byte) {
	select {
	case p.queue <- outgoingPayload{to: h, data: payload}:
	default:
		payloadsDropped.Inc()
	}
}

func (p *payloadSender) run(ctx context.Context) {
	for range maxConcurrentSends {
		go p.sendQueued(ctx)
	}
}

// sendQueued sends queued messages until ctx ends.
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
		Topic: confTopic, From: string(p.self), Body: m.data,
	}}}
	if p.mesh.Send(ctx, m.to, f) != nil {
		payloadsDropped.Inc()
	}
}
