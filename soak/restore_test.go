package soak

import (
	"testing"
	"time"

	"baobabfield.example/standin/platform"
)

// TestConfigurationIsInForceAfterStoreWasRestored guards against hosts that ignore what the
// store holds after it was restored from an older copy, since its revisions are lower.
func TestConfigurationIsInForceAfterStoreWasRestored(t *testing.T) {
	c := newServingCluster(t, 2, 6)
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
	c.checkServesAddedDatabase()
}
