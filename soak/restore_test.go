package soak

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"baobabfield.example/standin/platform"
)

// TestConfigurationIsInForceAfterStoreWasRestored guards against hosts that ignore what the
// store holds after it was restored from an older copy, since its revisions are lower.
func TestConfigurationIsInForceAfterStoreWasRestored(t *testing.T) {
	binary := buildHost(t)
	t.Cleanup(func() { _ = os.Remove(binary) })
	c := newCluster(t, 2, binary, 6)
	for _, p := range c.hosts {
		if reply := p.awaitStartup("primary", time.Now().Add(10*time.Second)); !strings.HasPrefix(reply, "READY") {
			t.Fatalf("%s does not serve: %q", p.name, reply)
		}
	}
	store := c.fleet.Store()
	backup := store.Backup()
	for range 5 {
		c.storeConfiguration()
	}
	time.Sleep(time.Second)
	store.SetFaults(platform.Faults{Down: true})
	store.Restore(backup)
	time.Sleep(time.Second)
	store.SetFaults(platform.Faults{})
	c.putConfiguration() // the operator's last version again
	time.Sleep(undisturbedPeriod - configBound)
	c.addedDatabase = "added"
	c.storeConfiguration()
	time.Sleep(configBound)
	report := reporter(t)
	for _, p := range c.hosts {
		if reply := p.startup("added"); !strings.HasPrefix(reply, "READY") {
			report(fmt.Sprintf("%s replies %q %v after the change", p.name, reply, configBound))
		}
	}
}
