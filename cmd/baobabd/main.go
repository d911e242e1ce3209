// Command baobabd serves callers, owns endpoints and exchanges configuration
// and membership with the other hosts. It runs on every entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"baobabfield.example/node/host"
)

// exitFailure is the exit status of a process that could not do its work.
const exitFailure = 1

func main() {
	var flags Flags
	parser := kong.Must(&flags,
		kong.Name("baobabd"),
		kong.Description("Serves callers on one entry host. All hosts are equal; each needs its id, data centre, addresses, the platform's address and the cluster key."),
		kong.DefaultEnvars("BAOBAB"),
	)
	_, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := run(&flags); err != nil {
		fmt.Fprintln(os.Stderr, "baobabd:", err)
		os.Exit(exitFailure)
	}
}

// run starts the host and stops it at SIGTERM, SIGINT or an operator's request.
func run(flags *Flags) error {
	log, err := newLogger(flags)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	set, err := flags.settings()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	h, err := host.Start(set, log)
	if err != nil {
		return err
	}
	select {
	case <-h.Ended():
		return nil
	case <-ctx.Done():
	}
	stop()
	return h.Stop(context.Background())
}

// newLogger returns the process's logger.
func newLogger(flags *Flags) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	level, err := zap.ParseAtomicLevel(flags.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("--log-level is %q, must be debug, info, warn or error", flags.LogLevel)
	}
	cfg.Level = level
	return cfg.Build()
}
