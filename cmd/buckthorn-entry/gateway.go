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
	// heapShare is the soft memory limit of the Go runtime as a fraction of the VM's memory.
	// Near the limit, garbage collection becomes more frequent. The rest is left for stacks,
	// sockets and received data that has not been read yet.
	heapShare = 0.6
	// heapGrowth is the heap growth in percent that starts a garbage collection (GOGC). It is
	// above the default of 100 to save processor time; the live heap is only a few MB.
	heapGrowth = 200
	mebibyte   = 1 << 20 // in bytes
)

// runGateway runs an entry of kind gateway, whose callers drive their own programs.
func runGateway(ctx context.Context, path string, hangups <-chan os.Signal) error {
	cfg, err := settings.LoadGateway(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(cfg.MemoryMB) * heapShare * mebibyte))
	debug.SetGCPercent(heapGrowth)
	// The log outlives ctx, so that lines written during the shutdown are not lost.
	requestLog := reqlog.New(os.Stdout, string(cfg.Node))
	logging, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan struct{})
	go func() {
		requestLog.Run(logging)
		close(logged)
	}()
	defer func() {
		stopLogging()
		<-logged
	}()
	events, err := eventlog.New(requestLog, cfg.Node, cfg.Log)
	if err != nil {
		return err
	}
	t, err := telemetry.New(ctx, cfg.Telemetry, telemetry.Options{
		Service: "buckthorn-entry", Node: cfg.Node, Domain: "",
		OnMetricError: func(err error) { requestLog.Warn("metric_not_registered").Err(err).End() },
	})
	if err != nil {
		return err
	}
	defer func() {
		if err := t.Shutdown(context.WithoutCancel(ctx)); err != nil {
			requestLog.Warn("telemetry_shutdown_failed").Err(err).End()
		}
	}()
	store := platform.NewStore(cfg.TableAddress)
	defer store.Close()
	return gateway.Run(ctx, cfg, gateway.Environment{
		Events: events, Requests: requestLog, Telemetry: t, Table: store, Reload: watchSettings(ctx, path, events, hangups),
	})
}

// settingsPollInterval is the time between two checks of the settings file for a change.
const settingsPollInterval = 5 * time.Second

// watchSettings reads the settings again after each signal of hangups and each change of the file,
// and sends them if they are valid. Invalid settings are reported as an event. It also makes the
// process ignore SIGPIPE.
func watchSettings(ctx context.Context, path string, events *eventlog.Logger, hangups <-chan os.Signal) <-chan *settings.Gateway {
	// A closed standard output must not end the process: Go exits on SIGPIPE only for writes
	// to file descriptors 1 and 2. Writes to other closed connections return an error.
	signal.Ignore(syscall.SIGPIPE)
	out := make(chan *settings.Gateway)
	go func() {
		tick := time.NewTicker(settingsPollInterval)
		defer tick.Stop()
		modified := modTime(path)
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				current := modTime(path)
				if current.Equal(modified) {
					continue
				}
				modified = current
			case <-hangups:
				modified = modTime(path)
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

// modTime returns the modification time of the file, or the zero time if the file can't be
// examined. That counts as a change too, so reading the file then reports the error.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
