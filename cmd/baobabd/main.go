// Command baobabd serves callers, owns endpoints and exchanges configuration
// and membership with the other hosts. It runs on every host.
//
// "baobabd serve" serves PostgreSQL callers with package node/host. "baobabd
// platform" serves callers of the platform's line protocol with package
// node/gateway. The process ends with status 1 after an error.
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

// exitFailure is the exit status of a process that ends with an error.
const exitFailure = 1

// commandLine holds the subcommands.
type commandLine struct {
	Serve    serveFlags    `cmd:"" default:"withargs" help:"Serves PostgreSQL callers; settings come from flags and environment."`
	Platform platformFlags `cmd:"" help:"Serves callers of the platform's line protocol; settings come from the platform's file."`
}

func main() {
	var cli commandLine
	parser := kong.Must(&cli,
		kong.Name("baobabd"),
		kong.Description("Serves callers on one host of the cluster. All hosts are equal."),
		kong.DefaultEnvars("BAOBAB"),
	)
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "baobabd:", err)
		os.Exit(exitFailure)
	}
}

// Run starts the host and stops it at SIGTERM, SIGINT or an operator's request.
func (f *serveFlags) Run() error {
	log, err := newLogger(f)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	settings, err := f.hostSettings()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	h, err := host.Start(settings, log)
	if err != nil {
		return err
	}
	select {
	case <-h.Done():
		return nil
	case <-ctx.Done():
	}
	stop()
	return h.Stop(context.Background())
}

// newLogger returns a logger with the level that the flags name.
func newLogger(flags *serveFlags) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	level, err := zap.ParseAtomicLevel(flags.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("--log-level is %q, must be debug, info, warn or error", flags.LogLevel)
	}
	cfg.Level = level
	return cfg.Build()
}
