package host

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"baobabfield.example/core/config"
	"baobabfield.example/core/types"
	"baobabfield.example/node/admin"
	"baobabfield.example/platform"
	"baobabfield.example/standin/database"
	standin "baobabfield.example/standin/platform"
	"baobabfield.example/wire/pgwire"
)

// testTimeout ends a test that hangs.
const testTimeout = 60 * time.Second

var testDataCentres = []types.DataCentre{"sao-jose", "rio-grande", "pelotas"}

// cluster consists of a database with its endpoints, the platform, and one host in
// each data centre.
type cluster struct {
	group *database.Group
	hosts []*Host
}

// startCluster starts the endpoints, the platform and the hosts.
func startCluster(t testing.TB, ctx context.Context) *cluster {
	t.Helper()
	is := is.New(t)
	group, err := database.StartGroup(ctx, database.Config{Database: "ramp-logs-1", Slots: 3, ConnectDelay: -1},
		"ramp-logs-1-a", "ramp-logs-1-b", "ramp-logs-1-c")
	is.NoErr(err)
	t.Cleanup(group.Close)
	server, err := standin.Start(ctx, "127.0.0.1:0", nil)
	is.NoErr(err)
	t.Cleanup(server.Close)
	client := platform.NewRecordStore(platform.NewClient(platform.ClientSettings{StoreAddress: server.Address()}))
	service := config.ServiceObject{Spec: testService(group)}
	_, err = client.Put(ctx, config.Write{Key: service.Key(), Body: service})
	is.NoErr(err)
	c := &cluster{group: group}
	var seeds []string
	for i, dc := range testDataCentres {
		h, err := Start(testSettings(types.Host(fmt.Sprintf("host-%d", i)), dc, client, seeds), zap.NewNop())
		is.NoErr(err)
		t.Cleanup(h.Kill)
		c.hosts = append(c.hosts, h)
		seeds = append(seeds, h.GossipAddress())
	}
	return c
}

// testSettings returns the settings of a host that listens on loopback.
func testSettings(id types.Host, dc types.DataCentre, client Platform, seeds []string) Settings {
	token, err := admin.NewToken("tester", "0123456789abcdef")
	if err != nil {
		panic(err)
	}
	settings := Defaults()
	settings.Host, settings.DataCentre, settings.Platform, settings.Seeds = id, dc, client, seeds
	settings.CallerListen, settings.MeshListen, settings.GossipListen, settings.AdminListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.ClusterKey = []byte("0123456789abcdef")
	settings.AdminTokens = []admin.Token{token}
	return settings
}

// testService returns the specification of a service whose database is the group,
// with one endpoint in each data centre.
func testService(group *database.Group) types.ServiceSpec {
	spec := types.ServiceSpec{Name: "ramp-logs", Durability: types.DurabilityReplicated, Slots: 3, Connections: 50}
	db := types.DatabaseSpec{ID: "ramp-logs-1", EndpointSet: 1}
	for i, inst := range group.Instances {
		db.Endpoints = append(db.Endpoints, types.EndpointSpec{ID: inst.ID(), DataCentre: testDataCentres[i], Address: inst.Address()})
	}
	spec.Databases = []types.DatabaseSpec{db}
	return spec
}

// connect opens a caller's connection to a host. It retries until the host has its
// configuration.
func (c *cluster) connect(t testing.TB, ctx context.Context, host int, params string) *pgx.Conn {
	t.Helper()
	for {
		conn, err := pgx.Connect(ctx, "postgres://app@"+c.hosts[host].CallerAddress()+"/ramp-logs-1?sslmode=disable"+params)
		var refused *pgconn.PgError
		if errors.As(err, &refused) && refused.Code == pgwire.SQLStateUnavailable {
			sleep(ctx, 20*time.Millisecond)
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close(context.Background()) })
		return conn
	}
}

// TestSessionTokenGivesReadYourWritesOnAnotherHost guards against a read of older data
// after a caller has moved to another host. The caller presents its session token there
// and must read the session's earlier writes.
func TestSessionTokenGivesReadYourWritesOnAnotherHost(t *testing.T) {
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
