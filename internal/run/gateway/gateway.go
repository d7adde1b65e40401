// Package gateway runs an instance of the query tier on the users' platform. It reads the settings file, assembles the node with
// the adapters of the platform, and applies changes of the settings file while the node runs.
//
//	err := gateway.Run(ctx, gateway.Settings{Path: path, Output: os.Stdout})
package gateway

import (
	"context"
	"io"
	"log"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/node"
	"github.com/hickorynotch/hickorynotch/platform"
)

const (
	// settingsRetryDelay is the time between two attempts to load a settings file that is unusable at the start.
	settingsRetryDelay = time.Second
	// settingsCheckPeriod is the time between two checks whether the settings file was modified. A change must be in force within
	// 3 s.
	settingsCheckPeriod = time.Second
)

// Settings are the parameters of Run. All other settings are in the platform's settings file.
type Settings struct {
	// Path is the path of the platform's settings file.
	Path string
	// MetricsPort is the port for metrics. If it is 0, metrics are served at the last of the internal ports in the settings file.
	MetricsPort uint16
	// Output receives the log lines.
	Output io.Writer
	// Adjust, if not nil, is called with the adapters before the node is assembled, so that a test can wrap them.
	Adjust func(*node.Adapters)
}

// settingsLoader loads the settings file, and reloads it when it changes.
type settingsLoader struct {
	path   string
	timers *timer.Service
	events *event.Log
}

// Run loads the settings file, waiting for a valid one if necessary, and serves until ctx is done. It then stops gracefully.
func Run(ctx context.Context, s Settings, options ...node.Option) error {
	timers := timer.New()
	buffer := event.NewBuffer(s.Output, timers)
	defer buffer.Close()
	loader := &settingsLoader{path: s.Path, timers: timers, events: event.NewBuffered(buffer, timers.Now)}
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)

	settings, err := loader.loadSettings(ctx)
	if err != nil {
		return err
	}
	if s.MetricsPort != 0 {
		settings.Operator = netip.AddrPortFrom(settings.Operator.Addr(), s.MetricsPort)
	}
	loader.events = loader.events.With("Instance", settings.Name)
	log.SetFlags(0)
	log.SetOutput(loader.events.Writer(event.LibraryMessage))
	store := platform.NewStore(settings.Store)
	defer store.Close()
	adapters := node.Adapters{
		Targets:        platform.TargetCodec(),
		Callers:        platform.CallerCodec(),
		Configurations: store.Configurations(),
		TargetSource:   store.Targets(),
		KeyValueStore:  store.KeyValueStore(),
	}
	if settings.EvacuateBound > 0 {
		adapters.Configurations = store.OperatorState()
	}
	if s.Adjust != nil {
		s.Adjust(&adapters)
	}
	n, err := node.New(settings, adapters, timers, append([]node.Option{node.WithLog(loader.events)}, options...)...)
	if err != nil {
		return err
	}
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go loader.watchSettings(watchCtx, reloadSignals, settings, n.Apply)

	return n.Run(ctx)
}

// watchSettings reloads the settings file after each of reloadSignals and whenever the file was modified, and applies the
// settings.
func (l *settingsLoader) watchSettings(
	ctx context.Context, reloadSignals <-chan os.Signal, current node.Settings, apply func(node.Settings),
) {
	ticks := l.timers.Subscribe(settingsCheckPeriod)
	defer ticks.Stop()
	modified := modTime(l.path)
	for {
		signalled := false
		select {
		case <-reloadSignals:
			signalled = true
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
		latest := modTime(l.path)
		if !signalled && latest.Equal(modified) {
			continue
		}
		modified = latest
		settings, err := platform.LoadSettings(l.path)
		if err != nil {
			l.events.Log(event.SettingsRejected, "Path", l.path, "Error", err)

			continue
		}
		changed := !reflect.DeepEqual(settings, current)
		l.events.Log(event.SettingsReloaded, "Path", l.path, "Signal", signalled, "Changed", changed)
		current = settings
		apply(settings)
	}
}

// modTime returns the modification time of the file, or the zero time if it cannot be determined. Loading the file then reports
// the reason.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}

	return info.ModTime()
}

// loadSettings loads the settings file and retries until the file is valid or ctx is done.
func (l *settingsLoader) loadSettings(ctx context.Context) (node.Settings, error) {
	for {
		settings, err := platform.LoadSettings(l.path)
		if err == nil {
			return settings, nil
		}
		l.events.Log(event.SettingsRejected, "Path", l.path, "Error", err)
		select {
		case <-l.timers.After(settingsRetryDelay):
		case <-ctx.Done():
			return node.Settings{}, ctx.Err()
		}
	}
}
