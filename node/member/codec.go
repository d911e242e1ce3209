package member

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"baobabfield.example/core/membership"
	"baobabfield.example/core/types"
	"baobabfield.example/node/member/memberpb"
)

const (
	// maxDatagramBytes is the maximum size of a datagram. It fits the usual path MTU,
	// so that datagrams are not fragmented.
	maxDatagramBytes = 1200
	// authenticationCodeBytes is the length of the message authentication code at the
	// end of each datagram.
	authenticationCodeBytes = 16
)

// Errors of encode and decode.
var (
	errNotAuthentic = errors.New("datagram is not authentic")
	errMalformed    = errors.New("datagram is malformed")
	errTooLong      = errors.New("datagram is too long")
)

// encode returns the datagram of a message, including the authentication code. It
// returns errTooLong if the datagram exceeds maxDatagramBytes.
func encode(key []byte, msg membership.Message) ([]byte, error) {
	data, err := proto.Marshal(toProto(msg))
	if err != nil {
		return nil, errors.Wrap(err, "encode datagram")
	}
	if len(data)+authenticationCodeBytes > maxDatagramBytes {
		return nil, errTooLong
	}
	return append(data, messageAuthenticationCode(key, data)...), nil
}

// messageAuthenticationCode returns the truncated HMAC-SHA256 of the data.
func messageAuthenticationCode(key, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(data)
	return h.Sum(nil)[:authenticationCodeBytes]
}

// decode authenticates a datagram and returns its message. It returns
// errNotAuthentic or errMalformed for an invalid datagram.
func decode(key, datagram []byte) (membership.Message, error) {
	if len(datagram) < authenticationCodeBytes {
		return membership.Message{}, errNotAuthentic
	}
	data := datagram[:len(datagram)-authenticationCodeBytes]
	if !hmac.Equal(messageAuthenticationCode(key, data), datagram[len(data):]) {
		return membership.Message{}, errNotAuthentic
	}
	var d memberpb.Datagram
	if err := proto.Unmarshal(data, &d); err != nil {
		return membership.Message{}, errMalformed
	}
	return fromProto(&d)
}

func toProto(msg membership.Message) *memberpb.Datagram {
	d := &memberpb.Datagram{From: memberToProto(msg.From)}
	switch b := msg.Body.(type) {
	case membership.Ping:
		d.Body = &memberpb.Datagram_Ping{Ping: &memberpb.Ping{Seq: b.Seq, Updates: membersToProto(b.Updates)}}
	case membership.Ack:
		d.Body = &memberpb.Datagram_Ack{Ack: &memberpb.Ack{Seq: b.Seq, Updates: membersToProto(b.Updates)}}
	case membership.PingReq:
		d.Body = &memberpb.Datagram_PingReq{PingReq: &memberpb.PingReq{
			Seq: b.Seq, Target: string(b.Target), Address: b.Address, Updates: membersToProto(b.Updates),
		}}
	case membership.Digest:
		d.Body = &memberpb.Datagram_Digest{Digest: digestToProto(b)}
	case membership.Buckets:
		d.Body = &memberpb.Datagram_Buckets{Buckets: bucketsToProto(b)}
	case membership.Summaries:
		d.Body = &memberpb.Datagram_Summaries{Summaries: summariesToProto(b)}
	case membership.Members:
		d.Body = &memberpb.Datagram_Members{Members: &memberpb.Members{Members: membersToProto(b.Members)}}
	}
	return d
}

func digestToProto(b membership.Digest) *memberpb.Digest {
	out := &memberpb.Digest{}
	for _, g := range b.DataCentres {
		out.Groups = append(out.Groups, &memberpb.GroupDigest{DataCentre: string(g.DataCentre), Hash: g.Hash})
	}
	return out
}

func bucketsToProto(b membership.Buckets) *memberpb.Buckets {
	out := &memberpb.Buckets{}
	for _, g := range b.DataCentres {
		out.Groups = append(out.Groups, &memberpb.BucketDigest{DataCentre: string(g.DataCentre), Hashes: g.Hashes})
	}
	return out
}

func summariesToProto(b membership.Summaries) *memberpb.Summaries {
	out := &memberpb.Summaries{DataCentre: string(b.DataCentre), Count: uint32(b.Count), Answer: b.IsResponse}
	for _, s := range b.Buckets {
		out.Buckets = append(out.Buckets, &memberpb.BucketSummary{Bucket: uint32(s.Bucket), Hashes: s.Hashes})
	}
	return out
}

