package membership

import (
	"math/bits"

	"baobabfield.example/core/types"
)

// Bounds on the size of messages, in bytes.
const (
	// maxMessageBytes bounds the estimated size of a message, so that a datagram
	// with its authentication code stays below 1,200 bytes.
	maxMessageBytes = 1100
	// memberOverhead bounds the encoding of a member beyond its texts.
	memberOverhead = 32
	// messageOverhead bounds the encoding of a message beyond its parts.
	messageOverhead = 48
)

// retransmitFactor multiplies the logarithm of the number of peers to give the
// number of times that a change is sent.
const retransmitFactor = 2

// gossip holds the changes that are still to be piggybacked.
type gossip struct {
	// order lists the changed hosts, the next one to send first.
	order []types.Host
	// left holds the remaining number of transmissions of each.
	left map[types.Host]int
}

// add schedules a host's description for transmission to a group of peers.
func (g *gossip) add(h types.Host, peers int) {
	if g.left == nil {
		g.left = map[types.Host]int{}
	}
	if _, queued := g.left[h]; !queued {
		g.order = append(g.order, h)
	}
	g.left[h] = retransmitFactor * (bits.Len(uint(peers)) + 1)
}

// take returns the members to piggyback on a message with room bytes left.
func (g *gossip) take(t *table, room int) []Member {
	var out []Member
	for range len(g.order) {
		h := g.order[0]
		m, known := t.get(h)
		size := memberSize(m)
		if known && size > room {
			return out
		}
		g.order = g.order[1:]
		g.left[h]--
		if known {
			out = append(out, m)
			room -= size
		}
		if !known || g.left[h] == 0 {
			delete(g.left, h)
			continue
		}
		g.order = append(g.order, h)
	}
	return out
}

// memberSize bounds the encoded size of a member.
func memberSize(m Member) int {
	return memberOverhead + len(m.Host) + len(m.DataCentre) + len(m.MeshAddress) + len(m.GossipAddress)
}
