package soak

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

const (
	// undisturbedPeriod is the time after a fault from which the platform's bounds hold.
	undisturbedPeriod = 4 * time.Second
	// configBound is the time within which an accepted configuration has to be in force.
	configBound = 3 * time.Second
)

// TestConfigurationIsInForceAfterConnectionsFellSilent guards against reads that wait on
// connections which deliver nothing any more while new ones work.
func TestConfigurationIsInForceAfterConnectionsFellSilent(t *testing.T) {
	c := newServingCluster(t, 1, 9)
	time.Sleep(3 * time.Second) // all kinds of objects have been read again
	for _, r := range c.relays {
		r.silenceRequests <- struct{}{}
	}
	silencedAt := time.Now()
	time.Sleep(undisturbedPeriod - configBound)
	c.addedDatabase = "added"
	c.storeConfiguration()
	time.Sleep(time.Until(silencedAt.Add(undisturbedPeriod)))
	c.checkServesAddedDatabase()
}

// newServingCluster starts a cluster and waits until all its hosts serve.
func newServingCluster(t *testing.T, seed uint64, hosts int) *cluster {
	t.Helper()
	binary := buildHost(t)
	t.Cleanup(func() { _ = os.Remove(binary) })
	c := newCluster(t, seed, binary, hosts)
	for _, p := range c.hosts {
		if reply := p.awaitStartup("primary", time.Now().Add(10*time.Second)); !strings.HasPrefix(reply, "READY") {
			t.Fatalf("%s does not serve: %q", p.name, reply)
		}
	}
	return c
}

// checkServesAddedDatabase reports the hosts that refuse the added database.
func (c *cluster) checkServesAddedDatabase() {
	c.t.Helper()
	report := reporter(c.t)
	for _, p := range c.hosts {
		if reply := p.startup(c.addedDatabase, "check"); !strings.HasPrefix(reply, "READY") {
			report(fmt.Sprintf("%s replies %q %v after the change", p.name, reply, configBound))
		}
	}
}

// awaitStartup opens sessions until one is accepted or the deadline has passed. It returns the
// last reply.
func (p *hostProcess) awaitStartup(database string, deadline time.Time) string {
	for {
		reply := p.startup(database, "check")
		if strings.HasPrefix(reply, "READY") || time.Now().After(deadline) {
			return reply
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startup opens and closes a session at the host and returns the reply.
func (p *hostProcess) startup(database, key string) string {
	conn, err := net.DialTimeout("tcp", p.frontendAddress, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err != nil {
		return err.Error()
	}
	reply, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(reply)
}
