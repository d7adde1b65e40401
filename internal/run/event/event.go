// Package event writes numbered log events.
//
// Each event is declared once, with a number that never changes meaning, a name, a level and an explanation for
// operators. docs/EVENTS.md is the printed catalogue, and a test holds the two together. Numbers are grouped by
// area: 1xxx instance, 2xxx configuration, 3xxx membership, 4xxx targets, 5xxx requests, 6xxx platform.
//
//	log := event.New(os.Stderr, timers.Now)
//	log.Log(event.InstanceReady, "AvailabilityZone", "Kochi")
//	// Time=2026-12-04T05:30:00Z Level=Info Event=1002 Name=InstanceReady AvailabilityZone=Kochi
package event

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	kitlog "github.com/go-kit/log"
)

// Level says how urgent an event is.
type Level string

// The levels of events.
const (
	Info    Level = "Info"
	Warning Level = "Warning"
	Error   Level = "Error"
)

// Event is one kind of log line.
type Event struct {
	Number  int
	Name    string
	Level   Level
	Meaning string
}

var catalogue []Event

func declare(number int, name string, level Level, meaning string) Event {
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue = append(catalogue, e)

	return e
}

// Catalogue returns all events by number.
func Catalogue() []Event {
	sorted := slices.Clone(catalogue)
	slices.SortFunc(sorted, func(a, b Event) int { return a.Number - b.Number })

	return sorted
}

// Markdown returns the catalogue as the text of docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n")
	b.WriteString("Printed by `hickorynotch events`. A number keeps its meaning for ever.\n\n")
	b.WriteString("| Event | Name | Level | Meaning |\n|---|---|---|---|\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning)
	}

	return b.String()
}

// Log writes events as logfmt lines. The nil Log discards them.
type Log struct {
	logger kitlog.Logger
	now    func() time.Time
	buffer *Buffer
	// context follows the name of each line.
	context []any
}

// NewBuffered returns a Log that writes to buffer and keeps its rate.
func NewBuffered(buffer *Buffer, now func() time.Time) *Log {
	return &Log{logger: kitlog.NewLogfmtLogger(buffer), now: now, buffer: buffer}
}

// New returns a Log that writes to w and takes the time of each line from now.
func New(w io.Writer, now func() time.Time) *Log {
	return &Log{logger: kitlog.NewLogfmtLogger(kitlog.NewSyncWriter(w)), now: now}
}

// With returns a Log that adds the given keys and values to each line.
func (l *Log) With(keyvals ...any) *Log {
	if l == nil {
		return nil
	}

	return &Log{logger: l.logger, now: l.now, buffer: l.buffer, context: append(slices.Clone(l.context), keyvals...)}
}

// Log writes one line. Keys are in Pascal case.
func (l *Log) Log(e Event, keyvals ...any) {
	if l == nil {
		return
	}
	if l.buffer != nil {
		if !l.buffer.Allow(e.Level) {
			return
		}
		if dropped := l.buffer.Dropped(); dropped > 0 {
			l.write(LinesDropped, "Lines", dropped)
		}
	}
	l.write(e, keyvals...)
}

func (l *Log) write(e Event, keyvals ...any) {
	line := []any{
		"Time", l.now().UTC().Format(time.RFC3339Nano),
		"Level", string(e.Level),
		"Event", e.Number,
		"Name", e.Name,
	}
	// A log line that cannot be written has nowhere to be reported.
	_ = l.logger.Log(append(append(line, l.context...), keyvals...)...)
}
