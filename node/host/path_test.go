package host

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"baobabfield.example/core/config"
	"baobabfield.example/core/membership"
	"baobabfield.example/core/types"
	"baobabfield.example/standin/database"
)

// testTimeout only keeps a test that hangs from running for ever.
const testTimeout = 60 * time.Second

var testDataCentres = []types.DataCentre{"sao-jose", "rio-grande", "pelotas"}

// cluster is a database with its endpoints and one host in each data centre.
type cluster struct {
	group *database.Group
	hosts []*Host
}

// startCluster starts the endpoints and the hosts, and gives the hosts their
// configuration and membership directly.
func startCluster(t *testing.T, ctx context.Context) *cluster {
	t.Helper()
	group, err := database.StartGroup(ctx, database.Config{Database: "ramp-logs-1", Slots: 3, ConnectDelay: -1},
		"ramp-logs-1-a", "ramp-logs-1-b", "ramp-logs-1-c")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	c := &cluster{group: group}
	for i, dc := range testDataCentres {
		set := Defaults()
		set.Host = types.Host(fmt.Sprintf("host-%d", i))
		set.DataCentre = dc
		set.CallerListen, set.MeshListen, set.GossipListen, set.AdminListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		set.ClusterKey = []byte("0123456789abcdef")
		set.AdminToken = "secret"
		h, err := Start(set, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(h.Kill)
		c.hosts = append(c.hosts, h)
	}
	c.configure()
	return c
}

// configure tells all hosts the service and each other.
func (c *cluster) configure() {
	spec := types.ServiceSpec{Name: "ramp-logs", Promise: types.PromiseReplicated, Slots: 3, Connections: 50}
	db := types.DatabaseSpec{ID: "ramp-logs-1", Set: 1}
	for i, inst := range c.group.Instances {
		db.Endpoints = append(db.Endpoints, types.EndpointSpec{ID: inst.ID(), DataCentre: testDataCentres[i], Address: inst.Address()})
	}
	spec.Databases = []types.DatabaseSpec{db}
	store := config.NewStore()
	store.Apply(config.Object{Key: config.ServiceObject{Spec: spec}.Key(), Version: 1, Body: config.ServiceObject{Spec: spec}})
	m := membership.New(membership.Config{Self: membership.Member{Host: "observer", DataCentre: "none", MeshAddress: "127.0.0.1:1"}, Seed: 1})
	for _, h := range c.hosts {
		from := membership.Member{Host: h.ID(), DataCentre: h.DataCentre(), MeshAddress: h.MeshAddress(), GossipAddress: "127.0.0.1:2", Incarnation: 1}
		m.Step(0, membership.Message{From: from, Body: membership.Ping{Seq: 1}})
	}
	for _, h := range c.hosts {
		h.coordinator.confChanged(config.Changed{Snapshot: store.Snapshot()})
		h.coordinator.spreadMembers(m.Snapshot())
	}
}

// connect opens a caller's connection to a host.
func (c *cluster) connect(t *testing.T, ctx context.Context, host int, params string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(ctx, "postgres://app@"+c.hosts[host].CallerAddress()+"/ramp-logs-1?sslmode=disable"+params)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func TestSessionRoamsBetweenHosts(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := startCluster(t, ctx)

	writer := c.connect(t, ctx, 0, "")
	_, err := writer.Exec(ctx, "CREATE TABLE rounds (id integer primary key, pin text)")
	is.NoErr(err)
	_, err = writer.Exec(ctx, "INSERT INTO rounds VALUES ($1, $2)", 1, "hinge")
	is.NoErr(err)
	token := writer.PgConn().ParameterStatus("baobab.session")
	is.True(token != "")

	reader := c.connect(t, ctx, 1, "&baobab.trace=on&baobab.session="+token)
	var pin string
	is.NoErr(reader.QueryRow(ctx, "SELECT pin FROM rounds WHERE id = $1", 1).Scan(&pin))
	is.Equal(pin, "hinge")
}
