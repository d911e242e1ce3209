package conf

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"baobabfield.example/core/config"
	"baobabfield.example/core/types"
	"baobabfield.example/node/conf/confpb"
)

var errMalformed = errors.New("configuration message is malformed")

const (
	// compressionThresholdBytes is the encoded size from which messages are compressed.
	compressionThresholdBytes = 512
	// maxMessageBytes bounds the size of a message after decompression, so that a
	// small malformed message cannot exhaust the memory.
	maxMessageBytes = 16 << 20
)

// encoder encodes messages and reuses its buffers. It is not safe for concurrent use.
type encoder struct {
	buffer     bytes.Buffer
	compressor *flate.Writer
}

func newEncoder() *encoder {
	e := &encoder{}
	compressor, err := flate.NewWriter(&e.buffer, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a valid constant
	}
	e.compressor = compressor
	return e
}

// encode returns the payload of a message to another host. Payloads of at least
// compressionThresholdBytes are compressed.
func (e *encoder) encode(body config.PeerBody) ([]byte, error) {
	data, err := proto.Marshal(toProto(body))
	if err != nil || len(data) < compressionThresholdBytes {
		return data, errors.Wrap(err, "encode configuration message")
	}
	e.buffer.Reset()
	e.compressor.Reset(&e.buffer)
	if _, err := e.compressor.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress configuration message")
	}
	if err := e.compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration message")
	}
	m := &confpb.Message{Body: &confpb.Message_Compressed{Compressed: e.buffer.Bytes()}}
	data, err = proto.Marshal(m)
	return data, errors.Wrap(err, "encode configuration message")
}

// toProto converts a message to protobuf.
func toProto(body config.PeerBody) *confpb.Message {
	m := &confpb.Message{}
	switch b := body.(type) {
	case config.Push:
		m.Body = &confpb.Message_Push{Push: pushToProto(b)}
	case config.Digest:
		m.Body = &confpb.Message_Digest{Digest: &confpb.Digest{Hash: b.Hash, Complete: b.Complete}}
	case config.Buckets:
		m.Body = &confpb.Message_Buckets{Buckets: &confpb.Buckets{Hashes: b.Hashes}}
	case config.Versions:
		m.Body = &confpb.Message_Versions{Versions: versionsToProto(b)}
	case config.Fetch:
		m.Body = &confpb.Message_Fetch{Fetch: fetchToProto(b)}
	case config.FetchAll:
		m.Body = &confpb.Message_FetchAll{FetchAll: &confpb.FetchAll{}}
	case config.Busy:
		m.Body = &confpb.Message_Busy{Busy: &confpb.Busy{}}
	}
	return m
}

// decode returns the message of a payload, or errMalformed.
func decode(data []byte) (config.PeerBody, error) {
	var m confpb.Message
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, errMalformed
	}
	compressed, isCompressed := m.GetBody().(*confpb.Message_Compressed)
	if !isCompressed {
		return fromProto(&m)
	}
	data, err := decompress(compressed.Compressed)
	if err != nil {
		return nil, err
	}
	var inner confpb.Message
	if err := proto.Unmarshal(data, &inner); err != nil {
		return nil, errMalformed
	}
	return fromProto(&inner)
}

// decompress returns the content of a compressed message. It returns errMalformed
// if the content has more than maxMessageBytes.
func decompress(compressed []byte) ([]byte, error) {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxMessageBytes+1)
	data, err := io.ReadAll(r)
	if err != nil || len(data) > maxMessageBytes {
		return nil, errMalformed
	}
	return data, nil
}

// fromProto converts a message from protobuf. It returns errMalformed for an
// unknown body.
func fromProto(m *confpb.Message) (config.PeerBody, error) {
	switch b := m.GetBody().(type) {
	case *confpb.Message_Push:
		return pushFromProto(b.Push)
	case *confpb.Message_Digest:
		return config.Digest{Hash: b.Digest.GetHash(), Complete: b.Digest.GetComplete()}, nil
	case *confpb.Message_Buckets:
		return config.Buckets{Hashes: b.Buckets.GetHashes()}, nil
	case *confpb.Message_Versions:
		return versionsFromProto(b.Versions), nil
	case *confpb.Message_Fetch:
		return fetchFromProto(b.Fetch), nil
	case *confpb.Message_FetchAll:
		return config.FetchAll{}, nil
	case *confpb.Message_Busy:
		return config.Busy{}, nil
	}
	return nil, errMalformed
}

func keyToProto(k config.Key) *confpb.Key {
	return &confpb.Key{Kind: uint32(k.Kind), Name: k.Name}
}

func keyFromProto(k *confpb.Key) config.Key {
	return config.Key{Kind: config.Kind(k.GetKind()), Name: k.GetName()}
}

func versionsToProto(b config.Versions) *confpb.Versions {
	out := &confpb.Versions{}
	for _, i := range b.Buckets {
		out.Buckets = append(out.Buckets, uint32(i))
	}
	for _, v := range b.Versions {
		out.Versions = append(out.Versions, &confpb.ObjectVersion{Key: keyToProto(v.Key), Version: uint64(v.Version)})
	}
	return out
}

func versionsFromProto(b *confpb.Versions) config.Versions {
	var out config.Versions
	for _, i := range b.GetBuckets() {
		out.Buckets = append(out.Buckets, int(i))
	}
	for _, v := range b.GetVersions() {
		out.Versions = append(out.Versions, config.ObjectVersion{
			Key: keyFromProto(v.GetKey()), Version: config.Version(v.GetVersion()),
		})
	}
	return out
}

