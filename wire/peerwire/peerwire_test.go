package peerwire_test

import (
	"bytes"
	"encoding/hex"
	"math"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/limits"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
	"baobabfield.example/wire/meshpb"
	"baobabfield.example/wire/peerwire"
)

func newQuery(kind statement.Kind) pool.Query {
	return pool.Query{ID: "5c", Stmt: statement.Statement{
		Kind: kind, Text: "t", Name: "n", Value: "v", Template: statement.Template{Text: "q", Writes: true},
	}}
}

func TestMessagesRoundTrip(t *testing.T) {
	begin := newQuery(statement.KindBegin)
	point := types.LogPoint{Term: 3, Position: 9}
	for _, msg := range []proxy.Message{
		proxy.Hello{DataCentre: "a", MeshAddress: "1.2.3.4:5", StartedUnixMs: 7, CPUMillicores: 272, AuthorityRules: 1},
		proxy.ExecRequest{
			ID: 1, Service: "s", Endpoint: "e", RequirePrimary: true, Tx: 4, Begin: &begin, Query: newQuery(statement.KindWrite),
			Variables: statement.SessionVariables{{Name: "a", Value: "b"}}, Rank: 2, DueIn: -time.Millisecond, DeadlineIn: time.Second,
			MaxStaleness: time.Second, After: point, Retry: true, WayTime: time.Millisecond,
		},
		proxy.ExecResult{
			ID: 1, MayHaveRun: true, Reason: types.ReasonLate, Load: 3, TxOpen: true, QueueTime: time.Millisecond, ServiceTime: time.Second,
			Reply: statement.Reply{Code: statement.CodeBusy, Text: "x", Rows: []string{"a"}, Signature: "s", State: statement.StateInTransaction, Position: point},
		},
		proxy.EndTx{Tx: 4},
		proxy.PositionRequest{Seq: 2, Service: "s", Endpoint: "e"},
		proxy.PositionResponse{Seq: 2, Service: "s", Endpoint: "e", Known: true, Point: point, Age: time.Millisecond},
		proxy.Ping{},
		proxy.Pong{},
		proxy.ReopenLink{},
		proxy.OutstandingRequests{IDs: []proxy.RequestID{4, 1 << 62}, StartedUnixMs: 7},
		proxy.RequestsNotReceived{IDs: []proxy.RequestID{4, 5}, NotReceived: []proxy.RequestID{5}},
		proxy.Leaving{},
		proxy.Digest{Revisions: []proxy.Revision{{Kind: "k", Revision: 5}}, NoReply: true, JustRead: "k", ReadFailed: "l"},
		proxy.ChangesRequest{Since: []proxy.Revision{{Kind: "k", Revision: 5}}},
		proxy.ChangesResponse{Kinds: []feed.Changes{{Kind: "k", AsOf: 7, Full: true, Objects: []feed.Object{
			{Kind: "k", Name: "o", Revision: 7, Deleted: true, Data: []byte("d")},
		}}}},
		proxy.ReachabilityRequest{Seq: 3, Service: "s", Endpoint: "e"},
		proxy.ReachabilityResponse{Seq: 3, Service: "s", Endpoint: "e", IsPrimary: true},
		proxy.ReleasePrimary{Service: "s", Endpoint: "e", Term: 3},
		proxy.MissingEndpointsRequest{},
		proxy.MissingEndpointsResponse{Endpoints: []proxy.MissingEndpoint{{
			Endpoint:   catalog.Endpoint{ID: "e", Service: "s", Address: "1.2.3.4:5", DataCentre: "a", Slots: 3, Leaving: true, StartedUnixMs: 7},
			MissingFor: 4 * time.Second,
		}}},
		proxy.LimitReport{
			Seq: 7, Group: 3, AllocatorProcess: 1 << 63, AllocatorClock: types.Time(-5), LendFor: time.Second, Share: 1.0 / 30, Hosts: 30,
			Demands: []limits.Demand{{Workspace: "w", Rate: 0.5, Need: 2, Returned: 3, Ahead: 4, Held: 5}},
		},
		proxy.LimitGrant{
			Seq: 7, Group: 3, AllocatorProcess: 1, AllocatorClock: types.Time(time.Hour), ValidFor: time.Second, TokensFor: time.Millisecond, Hosts: 30,
			Grants: []limits.Grant{{Workspace: "w", Share: 1.0 / 3, Tokens: 4, Keep: true}},
		},
	} {
		buf, err := proto.Marshal(peerwire.NewEncoder().Encode(msg))
		if err != nil {
			t.Fatalf("%T: %v", msg, err)
		}
		var f meshpb.Frame
		if err := proto.Unmarshal(buf, &f); err != nil {
			t.Fatalf("%T: %v", msg, err)
		}
		got, err := peerwire.Decode(&f)
		if err != nil || !reflect.DeepEqual(got, msg) {
			t.Errorf("%T: got %+v, %v, want %+v", msg, got, err, msg)
		}
	}
}