func memberToProto(m membership.Member) *memberpb.Member {
	return &memberpb.Member{
		Host:          string(m.Host),
		DataCentre:    string(m.DataCentre),
		MeshAddress:   m.MeshAddress,
		GossipAddress: m.GossipAddress,
		Incarnation:   uint64(m.Incarnation),
		State:         uint32(m.State),
	}
}

func membersToProto(members []membership.Member) []*memberpb.Member {
	var out []*memberpb.Member
	for _, m := range members {
		out = append(out, memberToProto(m))
	}
	return out
}

func fromProto(d *memberpb.Datagram) (membership.Message, error) {
	if d.GetFrom() == nil {
		return membership.Message{}, errMalformed
	}
	msg := membership.Message{From: memberFromProto(d.GetFrom())}
	switch b := d.GetBody().(type) {
	case *memberpb.Datagram_Ping:
		msg.Body = membership.Ping{Seq: b.Ping.GetSeq(), Updates: membersFromProto(b.Ping.GetUpdates())}
	case *memberpb.Datagram_Ack:
		msg.Body = membership.Ack{Seq: b.Ack.GetSeq(), Updates: membersFromProto(b.Ack.GetUpdates())}
	case *memberpb.Datagram_PingReq:
		msg.Body = membership.PingReq{
			Seq:     b.PingReq.GetSeq(),
			Target:  types.Host(b.PingReq.GetTarget()),
			Address: b.PingReq.GetAddress(),
			Updates: membersFromProto(b.PingReq.GetUpdates()),
		}
	case *memberpb.Datagram_Digest:
		msg.Body = digestFromProto(b.Digest)
	case *memberpb.Datagram_Buckets:
		msg.Body = bucketsFromProto(b.Buckets)
	case *memberpb.Datagram_Summaries:
		msg.Body = summariesFromProto(b.Summaries)
	case *memberpb.Datagram_Members:
		msg.Body = membership.Members{Members: membersFromProto(b.Members.GetMembers())}
	default:
		return membership.Message{}, errMalformed
	}
	return msg, nil
}

func digestFromProto(b *memberpb.Digest) membership.Digest {
	var out membership.Digest
	for _, g := range b.GetGroups() {
		out.DataCentres = append(out.DataCentres, membership.DataCentreDigest{
			DataCentre: types.DataCentre(g.GetDataCentre()), Hash: g.GetHash(),
		})
	}
	return out
}

func bucketsFromProto(b *memberpb.Buckets) membership.Buckets {
	var out membership.Buckets
	for _, g := range b.GetGroups() {
		out.DataCentres = append(out.DataCentres, membership.BucketDigest{
			DataCentre: types.DataCentre(g.GetDataCentre()), Hashes: g.GetHashes(),
		})
	}
	return out
}

func summariesFromProto(b *memberpb.Summaries) membership.Summaries {
	out := membership.Summaries{
		DataCentre: types.DataCentre(b.GetDataCentre()), Count: int(b.GetCount()), IsResponse: b.GetAnswer(),
	}
	for _, s := range b.GetBuckets() {
		out.Buckets = append(out.Buckets, membership.BucketSummary{Bucket: int(s.GetBucket()), Hashes: s.GetHashes()})
	}
	return out
}

func memberFromProto(m *memberpb.Member) membership.Member {
	return membership.Member{
		Host:          types.Host(m.GetHost()),
		DataCentre:    types.DataCentre(m.GetDataCentre()),
		MeshAddress:   m.GetMeshAddress(),
		GossipAddress: m.GetGossipAddress(),
		Incarnation:   membership.Incarnation(m.GetIncarnation()),
		State:         stateFromProto(m.GetState()),
	}
}

// stateFromProto converts a state from its wire value. An undefined value becomes a
// state that the membership machine rejects.
func stateFromProto(s uint32) membership.State {
	if s > uint32(membership.Dead) {
		return membership.Dead + 1
	}
	return membership.State(s)
}

func membersFromProto(members []*memberpb.Member) []membership.Member {
	var out []membership.Member
	for _, m := range members {
		out = append(out, memberFromProto(m))
	}
	return out
}
