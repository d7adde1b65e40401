// Package story tells what happened to one request from the log lines of all instances.
//
//	lines, err := story.Read(os.Stdin, "9c41d07be2a35f68")
//
// Each line of the request is followed by what its instance believed at that moment: the configuration in force, whether the store
// was away, and the last change of each target that the line names.
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

// maxLine bounds a log line. The longest hold an error with an address.
const maxLine = 1 << 20

// line is a log line with its fields.
type line struct {
	at     time.Time
	text   string
	fields map[string]string
}

// Read returns the story of the request with this ID. Lines that are no events are skipped, so that the output of other programs
// may stand between and before them.
func Read(r io.Reader, request string) (out []string, err error) {
	defer func() { err = Error.Wrap(err) }()

	var all []line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			all = append(all, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	slices.SortStableFunc(all, func(a, b line) int { return a.at.Compare(b.at) })
	for i, l := range all {
		if l.fields["Request"] != request {
			continue
		}
		out = append(out, l.text)
		out = append(out, believed(all[:i], &all[i])...)
	}

	return out, nil
}

// parse reads a log line. What stands before its time is left out.
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

// believed returns what the instance of a line held for true, from its earlier lines.
func believed(earlier []line, l *line) (out []string) {
	instance := l.fields["Instance"]
	var configuration, target *line
	away := make(map[string]*line)
	for i := range earlier {
		e := &earlier[i]
		if e.fields["Instance"] != instance {
			continue
		}
		switch e.fields["Name"] {
		case event.InstanceStarting.Name:
			// What an earlier process believed is gone with it.
			configuration, target = nil, nil
			clear(away)
		case event.ConfigurationAdopted.Name:
			configuration = e
		case event.StoreUnavailable.Name:
			away[e.fields["Part"]] = e
		case event.StoreReturned.Name:
			delete(away, e.fields["Part"])
		case event.TargetFound.Name, event.TargetChanged.Name, event.TargetMoved.Name, event.TargetGone.Name:
			if e.fields["Target"] == l.fields["Target"] && e.fields["Target"] != "" {
				target = e
			}
		}
	}
	if configuration != nil {
		out = append(out, fmt.Sprintf("    configuration %s, in force for %v", configuration.fields["Version"], l.at.Sub(configuration.at)))
	}
	for part, e := range away {
		out = append(out, fmt.Sprintf("    store away for %v, seen by %s", l.at.Sub(e.at), part))
	}
	if target != nil {
		out = append(out, fmt.Sprintf("    target %s: %s %v before", target.fields["Target"], target.fields["Name"], l.at.Sub(target.at)))
	}
	slices.Sort(out)

	return out
}
