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
	// settingsPollInterval is the time between two checks of the settings file,
	// which can change without a signal.
	settingsPollInterval = 2 * time.Second
	// reservedDescriptors is the number of file descriptors kept for files and for
	// connections to endpoints and other hosts. Callers use the others.
	reservedDescriptors = 700
	// memoryLimitPercent is the Go runtime's soft memory limit in percent of the
	// process's limit. The garbage collector runs more often near the soft limit.
	memoryLimitPercent = 70
	// logFlushTimeout bounds the writing of the last log lines at exit.
	logFlushTimeout = 500 * time.Millisecond
	// meshKey authenticates sessions between hosts. It is not secret, because the
	// platform distributes no secrets. The platform closes its internal ports to
	// other processes, so the key only rejects connections made by mistake.
	meshKey = "baobabfield/platform/1"
)

// platformFlags are the settings that the platform's file does not contain.
type platformFlags struct {
	Config        string `help:"The platform's settings file." env:"BAOBABFIELD_CONFIG" required:""`
	MeshAdvertise string `help:"Mesh address that other hosts use, if it differs from the one listened on."`
	MaxCallers    int    `help:"Callers served at a time; 0 derives the number from the limit of file descriptors." default:"0"`
	// RemotePrice is the price of the link: a read leaves only if it saves more.
	RemotePrice time.Duration `help:"Price of a read served in another data centre, as waiting time that it must save." env:"BAOBABFIELD_REMOTE_PRICE" default:"70ms"`

	CallerMemoryPercent int           `help:"Memory for messages, replies and sessions of callers, in percent of the host's memory limit, 5 to 50." default:"25" group:"Limits for callers"`
	CallerMessagesKiB   int           `help:"Unanswered messages of one caller in KiB, 1024 or more; the rest waits unread." name:"caller-messages-kib" default:"2048" group:"Limits for callers"`
	CallerRepliesKiB    int           `help:"Unread replies of one caller in KiB, 1 or more, above which its next statement waits." name:"caller-replies-kib" default:"64" group:"Limits for callers"`
	CallerSessionKiB    int           `help:"Prepared statements and variables of one session in KiB, 1024 or more." name:"caller-session-kib" default:"2048" group:"Limits for callers"`
	MessageTimeout      time.Duration `help:"Time in which a caller finishes a message that it has started, 100ms or more." default:"30s" group:"Limits for callers"`
	ReplyTimeout        time.Duration `help:"Time in which a caller reads a reply, 100ms or more." default:"30s" group:"Limits for callers"`
}

// Run serves callers until SIGTERM or SIGINT.
func (f *platformFlags) Run() error {
	// A signal that arrives before would end the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	if err := f.check(); err != nil {
		return err
	}
	settings, err := platform.ReadSettings(f.Config)
	if err != nil {
		return err
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	logCtx, endLogs := context.WithCancel(context.Background())
	logs := gateway.NewLogWriter(os.Stdout, proxy.Field{Key: "host", Value: settings.Host})
	go logs.Run(logCtx)
	client := platform.NewClient(platform.ClientSettings{StoreAddress: settings.StoreAddress, PromotionAddress: settings.PromotionAddress})
	g, listeners, err := gateway.New(ctx, f.gatewaySettings(settings, client), logs, time.Now())
	if err != nil {
		endLogs()
		return err
	}
	logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: "host started", Fields: []proxy.Field{
		{Key: "callers", Value: settings.CallerListen},
		{Key: "mesh", Value: settings.MeshListen},
		{Key: "store", Value: settings.StoreAddress},
		{Key: "data_centre", Value: settings.DataCentre},
	}})
	stop := make(chan time.Duration, 1)
	go f.watchSignalsAndSettings(ctx, settings, g, logs, signals, stop)
	g.Run(ctx, listeners, stop)
	logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: "host stopped"})
	endLogs()
	select {
	case <-logs.Done():
	case <-time.After(logFlushTimeout):
	}
	return nil
}

// gatewaySettings combines the platform's settings with the flags.
func (f *platformFlags) gatewaySettings(settings platform.Settings, client *platform.Client) gateway.Settings {
	limits, memory := f.memoryLimits(settings.MemoryMB)
	return gateway.Settings{
		Host: settings.Host, DataCentre: settings.DataCentre, CallerListen: settings.CallerListen, ReadyListen: settings.ReadyListen,
		MetricsListen: settings.MetricsListen, MeshListen: settings.MeshListen, MeshAdvertise: f.MeshAdvertise, MaxCallers: f.maxCallers(settings.MaxFiles), CPUMillicores: settings.CPUMillicores,
		Intake: limits, Memory: memory, MessageTimeout: f.MessageTimeout, ReplyTimeout: f.ReplyTimeout,
		ConfigBound: settings.ConfigBound, LeavingBound: settings.LeavingBound, RemotePrice: f.RemotePrice, ClusterKey: []byte(meshKey),
		Codec: platform.LineCodec{}, Store: client, Promoter: client, Decoder: platform.ObjectDecoder{},
	}
}

// watchSignalsAndSettings starts the planned stop at SIGTERM or SIGINT. It reloads
// the settings at SIGHUP and when the modification time of their file changes.
func (f *platformFlags) watchSignalsAndSettings(ctx context.Context, settings platform.Settings, g *gateway.Gateway, logs *gateway.LogWriter, signals <-chan os.Signal, stop chan<- time.Duration) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	lastModified := modificationTime(f.Config)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s != syscall.SIGHUP {
				stop <- settings.GracePeriod
				signal.Ignore(os.Interrupt, syscall.SIGTERM)
				continue
			}
		case <-poll.C:
			at := modificationTime(f.Config)
			if at.Equal(lastModified) {
				continue
			}
			lastModified = at
		}
		settings = f.reloadSettings(settings, g, logs)
	}
}

// modificationTime returns the time of the file's last change, or zero if it
// cannot be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadSettings reads the settings again and applies those that can change while
// the process runs. It returns the settings in force: the old ones if the file is
// not valid.
func (f *platformFlags) reloadSettings(old platform.Settings, g *gateway.Gateway, logs *gateway.LogWriter) platform.Settings {
	settings, err := platform.ReadSettings(f.Config)
	if err != nil {
		logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: "settings not reloaded", Fields: []proxy.Field{{Key: "error", Value: err.Error()}}})
		return old
	}
	platformMoved := settings.StoreAddress != old.StoreAddress || settings.PromotionAddress != old.PromotionAddress
	restartNeeded := settings.CallerListen != old.CallerListen || settings.ReadyListen != old.ReadyListen || settings.MeshListen != old.MeshListen ||
		settings.Host != old.Host || settings.DataCentre != old.DataCentre
	logs.Enqueue(proxy.Log{Level: proxy.Warn, Event: "settings reloaded", Fields: []proxy.Field{
		{Key: "platform_moved", Value: platformMoved}, {Key: "grace", Value: settings.GracePeriod}, {Key: "needs_restart", Value: restartNeeded},
	}})
	if platformMoved {
		client := platform.NewClient(platform.ClientSettings{StoreAddress: settings.StoreAddress, PromotionAddress: settings.PromotionAddress})
		g.SetPlatform(client, client)
	}
	return settings
}
