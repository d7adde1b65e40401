package event

import "io"

// maxText bounds the text of a library's line. net/http logs the start of a reply that no request waits for, which is a caller's
// data and has no place in the log.
const maxText = 60

// Writer returns a writer that logs each write as e, with the start of what is written. It is for libraries that write to the
// standard log.
func (l *Log) Writer(e Event) io.Writer {
	return writer{log: l, event: e}
}

type writer struct {
	log   *Log
	event Event
}

// Write implements io.Writer.
func (w writer) Write(text []byte) (int, error) {
	w.log.Log(w.event, "Text", string(text[:min(len(text), maxText)]))

	return len(text), nil
}
