package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"baobabfield.example/core/config"
	"baobabfield.example/core/types"
	"baobabfield.example/node/host"
	"baobabfield.example/platform"
	"baobabfield.example/standin/database"
	standin "baobabfield.example/standin/platform"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its private
// key into dir.
func writeCertificate(t *testing.T, dir string) (cert, key string) {
	t.Helper()
	is := is.New(t)
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "baobabfield test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, &privateKey.PublicKey, privateKey)
	is.NoErr(err)
	encodedKey, err := x509.MarshalPKCS8PrivateKey(privateKey)
	is.NoErr(err)
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	is.NoErr(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey}), 0o600))
	return cert, key
}

// startDatabaseAndPlatform starts three endpoints that accept TLS, and a platform
// whose store contains their service.
func startDatabaseAndPlatform(t *testing.T, ctx context.Context, cert, key string) *standin.Server {
	t.Helper()
	is := is.New(t)
	pair, err := tls.LoadX509KeyPair(cert, key)
	is.NoErr(err)
	base := database.Config{Database: "ramp-logs-1", Slots: 3, ConnectDelay: -1, TLS: &tls.Config{Certificates: []tls.Certificate{pair}}}
	group, err := database.StartGroup(ctx, base, "a", "b", "c")
	is.NoErr(err)
	t.Cleanup(group.Close)
	spec := types.ServiceSpec{Name: "ramp-logs", Durability: types.DurabilityReplicated, Slots: 3, Connections: 50}
	db := types.DatabaseSpec{ID: "ramp-logs-1", EndpointSet: 1}
	for _, i := range group.Instances {
		db.Endpoints = append(db.Endpoints, types.EndpointSpec{ID: i.ID(), DataCentre: "sao-jose", Address: i.Address()})
	}
	spec.Databases = []types.DatabaseSpec{db}
	server, err := standin.Start(ctx, "127.0.0.1:0", nil)
	is.NoErr(err)
	t.Cleanup(server.Close)
	client := platform.NewRecordStore(platform.NewClient(platform.ClientSettings{StoreAddress: server.Address()}))
	body := config.ServiceObject{Spec: spec}
	_, err = client.Put(ctx, config.Write{Key: body.Key(), Body: body})
	is.NoErr(err)
	return server
}

// TestAllConnectionsUseTLS starts two hosts with TLS towards callers, each other,
// endpoints and users of the admin API. A caller that trusts another authority must
// refuse the host's certificate.
func TestAllConnectionsUseTLS(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cert, key := writeCertificate(t, t.TempDir())
	server := startDatabaseAndPlatform(t, ctx, cert, key)
	commonFlags := []string{
		"--platform=http://" + server.Address(), "--endpoint-ca=" + cert,
		"--caller-tls-cert=" + cert, "--caller-tls-key=" + key,
		"--mesh-tls-cert=" + cert, "--mesh-tls-key=" + key, "--mesh-tls-ca=" + cert,
		"--admin-tls-cert=" + cert, "--admin-tls-key=" + key,
		"--caller-listen=127.0.0.1:0", "--mesh-listen=127.0.0.1:0", "--gossip-listen=127.0.0.1:0", "--admin-listen=127.0.0.1:0",
	}
	var hosts []*host.Host
	for _, id := range []string{"h1", "h2"} {
		flags := append(append([]string{}, commonFlags...), "--host="+id)
		if len(hosts) > 0 {
			flags = append(flags, "--seed="+hosts[0].GossipAddress())
		}
		settings, err := parseFlags(t, flags...).hostSettings()
		is.NoErr(err)
		h, err := host.Start(settings, zap.NewNop())
		is.NoErr(err)
		t.Cleanup(h.Kill)
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		conn := connectTLS(t, ctx, h, cert)
		_, err := conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS rounds (id integer primary key)")
		is.NoErr(err)
	}
	response, err := newHTTPSClient(t, cert).Get("https://" + hosts[0].AdminAddress() + "/healthz")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	_, err = pgx.Connect(ctx, "postgres://app@"+hosts[0].CallerAddress()+"/ramp-logs-1?sslmode=verify-ca&sslrootcert="+writeUnrelatedCertificate(t))
	is.True(err != nil) // a certificate of an unknown authority is rejected
}

// writeUnrelatedCertificate returns the file of a certificate that no server in
// the test uses.
func writeUnrelatedCertificate(t *testing.T) string {
	t.Helper()
	cert, _ := writeCertificate(t, t.TempDir())
	return cert
}

// connectTLS connects to a host. It retries until the host has its configuration.
func connectTLS(t *testing.T, ctx context.Context, h *host.Host, ca string) *pgx.Conn {
	t.Helper()
	for {
		conn, err := pgx.Connect(ctx, "postgres://app@"+h.CallerAddress()+"/ramp-logs-1?sslmode=verify-full&sslrootcert="+ca)
		if err == nil {
			t.Cleanup(func() { _ = conn.Close(context.Background()) })
			return conn
		}
		select {
		case <-ctx.Done():
			t.Fatal(err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// newHTTPSClient returns an HTTP client that trusts the certificate.
func newHTTPSClient(t *testing.T, ca string) *http.Client {
	t.Helper()
	pool, err := loadCertPool("test", ca)
	is.New(t).NoErr(err)
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
}
