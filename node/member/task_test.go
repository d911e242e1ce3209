package member

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"baobabfield.example/core/membership"
	"baobabfield.example/core/types"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var sampleMember = membership.Member{
	Host: "host-1", DataCentre: "recife-a", MeshAddress: "127.0.0.1:1", GossipAddress: "127.0.0.1:2",
	Incarnation: 1 << 40, State: membership.Leaving,
}

func TestMessageEncodingRoundTrip(t *testing.T) {
	is := is.New(t)
	members := []membership.Member{sampleMember, sampleMember}
	bodies := []membership.Body{
		membership.Ping{Seq: 7, Updates: members},
		membership.Ack{Seq: 8},
		membership.PingReq{Seq: 9, Target: "b", Address: "127.0.0.1:3"},
		membership.Digest{DataCentres: []membership.DataCentreDigest{{DataCentre: "a", Hash: 1 << 63}}},
		membership.Buckets{DataCentres: []membership.BucketDigest{{DataCentre: "a", Hashes: []uint32{1, 2}}}},
		membership.Summaries{
			DataCentre: "a", Count: 4, IsResponse: true,
			Buckets: []membership.BucketSummary{{Bucket: 3, Hashes: []uint32{5, 6}}},
		},
		membership.Members{Members: members},
	}
	for _, body := range bodies {
		msg := membership.Message{From: sampleMember, Body: body}
		data, err := encode([]byte("key"), msg)
		is.NoErr(err)
		got, err := decode([]byte("key"), data)
		is.NoErr(err)
		is.Equal(got, msg)
	}
}

// TestDatagramsFitMaxSize guards against datagrams that exceed the maximum size and are
// therefore not sent. A machine with long names and addresses and many pending updates
// sends every kind of reply.
func TestDatagramsFitMaxSize(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("n", 60)
	member := func(i int) membership.Member {
		return membership.Member{
			Host: types.Host(fmt.Sprintf("%s%d", long, i)), DataCentre: types.DataCentre(long),
			MeshAddress: "255.255.255.255:65535", GossipAddress: "255.255.255.254:65535",
			Incarnation: 1 << 62, State: membership.Alive,
		}
	}
	m := membership.New(membership.Config{Self: member(0), Seed: 1})
	var sent []membership.Effect
	for i := range 300 {
		updates := []membership.Member{member(2*i + 2)}
		msg := membership.Message{From: member(2*i + 1), Body: membership.Ping{Updates: updates}}
		sent = append(sent, m.Step(types.Time(i+1), msg)...)
	}
	from := member(1)
	sent = append(sent, m.Step(1000, membership.Message{From: from, Body: membership.Digest{}})...)
	hashes := []membership.BucketDigest{{DataCentre: types.DataCentre(long), Hashes: make([]uint32, 8)}}
	sent = append(sent, m.Step(1001, membership.Message{From: from, Body: membership.Buckets{DataCentres: hashes}})...)
	empty := membership.Summaries{
		DataCentre: types.DataCentre(long), Count: 8,
		Buckets: []membership.BucketSummary{{Bucket: 0, Hashes: []uint32{1}}, {Bucket: 1, Hashes: []uint32{2}}},
	}
	sent = append(sent, m.Step(1002, membership.Message{From: from, Body: empty})...)
	kinds := map[string]int{}
	for _, eff := range sent {
		if s, ok := eff.(membership.Send); ok {
			kinds[fmt.Sprintf("%T", s.Message.Body)]++
			_, err := encode([]byte("key"), s.Message)
			is.NoErr(err)
		}
	}
	is.Equal(len(kinds), 4) // acknowledgements, buckets, summaries and members
}

func TestDecodeRejectsInvalidDatagrams(t *testing.T) {
	is := is.New(t)
	data, err := encode([]byte("key"), membership.Message{From: sampleMember, Body: membership.Ack{}})
	is.NoErr(err)
	_, err = decode([]byte("other key"), data)
	is.Equal(err, errNotAuthentic)
	data[0] ^= 1
	_, err = decode([]byte("key"), data)
	is.Equal(err, errNotAuthentic)
	_, err = decode([]byte("key"), []byte("short"))
	is.Equal(err, errNotAuthentic)
	emptyDatagram := append([]byte{}, messageAuthenticationCode([]byte("key"), nil)...)
	_, err = decode([]byte("key"), emptyDatagram)
	is.Equal(err, errMalformed)
}

// runningTask is a running task with its channel of changes and its metrics.
type runningTask struct {
	task    *Task
	changes chan membership.Changed
	metrics *metrics.Set
}

// startTask runs a task until the test ends.
func startTask(t *testing.T, host types.Host) runningTask {
	t.Helper()
	r := runningTask{changes: make(chan membership.Changed), metrics: metrics.NewSet()}
	task, err := Open(Settings{
		Self:       membership.Member{Host: host, DataCentre: "dc", Incarnation: 1},
		Listen:     "127.0.0.1:0",
		ClusterKey: []byte("key"),
		Changes:    r.changes,
		Metrics:    r.metrics,
	})
	if err != nil {
		t.Fatal(err)
	}
	r.task = task
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		task.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

// waitForState receives changes until the host has the state.
func (r runningTask) waitForState(host types.Host, state membership.State) {
	for c := range r.changes {
		m, known := c.Snapshot.Member(host)
		if known && m.Incarnation > 0 && m.State == state {
			return
		}
	}
}

func TestHostJoinsAndLeaves(t *testing.T) {
	a, b := startTask(t, "a"), startTask(t, "b")
	b.task.Input() <- membership.Join{Seeds: []string{a.task.Address()}}
	a.waitForState("b", membership.Alive)
	b.waitForState("a", membership.Alive)
	b.task.Input() <- membership.Leave{}
	a.waitForState("b", membership.Leaving)
}

// TestUnauthenticatedDatagramIsCounted guards against a task that stops serving after a
// datagram from outside the cluster. The datagram is dropped and counted, and a host can
// still join afterwards.
func TestUnauthenticatedDatagramIsCounted(t *testing.T) {
	is := is.New(t)
	a, b := startTask(t, "a"), startTask(t, "b")
	conn, err := net.Dial("udp", a.task.Address())
	is.NoErr(err)
	_, err = conn.Write([]byte("a stray datagram of some length"))
	is.NoErr(err)
	is.NoErr(conn.Close())
	b.task.Input() <- membership.Join{Seeds: []string{a.task.Address()}}
	a.waitForState("b", membership.Alive)
	var out bytes.Buffer
	a.metrics.WritePrometheus(&out)
	is.True(strings.Contains(out.String(), `baobab_member_dropped_total{reason="not authentic"} 1`))
}
