// Command harness2 runs the scripts of an independent review: it starts the hosts as processes
// beside stand-ins on loopback addresses, causes a disruption, and judges what clients and
// instances have seen.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"baobabfield.example/standin/platform"
)

// failure ends a case that cannot run.
type failure struct{ error }

// w0 returns a value, or ends the case with its error.
func w0[T any](v T, err error) T {
	if err != nil {
		panic(failure{err})
	}
	return v
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
}

func (r *recorder) event(what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f  %s", time.Since(r.start).Seconds(), what)
	for n := 0; n+1 < len(pairs); n += 2 {
		_, _ = fmt.Fprintf(r.out, "  %v=%v", pairs[n], pairs[n+1])
	}
	_, _ = r.out.WriteString("\n")
}

// site holds the figures of a deployment.
type site struct {
	region    string
	zones     []string
	slots     int
	maxConns  int
	promotion time.Duration
	lag       time.Duration
	timeoutMs int
	limits    string
	bounds    string
	rates     string
}

var (
	rampasSul = site{
		region: "lagoa-sul", zones: []string{"sao-jose", "rio-grande", "pelotas"}, slots: 3, maxConns: 47,
		promotion: 600 * time.Millisecond, lag: 20 * time.Millisecond, timeoutMs: 800,
		limits: "{cpuShare: 0.272, cores: 1, memoryMb: 206, maxFds: 3010, linkMbps: 700.0, diskMb: 0}",
		bounds: "{seedLagS: 3, addrReuseS: 2, stableMs: 4000, ackMs: 5000, catchUpS: 4, drainMs: 7000, graceS: 6, lossSlackMs: 200, configApplyMs: 3000, downgradeSlackMs: 250, maxSkewMs: 12000, recoveryS: 12, fencing: false, thawMs: 300}",
		rates:  "writesPerS: 400, readsPerS: 2000",
	}
	pampa = site{
		region: "sul-br", zones: []string{"sul-br-a", "sul-br-b", "sul-br-c"}, slots: 6, maxConns: 49,
		promotion: 300 * time.Millisecond, lag: 50 * time.Millisecond, timeoutMs: 1000,
		limits: "{cpuShare: 0.8, cores: 1, memoryMb: 536, maxFds: 8192, linkMbps: 200.0, diskMb: 0}",
		bounds: "{seedLagS: 3, addrReuseS: 2, stableMs: 5000, ackMs: 8000, catchUpS: 6, drainMs: 10000, graceS: 6, lossSlackMs: 200, configApplyMs: 5000, downgradeSlackMs: 250, maxSkewMs: 15000, recoveryS: 15, fencing: false, thawMs: 300}",
		rates:  "writesPerS: 1200, readsPerS: 6000",
	}
)

// world is a small deployment.
type world struct {
	site   site
	rec    *recorder
	dir    string
	binary string
	store  *platform.Server
	cancel context.CancelFunc
	db     *database
	hosts  map[string]*host
	// isCut is the name of the host that is cut off.
	isCut atomic.Value
}

// host is one process of the system.
type host struct {
	w                   *world
	name, zone          string
	frontend, readiness string
	settings            string
	storeRelay, mesh    *relay
	cmd                 *exec.Cmd
}

func newWorld(rec *recorder, s site, service string) *world {
	w := &world{site: s, rec: rec, dir: w0(os.MkdirTemp("", "review-")), binary: w0(filepath.Abs(os.Getenv("BAOBABD"))), hosts: map[string]*host{}}
	w.db = newDatabase(w, service)
	w.isCut.Store("")
	mux := http.NewServeMux()
	mux.HandleFunc("POST /failover", w.failover)
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.store = w0(platform.Start(ctx, "127.0.0.1:0", mux))
	return w
}

func (w *world) failover(rw http.ResponseWriter, r *http.Request) {
	var req struct{ Service, ID string }
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.rec.event("failover requested", "instance", req.ID, "holder", r.Header.Get("Baobabfield-Lease-Holder"), "token", r.Header.Get("Baobabfield-Fencing-Token"))
	if !w.db.promote(req.ID) {
		rw.WriteHeader(http.StatusConflict)
	}
}

// putConfig writes the configuration.
func (w *world) putConfig(version int) {
	route := func(name, kind string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": name, "pathPrefix": "/", "type": kind, "timeoutMs": w.site.timeoutMs, "targetLatencyMs": 200,
			"priority": priority, "service": w.db.service, "attempts": 2, "maxStalenessMs": 1500,
		}
	}
	w.store.Put("config", "main", map[string]any{
		"version": version, "routes": []any{route("dbprimary", "primary", 0), route("dbbounded", "bounded_staleness", 2), route("dbown", "read_your_writes", 1)},
		"limits":   map[string]any{"txIdleMs": 5000},
		"services": []any{map[string]any{"name": w.db.service, "maxConns": w.site.maxConns, "syncReplicas": 0}},
	})
}

// freePorts returns the first of n consecutive ports that were free.
func freePorts(n int) int {
	for range 100 {
		first := w0(net.Listen("tcp", "127.0.0.1:0"))
		port := first.Addr().(*net.TCPAddr).Port
		ok := true
		var held []net.Listener
		for k := 1; k < n && ok; k++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+k))
			ok = err == nil
			if ok {
				held = append(held, l)
			}
		}
		_ = first.Close()
		for _, l := range held {
			_ = l.Close()
		}
		if ok {
			return port
		}
	}
	panic(failure{fmt.Errorf("no free ports")})
}

