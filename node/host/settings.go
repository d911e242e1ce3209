// Package host assembles the tasks of one baobabfield process.
package host

import (
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
	"baobabfield.example/node/admin"
)

// Limits of the settings.
const (
	minKeyLength = 16
	maxCallers   = 1 << 16
	maxTimeout   = time.Hour
)

// Settings configure a host.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	// CallerListen, MeshListen, GossipListen and AdminListen are the addresses
	// that the host listens on; the gossip address is a UDP address.
	CallerListen, MeshListen, GossipListen, AdminListen string
	// MeshAdvertise and GossipAdvertise are the addresses that other hosts use;
	// empty for those listened on.
	MeshAdvertise, GossipAdvertise string
	// Seeds are gossip addresses of other hosts.
	Seeds []string
	// ClusterKey is shared by all hosts. It authenticates hosts and session tokens.
	ClusterKey []byte
	// AdminTokens are the bearer tokens of the admin API with their authors.
	AdminTokens []admin.Token
	// Platform is the platform's store.
	Platform Platform
	// MaxCallers is the number of callers served at a time.
	MaxCallers int
	// RequestTimeout bounds a request with all its retries.
	RequestTimeout time.Duration
	// ConnectTimeout bounds the connecting to an endpoint.
	ConnectTimeout time.Duration
	// SilenceBound is the longest silence of an endpoint that owes an answer.
	SilenceBound time.Duration
	// DefaultMaxStaleness is the age of data that a read accepts whose caller states none.
	DefaultMaxStaleness time.Duration
	// HostListInterval is the time between two readings of the platform's list of hosts.
	HostListInterval time.Duration
	// DrainTimeout bounds a planned stop.
	DrainTimeout time.Duration
	// Failover holds the timing of failovers; zero values take the defaults.
	Failover failover.Config
	// CallerTLS, MeshServerTLS, MeshClientTLS, EndpointTLS and AdminTLS secure
	// the respective connections; nil leaves them plain.
	CallerTLS, MeshServerTLS, MeshClientTLS, EndpointTLS, AdminTLS *tls.Config
}

// Defaults returns the settings' default values.
func Defaults() Settings {
	return Settings{
		CallerListen:        "127.0.0.1:5432",
		MeshListen:          "127.0.0.1:7001",
		GossipListen:        "127.0.0.1:7002",
		AdminListen:         "127.0.0.1:7003",
		MaxCallers:          4000,
		RequestTimeout:      15 * time.Second,
		ConnectTimeout:      2 * time.Second,
		SilenceBound:        10 * time.Second,
		DefaultMaxStaleness: 10 * time.Second,
		HostListInterval:    60 * time.Second,
		DrainTimeout:        30 * time.Second,
	}
}

// Check reports the first setting that a host cannot work with; the error
// names the setting, its value and what is allowed.
func (s *Settings) Check() error {
	if s.Host == "" || len(s.Host) > 63 {
		return fmt.Errorf("host is %q, must have 1 to 63 characters", s.Host)
	}
	if s.DataCentre == "" {
		return fmt.Errorf("data centre of host %q is empty", s.Host)
	}
	if len(s.ClusterKey) < minKeyLength {
		return fmt.Errorf("cluster key has %d bytes, must have at least %d", len(s.ClusterKey), minKeyLength)
	}
	if len(s.AdminTokens) == 0 {
		return fmt.Errorf("admin API of host %q has no token", s.Host)
	}
	if s.MaxCallers < 1 || s.MaxCallers > maxCallers {
		return fmt.Errorf("max callers is %d, must be 1 to %d", s.MaxCallers, maxCallers)
	}
	if s.Platform == nil {
		return fmt.Errorf("platform of host %q is not set", s.Host)
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	return s.checkDurations()
}

func (s *Settings) checkAddresses() error {
	for _, a := range []struct{ name, value string }{
		{"caller listen address", s.CallerListen},
		{"mesh listen address", s.MeshListen},
		{"gossip listen address", s.GossipListen},
		{"admin listen address", s.AdminListen},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return fmt.Errorf("%s is %q, not HOST:PORT", a.name, a.value)
		}
	}
	for _, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return fmt.Errorf("seed is %q, not HOST:PORT", seed)
		}
	}
	return nil
}

func (s *Settings) checkDurations() error {
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"request timeout", s.RequestTimeout},
		{"connect timeout", s.ConnectTimeout},
		{"silence bound", s.SilenceBound},
		{"max age", s.DefaultMaxStaleness},
		{"hosts interval", s.HostListInterval},
		{"drain timeout", s.DrainTimeout},
	} {
		if d.value <= 0 || d.value > maxTimeout {
			return fmt.Errorf("%s is %v, must be above 0 and at most %v", d.name, d.value, maxTimeout)
		}
	}
	return nil
}
