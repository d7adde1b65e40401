package inbound

import (
	"errors"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

// ErrMemory means that the client has sent more than the instance has memory for. Its request was not run.
var ErrMemory = errors.New("there is no memory for the request")

// errEnded ends the reads of a connection that was refused.
var errEnded = errors.New("the connection was refused")

// reason is why a connection was refused or closed.
type reason int32

const (
	none reason = iota
	headTooLarge
	emptyLines
	headTooSlow
	messageTooSlow
	bodyTooSlow
	memoryFull
	connectionsFull
	answerUnread
	answersFull
)

// String returns the reason in metrics and events.
func (r reason) String() string {
	return [...]string{
		"None", "HeadTooLarge", "EmptyLines", "HeadTooSlow", "MessageTooSlow", "BodyTooSlow", "MemoryFull", "ConnectionsFull",
		"AnswerUnread", "AnswersFull",
	}[r]
}

func (r reason) event() event.Event {
	switch r {
	case headTooLarge, emptyLines:
		return event.ClientHeadsRefused
	case memoryFull:
		return event.ClientMemoryFull
	case connectionsFull:
		return event.ClientsFull
	case answerUnread, answersFull:
		return event.ClientAnswersUnread
	default:
		return event.ClientsTooSlow
	}
}

// status returns the status line by which a client is refused, empty if its connection is closed without one.
func (r reason) status() string {
	switch r {
	case headTooLarge:
		return "431 Request Header Fields Too Large"
	case emptyLines:
		return "400 Bad Request"
	case headTooSlow:
		return "408 Request Timeout"
	case memoryFull:
		return "503 Service Unavailable"
	default:
		return ""
	}
}
