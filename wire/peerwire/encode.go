// Package peerwire converts the messages of core/proxy between the hosts of "baobabd
// platform" to and from protobuf frames. Large objects of the platform's store are
// compressed with DEFLATE.
package peerwire

import (
	"fmt"
	"time"

	"baobabfield.example/core/feed"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
	"baobabfield.example/wire/meshpb"
)

// Encoder encodes messages and caches compressed objects. A single task owns it.
type Encoder struct{ cache compressionCache }

// NewEncoder returns an encoder with an empty cache.
func NewEncoder() *Encoder { return &Encoder{cache: newCompressionCache()} }

// Encode returns a frame with the message.
func (enc *Encoder) Encode(msg proxy.Message) *meshpb.Frame {
	p := &meshpb.ProxyMessage{}
	switch m := msg.(type) {
	case proxy.Hello:
		p.Body = &meshpb.ProxyMessage_Hello{Hello: &meshpb.Hello{
			DataCentre: string(m.DataCentre), MeshAddress: m.MeshAddress, Started: m.StartedUnixMs, Power: uint32(max(m.CPUMillicores, 0)),
			Rules: uint32(max(m.AuthorityRules, 0)), Workspaces: uint32(max(m.WorkspaceRules, 0)),
		}}
	case proxy.ExecRequest:
		p.Body = &meshpb.ProxyMessage_Exec{Exec: encodeExecRequest(&m)}
	case proxy.ExecResult:
		p.Body = &meshpb.ProxyMessage_Done{Done: encodeExecResult(&m)}
	case proxy.EndTx:
		p.Body = &meshpb.ProxyMessage_EndTx{EndTx: uint64(m.Tx)}
	case proxy.PositionRequest:
		p.Body = &meshpb.ProxyMessage_AskPosition{AskPosition: &meshpb.PositionQuestion{
			Number: m.Seq, Service: string(m.Service), Endpoint: string(m.Endpoint),
		}}
	case proxy.PositionResponse:
		p.Body = &meshpb.ProxyMessage_Position{Position: &meshpb.PositionAnswer{
			Number: m.Seq, Service: string(m.Service), Endpoint: string(m.Endpoint), Known: m.Known,
			Point: encodePoint(m.Point), AgeUs: uint64(m.Age.Microseconds()),
		}}
	case proxy.Ping:
		p.Body = &meshpb.ProxyMessage_Ping{Ping: true}
	case proxy.Pong:
		p.Body = &meshpb.ProxyMessage_Pong{Pong: true}
	case proxy.OutstandingRequests:
		p.Body = &meshpb.ProxyMessage_Outstanding{Outstanding: &meshpb.RequestIDs{Ids: convertIDs[uint64](m.IDs), Started: m.StartedUnixMs}}
	case proxy.RequestsNotReceived:
		p.Body = &meshpb.ProxyMessage_NotReceived{NotReceived: &meshpb.RequestIDs{
			Ids: convertIDs[uint64](m.IDs), NotReceived: convertIDs[uint64](m.NotReceived),
		}}
	case proxy.ReopenLink:
		p.Body = &meshpb.ProxyMessage_ReopenLink{ReopenLink: true}
	case proxy.Leaving:
		p.Body = &meshpb.ProxyMessage_Leaving{Leaving: true}
	case proxy.Digest:
		p.Body = &meshpb.ProxyMessage_Digest{Digest: encodeDigest(&m)}
	case proxy.ChangesRequest:
		p.Body = &meshpb.ProxyMessage_AskChanges{AskChanges: encodeRevisions(m.Since)}
	case proxy.ChangesResponse:
		p.Body = &meshpb.ProxyMessage_Changes{Changes: enc.encodeChanges(m.Kinds)}
	case proxy.ReachabilityRequest, proxy.ReachabilityResponse, proxy.ReleasePrimary, proxy.MissingEndpointsRequest, proxy.MissingEndpointsResponse:
		encodeEndpointMessage(p, msg)
	case proxy.LimitReport:
		p.Body = &meshpb.ProxyMessage_LimitReport{LimitReport: encodeLimitReport(&m)}
	case proxy.LimitGrant:
		p.Body = &meshpb.ProxyMessage_LimitGrant{LimitGrant: encodeLimitGrant(&m)}
	default:
		panic(fmt.Sprintf("peerwire: message has unknown type %T", msg))
	}
	return &meshpb.Frame{Body: &meshpb.Frame_Proxy{Proxy: p}}
}

// encodeEndpointMessage encodes a message about the roles of endpoints, or about which there are.
func encodeEndpointMessage(p *meshpb.ProxyMessage, msg proxy.Message) {
	switch m := msg.(type) {
	case proxy.ReachabilityRequest:
		p.Body = &meshpb.ProxyMessage_AskReach{AskReach: &meshpb.EndpointName{
			Number: m.Seq, Service: string(m.Service), Endpoint: string(m.Endpoint),
		}}
	case proxy.ReachabilityResponse:
		p.Body = &meshpb.ProxyMessage_Reach{Reach: &meshpb.ReachAnswer{
			Number: m.Seq, Service: string(m.Service), Endpoint: string(m.Endpoint), Primary: m.IsPrimary,
		}}
	case proxy.ReleasePrimary:
		p.Body = &meshpb.ProxyMessage_ReleasePrimary{ReleasePrimary: &meshpb.SteppedDown{
			Service: string(m.Service), Endpoint: string(m.Endpoint), Term: uint64(m.Term),
		}}
	case proxy.MissingEndpointsRequest:
		p.Body = &meshpb.ProxyMessage_AskMissing{AskMissing: true}
	case proxy.MissingEndpointsResponse:
		p.Body = &meshpb.ProxyMessage_Missing{Missing: encodeMissingEndpoints(&m)}
	}
}

