package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/node/admin"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key.
func writeCertificate(t *testing.T) (certFile, keyFile string) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(24 * time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	dir := t.TempDir()
	certFile = filepath.Join(dir, "cert.pem")
	keyFile = filepath.Join(dir, "key.pem")
	is.NoErr(os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600))
	is.NoErr(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600))
	return certFile, keyFile
}

// TestServerCertificateIsVerified checks that a command sends nothing to a server whose
// certificate the authorities of --ca did not sign.
func TestServerCertificateIsVerified(t *testing.T) {
	is := is.New(t)
	certFile, keyFile := writeCertificate(t)
	otherFile, _ := writeCertificate(t)
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	is.NoErr(err)
	config := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	address := startAdminServer(t, newFakeHostTasks(), admin.Settings{TLS: config})
	is.Equal(runCtl(address, "--ca", certFile, "status").code, exitDone)
	is.Equal(runCtl(address, "--ca", otherFile, "status").code, exitUnreachable)
	is.Equal(runCtl(address, "--ca", otherFile, "leave").code, exitUnreachable) // nothing was sent
	is.Equal(runCtl(address, "--ca", keyFile, "status").code, exitUsage)
	is.True(runCtl(address, "status").code != exitDone) // plain HTTP
}
