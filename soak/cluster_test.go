package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"baobabfield.example/standin/fleet"
	"baobabfield.example/standin/platform"
)

// cluster is a set of host processes that use a stand-in for the platform and its
// database instances.
type cluster struct {
	t   *testing.T
	rng *rand.Rand
	// silenceRng chooses the relays whose open connections fall silent beside the other faults; nil
	// for none. It is separate from rng, so that a seed's other faults stay the same.
	silenceRng    *rand.Rand
	binaryPath    string
	fleet         *fleet.Fleet
	hosts         []*hostProcess
	instances     []*fleet.Instance
	relays        []*relay
	configVersion int
	// addedDatabase is a database that the configuration has in addition; empty for none.
	addedDatabase string
	seed          uint64
	limits        hostLimits
	// workspaces is nil if the configuration has none.
	workspaces *workspaceLog
}

// hostLimits are the limits of a host process.
type hostLimits struct {
	// memoryMB and maxFiles are the limits in the settings file.
	memoryMB, maxFiles int
	// environment holds further settings of the form NAME=VALUE.
	environment []string
}

// defaultHostLimits are those of an ordinary host.
var defaultHostLimits = hostLimits{memoryMB: 200, maxFiles: 3000}

// hostProcess is one host and the relay to its mesh port.
type hostProcess struct {
	cluster         *cluster
	binaryPath      string
	name            string
	zone            string
	frontendAddress string
	settingsPath    string
	metricsAddress  string
	storeRelay      *relay
	meshRelay       *relay
	cmd             *exec.Cmd
	// changeSemaphore holds an element while a goroutine of tryChange changes the process.
	changeSemaphore chan struct{}
}

// internalPorts is the number of internal ports of a host: its mesh port and its metrics
// port.
const internalPorts = 2

// gracePeriod is the time that a host has to stop after SIGTERM.
const gracePeriod = 4 * time.Second

// buildHost compiles baobabd and returns the path of the binary.
func buildHost(t *testing.T) string {
	t.Helper()
	path := filepath.Join(os.TempDir(), fmt.Sprintf("baobabd-soak-%d", os.Getpid()))
	output, err := exec.Command("go", "build", "-o", path, "baobabfield.example/cmd/baobabd").CombinedOutput()
	if err != nil {
		t.Fatalf("build baobabd: %v\n%s", err, output)
	}
	return path
}

// newCluster starts three database instances, the first of which is the primary, and
// the given number of hosts. All of them end with the test.
func newCluster(t *testing.T, seed uint64, binaryPath string, hosts int) *cluster {
	t.Helper()
	return newLimitedCluster(t, seed, binaryPath, hosts, defaultHostLimits, nil)
}

// newLimitedCluster is newCluster for hosts with the given limits and a configuration with the
// given workspaces.
func newLimitedCluster(t *testing.T, seed uint64, binaryPath string, hosts int, limits hostLimits, workspaces *workspaceLog) *cluster {
	t.Helper()
	f, err := fleet.Start(seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 2)), binaryPath: binaryPath, fleet: f, seed: seed, limits: limits, workspaces: workspaces}
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
	c.storeConfiguration()
	for i := range hosts {
		c.hosts = append(c.hosts, c.newHostProcess(i))
	}
	for _, p := range c.hosts {
		c.workspaces.recordFault(p.name, 0) // a new process has no share of the limits yet
		p.start()
		t.Cleanup(p.kill)
	}
	return c
}

// storeConfiguration writes the next version of the configuration to the store.
func (c *cluster) storeConfiguration() {
	c.configVersion += 3
	c.putConfiguration()
}

// putConfiguration writes the present version of the configuration to the store. Its number
// determines the timeout of the routes, so versions differ in content.
func (c *cluster) putConfiguration() {
	routes := []map[string]any{}
	add := func(database, kind string, rank int) {
		routes = append(routes, map[string]any{
			"name": database, "host": database, "pathPrefix": "/", "type": kind, "timeoutMs": 800 + c.configVersion%7, "targetLatencyMs": 200,
			"priority": rank, "service": "svc", "attempts": 2, "maxStalenessMs": 1500,
		})
	}
	for i, kind := range []string{"primary", "bounded_staleness", "read_your_writes"} {
		add(kind, kind, i)
	}
	if c.addedDatabase != "" {
		add(c.addedDatabase, "primary", 0)
	}
	c.fleet.Store().Put("config", "main", map[string]any{
		"version": c.configVersion, "tenants": c.workspaces.tenants(), "routes": routes, "limits": map[string]any{"txIdleMs": 3000},
		"services": []map[string]any{{"name": "svc", "maxConns": 40, "syncReplicas": 0}},
	})
}

