package inbound

import (
	"errors"
	"syscall"
)

// Descriptors returns the number of file descriptors that the settings state, 0 if they do not, or that of the operating system if it is
// lower.
func Descriptors(settings int) int {
	var system syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system) != nil || system.Cur > 1<<30 {
		return settings
	}
	if settings <= 0 {
		return int(system.Cur)
	}

	return min(settings, int(system.Cur))
}

// Observe registers the gauges of what clients hold.
func (g *Guard) Observe() error {
	return errors.Join(
		g.metrics.Observe("hickorynotch.clients.bytes",
			"Memory in bytes for what clients have sent and no request has been admitted for.",
			func() float64 { return float64(g.Use().Bytes) }),
		g.metrics.Observe("hickorynotch.clients.answers", "Bytes of answers that clients have not read yet.",
			func() float64 { return float64(g.Use().Answers) }),
		g.metrics.Observe("hickorynotch.clients.connections", "Connections of clients at all addresses.",
			func() float64 { return float64(g.Use().Connections) }))
}
