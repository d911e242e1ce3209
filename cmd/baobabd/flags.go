package main

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
	"baobabfield.example/node/admin"
	"baobabfield.example/node/host"
	"baobabfield.example/platform"
)

// serveFlags are the settings of the serve command. Each can also be set by an
// environment variable: BAOBAB_CALLER_LISTEN sets --caller-listen.
type serveFlags struct {
	Host            string        `help:"Id of this host, unique among all hosts." required:""`
	DataCentre      string        `help:"Data centre of this host." required:""`
	CallerListen    string        `help:"Address for callers, HOST:PORT." default:"127.0.0.1:5432"`
	MeshListen      string        `help:"TCP address for other hosts, HOST:PORT." default:"127.0.0.1:7001"`
	MeshAdvertise   string        `help:"Mesh address that other hosts use, if it differs."`
	GossipListen    string        `help:"UDP address for other hosts, HOST:PORT." default:"127.0.0.1:7002"`
	GossipAdvertise string        `help:"Gossip address that other hosts use, if it differs."`
	AdminListen     string        `help:"Address of the admin API, HOST:PORT." default:"127.0.0.1:7003"`
	Seed            []string      `help:"Gossip addresses of other hosts."`
	Platform        string        `help:"Address of the platform's store, http://HOST:PORT or https://HOST:PORT." required:""`
	ClusterKey      string        `help:"Key shared by all hosts, at least 16 characters." required:""`
	AdminToken      []string      `help:"Bearer tokens of the admin API, AUTHOR:SECRET." required:""`
	MaxCallers      int           `help:"Callers served at a time, 1 to 65536." default:"4000"`
	RequestTimeout  time.Duration `help:"Time limit of a request with all its retries." default:"15s"`
	ConnectTimeout  time.Duration `help:"Time limit for connecting to an endpoint." default:"2s"`
	SilenceBound    time.Duration `help:"Longest time without data from an endpoint while a response is pending." default:"10s"`
	MaxAge          time.Duration `help:"Maximum age of the data for a read whose caller states none." default:"10s"`
	HostsInterval   time.Duration `help:"Interval between reads of the platform's list of hosts." default:"60s"`
	DrainTimeout    time.Duration `help:"Time limit of a planned stop." default:"30s"`
	AuthorityWindow time.Duration `help:"Time for which an endpoint's response supports write authority; must be equal on all hosts." default:"500ms"`
	LogLevel        string        `help:"Lowest level that is logged: debug, info, warn or error." default:"info"`

	CallerTLS  certFiles `embed:"" prefix:"caller-tls-" group:"TLS for callers"`
	MeshTLS    certFiles `embed:"" prefix:"mesh-tls-" group:"TLS between hosts"`
	AdminTLS   certFiles `embed:"" prefix:"admin-tls-" group:"TLS of the admin API"`
	EndpointCA string    `help:"File of the certificate authorities that sign endpoints' certificates; empty for no TLS." group:"TLS towards endpoints"`
	PlatformCA string    `help:"File of the certificate authorities that sign the platform's certificate; empty for the system's." group:"TLS towards the platform"`
}

// certFiles names the PEM files of a certificate, its private key and the peers'
// certificate authorities.
type certFiles struct {
	Cert string `help:"Certificate file; empty for no TLS."`
	Key  string `help:"File of the certificate's private key."`
	CA   string `help:"File of the certificate authorities that sign the peer's certificate." name:"ca"`
}

// hostSettings converts the flags to the settings of a host and validates them.
func (f *serveFlags) hostSettings() (host.Settings, error) {
	settings := host.Defaults()
	settings.Host = types.Host(f.Host)
	settings.DataCentre = types.DataCentre(f.DataCentre)
	settings.CallerListen, settings.MeshListen = f.CallerListen, f.MeshListen
	settings.GossipListen, settings.AdminListen = f.GossipListen, f.AdminListen
	settings.MeshAdvertise, settings.GossipAdvertise = f.MeshAdvertise, f.GossipAdvertise
	settings.Seeds = f.Seed
	settings.ClusterKey = []byte(f.ClusterKey)
	settings.MaxCallers = f.MaxCallers
	settings.RequestTimeout, settings.ConnectTimeout = f.RequestTimeout, f.ConnectTimeout
	settings.InactivityTimeout, settings.DefaultMaxStaleness, settings.DrainTimeout = f.SilenceBound, f.MaxAge, f.DrainTimeout
	settings.HostListInterval = f.HostsInterval
	settings.Failover = failover.Config{AuthorityWindow: f.AuthorityWindow}
	for _, step := range []func(*host.Settings) error{f.addAdminTokens, f.addPlatformClient, f.addTLSConfigs} {
		if err := step(&settings); err != nil {
			return settings, err
		}
	}
	return settings, settings.Check()
}

