// Package host assembles the tasks of "baobabd serve". Start creates them, binds their
// sockets and connects their channels. Stop drains the host before it ends them.
//
// Tasks of this package forward membership and configuration changes, dispatch the
// streams of other hosts, send payloads, record failover notes in the time line, and keep
// the host's record in the platform's store.
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

// Bounds of the settings.
const (
	minClusterKeyBytes = 16
	maxCallersLimit    = 1 << 16
	maxDuration        = time.Hour
)

// Settings configure a host. Addresses are HOST:PORT. Durations are above 0 and at most
// one hour.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	// CallerListen, MeshListen, GossipListen and AdminListen are the addresses
	// that the host listens on; the gossip address is a UDP address.
	CallerListen, MeshListen, GossipListen, AdminListen string
	// MeshAdvertise and GossipAdvertise are the addresses that other hosts use. If one
	// is empty, the address that the host listens on is advertised.
	MeshAdvertise, GossipAdvertise string
	// Seeds are the gossip addresses of hosts through which this host joins.
	Seeds []string
	// ClusterKey is shared by all hosts. It authenticates hosts and session tokens. It has
	// at least 16 bytes.
	ClusterKey []byte
	// AdminTokens are the bearer tokens that the admin API accepts.
	AdminTokens []admin.Token
	// Platform is the client of the platform's store.
	Platform Platform
	// MaxCallers bounds the callers that are connected at the same time: 1 to 65536.
	MaxCallers int
	// RequestTimeout bounds a request including its retries.
	RequestTimeout time.Duration
	// ConnectTimeout bounds the dialling and startup of a connection to an endpoint,
	// and the startup of a caller's connection.
	ConnectTimeout time.Duration
	// InactivityTimeout is the longest time without a byte from an endpoint while an
	// answer is outstanding. Errors name it "silence bound", like the flag.
	InactivityTimeout time.Duration
	// DefaultMaxStaleness is the staleness that a read accepts if its caller
	// specifies none. Errors name it "max age", like the flag.
	DefaultMaxStaleness time.Duration
	// HostListInterval is the time between two reads of the platform's list of hosts.
	// Errors name it "hosts interval", like the flag.
	HostListInterval time.Duration
	// DrainTimeout bounds a planned stop.
	DrainTimeout time.Duration
	// Failover holds the failover timing. Zero values select the defaults.
	Failover failover.Config
	// CallerTLS, MeshServerTLS, MeshClientTLS, EndpointTLS and AdminTLS configure TLS
	// for the respective connections. Nil means no TLS.
	CallerTLS, MeshServerTLS, MeshClientTLS, EndpointTLS, AdminTLS *tls.Config
}

// Defaults returns settings with the default values.
func Defaults() Settings {
	return Settings{
		CallerListen:        "127.0.0.1:5432",
		MeshListen:          "127.0.0.1:7001",
		GossipListen:        "127.0.0.1:7002",
		AdminListen:         "127.0.0.1:7003",
		MaxCallers:          4000,
		RequestTimeout:      15 * time.Second,
		ConnectTimeout:      2 * time.Second,
		InactivityTimeout:   10 * time.Second,
		DefaultMaxStaleness: 10 * time.Second,
		HostListInterval:    60 * time.Second,
		DrainTimeout:        30 * time.Second,
	}
}

// Check returns an error for the first invalid setting. The error names the
// setting, its value and the allowed values.
func (s *Settings) Check() error {
	if s.Host == "" || len(s.Host) > 63 {
		return fmt.Errorf("host is %q, must have 1 to 63 characters", s.Host)
	}
	if s.DataCentre == "" {
		return fmt.Errorf("data centre of host %q is empty", s.Host)
	}
	if len(s.ClusterKey) < minClusterKeyBytes {
		return fmt.Errorf("cluster key has %d bytes, must have at least %d", len(s.ClusterKey), minClusterKeyBytes)
	}
	if len(s.AdminTokens) == 0 {
		return fmt.Errorf("admin API of host %q has no token", s.Host)
	}
	if s.MaxCallers < 1 || s.MaxCallers > maxCallersLimit {
		return fmt.Errorf("max callers is %d, must be 1 to %d", s.MaxCallers, maxCallersLimit)
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
		{"silence bound", s.InactivityTimeout},
		{"max age", s.DefaultMaxStaleness},
		{"hosts interval", s.HostListInterval},
		{"drain timeout", s.DrainTimeout},
	} {
		if d.value <= 0 || d.value > maxDuration {
			return fmt.Errorf("%s is %v, must be above 0 and at most %v", d.name, d.value, maxDuration)
		}
	}
	return nil
}
