// Command harness plays the scripted cases of the review. It starts the project's host
// processes beside stand-ins for the platform's store, its promotion API and the database
// instances, all on loopback, and checks what callers and instances see.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// serviceName is the service that all routes of the small deployment use.
const serviceName = "ramp-logs-1"

// The databases of the small deployment. Their limits are those of the site rampas-sul.
const (
	databasePrimary = "greasing-round"
	databaseBounded = "inspector-browse"
	databaseOwn     = "crew-shift-check"
)

// beatInterval is the heartbeat interval of the settings.
const beatInterval = 1200 * time.Millisecond

// world is the platform: its store, its promotion API, the instances and the host processes.
type world struct {
	dir    string
	record *record
	store  *store
	ctx    context.Context

	mu        sync.Mutex
	instances []*instance
	hosts     []*host
	// promotions are the calls of the promotion API, in order of their arrival.
	promotions []promotion
}

// promotion is a call of the promotion API.
type promotion struct{ service, id, holder, token string }

// record is the file that lists what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// newWorld starts the store and the promotion API.
func newWorld(ctx context.Context, dir string, rec *record) (*world, error) {
	w := &world{dir: dir, record: rec, ctx: ctx}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /failover", w.serveFailover)
	var err error
	w.store, err = startStore(ctx, mux)
	return w, err
}

// storeConfig writes a version of the configuration.
func (w *world) storeConfig(version int) {
	route := func(db, kind string, timeoutMs, aimMs, priority, staleMs int) map[string]any {
		r := map[string]any{
			"name": "r-" + db, "host": db, "pathPrefix": "/", "type": kind, "timeoutMs": timeoutMs,
			"targetLatencyMs": aimMs, "priority": priority, "service": serviceName, "attempts": 2,
		}
		if staleMs > 0 {
			r["maxStalenessMs"] = staleMs
		}
		return r
	}
	w.store.put("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route(databasePrimary, "primary", 800, 150, 0, 0),
			route(databaseOwn, "read_your_writes", 800, 250, 1, 2500),
			route(databaseBounded, "bounded_staleness", 2000, 1000, 2, 1500),
		},
		"services": []any{map[string]any{
			"name": serviceName, "healthPath": "/health", "maxConns": 47, "protocol": "h1", "tls": false, "syncReplicas": 0,
		}},
		"limits": map[string]any{"txIdleMs": 3000},
	})
	w.record.add("operator: configuration %d is accepted", version)
}

// serveFailover makes an instance the primary of the next term after promoteDelay.
func (w *world) serveFailover(rw http.ResponseWriter, r *http.Request) {
	var req struct{ Service, ID string }
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	p := promotion{req.Service, req.ID, r.Header.Get("Baobabfield-Lease-Holder"), r.Header.Get("Baobabfield-Fencing-Token")}
	w.record.add("platform: failover of %s to %s, holder %s, token %s", p.service, p.id, p.holder, p.token)
	w.mu.Lock()
	w.promotions = append(w.promotions, p)
	var target *instance
	for _, i := range w.instances {
		if i.id == req.ID && i.running {
			target = i
		}
	}
	w.mu.Unlock()
	if target == nil {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	time.AfterFunc(promoteDelay, target.promote)
	rw.WriteHeader(http.StatusOK)
}

// host is one host process.
type host struct {
	w *world
	// frontend and ready are the addresses for callers and for readiness probes.
	name, frontend, ready string
	settingsPath, logPath string
	cmd                   *exec.Cmd
	// ended is closed at the end of the process.
	ended chan struct{}
}

// freePorts returns n consecutive ports that are free on loopback.
func freePorts(n int) (int, error) {
	for range 200 {
		first, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		open := []net.Listener{first}
		for k := 1; k < n; k++ {
			if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+k)); err == nil {
				open = append(open, l)
			}
		}
		for _, l := range open {
			_ = l.Close()
		}
		if len(open) == n {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no %d consecutive free ports", n)
}

// addHost writes the settings of a host, with the limits and bounds of rampas-sul.
func (w *world) addHost(name, zone string) error {
	port, err := freePorts(5)
	if err != nil {
		return err
	}
	at := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", port+k) }
	h := &host{
		w: w, name: name, frontend: at(0), ready: at(1),
		settingsPath: filepath.Join(w.dir, name+".yaml"), logPath: filepath.Join(w.dir, name+".log"),
	}
	settings := fmt.Sprintf(`nodeName: %q
role: "proxy"
machineClass: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: %q
region: "lagoa-sul"
zones: {sao-jose: "lagoa-sul", rio-grande: "lagoa-sul", pelotas: "lagoa-sul"}
listen: {frontend: %q, readiness: %q, admin: %q}
internalPorts: [%d, %d]
bootstrap: true
limits: {cpuShare: 0.272, cores: 1, memoryMb: 206, maxFds: 3010, linkMbps: 700.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
bounds: {seedLagS: 3, addrReuseS: 2, stableMs: 4000, ackMs: 5000, catchUpS: 4, drainMs: 7000, graceS: 6, lossSlackMs: 200, configApplyMs: 3000, downgradeSlackMs: 250, maxSkewMs: 12000, recoveryS: 12, fencing: false, thawMs: 300}
platform: {address: %q, form: "objects", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
cloud: {address: %q, ratePerS: 50.0, duties: ["failover"], dutyPerS: 50.0}
`, name, zone, h.frontend, h.ready, at(2), port+3, port+4, w.store.address(), w.store.address())
	if err := os.WriteFile(h.settingsPath, []byte(settings), 0o600); err != nil {
		return err
	}
	w.hosts = append(w.hosts, h)
	return nil
}

// start starts the process as the deploy file says.
func (h *host) start() error {
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/baobabd", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.w.dir, "LANG=C", "BAOBABFIELD_CONFIG=" + h.settingsPath}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.ended = cmd, make(chan struct{})
	h.w.record.add("host %s: started, process %d", h.name, cmd.Process.Pid)
	go func(ended chan struct{}) {
		err := cmd.Wait()
		h.w.record.add("host %s: process %d ended: %v", h.name, cmd.Process.Pid, err)
		close(ended)
	}(h.ended)
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.w.record.add("host %s: %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	h.signal(syscall.SIGKILL)
	<-h.ended
}

// awaitReady waits until the host replies 200 to GET /ready.
func (h *host) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + h.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			h.w.record.add("host %s: ready", h.name)
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready after %v", h.name, limit)
}

// startAll starts all hosts and waits until they are ready and have found each other.
func (w *world) startAll() error {
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// close ends all host processes.
func (w *world) close() {
	for _, h := range w.hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			h.kill()
		}
	}
}