// addAdminTokens parses the tokens of the admin API and adds them.
func (f *serveFlags) addAdminTokens(settings *host.Settings) error {
	for _, text := range f.AdminToken {
		token, err := admin.ParseToken(text)
		if err != nil {
			return errors.Wrap(err, "--admin-token")
		}
		settings.AdminTokens = append(settings.AdminTokens, token)
	}
	return nil
}

// addPlatformClient creates the client of the platform's store and adds it.
func (f *serveFlags) addPlatformClient(settings *host.Settings) error {
	u, err := url.Parse(f.Platform)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("--platform is %q, must be http://HOST:PORT or https://HOST:PORT", f.Platform)
	}
	client := platform.ClientSettings{StoreAddress: u.Host}
	if u.Scheme == "https" {
		client.TLS = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if f.PlatformCA != "" {
		if client.TLS == nil {
			return fmt.Errorf("--platform is %q, must be https://HOST:PORT if --platform-ca is set", f.Platform)
		}
		if client.TLS.RootCAs, err = loadCertPool("--platform-ca", f.PlatformCA); err != nil {
			return err
		}
	}
	settings.Platform = platform.NewRecordStore(platform.NewClient(client))
	return nil
}

// addTLSConfigs loads the certificates and adds the TLS configurations.
func (f *serveFlags) addTLSConfigs(settings *host.Settings) error {
	var err error
	if settings.CallerTLS, err = f.CallerTLS.serverConfig("--caller-tls-"); err != nil {
		return err
	}
	if settings.AdminTLS, err = f.AdminTLS.serverConfig("--admin-tls-"); err != nil {
		return err
	}
	if settings.MeshServerTLS, err = f.MeshTLS.serverConfig("--mesh-tls-"); err != nil {
		return err
	}
	if settings.MeshClientTLS, err = f.MeshTLS.clientConfig("--mesh-tls-"); err != nil {
		return err
	}
	if f.EndpointCA != "" {
		pool, err := loadCertPool("--endpoint-ca", f.EndpointCA)
		if err != nil {
			return err
		}
		settings.EndpointTLS = verifyChainOnly(&tls.Config{MinVersion: tls.VersionTLS12}, pool)
	}
	return nil
}

// serverConfig returns the TLS configuration for accepted connections, or nil if
// no certificate is configured.
func (c *certFiles) serverConfig(prefix string) (*tls.Config, error) {
	cert, ok, err := c.loadKeyPair(prefix)
	if !ok || err != nil {
		return nil, err
	}
	cfg := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	if c.CA != "" {
		cfg.ClientCAs, err = loadCertPool(prefix+"ca", c.CA)
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return cfg, err
}

// clientConfig returns the TLS configuration for outgoing connections, or nil if
// no certificate is configured.
func (c *certFiles) clientConfig(prefix string) (*tls.Config, error) {
	cert, ok, err := c.loadKeyPair(prefix)
	if !ok || err != nil {
		return nil, err
	}
	if c.CA == "" {
		return nil, fmt.Errorf("%sca is empty, must name a file if %scert is set", prefix, prefix)
	}
	pool, err := loadCertPool(prefix+"ca", c.CA)
	if err != nil {
		return nil, err
	}
	return verifyChainOnly(&tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, pool), nil
}

// loadKeyPair reads the certificate and its key; ok is false if no file is configured.
func (c *certFiles) loadKeyPair(prefix string) (cert tls.Certificate, ok bool, err error) {
	if c.Cert == "" && c.Key == "" {
		return cert, false, nil
	}
	cert, err = tls.LoadX509KeyPair(c.Cert, c.Key)
	return cert, true, errors.Wrapf(err, "%scert %q and %skey %q", prefix, c.Cert, prefix, c.Key)
}

// loadCertPool reads the PEM certificates in the file that the flag names.
func loadCertPool(flag, path string) (*x509.CertPool, error) {
	buf, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, flag)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(bytes.TrimSpace(buf)) {
		return nil, fmt.Errorf("%s %q holds no certificate", flag, path)
	}
	return pool, nil
}

// verifyChainOnly makes a client verify that the server's certificate is signed
// by an authority in the pool. It ignores the name in the certificate, because
// hosts and endpoints are reached by address.
func verifyChainOnly(cfg *tls.Config, pool *x509.CertPool) *tls.Config {
	cfg.InsecureSkipVerify = true
	cfg.VerifyConnection = func(state tls.ConnectionState) error {
		opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
		for _, c := range state.PeerCertificates[1:] {
			opts.Intermediates.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(opts)
		return err
	}
	return cfg
}
