package membership

import (
	"math/bits"

	"baobabfield.example/core/types"
)

// Bounds on the size of messages, in bytes.
const (
	// maxMessageBytes bounds the estimated size of a message, so that a datagram with
	// its authentication code stays below 1,200 bytes.
	maxMessageBytes = 1100
	// memberOverheadBytes bounds the encoding of a member beyond its texts.
	memberOverheadBytes = 32
	// messageOverheadBytes bounds the encoding of a message beyond its parts.
	messageOverheadBytes = 48
)

// retransmissionFactor is multiplied by the logarithm of the number of peers to give
// the number of times that a change is sent.
const retransmissionFactor = 2

// gossipQueue holds the changes that are still to be piggybacked.
type gossipQueue struct {
	// queue lists the changed hosts, the next one to send first.
	queue []types.Host
	// remaining holds, by host, the number of transmissions left.
	remaining map[types.Host]int
}

// enqueue schedules a host's description for transmission in a group with the given
// number of peers.
func (g *gossipQueue) enqueue(h types.Host, peers int) {
	if g.remaining == nil {
		g.remaining = map[types.Host]int{}
	}
	if _, queued := g.remaining[h]; !queued {
		g.queue = append(g.queue, h)
	}
	g.remaining[h] = retransmissionFactor * (bits.Len(uint(peers)) + 1)
}

// takeUpdates returns the members to piggyback on a message that has room for that
// many bytes.
func (g *gossipQueue) takeUpdates(t *table, available int) []Member {
	var out []Member
	for range len(g.queue) {
		h := g.queue[0]
		m, known := t.get(h)
		size := memberSizeBytes(m)
		if known && size > available {
			return out
		}
		g.queue = g.queue[1:]
		g.remaining[h]--
		if known {
			out = append(out, m)
			available -= size
		}
		if !known || g.remaining[h] == 0 {
			delete(g.remaining, h)
			continue
		}
		g.queue = append(g.queue, h)
	}
	return out
}

// memberSizeBytes bounds the encoded size of a member.
func memberSizeBytes(m Member) int {
	return memberOverheadBytes + len(m.Host) + len(m.DataCentre) + len(m.MeshAddress) + len(m.GossipAddress)
}
