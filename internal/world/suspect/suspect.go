// Package suspect holds what instances tell each other about queries that seem to crash the targets that run them.
//
// Each instance keeps the records of its own evidence and merges those of the others. The result does not depend on the order in which
// records arrive, so that any instance can pass them on.
package suspect

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Fingerprint identifies the queries that ask the same of the targets: those with the same method, host, path and body.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of the queries with the given content.
func NewFingerprint(content ...[]byte) Fingerprint {
	h := sha256.New()
	for _, c := range content {
		// The length separates the parts, so that moving bytes from one to the next yields another fingerprint.
		_, _ = fmt.Fprintf(h, "%d:", len(c))
		_, _ = h.Write(c)
	}

	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(f)) {
		return fmt.Errorf("fingerprint has %d characters, not %d", len(text), hex.EncodedLen(len(f)))
	}
	_, err := hex.Decode(f[:], text)

	return err
}

const (
	// MaxCrashes is the maximum number of crashes in a record. A query for 100 shards can crash as many targets at first.
	MaxCrashes = 128
	// MaxBlocks is the maximum of Record.Blocks.
	MaxBlocks = 16
	// MaxLeft is the maximum of Record.Left.
	MaxLeft  = 48 * time.Hour
	maxEpoch = 1 << 30
	// maxProcessBytes is the maximum length of the identity of a process.
	maxProcessBytes = 256
)

// Crash is the end of a target's process while it had the query.
type Crash struct {
	// Process identifies the process.
	Process string
	// Alone is set if the query was a suspect when the target was sent it, and no other request of the query was under way. The crash is
	// then independent of the crashes before.
	Alone bool
}

// Record is the evidence against a query.
type Record struct {
	Fingerprint Fingerprint
	// Epoch counts how often the query was cleared. A record of a later epoch replaces those of earlier ones.
	Epoch int
	// Crashes are the crashes in this epoch, each of another process.
	Crashes []Crash
	// Blocks counts how often the query was blocked in this epoch, and Left is how much longer it is.
	Blocks int
	Left   time.Duration
}

// Check returns an error if a field is invalid.
func (r *Record) Check() error {
	switch {
	case r.Fingerprint == Fingerprint{}:
		return errors.New("field Fingerprint is empty")
	case r.Epoch < 0 || r.Epoch > maxEpoch:
		return fmt.Errorf("field Epoch: %d is not between 0 and %d", r.Epoch, maxEpoch)
	case len(r.Crashes) > MaxCrashes:
		return fmt.Errorf("field Crashes: %d, at most %d", len(r.Crashes), MaxCrashes)
	case r.Blocks < 0 || r.Blocks > MaxBlocks:
		return fmt.Errorf("field Blocks: %d is not between 0 and %d", r.Blocks, MaxBlocks)
	case r.Left < 0 || r.Left > MaxLeft:
		return fmt.Errorf("field Left: %v is not between 0 and %v", r.Left, MaxLeft)
	}
	for _, c := range r.Crashes {
		if c.Process == "" || len(c.Process) > maxProcessBytes {
			return fmt.Errorf("field Crashes: a process of %d characters, not between 1 and %d", len(c.Process), maxProcessBytes)
		}
	}

	return nil
}

// UnmarshalJSON decodes and validates a Record.
func (r *Record) UnmarshalJSON(data []byte) error {
	type plain Record
	if err := json.Unmarshal(data, (*plain)(r)); err != nil {
		return err
	}

	return r.Check()
}
