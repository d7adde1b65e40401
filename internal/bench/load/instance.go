package load

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// tick is the unit of processor times in /proc, which is 10 ms on Linux for all architectures that Go supports.
const tick = 10 * time.Millisecond

// Instance is an entry instance under load.
type Instance struct {
	Caller, Operator netip.AddrPort
	Process          int
}

// ParseInstance parses CALLER/OPERATOR/PROCESS.
func ParseInstance(text string) (i Instance, err error) {
	defer func() { err = Error.Wrap(err) }()

	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return i, fmt.Errorf("%q is not CALLER/OPERATOR/PROCESS", text)
	}
	if i.Caller, err = netip.ParseAddrPort(parts[0]); err != nil {
		return i, err
	}
	if i.Operator, err = netip.ParseAddrPort(parts[1]); err != nil {
		return i, err
	}
	i.Process, err = strconv.Atoi(parts[2])

	return i, err
}

// Counters are sums over instances since their start.
type Counters struct {
	// Attempts counts target requests by service and result.
	Attempts map[string]map[string]float64
	// Hedges and Retries count target requests beyond the first for a shard.
	Hedges, Retries float64
	// Processor is the processor time that the instances took.
	Processor time.Duration
}

// NewCounters returns Counters of 0.
func NewCounters() Counters {
	return Counters{Attempts: make(map[string]map[string]float64)}
}

// Add adds sign times other to c.
func (c *Counters) Add(other Counters, sign float64) {
	for service, results := range other.Attempts {
		for result, n := range results {
			c.attempt(service, result, sign*n)
		}
	}
	c.Hedges += sign * other.Hedges
	c.Retries += sign * other.Retries
	c.Processor += time.Duration(sign) * other.Processor
}

// Sent returns the target requests of a service with one of the given results, or with any if none is given.
func (c *Counters) Sent(service string, results ...string) (n float64) {
	for result, count := range c.Attempts[service] {
		if len(results) == 0 {
			n += count
		}
		for _, wanted := range results {
			if result == wanted {
				n += count
			}
		}
	}

	return n
}

func (c *Counters) attempt(service, result string, n float64) {
	if c.Attempts[service] == nil {
		c.Attempts[service] = make(map[string]float64)
	}
	c.Attempts[service][result] += n
}

// Read returns the counters of instances.
func (c *Control) Read(ctx context.Context, instances []Instance) (sum Counters, err error) {
	defer func() { err = Error.Wrap(err) }()

	sum = NewCounters()
	for _, i := range instances {
		body, err := c.call(ctx, http.MethodGet, i.Operator, "/metrics", nil)
		if err != nil {
			return sum, err
		}
		sum.parse(string(body))
		used, err := processorTime(i.Process)
		if err != nil {
			return sum, err
		}
		sum.Processor += used
	}

	return sum, nil
}

var label = regexp.MustCompile(`(\w+)="([^"]*)"`)

// parse adds the counters in a text of Prometheus.
func (c *Counters) parse(text string) {
	lines := bufio.NewScanner(strings.NewReader(text))
	lines.Buffer(nil, len(text)+1)
	for lines.Scan() {
		at := strings.LastIndexByte(lines.Text(), ' ')
		if at < 0 {
			continue
		}
		name, _, _ := strings.Cut(lines.Text()[:at], "{")
		value, err := strconv.ParseFloat(lines.Text()[at+1:], 64)
		if err != nil {
			continue
		}
		switch name {
		case "hickorynotch_target_duration_seconds_count":
			labels := make(map[string]string)
			for _, match := range label.FindAllStringSubmatch(lines.Text()[:at], -1) {
				labels[match[1]] = match[2]
			}
			c.attempt(labels["service"], labels["result"], value)
		case "hickorynotch_target_hedges":
			c.Hedges += value
		case "hickorynotch_target_retries":
			c.Retries += value
		}
	}
}

// processorTime returns the user and system time of a process.
func processorTime(process int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process))
	if err != nil {
		return 0, err
	}

	return parseStat(string(text))
}

// parseStat reads fields 14 and 15. The name in field 2 may contain spaces, so that fields are counted from its end.
func parseStat(text string) (time.Duration, error) {
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) < 13 {
		return 0, fmt.Errorf("process status has %d fields", len(fields))
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)

	return time.Duration(user+system) * tick, err
}