func fetchToProto(b config.Fetch) *confpb.Fetch {
	out := &confpb.Fetch{}
	for _, k := range b.Keys {
		out.Keys = append(out.Keys, keyToProto(k))
	}
	return out
}

func fetchFromProto(b *confpb.Fetch) config.Fetch {
	var out config.Fetch
	for _, k := range b.GetKeys() {
		out.Keys = append(out.Keys, keyFromProto(k))
	}
	return out
}

func pushToProto(b config.Push) *confpb.Push {
	out := &confpb.Push{}
	for _, o := range b.Objects {
		out.Objects = append(out.Objects, objectToProto(o))
	}
	return out
}

func pushFromProto(b *confpb.Push) (config.PeerBody, error) {
	var out config.Push
	for _, p := range b.GetObjects() {
		o := objectFromProto(p)
		if o.Body != nil && o.Body.Key() != o.Key {
			return nil, errMalformed
		}
		out.Objects = append(out.Objects, o)
	}
	return out, nil
}

func objectToProto(o config.Object) *confpb.Object {
	out := &confpb.Object{Key: keyToProto(o.Key), Version: uint64(o.Version)}
	for _, op := range o.Operations {
		out.Operations = append(out.Operations, string(op))
	}
	switch b := o.Body.(type) {
	case config.ServiceObject:
		out.Body = &confpb.Object_Service{Service: serviceToProto(b.Spec)}
	case config.RankObject:
		out.Body = &confpb.Object_Rank{Rank: rankToProto(b.Spec)}
	case config.Retirement:
		out.Body = &confpb.Object_Retirement{Retirement: &confpb.Retirement{
			Name: b.Name, Kind: string(b.Kind), Target: b.Target, Service: string(b.Service), Phase: string(b.Phase),
		}}
	}
	return out
}

func objectFromProto(p *confpb.Object) config.Object {
	o := config.Object{Key: keyFromProto(p.GetKey()), Version: config.Version(p.GetVersion())}
	for _, op := range p.GetOperations() {
		o.Operations = append(o.Operations, config.OperationID(op))
	}
	switch b := p.GetBody().(type) {
	case *confpb.Object_Service:
		o.Body = config.ServiceObject{Spec: serviceFromProto(b.Service)}
	case *confpb.Object_Rank:
		o.Body = config.RankObject{Spec: rankFromProto(b.Rank)}
	case *confpb.Object_Retirement:
		r := b.Retirement
		o.Body = config.Retirement{
			Name:    r.GetName(),
			Kind:    config.TargetKind(r.GetKind()),
			Target:  r.GetTarget(),
			Service: types.Service(r.GetService()),
			Phase:   config.Phase(r.GetPhase()),
		}
	}
	return o
}

func rankToProto(r types.RankSpec) *confpb.Rank {
	return &confpb.Rank{
		Name:              string(r.Name),
		TargetNanoseconds: int64(r.Target),
		Worth:             int64(r.Worth),
		Floor:             int64(r.Floor),
		Order:             int64(r.Order),
	}
}

func rankFromProto(r *confpb.Rank) types.RankSpec {
	return types.RankSpec{
		Name:   types.Rank(r.GetName()),
		Target: time.Duration(r.GetTargetNanoseconds()),
		Worth:  int(r.GetWorth()),
		Floor:  int(r.GetFloor()),
		Order:  int(r.GetOrder()),
	}
}

func serviceToProto(s types.ServiceSpec) *confpb.Service {
	out := &confpb.Service{
		Name:        string(s.Name),
		Promise:     string(s.Durability),
		Slots:       int64(s.Slots),
		Connections: int64(s.Connections),
	}
	for _, db := range s.Databases {
		out.Databases = append(out.Databases, &confpb.Database{
			Id:                string(db.ID),
			Set:               db.EndpointSet,
			Endpoints:         endpointsToProto(db.Endpoints),
			PreviousEndpoints: endpointsToProto(db.PreviousEndpoints),
		})
	}
	return out
}

func serviceFromProto(s *confpb.Service) types.ServiceSpec {
	out := types.ServiceSpec{
		Name:        types.Service(s.GetName()),
		Durability:  types.Durability(s.GetPromise()),
		Slots:       int(s.GetSlots()),
		Connections: int(s.GetConnections()),
	}
	for _, db := range s.GetDatabases() {
		out.Databases = append(out.Databases, types.DatabaseSpec{
			ID:                types.Database(db.GetId()),
			EndpointSet:       db.GetSet(),
			Endpoints:         endpointsFromProto(db.GetEndpoints()),
			PreviousEndpoints: endpointsFromProto(db.GetPreviousEndpoints()),
		})
	}
	return out
}

func endpointsToProto(endpoints []types.EndpointSpec) []*confpb.Endpoint {
	var out []*confpb.Endpoint
	for _, e := range endpoints {
		out = append(out, &confpb.Endpoint{
			Id: string(e.ID), DataCentre: string(e.DataCentre), Address: e.Address, Leaving: e.Leaving,
		})
	}
	return out
}

func endpointsFromProto(endpoints []*confpb.Endpoint) []types.EndpointSpec {
	var out []types.EndpointSpec
	for _, e := range endpoints {
		out = append(out, types.EndpointSpec{
			ID:         types.Endpoint(e.GetId()),
			DataCentre: types.DataCentre(e.GetDataCentre()),
			Address:    e.GetAddress(),
			Leaving:    e.GetLeaving(),
		})
	}
	return out
}
