package main

import (
	"io"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
)

// parsePlatformFlags parses the flags of the platform command.
func parsePlatformFlags(t *testing.T, args ...string) *platformFlags {
	t.Helper()
	var flags platformFlags
	parser, err := kong.New(&flags, kong.Writers(io.Discard, io.Discard), kong.DefaultEnvars("BAOBAB"))
	is.New(t).NoErr(err)
	_, err = parser.Parse(append([]string{"--config=x.yaml"}, args...))
	is.New(t).NoErr(err)
	return &flags
}

func TestInvalidCallerLimitsAreRefused(t *testing.T) {
	for _, tt := range []struct{ flag, want string }{
		{"--max-callers=-1", "--max-callers is -1"},
		{"--caller-memory-percent=4", "--caller-memory-percent is 4"},
		{"--caller-memory-percent=51", "--caller-memory-percent is 51"},
		{"--caller-messages-kib=1023", "--caller-messages-kib is 1023"},
		{"--caller-replies-kib=0", "--caller-replies-kib is 0"},
		{"--caller-session-kib=1", "--caller-session-kib is 1"},
		{"--message-timeout=99ms", "--message-timeout is 99ms"},
		{"--reply-timeout=0s", "--reply-timeout is 0s"},
	} {
		if err := parsePlatformFlags(t, tt.flag).check(); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error is %v, want %q", tt.flag, err, tt.want)
		}
	}
	is.New(t).NoErr(parsePlatformFlags(t).check())
}

// Guards against limits that do not follow the memory of the host, or leave no room for the largest
// valid message.
func TestCallerLimitsFollowMemory(t *testing.T) {
	is := is.New(t)
	flags := parsePlatformFlags(t)
	small, smallMemory := flags.memoryLimits(136)
	is.Equal(small.MessageBytes>>10, 13926)
	is.Equal(small.ReplyBytes>>10, 10444)
	is.Equal(smallMemory.AllSessionsBytes>>10, 10444)
	large, _ := flags.memoryLimits(536)
	is.True(large.MessageBytes > 3*small.MessageBytes)
	tiny, _ := flags.memoryLimits(10)
	is.True(tiny.MessageBytes >= 4<<20)
	is.True(tiny.ReplyBytes >= 8<<20)
	unknown, _ := flags.memoryLimits(0)
	is.True(unknown.MessageBytes > small.MessageBytes)
}

// Guards against callers that take all descriptors of a host with few.
func TestCallersLeaveDescriptors(t *testing.T) {
	is := is.New(t)
	flags := parsePlatformFlags(t)
	is.Equal(flags.maxCallers(8192), 8192-700)
	is.Equal(flags.maxCallers(3010), 3010-700)
	is.Equal(flags.maxCallers(160), 80)
	is.Equal(flags.maxCallers(0), 700)
	is.Equal(parsePlatformFlags(t, "--max-callers=9").maxCallers(3010), 9)
}
