package host

import (
	"context"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// The benchmarks run the same statements over a direct connection to an endpoint
// and through a host. The ratio of the times is the overhead of the proxy.

// createBenchTable creates the table that the benchmarks use.
func createBenchTable(b *testing.B, ctx context.Context, conn *pgx.Conn) {
	b.Helper()
	is := is.New(b)
	_, err := conn.Exec(ctx, "CREATE TABLE rounds (id integer primary key, pin text)")
	is.NoErr(err)
	_, err = conn.Exec(ctx, "INSERT INTO rounds VALUES (0, 'hinge')")
	is.NoErr(err)
}

// benchRead reads the same row repeatedly.
func benchRead(b *testing.B, ctx context.Context, conn *pgx.Conn) {
	b.Helper()
	b.ReportAllocs()
	for b.Loop() {
		var pin string
		if err := conn.QueryRow(ctx, "SELECT pin FROM rounds WHERE id = $1", 0).Scan(&pin); err != nil {
			b.Fatal(err)
		}
	}
}

// benchWrite inserts one row after another.
func benchWrite(b *testing.B, ctx context.Context, conn *pgx.Conn) {
	b.Helper()
	b.ReportAllocs()
	id := 0
	for b.Loop() {
		id++
		if _, err := conn.Exec(ctx, "INSERT INTO rounds VALUES ($1, $2)", id, "chain"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPath(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := startCluster(b, ctx)
	viaHost := c.connect(b, ctx, 0, "")
	createBenchTable(b, ctx, viaHost)
	direct, err := pgx.Connect(ctx, "postgres://app@"+c.group.Instances[0].Address()+"/ramp-logs-1?sslmode=disable")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = direct.Close(ctx) }()
	b.Run("read/direct", func(b *testing.B) { benchRead(b, ctx, direct) })
	b.Run("read/through", func(b *testing.B) { benchRead(b, ctx, viaHost) })
	b.Run("write/through", func(b *testing.B) { benchWrite(b, ctx, viaHost) })
	b.Run("read/parallel", func(b *testing.B) { benchParallel(b, ctx, c) })
}

// benchParallel reads over several connections concurrently and reports the
// statements per second and core.
func benchParallel(b *testing.B, ctx context.Context, c *cluster) {
	const callers = 6
	conns := make(chan *pgx.Conn, callers)
	for i := range callers {
		conns <- c.connect(b, ctx, i%len(c.hosts), "")
	}
	b.SetParallelism(1)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		conn, ok := <-conns, true
		for ok && pb.Next() {
			var pin string
			if err := conn.QueryRow(ctx, "SELECT pin FROM rounds WHERE id = $1", 0).Scan(&pin); err != nil {
				b.Error(err)
				return
			}
		}
		conns <- conn
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds()/float64(runtime.GOMAXPROCS(0)), "stmts/s/core")
}
