// Package event writes numbered log events.
//
// Each event is declared once, with a number whose meaning never changes, a name, a level and an explanation for operators.
// docs/EVENTS.md is the catalogue as printed by this package, and a test checks that the two agree. Numbers are grouped by area:
// 1xxx instance, 2xxx configuration, 3xxx membership, 4xxx targets, 5xxx requests, 6xxx platform.
//
//	log := event.New(os.Stderr, timers.Now)
//	log.Log(event.InstanceReady, "AvailabilityZone", "Kochi")
//	// Time=2026-12-04T05:30:00Z Level=Info Event=1002 Name=InstanceReady AvailabilityZone=Kochi
package event

import (
	"fmt"
	"io"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	kitlog "github.com/go-kit/log"
)

// Level is the severity of an event.
type Level string

// The levels in order of severity.
const (
	Info    Level = "Info"
	Warning Level = "Warning"
	Error   Level = "Error"
)

// Event is one kind of log line. Meaning is its explanation for operators.
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

// Catalogue returns all events in order of their numbers.
func Catalogue() []Event {
	sorted := slices.Clone(catalogue)
	slices.SortFunc(sorted, func(a, b Event) int { return a.Number - b.Number })

	return sorted
}

// Markdown returns the catalogue in Markdown, which is the content of docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n")
	b.WriteString("Printed by `hickorynotch events`. The meaning of a number never changes.\n\n")
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
	// context contains the keys and values that follow Name in each line.
	context []any
}

// NewBuffered returns a Log that writes to buffer and obeys its rate limits. It calls now for the time of each line.
func NewBuffered(buffer *Buffer, now func() time.Time) *Log {
	return &Log{logger: kitlog.NewLogfmtLogger(buffer), now: now, buffer: buffer}
}

// New returns a Log that writes to w without buffering. It calls now for the time of each line.
func New(w io.Writer, now func() time.Time) *Log {
	return &Log{logger: kitlog.NewLogfmtLogger(kitlog.NewSyncWriter(w)), now: now}
}

// With returns a copy of l that adds the given keys and values to each line.
func (l *Log) With(keyvals ...any) *Log {
	if l == nil {
		return nil
	}

	return &Log{logger: l.logger, now: l.now, buffer: l.buffer, context: append(slices.Clone(l.context), keyvals...)}
}

// Log writes one line for e with the given keys and values. Keys are in Pascal case.
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

// maxStackBytes is the size to which the stack in a PanicRecovered line is cut.
const maxStackBytes = 2 << 10

// Recovered logs a panic, of which recovered is the value, and returns it as an error. Without a panic, it returns nil. It is called
// in the goroutines that handle a single request or message, so that one that is malformed never ends the process:
//
//	defer func() { err = errors.Join(err, log.Recovered(recover(), "Peer")) }()
func (l *Log) Recovered(recovered any, part string, keyvals ...any) error {
	if recovered == nil {
		return nil
	}
	stack := debug.Stack()
	l.Log(PanicRecovered, append([]any{
		"Part", part, "Panic", fmt.Sprint(recovered), "Stack", string(stack[:min(len(stack), maxStackBytes)]),
	}, keyvals...)...)

	return fmt.Errorf("%s: unexpected failure: %v", part, recovered)
}

func (l *Log) write(e Event, keyvals ...any) {
	line := []any{
		"Time", l.now().UTC().Format(time.RFC3339Nano),
		"Level", string(e.Level),
		"Event", e.Number,
		"Name", e.Name,
	}
	// A failure of the log output cannot be reported anywhere.
	_ = l.logger.Log(append(append(line, l.context...), keyvals...)...)
}
