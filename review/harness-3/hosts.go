package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// host is one process of the project.
type host struct {
	name, zone          string
	frontend, readiness string
	cmd                 *exec.Cmd
}

// freePort returns a port below the range from which outgoing connections take theirs.
func freePort(next *int) (int, error) {
	for ; *next < 32000; *next++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", *next))
		if err == nil {
			_ = l.Close()
			*next++
			return *next - 1, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

// startHost writes the settings of a host into a folder and starts it.
func startHost(dir, binary, name, zone, store string, next *int) (*host, error) {
	var ports [4]int
	for i := range ports {
		port, err := freePort(next)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	if ports[3] != ports[2]+1 {
		return startHost(dir, binary, name, zone, store, next)
	}
	h := &host{name: name, zone: zone, frontend: fmt.Sprintf("127.0.0.1:%d", ports[0]), readiness: fmt.Sprintf("127.0.0.1:%d", ports[1])}
	settings := fmt.Sprintf(`nodeName: %q
role: "proxy"
machineClass: "edge"
ip: "127.0.0.1"
zone: %q
region: "r"
listen: {frontend: %q, readiness: %q}
internalPorts: [%d, %d]
bootstrap: true
limits: {cpuShare: 0.272, cores: 1, memoryMb: 206, maxFds: 3010}
heartbeatMs: 1200
bounds: {graceS: 6, configApplyMs: 3000, drainMs: 7000}
platform: {address: %q, form: "objects", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576}
cloud: {address: %q}
`, name, zone, h.frontend, h.readiness, ports[2], ports[3], store, store)
	path := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	h.cmd = exec.Command(binary, "platform")
	h.cmd.Env = append(os.Environ(), "BAOBABFIELD_CONFIG="+path)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	return h, h.cmd.Start()
}

// awaitReady waits until a host reports itself ready.
func (h *host) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get("http://" + h.readiness + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready after %v", h.name, limit)
}

// stop ends the process.
func (h *host) stop() {
	if h != nil && h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
	}
}