// Numbers that follow from a very high limit of one workspace must not make the message invalid, which
// also holds the numbers of all other workspaces of the group.
func TestLimitMessagesOfVeryHighLimitsAreValid(t *testing.T) {
	const most = 1 << 24
	for _, tc := range []struct{ sent, want proxy.Message }{
		{
			proxy.LimitReport{Share: 0.5, Demands: []limits.Demand{{Workspace: "high", Rate: 1e12, Need: 1 << 40, Returned: 1 << 40}, {Workspace: "w", Rate: 2, Returned: 3}}},
			proxy.LimitReport{Share: 0.5, Demands: []limits.Demand{{Workspace: "high", Rate: 1e9, Need: most, Returned: most}, {Workspace: "w", Rate: 2, Returned: 3}}},
		},
		{
			proxy.LimitGrant{Grants: []limits.Grant{{Workspace: "high", Share: 1.0000000000000002, Tokens: 1 << 40}, {Workspace: "w", Tokens: 3}}},
			proxy.LimitGrant{Grants: []limits.Grant{{Workspace: "high", Share: 1, Tokens: most}, {Workspace: "w", Tokens: 3}}},
		},
	} {
		got, err := peerwire.Decode(peerwire.NewEncoder().Encode(tc.sent))
		if err != nil || !reflect.DeepEqual(got, tc.want) {
			t.Errorf("got %+v, %v, want %+v", got, err, tc.want)
		}
	}
}

// largeChanges returns changes with one object of about size bytes that compresses well.
func largeChanges(revision types.Revision, size int) proxy.ChangesResponse {
	return proxy.ChangesResponse{Kinds: []feed.Changes{{Kind: "k", AsOf: revision, Objects: []feed.Object{
		{Kind: "k", Name: "o", Revision: revision, Data: bytes.Repeat([]byte("route "), size/6)},
	}}}}
}

func TestLargeObjectsAreCompressed(t *testing.T) {
	enc := peerwire.NewEncoder()
	for _, revision := range []types.Revision{7, 7, 8} {
		msg := largeChanges(revision, 1<<20)
		f := enc.Encode(msg)
		if n := proto.Size(f); n > 1<<17 {
			t.Errorf("frame has %d bytes", n)
		}
		got, err := peerwire.Decode(f)
		if err != nil || !reflect.DeepEqual(got, msg) {
			t.Errorf("revision %d: decoded to another message, %v", revision, err)
		}
	}
}

func TestInvalidMessagesAreErrors(t *testing.T) {
	for _, p := range []*meshpb.ProxyMessage{
		{},
		{Body: &meshpb.ProxyMessage_Exec{Exec: &meshpb.Exec{}}},
		{Body: &meshpb.ProxyMessage_Exec{Exec: &meshpb.Exec{Statement: &meshpb.Statement{Kind: 99}}}},
		{Body: &meshpb.ProxyMessage_Done{Done: &meshpb.Done{Reason: 999}}},
		{Body: &meshpb.ProxyMessage_Done{Done: &meshpb.Done{Code: 999}}},
		{Body: &meshpb.ProxyMessage_Done{Done: &meshpb.Done{State: 9}}},
		{Body: &meshpb.ProxyMessage_LimitReport{LimitReport: &meshpb.LimitReport{Share: math.NaN()}}},
		{Body: &meshpb.ProxyMessage_LimitReport{LimitReport: &meshpb.LimitReport{Share: 1.5}}},
		{Body: &meshpb.ProxyMessage_LimitReport{LimitReport: &meshpb.LimitReport{Demands: []*meshpb.LimitDemand{{Rate: float32(math.Inf(1))}}}}},
		{Body: &meshpb.ProxyMessage_LimitReport{LimitReport: &meshpb.LimitReport{Demands: []*meshpb.LimitDemand{{Returned: math.MaxUint32}}}}},
		{Body: &meshpb.ProxyMessage_LimitReport{LimitReport: &meshpb.LimitReport{Demands: []*meshpb.LimitDemand{{Ahead: math.MaxUint32}}}}},
		{Body: &meshpb.ProxyMessage_LimitReport{LimitReport: &meshpb.LimitReport{Demands: []*meshpb.LimitDemand{{Held: math.MaxUint32}}}}},
		{Body: &meshpb.ProxyMessage_LimitGrant{LimitGrant: &meshpb.LimitGrant{Grants: []*meshpb.WorkspaceGrant{{Share: -1}}}}},
		compressedObjectMessage([]byte("no deflate")),
		compressedObjectMessage(peerwire.NewEncoder().Encode(largeChanges(1, 5<<20)).GetProxy().GetChanges().GetKinds()[0].GetObjects()[0].GetDeflated()),
	} {
		if msg, err := peerwire.Decode(&meshpb.Frame{Body: &meshpb.Frame_Proxy{Proxy: p}}); err == nil {
			t.Errorf("%v: got %+v, no error", p, msg)
		}
	}
}

// compressedObjectMessage returns a message with one object in compressed form.
func compressedObjectMessage(deflated []byte) *meshpb.ProxyMessage {
	return &meshpb.ProxyMessage{Body: &meshpb.ProxyMessage_Changes{Changes: &meshpb.ObjectChanges{Kinds: []*meshpb.KindChanges{
		{Kind: "k", Objects: []*meshpb.StoredObject{{Name: "o", Deflated: deflated}}},
	}}}}
}