func encodeMissingEndpoints(m *proxy.MissingEndpointsResponse) *meshpb.MissingEndpoints {
	out := &meshpb.MissingEndpoints{}
	for _, e := range m.Endpoints {
		out.Endpoints = append(out.Endpoints, &meshpb.MissingEndpoint{
			Id: string(e.Endpoint.ID), Service: string(e.Endpoint.Service), Address: e.Endpoint.Address, DataCentre: string(e.Endpoint.DataCentre),
			Slots: uint32(max(e.Endpoint.Slots, 0)), Leaving: e.Endpoint.Leaving, Started: e.Endpoint.StartedUnixMs, MissingUs: uint64(max(e.MissingFor, 0).Microseconds()),
		})
	}
	return out
}

// convertIDs converts between the IDs of requests and their numbers.
func convertIDs[T, F ~uint64](ids []F) []T {
	var out []T
	for _, id := range ids {
		out = append(out, T(id))
	}
	return out
}

func encodePoint(p types.LogPoint) *meshpb.LogPoint {
	if p == (types.LogPoint{}) {
		return nil
	}
	return &meshpb.LogPoint{Term: uint64(p.Term), Position: uint64(p.Position)}
}

func encodeStatement(q *pool.Query) *meshpb.Statement {
	if q == nil {
		return nil
	}
	text := []byte(q.Stmt.Text)
	if q.Stmt.Kind == statement.KindExecute {
		// The owner builds the text from the name and the value, which together hold
		// all of it.
		text = nil
	}
	return &meshpb.Statement{
		Id: []byte(q.ID), Kind: uint32(q.Stmt.Kind), Text: text, Name: []byte(q.Stmt.Name), Value: []byte(q.Stmt.Value),
		Shape: []byte(q.Stmt.Template.Text), ShapeWrites: q.Stmt.Template.Writes,
	}
}

func encodeExecRequest(e *proxy.ExecRequest) *meshpb.Exec {
	out := &meshpb.Exec{
		Id: uint64(e.ID), Service: string(e.Service), Endpoint: string(e.Endpoint), Primary: e.RequirePrimary, Tx: uint64(e.Tx),
		Begin: encodeStatement(e.Begin), Statement: encodeStatement(&e.Query), Rank: uint32(max(e.Rank, 0)),
		DueUs: e.DueIn.Microseconds(), DeadlineUs: e.DeadlineIn.Microseconds(), MaxAgeUs: uint64(e.MaxStaleness.Microseconds()),
		After: encodePoint(e.After), Workspace: string(e.Workspace), Public: e.Public, Retry: e.Retry, WayUs: uint64(max(e.WayTime, 0).Microseconds()),
	}
	for _, v := range e.Variables {
		out.Values = append(out.Values, &meshpb.SessionValue{Name: []byte(v.Name), Value: []byte(v.Value)})
	}
	return out
}

func encodeExecResult(d *proxy.ExecResult) *meshpb.Done {
	out := &meshpb.Done{
		Id: uint64(d.ID), Ran: d.MayHaveRun, Reason: uint32(d.Reason), Code: uint32(d.Reply.Code), Text: []byte(d.Reply.Text),
		Signature: []byte(d.Reply.Signature), State: uint32(d.Reply.State), Position: encodePoint(d.Reply.Position),
		TxOpen: d.TxOpen, Load: uint32(d.Load), WaitedUs: uint64(d.QueueTime.Microseconds()), ServedUs: uint64(d.ServiceTime.Microseconds()),
		RetryAfterUs: uint64(d.RetryAfter.Microseconds()),
	}
	for _, row := range d.Reply.Rows {
		out.Rows = append(out.Rows, []byte(row))
	}
	return out
}

func encodeDigest(d *proxy.Digest) *meshpb.Revisions {
	out := encodeRevisions(d.Revisions)
	out.Answer, out.Fresh, out.Tried = d.NoReply, string(d.JustRead), string(d.ReadFailed)
	return out
}

func encodeRevisions(list []proxy.Revision) *meshpb.Revisions {
	out := &meshpb.Revisions{}
	for _, r := range list {
		out.Kinds = append(out.Kinds, &meshpb.KindRevision{Kind: string(r.Kind), Revision: uint64(r.Revision)})
	}
	return out
}

func (enc *Encoder) encodeChanges(kinds []feed.Changes) *meshpb.ObjectChanges {
	out := &meshpb.ObjectChanges{}
	for _, c := range kinds {
		k := &meshpb.KindChanges{Kind: string(c.Kind), AsOf: uint64(c.AsOf), Full: c.Full}
		for _, o := range c.Objects {
			stored := &meshpb.StoredObject{Name: o.Name, Revision: uint64(o.Revision), Deleted: o.Deleted}
			if len(o.Data) >= minCompressedBytes {
				stored.Deflated = enc.cache.compress(&o)
			} else {
				stored.Data = o.Data
			}
			k.Objects = append(k.Objects, stored)
		}
		out.Kinds = append(out.Kinds, k)
	}
	return out
}

// microseconds converts a number of microseconds from the wire.
func microseconds[T int64 | uint64](us T) time.Duration { return time.Duration(us) * time.Microsecond }

// isStatementKind reports whether k is a kind of statement.
func isStatementKind(k uint32) bool {
	return k >= uint32(statement.KindBegin) && k <= uint32(statement.KindDeallocate)
}
