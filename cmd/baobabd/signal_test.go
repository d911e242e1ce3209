package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// runPlatformEnv makes the test binary run "baobabd platform" instead of the tests.
const runPlatformEnv = "BAOBABD_TEST_RUN_PLATFORM"

func TestMain(m *testing.M) {
	if os.Getenv(runPlatformEnv) != "" {
		os.Args = []string{"baobabd", "platform"}
		main()
		return
	}
	os.Exit(m.Run())
}

// A SIGHUP that arrives while the process starts must not end it: the settings file may change at
// any time.
func TestSignalDuringStartDoesNotEndProcess(t *testing.T) {
	is := is.New(t)
	// The process waits at the pipe until the test writes its settings.
	pipe := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(syscall.Mkfifo(pipe, 0o600))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0])
	cmd.Env = append(os.Environ(), runPlatformEnv+"=1", "BAOBABFIELD_CONFIG="+pipe)
	is.NoErr(cmd.Start())
	settings, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the process reads
	is.NoErr(err)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	_, err = settings.WriteString("nodeName: [")
	is.NoErr(err)
	is.NoErr(settings.Close())
	err = cmd.Wait()
	status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
	is.True(ok)
	// It ends because of its settings, not of the signal.
	is.True(!status.Signaled())
	is.Equal(status.ExitStatus(), exitFailure)
	is.True(err != nil)
}
