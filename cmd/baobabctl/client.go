package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	api "baobabfield.example/api/admin"
)

// GlobalFlags are the flags that all commands take.
type GlobalFlags struct {
	Admin   string        `help:"Address of a host's admin API: IP:PORT or a URL." env:"BAOBAB_ADMIN" default:"127.0.0.1:7003" placeholder:"ADDRESS"`
	Token   string        `help:"Token of the admin API." env:"BAOBAB_TOKEN" placeholder:"TOKEN"`
	Output  string        `help:"Output format: text or json." env:"BAOBAB_OUTPUT" enum:"text,json" default:"text"`
	CA      string        `help:"File of certificates that the host's certificate is checked against; turns TLS on." name:"ca" env:"BAOBAB_CA" placeholder:"FILE" type:"existingfile"`
	Cert    string        `help:"File of the client's certificate and key; turns TLS on." env:"BAOBAB_CERT" placeholder:"FILE" type:"existingfile"`
	Timeout time.Duration `help:"Wait at most this long for an answer." env:"BAOBAB_TIMEOUT" default:"30s"`
}

// tokenSource is the token that the client of the admin API sends.
type tokenSource string

// Token implements api.SecuritySource.
func (s tokenSource) Token(context.Context, api.OperationName) (api.Token, error) {
	return api.Token{Token: string(s)}, nil
}

// newClient returns a client of the admin API.
func (g *GlobalFlags) newClient() (*api.Client, error) {
	if g.Token == "" {
		return nil, usagef("no token: give --token or set BAOBAB_TOKEN")
	}
	config, err := g.tlsConfig()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}
	httpClient := &http.Client{Transport: transport, Timeout: g.Timeout}
	client, err := api.NewClient(g.adminURL(config != nil), tokenSource(g.Token), api.WithClient(httpClient))
	if err != nil {
		return nil, usagef("--admin: address %q is not valid: %v", g.Admin, err)
	}
	return client, nil
}

// adminURL returns the URL of the admin API. If --admin names no scheme, it is
// https where secure is set and http otherwise.
func (g *GlobalFlags) adminURL(secure bool) string {
	switch {
	case strings.Contains(g.Admin, "://"):
		return g.Admin
	case secure:
		return "https://" + g.Admin
	}
	return "http://" + g.Admin
}

// tlsConfig returns the TLS configuration, or nil if no flag turns TLS on.
func (g *GlobalFlags) tlsConfig() (*tls.Config, error) {
	if g.CA == "" && g.Cert == "" {
		return nil, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if g.CA != "" {
		pem, err := os.ReadFile(g.CA)
		if err != nil {
			return nil, usageError(errors.Wrap(err, "--ca"))
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, usagef("--ca: file %q holds no certificate", g.CA)
		}
	}
	if g.Cert != "" {
		certificate, err := tls.LoadX509KeyPair(g.Cert, g.Cert)
		if err != nil {
			return nil, usageError(errors.Wrap(err, "--cert"))
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	return config, nil
}

// exitCodeByErrorCode maps the API error codes after which a retry can succeed to
// exit codes. All other API errors mean exitRefused.
var exitCodeByErrorCode = map[api.ErrorCode]int{
	api.ErrorCodeUnknown:     exitNotYetKnown,
	api.ErrorCodeUnavailable: exitUnreachable,
}

// queryError returns the error of a command whose request changes nothing. The
// exit code is exitUnreachable if no response came.
func (g *GlobalFlags) queryError(err error) error { return g.requestError(err, exitUnreachable) }

// changeError returns the error of a command whose request changes something. If
// the request was sent but no response came, the result is not yet known.
func (g *GlobalFlags) changeError(err error) error {
	if failedBeforeSend(err) {
		return g.requestError(err, exitUnreachable)
	}
	return g.requestError(err, exitNotYetKnown)
}

// requestError converts the error of a request to an exitError. noResponseCode is
// the exit code if no response came.
func (g *GlobalFlags) requestError(err error, noResponseCode int) error {
	if err == nil {
		return nil
	}
	var refusal *api.ErrorStatusCode
	if !errors.As(err, &refusal) {
		return &exitError{code: noResponseCode, err: errors.Wrapf(err, "no answer from the admin API at %q", g.Admin)}
	}
	code, ok := exitCodeByErrorCode[refusal.Response.Code]
	if !ok {
		code = exitRefused
	}
	return &exitError{code: code, err: errors.Errorf("%s: %s", refusal.Response.Code, refusal.Response.Message)}
}

// failedBeforeSend reports whether the connection failed before the request was sent.
func failedBeforeSend(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	var certificate *tls.CertificateVerificationError
	return errors.As(err, &certificate)
}
