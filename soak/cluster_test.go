package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"baobabfield.example/standin/fleet"
	"baobabfield.example/standin/platform"
)

// cluster is a set of real hosts before the stand-in of the platform.
type cluster struct {
	t         *testing.T
	rng       *rand.Rand
	binary    string
	fleet     *fleet.Fleet
	hosts     []*process
	instances []*fleet.Instance
	relays    []*relay
	version   int
	seed      uint64
}

// process is one host. One goroutine at a time changes it.
type process struct {
	c        *cluster
	name     string
	zone     string
	frontend string
	settings string
	mesh     *relay
	cmd      *exec.Cmd
	// turn is held by whoever changes the process.
	turn chan struct{}
}

// build compiles the host once for all tests.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(os.TempDir(), fmt.Sprintf("baobabd-soak-%d", os.Getpid()))
	out, err := exec.Command("go", "build", "-o", binary, "baobabfield.example/cmd/baobabd").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// freePort returns a port that nobody listens on.
func freePort(t *testing.T) int {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

func newCluster(t *testing.T, seed uint64, binary string, hosts int) *cluster {
	t.Helper()
	f, err := fleet.Start(seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 2)), binary: binary, fleet: f, seed: seed}
	for i, zone := range []string{"a", "b", "c"} {
		instance, err := f.AddInstance("i-"+zone, "svc", zone, i == 0, func(target string) string {
			r := newRelay(t, target)
			c.relays = append(c.relays, r)
			return r.address()
		})
		if err != nil {
			t.Fatal(err)
		}
		c.instances = append(c.instances, instance)
	}
	c.configure()
	for i := range hosts {
		c.hosts = append(c.hosts, c.newProcess(i))
	}
	for _, p := range c.hosts {
		p.start()
		t.Cleanup(p.kill)
	}
	return c
}

// configure stores the next version of the configuration.
func (c *cluster) configure() {
	c.version += 3
	routes := []map[string]any{}
	for i, kind := range []string{"primary", "bounded_staleness", "read_your_writes"} {
		routes = append(routes, map[string]any{
			"name": kind, "host": kind, "pathPrefix": "/", "type": kind, "timeoutMs": 800 + c.version%7, "targetLatencyMs": 200,
			"priority": i, "service": "svc", "attempts": 2, "maxStalenessMs": 1500,
		})
	}
	c.fleet.Store().Put("config", "main", map[string]any{
		"version": c.version, "routes": routes, "limits": map[string]any{"txIdleMs": 3000},
		"services": []map[string]any{{"name": "svc", "maxConns": 40, "syncReplicas": 0}},
	})
}

func (c *cluster) newProcess(i int) *process {
	p := &process{c: c, name: fmt.Sprintf("host-%d", i), zone: string(rune('a' + i%3)), turn: make(chan struct{}, 1)}
	store := newRelay(c.t, c.fleet.Store().Address())
	c.relays = append(c.relays, store)
	ports := [4]int{freePort(c.t), freePort(c.t), freePort(c.t), freePort(c.t)}
	p.frontend = fmt.Sprintf("127.0.0.1:%d", ports[0])
	p.mesh = newRelay(c.t, fmt.Sprintf("127.0.0.1:%d", ports[2]))
	c.relays = append(c.relays, p.mesh)
	dir := c.t.TempDir()
	if *logDir != "" {
		dir = *logDir
	}
	p.settings = filepath.Join(dir, fmt.Sprintf("%s-%d.yaml", p.name, c.seed))
	text := fmt.Sprintf(`nodeName: %q
ip: "127.0.0.1"
zone: %q
listen: {frontend: %q, readiness: "127.0.0.1:%d"}
internalPorts: [%d, %d]
limits: {memoryMb: 200, maxFds: 3000}
bounds: {graceS: 4}
platform: {address: %q}
cloud: {address: %q}
`, p.name, p.zone, p.frontend, ports[1], ports[2], ports[2]+9, store.address(), store.address())
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return p
}

// start starts the process; its log goes to a file beside its settings.
func (p *process) start() {
	log, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.c.t.Error(err)
		return
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(p.c.binary, "platform", "--mesh-advertise", p.mesh.address())
	p.cmd.Env = append(os.Environ(), "BAOBABFIELD_CONFIG="+p.settings, "GOMAXPROCS=2")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		p.c.t.Error(err)
		p.cmd = nil
	}
}

// kill ends the process by its id.
func (p *process) kill() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		p.cmd = nil
	}
}

// change does something to the process unless somebody else is at it.
func (p *process) change(do func()) {
	select {
	case p.turn <- struct{}{}:
		go func() {
			do()
			<-p.turn
		}()
	default:
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// storeFaults are the ways in which the platform's store fails for a while.
var storeFaults = []platform.Faults{{Unavailable: true}, {Unresponsive: true}, {DropResponseEvery: 2}}

// randomFault gives one fault that ends by itself.
func (c *cluster) randomFault() {
	p := c.hosts[c.rng.IntN(len(c.hosts))]
	i := c.instances[c.rng.IntN(len(c.instances))]
	r := c.relays[c.rng.IntN(len(c.relays))]
	d := time.Duration(200+c.rng.IntN(1800)) * time.Millisecond
	switch c.rng.IntN(12) {
	case 0:
		p.change(func() { p.kill(); time.Sleep(d); p.start() })
	case 1:
		p.change(func() { p.signal(syscall.SIGSTOP); time.Sleep(d); p.signal(syscall.SIGCONT) })
	case 2:
		p.change(func() { p.signal(syscall.SIGTERM); _ = p.cmd.Wait(); p.start() })
	case 3:
		p.signal(syscall.SIGHUP)
	case 4, 5, 6:
		r.set <- relayMode(1 + c.rng.IntN(3))
		time.AfterFunc(d, func() { r.set <- passing; r.resets <- struct{}{} })
	case 7:
		r.resets <- struct{}{}
	case 8:
		i.Crash()
		time.AfterFunc(d, func() { _ = i.Restart() })
	case 9:
		c.fleet.Store().SetFaults(storeFaults[c.rng.IntN(len(storeFaults))])
		time.AfterFunc(d, func() { c.fleet.Store().SetFaults(platform.Faults{}) })
	case 10:
		i.SetResponseLoss(10)
		time.AfterFunc(d, func() { i.SetResponseLoss(0) })
	case 11:
		c.configure()
		c.fleet.Store().Compact()
	}
}
