// Package gateway runs an instance of the query tier on the users' platform: it reads the settings file, connects the node with
// the platform's adapter, and applies settings that change.
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
	// settingsRetry is the pause between two tries to read a settings file that cannot be used.
	settingsRetry = time.Second
	// settingsPeriod is the time between two looks at the settings file. A change has 3 s to come into force.
	settingsPeriod = time.Second
)

// Settings are what a process is started with. The platform's settings file holds the rest.
type Settings struct {
	// Path is that of the platform's settings file.
	Path string
	// MetricsPort replaces the last port between instances as the one for metrics, unless it is 0.
	MetricsPort uint16
	// Output gets the log.
	Output io.Writer
	// Adjust is called with the adapters before the node is assembled, so that a test can wrap them; nil leaves them as they are.
	Adjust func(*node.Adapters)
}

// process is a running instance.
type process struct {
	path   string
	timers *timer.Service
	events *event.Log
}

// Run serves until ctx ends and then stops gracefully.
func Run(ctx context.Context, s Settings, options ...node.Option) error {
	timers := timer.New()
	buffer := event.NewBuffer(s.Output, timers)
	defer buffer.Close()
	p := &process{path: s.Path, timers: timers, events: event.NewBuffered(buffer, timers.Now)}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)

	settings, err := p.load(ctx)
	if err != nil {
		return err
	}
	if s.MetricsPort != 0 {
		settings.Operator = netip.AddrPortFrom(settings.Operator.Addr(), s.MetricsPort)
	}
	p.events = p.events.With("Instance", settings.Name)
	log.SetFlags(0)
	log.SetOutput(p.events.Writer(event.LibraryMessage))
	store := platform.NewStore(settings.Store)
	defer store.Close()
	adapters := node.Adapters{
		Targets:        platform.TargetCodec(),
		Callers:        platform.CallerCodec(),
		Configurations: store.Configurations(),
		Directory:      store.Targets(),
		Own:            store.Own(),
	}
	if s.Adjust != nil {
		s.Adjust(&adapters)
	}
	n, err := node.New(settings, adapters, timers, append([]node.Option{node.WithLog(p.events)}, options...)...)
	if err != nil {
		return err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go p.follow(watching, reload, settings, n.Apply)

	return n.Run(ctx)
}

// follow reads the settings file again after a signal and when it changes without one.
func (p *process) follow(
	ctx context.Context, reload <-chan os.Signal, current node.Settings, apply func(node.Settings),
) {
	ticks := p.timers.Subscribe(settingsPeriod)
	defer ticks.Stop()
	modified := modification(p.path)
	for {
		signalled := false
		select {
		case <-reload:
			signalled = true
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
		newest := modification(p.path)
		if !signalled && newest.Equal(modified) {
			continue
		}
		modified = newest
		settings, err := platform.LoadSettings(p.path)
		if err != nil {
			p.events.Log(event.SettingsRejected, "Path", p.path, "Error", err)

			continue
		}
		changed := !reflect.DeepEqual(settings, current)
		p.events.Log(event.SettingsReloaded, "Path", p.path, "Signal", signalled, "Changed", changed)
		current = settings
		apply(settings)
	}
}

// modification returns when the file was last written, or the zero time if that cannot be told; the reading reports the reason.
func modification(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}

	return info.ModTime()
}

// load reads the settings file until it can be used.
func (p *process) load(ctx context.Context) (node.Settings, error) {
	for {
		settings, err := platform.LoadSettings(p.path)
		if err == nil {
			return settings, nil
		}
		p.events.Log(event.SettingsRejected, "Path", p.path, "Error", err)
		select {
		case <-p.timers.After(settingsRetry):
		case <-ctx.Done():
			return node.Settings{}, ctx.Err()
		}
	}
}