// Frames of the build before reachability requests were numbered, and what that build reads of
// the present ones: the unknown number is skipped.
func TestReachabilityMessagesOfEarlierBuild(t *testing.T) {
	for want, earlier := range map[proxy.Message][]byte{
		proxy.ReachabilityRequest{Service: "s", Endpoint: "e"}:                   {0x62, 0x08, 0x62, 0x06, 0x0a, 0x01, 's', 0x12, 0x01, 'e'},
		proxy.ReachabilityResponse{Service: "s", Endpoint: "e", IsPrimary: true}: {0x62, 0x0a, 0x6a, 0x08, 0x0a, 0x01, 's', 0x12, 0x01, 'e', 0x18, 0x01},
	} {
		var f meshpb.Frame
		if err := proto.Unmarshal(earlier, &f); err != nil {
			t.Fatal(err)
		}
		if got, err := peerwire.Decode(&f); err != nil || got != want {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
		buf, err := proto.Marshal(peerwire.NewEncoder().Encode(want))
		if err != nil || !bytes.Equal(buf, earlier) {
			t.Errorf("%+v without a number is encoded as % x, %v, want % x", want, buf, err, earlier)
		}
	}
}

// The bytes that callers send need not be UTF-8. One such statement must not end the link to the
// owner, which fails the statements of other callers.
func TestCallerBytesNeedNotBeUTF8(t *testing.T) {
	const raw = "a\xff\x80 \xc3("
	query := pool.Query{ID: raw, Stmt: statement.Statement{
		Kind: statement.KindPrepare, Text: raw, Name: raw, Value: raw, Template: statement.Template{Text: raw},
	}}
	for _, msg := range []proxy.Message{
		proxy.ExecRequest{ID: 1, Service: "s", Endpoint: "e", Query: query, Variables: statement.SessionVariables{{Name: raw, Value: raw}}},
		proxy.ExecResult{ID: 1, Reply: statement.Reply{Text: raw, Rows: []string{raw, "b\xfe"}, Signature: raw}},
	} {
		buf, err := proto.Marshal(peerwire.NewEncoder().Encode(msg))
		if err != nil {
			t.Fatalf("%T: %v", msg, err)
		}
		var f meshpb.Frame
		if err := proto.Unmarshal(buf, &f); err != nil {
			t.Fatalf("%T: %v", msg, err)
		}
		if got, err := peerwire.Decode(&f); err != nil || !reflect.DeepEqual(got, msg) {
			t.Errorf("%T: got %+v, %v, want %+v", msg, got, err, msg)
		}
	}
}

// Hosts of the build before, which declares the text of callers as string, exchange the same
// bytes. The frames were encoded by that build.
func TestStatementsOfEarlierBuild(t *testing.T) {
	begin := newQuery(statement.KindBegin)
	point := types.LogPoint{Term: 3, Position: 9}
	for _, c := range []struct {
		earlier string
		msg     proxy.Message
	}{
		{
			"62550a5308011201731a01652001280432140a02356310011a017422016e2a017632017138013a140a02356310061a017422016e2a0176320171380142060a0161120162480250cf0f5880897a60c0843d6a0408031009",
			proxy.ExecRequest{
				ID: 1, Service: "s", Endpoint: "e", RequirePrimary: true, Tx: 4, Begin: &begin, Query: newQuery(statement.KindWrite),
				Variables: statement.SessionVariables{{Name: "a", Value: "b"}}, Rank: 2, DueIn: -time.Millisecond, DeadlineIn: time.Second,
				MaxStaleness: time.Second, After: point,
			},
		},
		{
			"622a122808011001180720012a01783201613202c3a93a017340014a04080310095001580360e80768c0843d",
			proxy.ExecResult{
				ID: 1, MayHaveRun: true, Reason: types.ReasonLate, Load: 3, TxOpen: true, QueueTime: time.Millisecond, ServiceTime: time.Second,
				Reply: statement.Reply{Code: statement.CodeBusy, Text: "x", Rows: []string{"a", "é"}, Signature: "s", State: statement.StateInTransaction, Position: point},
			},
		},
	} {
		earlier, err := hex.DecodeString(c.earlier)
		if err != nil {
			t.Fatal(err)
		}
		buf, err := proto.MarshalOptions{Deterministic: true}.Marshal(peerwire.NewEncoder().Encode(c.msg))
		if err != nil || !bytes.Equal(buf, earlier) {
			t.Errorf("%T: encoded as %x, %v, want %x", c.msg, buf, err, earlier)
		}
		var f meshpb.Frame
		if err := proto.Unmarshal(earlier, &f); err != nil {
			t.Fatal(err)
		}
		if got, err := peerwire.Decode(&f); err != nil || !reflect.DeepEqual(got, c.msg) {
			t.Errorf("%T: got %+v, %v, want %+v", c.msg, got, err, c.msg)
		}
	}
}
