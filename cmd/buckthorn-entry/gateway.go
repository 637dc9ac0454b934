package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/gateway"
	"github.com/buckthornroute/buckthornroute/internal/reqlog"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/telemetry"
	"github.com/buckthornroute/buckthornroute/platform"
)

const (
	// heapShare is the part of the VM's memory at which the collector works harder; the
	// rest is for stacks, sockets and what was received and not yet read.
	heapShare = 0.6
	// heapGrowth in percent trades the collector's processor time for memory: the live
	// heap is a few MB.
	heapGrowth = 200
	mebibyte   = 1 << 20
)

// runGateway runs an entry on which callers drive their own programs.
func runGateway(ctx context.Context, path string) error {
	cfg, err := settings.LoadGateway(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(cfg.MemoryMB) * heapShare * mebibyte))
	debug.SetGCPercent(heapGrowth)
	lines := reqlog.New(os.Stdout, string(cfg.Node))
	logging, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan struct{})
	go func() {
		lines.Run(logging)
		close(logged)
	}()
	defer func() {
		stopLogging()
		<-logged
	}()
	events, err := eventlog.New(lines, cfg.Node, cfg.Log)
	if err != nil {
		return err
	}
	t, err := telemetry.New(ctx, cfg.Telemetry, telemetry.Options{
		Service: "buckthorn-entry", Node: cfg.Node, Domain: "",
		OnMetricError: func(err error) { lines.Warn("metric_not_registered").Err(err).End() },
	})
	if err != nil {
		return err
	}
	defer func() {
		if err := t.Shutdown(context.WithoutCancel(ctx)); err != nil {
			lines.Warn("telemetry_shutdown_failed").Err(err).End()
		}
	}()
	store := platform.NewStore(cfg.TableAddress)
	defer store.Close()
	return gateway.Run(ctx, cfg, gateway.Environment{
		Events: events, Requests: lines, Telemetry: t, Table: store, Reload: reloads(ctx, path, events),
	})
}

// settingsPoll is the time between two looks whether the settings file has changed
// without a signal.
const settingsPoll = 5 * time.Second

// reloads brings the settings anew after each SIGHUP and each change of the file, as far
// as they can be used.
func reloads(ctx context.Context, path string, events *eventlog.Logger) <-chan *settings.Gateway {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	// A write to a closed connection is an error of that write alone.
	signal.Ignore(syscall.SIGPIPE)
	out := make(chan *settings.Gateway)
	go func() {
		defer signal.Stop(signals)
		tick := time.NewTicker(settingsPoll)
		defer tick.Stop()
		changed := changeTime(path)
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				now := changeTime(path)
				if now.Equal(changed) {
					continue
				}
				changed = now
			case <-signals:
				changed = changeTime(path)
			}
			cfg, err := settings.LoadGateway(path)
			if err != nil {
				events.Emit(eventlog.GatewayReloadFailed, eventlog.Fields{Step: "reload", Err: err})
				continue
			}
			select {
			case <-ctx.Done():
				return
			case out <- cfg:
			}
		}
	}()
	return out
}

// changeTime is when the file was last written; zero when it can't be seen, which counts
// as a change that reading it will report.
func changeTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