// addHost prepares a host, whose traffic with the store and with other hosts goes through relays.
func (w *world) addHost(name, zone string) *host {
	port := freePorts(4)
	at := func(p int) string { return fmt.Sprintf("127.0.0.1:%d", p) }
	h := &host{w: w, name: name, zone: zone, frontend: at(port), readiness: at(port + 1), storeRelay: newRelay(w.store.Address(), false), mesh: newRelay(at(port+2), true)}
	h.settings = filepath.Join(w.dir, name+".yaml")
	zones := ""
	for _, z := range w.site.zones {
		zones += fmt.Sprintf("%s: %q, ", z, w.site.region)
	}
	text := fmt.Sprintf(`nodeName: %q
role: "proxy"
machineClass: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: %q
region: %q
zones: {%s}
listen: {frontend: %q, readiness: %q}
internalPorts: [%d, %d]
bootstrap: true
limits: %s
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
bounds: %s
platform: {address: %q, form: "objects", %s, historyS: 20, valueBytes: 1048576}
cloud: {address: %q, ratePerS: 50.0, duties: ["failover"], dutyPerS: 50.0}
`, name, zone, w.site.region, zones, h.frontend, h.readiness, port+2, port+3, w.site.limits, w.site.bounds, h.storeRelay.address(), w.site.rates, w.store.Address())
	w0(0, os.WriteFile(h.settings, []byte(text), 0o600))
	w.hosts[name] = h
	return h
}

// start starts the process of a host.
func (h *host) start() {
	log := w0(os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600))
	h.cmd = exec.Command(h.w.binary, "platform", "--mesh-advertise", h.mesh.address())
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAOBABFIELD_CONFIG=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	w0(0, h.cmd.Start())
	_ = log.Close()
	h.w.rec.event("host started", "host", h.name, "zone", h.zone)
}

// kill ends the process of a host.
func (h *host) kill() {
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
		h.cmd = nil
	}
}

// ready asks a host whether it takes clients.
func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.readiness + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts take clients.
func (w *world) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, h := range w.hosts {
			all = all && h.ready()
		}
		if all {
			return
		}
	}
	panic(failure{fmt.Errorf("the hosts are not ready after %v", limit)})
}

// cutOff partitions a host from the store and from all other hosts, or ends that.
func (w *world) cutOff(name string, cut bool) {
	w.rec.event("partition of a host from the store and the other hosts", "host", name, "cut", cut)
	set := func(r *relay, f func(string) bool) {
		if !cut {
			f = nil
		}
		r.setCut(f)
	}
	for _, h := range w.hosts {
		if h.name == name {
			set(h.storeRelay, func(string) bool { return true })
			set(h.mesh, func(string) bool { return true })
		} else {
			set(h.mesh, func(source string) bool { return source == name })
		}
	}
}

// ownerOf returns the host that last logged that it took the ownership of an instance and has not
// released it; empty for none.
func (w *world) ownerOf(instance string) string {
	owner, since := "", ""
	for _, h := range w.hosts {
		taken := ""
		for _, line := range strings.Split(string(w0(os.ReadFile(h.settings+".log"))), "\n") {
			if !strings.Contains(line, `"endpoint":"`+instance+`"`) {
				continue
			}
			var entry struct{ TS, Msg string }
			if json.Unmarshal([]byte(line), &entry) != nil {
				continue
			}
			switch entry.Msg {
			case "endpoint ownership taken":
				taken = entry.TS
			case "endpoint ownership released":
				taken = ""
			}
		}
		if taken > since {
			owner, since = h.name, taken
		}
	}
	return owner
}

// close ends everything that was started.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	w.cancel()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// session is a client's connection.
type session struct {
	sock net.Conn
	r    *bufio.Reader
}

// connect opens a session of a database at a host.
func connect(h *host, database string) (*session, error) {
	sock, err := net.DialTimeout("tcp", h.frontend, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{sock: sock, r: bufio.NewReader(sock)}
	_ = sock.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = sock.Write([]byte("STARTUP " + database + " u1\r\n")); err == nil {
		var line string
		if line, err = s.r.ReadString('\n'); err == nil && !strings.HasPrefix(line, "READY") {
			err = fmt.Errorf("startup answered with %q", strings.TrimSpace(line))
		}
	}
	if err != nil {
		_ = sock.Close()
		return nil, err
	}
	return s, nil
}

// answer is the answer to one statement.
type answer struct {
	ok        bool
	text      string
	signature string
	state     string
}

// query sends a statement and reads its answer.
func (s *session) query(id, text string, limit time.Duration) (answer, error) {
	_ = s.sock.SetDeadline(time.Now().Add(limit))
	if _, err := s.sock.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		return answer{}, err
	}
	var a answer
	for {
		line, err := s.r.ReadString('\n')
		if err != nil {
			return a, err
		}
		line = strings.TrimSuffix(line, "\r\n")
		kind, rest, _ := strings.Cut(line, " ")
		switch kind {
		case "COMPLETE":
			a.ok, a.signature, a.text = true, rest, line
		case "ERROR":
			a.text = line
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

func (s *session) close() { _ = s.sock.Close() }
