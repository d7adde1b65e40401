package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/target"
)

const (
	// controlTimeout bounds one call to a stand-in target. Its journal takes up to a second to write.
	controlTimeout = 10 * time.Second
	// controlAtOnce bounds the calls in flight to the stand-in targets.
	controlAtOnce = 16
	// maxJournal bounds the body of a journal: 65,536 entries of about 300 bytes.
	maxJournal = 32 << 20
)

// Control switches faults of stand-in targets and reads their journals. It opens a connection for each call, because
// connections count against the limit of a target.
type Control struct {
	timers *timer.Service
	client *http.Client

	mutex sync.Mutex
	calls map[netip.AddrPort]int // bounded by the targets and instances of the run
}

// NewControl returns a Control.
func NewControl(timers *timer.Service) *Control {
	return &Control{timers: timers, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, calls: make(map[netip.AddrPort]int)}
}

// Calls returns the number of calls to an address, each of which took a connection.
func (c *Control) Calls(address netip.AddrPort) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.calls[address]
}

// SetFaults replaces the faults of the given targets.
func (c *Control) SetFaults(ctx context.Context, faults map[netip.AddrPort]target.Fault) (err error) {
	defer func() { err = Error.Wrap(err) }()

	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(controlAtOnce)
	for address, fault := range faults {
		group.Go(func() error {
			body, err := json.Marshal(fault)
			if err != nil {
				return err
			}
			_, err = c.call(ctx, http.MethodPut, address, target.FaultPath, body)

			return err
		})
	}

	return group.Wait()
}

// Journals returns the journals of the given targets, in that order.
func (c *Control) Journals(ctx context.Context, addresses []netip.AddrPort) (journals []target.Journal, err error) {
	defer func() { err = Error.Wrap(err) }()

	journals = make([]target.Journal, len(addresses))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(controlAtOnce)
	for i, address := range addresses {
		group.Go(func() error {
			body, err := c.call(ctx, http.MethodGet, address, target.JournalPath, nil)
			if err != nil {
				return err
			}

			return json.Unmarshal(body, &journals[i])
		})
	}

	return journals, group.Wait()
}

func (c *Control) call(ctx context.Context, method string, address netip.AddrPort, path string, body []byte) ([]byte, error) {
	c.mutex.Lock()
	c.calls[address]++
	c.mutex.Unlock()
	ctx, cancel := c.timers.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxJournal))
	if err == nil && response.StatusCode >= http.StatusMultipleChoices {
		err = fmt.Errorf("%s %s%s: status %d: %s", method, address, path, response.StatusCode, bytes.TrimSpace(reply))
	}

	return reply, err
}
