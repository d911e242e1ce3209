package main

import (
	"io"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
)

// required are the flags without defaults.
var required = []string{
	"--host=h1", "--data-centre=sao-jose", "--platform=http://127.0.0.1:1",
	"--cluster-key=0123456789abcdef", "--admin-token=ana:0123456789abcdef",
}

// parse parses the required flags and some more.
func parse(t *testing.T, more ...string) *Flags {
	t.Helper()
	var flags Flags
	parser, err := kong.New(&flags, kong.Writers(io.Discard, io.Discard), kong.DefaultEnvars("BAOBAB"))
	is.New(t).NoErr(err)
	_, err = parser.Parse(append(append([]string{}, required...), more...))
	is.New(t).NoErr(err)
	return &flags
}

func TestFlagsAreChecked(t *testing.T) {
	tests := []struct{ flag, names string }{
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
		_, err := parse(t, tt.flag).settings()
		is.True(err != nil) // tt.flag
		is.True(strings.Contains(err.Error(), tt.names))
	}
	_, err := parse(t).settings()
	is.New(t).NoErr(err)
}

func TestFlagsComeFromTheEnvironment(t *testing.T) {
	is := is.New(t)
	t.Setenv("BAOBAB_MAX_CALLERS", "17")
	set, err := parse(t).settings()
	is.NoErr(err)
	is.Equal(set.MaxCallers, 17)
}