// newHostProcess writes the settings of host i and returns the host, not yet started.
// The host reaches the store through a relay of its own.
func (c *cluster) newHostProcess(i int) *hostProcess {
	p := &hostProcess{cluster: c, binaryPath: c.binaryPath, name: fmt.Sprintf("host-%d", i), zone: string(rune('a' + i%3)), changeSemaphore: make(chan struct{}, 1)}
	if *earlierBinary != "" && i%2 == 1 {
		p.binaryPath = *earlierBinary
	}
	storeRelay := newRelay(c.t, c.fleet.Store().Address())
	p.storeRelay = storeRelay
	c.relays = append(c.relays, storeRelay)
	frontendPort, readinessPort := reservePorts(c.t, 1), reservePorts(c.t, 1)
	internalPort := reservePorts(c.t, internalPorts)
	p.frontendAddress = loopback(frontendPort)
	p.metricsAddress = loopback(internalPort + 1)
	p.meshRelay = newRelay(c.t, loopback(internalPort))
	c.relays = append(c.relays, p.meshRelay)
	dir := c.t.TempDir()
	if *logDir != "" {
		dir = *logDir
	}
	p.settingsPath = filepath.Join(dir, fmt.Sprintf("%s-%d.yaml", p.name, c.seed))
	settings := fmt.Sprintf(`nodeName: %q
ip: "127.0.0.1"
zone: %q
listen: {frontend: %q, readiness: %q}
internalPorts: [%d, %d]
limits: {memoryMb: %d, maxFds: %d}
bounds: {graceS: %d, configApplyMs: %d}
platform: {address: %q}
cloud: {address: %q}
`, p.name, p.zone, p.frontendAddress, loopback(readinessPort), internalPort, internalPort+internalPorts-1, c.limits.memoryMB, c.limits.maxFiles, gracePeriod/time.Second, c.configBound().Milliseconds(), storeRelay.address(), storeRelay.address())
	if err := os.WriteFile(p.settingsPath, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return p
}

// start starts the process. Its log is appended to a file next to its settings.
func (p *hostProcess) start() {
	logFile, err := os.OpenFile(p.settingsPath+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.cluster.t.Error(err)
		return
	}
	defer func() { _ = logFile.Close() }()
	p.cmd = exec.Command(p.binaryPath, "platform", "--mesh-advertise", p.meshRelay.address())
	p.cmd.Env = append(os.Environ(), "BAOBABFIELD_CONFIG="+p.settingsPath, "GOMAXPROCS=2")
	p.cmd.Env = append(p.cmd.Env, p.cluster.limits.environment...)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if err := p.cmd.Start(); err != nil {
		p.cluster.t.Error(err)
		p.cmd = nil
	}
}

// kill sends SIGKILL to the process, if it runs, and waits for its end.
func (p *hostProcess) kill() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		p.cmd = nil
	}
}

// tryChange runs a change of the process in the background. It does nothing while
// another change is in progress.
func (p *hostProcess) tryChange(change func()) {
	select {
	case p.changeSemaphore <- struct{}{}:
		go func() {
			change()
			p.cluster.workspaces.recordFault(p.name, 0)
			<-p.changeSemaphore
		}()
	default:
	}
}

func (p *hostProcess) signal(s syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// storeFaults are the temporary faults of the platform's store.
var storeFaults = []platform.Faults{{Unavailable: true}, {Unresponsive: true}, {DropResponseEvery: 2}}

// silencePercent is the percentage of the relays whose connections fall silent at a time.
const silencePercent = 70

// silenceConnections makes the open connections of most relays fall silent, in one of three calls.
func (c *cluster) silenceConnections() {
	if c.silenceRng == nil || c.silenceRng.IntN(3) != 0 {
		return
	}
	c.workspaces.recordFault(allHosts, 0)
	for _, r := range c.relays {
		if c.silenceRng.IntN(100) < silencePercent {
			r.silenceRequests <- struct{}{}
		}
	}
}

// injectRandomFault injects one fault, which ends by itself within 2 s. The order and
// number of its draws from rng are part of what a seed reproduces.
func (c *cluster) injectRandomFault() {
	c.silenceConnections()
	c.changeWorkspaces()
	p := c.hosts[c.rng.IntN(len(c.hosts))]
	instance := c.instances[c.rng.IntN(len(c.instances))]
	r := c.relays[c.rng.IntN(len(c.relays))]
	duration := time.Duration(200+c.rng.IntN(1800)) * time.Millisecond
	switch c.rng.IntN(12) {
	case 0:
		c.workspaces.recordFault(p.name, duration)
		p.tryChange(func() { p.kill(); time.Sleep(duration); p.start() })
	case 1:
		c.workspaces.recordFault(p.name, duration)
		p.tryChange(func() { p.signal(syscall.SIGSTOP); time.Sleep(duration); p.signal(syscall.SIGCONT) })
	case 2:
		c.workspaces.recordFault(p.name, gracePeriod)
		p.tryChange(func() { p.signal(syscall.SIGTERM); _ = p.cmd.Wait(); p.start() })
	case 3:
		c.workspaces.recordFault(p.name, 0)
		p.signal(syscall.SIGHUP)
	case 4, 5, 6:
		c.workspaces.recordFault(c.hostOf(r), duration)
		r.modeChanges <- relayMode(1 + c.rng.IntN(3))
		time.AfterFunc(duration, func() { r.modeChanges <- modeForward; r.resetRequests <- struct{}{} })
	case 7:
		c.workspaces.recordFault(c.hostOf(r), 0)
		r.resetRequests <- struct{}{}
	case 8:
		c.workspaces.recordFault(noHost, duration)
		instance.Crash()
		time.AfterFunc(duration, func() { _ = instance.Restart() })
	case 9:
		c.workspaces.recordFault(allHosts, duration)
		c.fleet.Store().SetFaults(storeFaults[c.rng.IntN(len(storeFaults))])
		time.AfterFunc(duration, func() { c.fleet.Store().SetFaults(platform.Faults{}) })
	case 10:
		c.workspaces.recordFault(noHost, duration)
		instance.SetResponseLoss(10)
		time.AfterFunc(duration, func() { instance.SetResponseLoss(0) })
	case 11:
		c.storeConfiguration()
		c.fleet.Store().Compact()
	}
}
