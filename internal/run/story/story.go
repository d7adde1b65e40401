// Package story reconstructs the history of one request from the log lines of all instances.
//
//	lines, err := story.Read(os.Stdin, "9c41d07be2a35f68")
//
// Each line that names the request is followed by the state that its instance had logged before: the configuration in force,
// the components for which the store was unavailable, and the last change of the target that the line names.
package story

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

// Error is the class of the errors of this package.
var Error = errs.Class("story")

// maxLine is the maximum length of an input line in bytes. The longest log lines contain an error with an address.
const maxLine = 1 << 20

// line is a parsed log line.
type line struct {
	at     time.Time
	text   string
	fields map[string]string
}

// Read returns the history of the request with the given ID: its log lines in order of time, each followed by the state of the
// instance that wrote it. Lines that are not events are skipped, so that r may also contain the output of other programs.
func Read(r io.Reader, request string) (out []string, err error) {
	defer func() { err = Error.Wrap(err) }()

	var events []line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			events = append(events, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	slices.SortStableFunc(events, func(a, b line) int { return a.at.Compare(b.at) })
	for i, l := range events {
		if l.fields["Request"] != request {
			continue
		}
		out = append(out, l.text)
		out = append(out, instanceState(events[:i], &events[i])...)
	}

	return out, nil
}

// parse parses a log line and discards any text before the Time key. It returns false if the line is not an event.
func parse(text string) (l line, ok bool) {
	start := strings.Index(text, "Time=")
	if start < 0 {
		return l, false
	}
	l = line{text: text[start:], fields: make(map[string]string)}
	decoder := logfmt.NewDecoder(strings.NewReader(l.text))
	if !decoder.ScanRecord() {
		return l, false
	}
	for decoder.ScanKeyval() {
		l.fields[string(decoder.Key())] = string(decoder.Value())
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["Time"])
	l.at = at

	return l, err == nil && decoder.Err() == nil && l.fields["Event"] != ""
}

// instanceState returns the state of the instance that wrote l, as far as the earlier lines of that instance show it.
func instanceState(earlier []line, l *line) (out []string) {
	instance := l.fields["Instance"]
	var configuration, target *line
	unavailable := make(map[string]*line)
	for i := range earlier {
		e := &earlier[i]
		if e.fields["Instance"] != instance {
			continue
		}
		switch e.fields["Name"] {
		case event.InstanceStarting.Name:
			// A new process does not have the state of the previous one.
			configuration, target = nil, nil
			clear(unavailable)
		case event.ConfigurationAdopted.Name:
			configuration = e
		case event.StoreUnavailable.Name:
			unavailable[e.fields["Part"]] = e
		case event.StoreReturned.Name:
			delete(unavailable, e.fields["Part"])
		case event.TargetFound.Name, event.TargetChanged.Name, event.TargetMoved.Name, event.TargetGone.Name:
			if e.fields["Target"] == l.fields["Target"] && e.fields["Target"] != "" {
				target = e
			}
		}
	}
	if configuration != nil {
		out = append(out, fmt.Sprintf("    configuration %s, in force for %v", configuration.fields["Version"], l.at.Sub(configuration.at)))
	}
	for component, e := range unavailable {
		out = append(out, fmt.Sprintf("    store unavailable for %v, reported by %s", l.at.Sub(e.at), component))
	}
	if target != nil {
		out = append(out, fmt.Sprintf("    target %s: %s %v before", target.fields["Target"], target.fields["Name"], l.at.Sub(target.at)))
	}
	slices.Sort(out)

	return append(out, regionState(l)...)
}
