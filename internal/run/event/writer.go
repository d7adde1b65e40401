package event

import "io"

// maxTextBytes is the number of bytes of a library's message that are logged. net/http logs the first bytes of an unsolicited
// response, which are a caller's data and must not appear in the log. The limit cuts that message off before them.
const maxTextBytes = 60

// Writer returns an io.Writer that logs each write as an event e with the start of the written text. It redirects the messages
// of libraries that use the standard logger.
func (l *Log) Writer(e Event) io.Writer {
	return writer{log: l, event: e}
}

type writer struct {
	log   *Log
	event Event
}

// Write implements io.Writer.
func (w writer) Write(text []byte) (int, error) {
	w.log.Log(w.event, "Text", string(text[:min(len(text), maxTextBytes)]))

	return len(text), nil
}
