package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"baobabfield.example/core/proxy"
	"baobabfield.example/node/gateway"
	"baobabfield.example/platform"
)

const (
	// settingsPoll is the time between two looks at the settings file, which may
	// change without a signal.
	settingsPoll = 2 * time.Second
	// reservedFiles are the descriptors that callers do not get: files, endpoints
	// and other hosts.
	reservedFiles = 700
	// memoryShare is the part, in percent, of the memory limit at which the
	// garbage collector works harder.
	memoryShare = 70
	// logFlushTimeout bounds the writing of the last log lines.
	logFlushTimeout = 500 * time.Millisecond
	// clusterKey opens sessions between hosts. The platform hands out no secrets
	// and closes its internal ports to others, so the key only keeps strays out.
	clusterKey = "baobabfield/platform/1"
)

// platformFlags are the settings that the platform's file does not hold.
type platformFlags struct {
	Config        string `help:"The platform's settings file." env:"BAOBABFIELD_CONFIG" required:""`
	MeshAdvertise string `help:"Mesh address that other hosts use, if it differs from the one listened on."`
	MaxCallers    int    `help:"Callers served at a time; 0 takes what the limit of descriptors leaves." default:"0"`
}

// Run serves until SIGTERM or SIGINT.
func (f *platformFlags) Run() error {
	set, err := platform.ReadSettings(f.Config)
	if err != nil {
		return err
	}
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(set.MemoryMB) << 20 * memoryShare / 100)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	logCtx, endLogs := context.WithCancel(context.Background())
	logs := gateway.NewLogWriter(os.Stdout, proxy.Field{Key: "host", Value: set.Host})
	go logs.Run(logCtx)
	client := platform.NewClient(platform.ClientSettings{StoreAddress: set.StoreAddress, CloudAddress: set.CloudAddress})
	g, listeners, err := gateway.New(ctx, f.gatewaySettings(set, client), logs, time.Now())
	if err != nil {
		endLogs()
		return err
	}
	logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: "host started", Fields: []proxy.Field{
		{Key: "callers", Value: set.CallerListen},
		{Key: "mesh", Value: set.MeshListen},
		{Key: "store", Value: set.StoreAddress},
		{Key: "data_centre", Value: set.DataCentre},
	}})
	stop := make(chan time.Duration, 1)
	go f.watchSignals(ctx, set, g, logs, stop)
	g.Run(ctx, listeners, stop)
	logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: "host stopped"})
	endLogs()
	select {
	case <-logs.Done():
	case <-time.After(logFlushTimeout):
	}
	return nil
}

// gatewaySettings joins the platform's settings with the flags.
func (f *platformFlags) gatewaySettings(set platform.Settings, client *platform.Client) gateway.Settings {
	maxCallers := f.MaxCallers
	if maxCallers <= 0 {
		maxCallers = max(set.MaxFiles-reservedFiles, reservedFiles)
	}
	return gateway.Settings{
		Host: set.Host, DataCentre: set.DataCentre, CallerListen: set.CallerListen, ReadyListen: set.ReadyListen,
		MetricsListen: set.MetricsListen, MeshListen: set.MeshListen, MeshAdvertise: f.MeshAdvertise, MaxCallers: maxCallers, Power: set.Power, Key: []byte(clusterKey),
		Codec: platform.LineCodec{}, Store: client, Promoter: client, Decoder: platform.ObjectDecoder{},
	}
}

// watchSignals begins the planned stop, and reads the settings again when they
// may have changed.
func (f *platformFlags) watchSignals(ctx context.Context, set platform.Settings, g *gateway.Gateway, logs *gateway.LogWriter, stop chan<- time.Duration) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	poll := time.NewTicker(settingsPoll)
	defer poll.Stop()
	changedAt := modified(f.Config)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s != syscall.SIGHUP {
				stop <- set.GracePeriod
				signal.Ignore(os.Interrupt, syscall.SIGTERM)
				continue
			}
		case <-poll.C:
			at := modified(f.Config)
			if at.Equal(changedAt) {
				continue
			}
			changedAt = at
		}
		set = f.reload(set, g, logs)
	}
}

// modified returns the time of the file's last change; zero where it cannot be read.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again and applies what can change while the process
// runs; settings that cannot be used leave those in force.
func (f *platformFlags) reload(old platform.Settings, g *gateway.Gateway, logs *gateway.LogWriter) platform.Settings {
	set, err := platform.ReadSettings(f.Config)
	if err != nil {
		logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: "settings not reloaded", Fields: []proxy.Field{{Key: "error", Value: err.Error()}}})
		return old
	}
	moved := set.StoreAddress != old.StoreAddress || set.CloudAddress != old.CloudAddress
	restart := set.CallerListen != old.CallerListen || set.ReadyListen != old.ReadyListen || set.MeshListen != old.MeshListen ||
		set.Host != old.Host || set.DataCentre != old.DataCentre
	logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: "settings reloaded", Fields: []proxy.Field{
		{Key: "platform_moved", Value: moved}, {Key: "grace", Value: set.GracePeriod}, {Key: "needs_restart", Value: restart},
	}})
	if moved {
		client := platform.NewClient(platform.ClientSettings{StoreAddress: set.StoreAddress, CloudAddress: set.CloudAddress})
		g.SetPlatform(client, client)
	}
	return set
}
