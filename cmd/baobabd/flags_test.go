package main

import (
	"io"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
)

// requiredFlags are the flags without defaults.
var requiredFlags = []string{
	"--host=h1", "--data-centre=sao-jose", "--platform=http://127.0.0.1:1",
	"--cluster-key=0123456789abcdef", "--admin-token=ana:0123456789abcdef",
}

// parseFlags parses the required flags and moreFlags.
func parseFlags(t *testing.T, moreFlags ...string) *serveFlags {
	t.Helper()
	var flags serveFlags
	parser, err := kong.New(&flags, kong.Writers(io.Discard, io.Discard), kong.DefaultEnvars("BAOBAB"))
	is.New(t).NoErr(err)
	_, err = parser.Parse(append(append([]string{}, requiredFlags...), moreFlags...))
	is.New(t).NoErr(err)
	return &flags
}

func TestInvalidFlagsAreRefused(t *testing.T) {
	tests := []struct{ flag, want string }{
		{"--caller-listen=5432", `"5432"`},
		{"--seed=nowhere", `"nowhere"`},
		{"--platform=localhost", `--platform is "localhost"`},
		{"--cluster-key=short", "cluster key has 5 bytes"},
		{"--admin-token=nobody", "--admin-token"},
		{"--admin-token=ana:short", `"ana"`},
		{"--max-callers=0", "max callers is 0"},
		{"--request-timeout=0s", "request timeout is 0s"},
		{"--drain-timeout=2h", "drain timeout is 2h0m0s"},
		{"--caller-tls-cert=/none.pem", `"/none.pem"`},
		{"--endpoint-ca=/none.pem", "--endpoint-ca"},
	}
	for _, tt := range tests {
		is := is.New(t)
		_, err := parseFlags(t, tt.flag).hostSettings()
		is.True(err != nil) // the value of tt.flag is not valid
		is.True(strings.Contains(err.Error(), tt.want))
	}
	_, err := parseFlags(t).hostSettings()
	is.New(t).NoErr(err)
}

func TestFlagsAreReadFromEnvironment(t *testing.T) {
	is := is.New(t)
	t.Setenv("BAOBAB_MAX_CALLERS", "17")
	settings, err := parseFlags(t).hostSettings()
	is.NoErr(err)
	is.Equal(settings.MaxCallers, 17)
}
