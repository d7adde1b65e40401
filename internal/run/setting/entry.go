package setting

import (
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
)

// entry is one setting. It implements flag.Value and stores the text of the flag, which Resolve parses.
type entry struct {
	name        string
	usage       string
	defaultText string
	text        string
	isSet       bool
	isBool      bool
	required    bool
	parse       func(text string) error
	checks      []func() error
}

// Option adds a constraint to a setting.
type Option func(*entry)

// Required makes Resolve fail if neither the flag nor the environment variable is set.
func Required() Option {
	return func(e *entry) { e.required = true }
}

// Check adds a validation of the parsed value. The check function reads the value through the pointer that the declaration of
// the setting returned.
func Check(check func() error) Option {
	return func(e *entry) { e.checks = append(e.checks, check) }
}

// String returns the current value as text. It must work on a zero entry, because package flag calls it on one.
func (e *entry) String() string {
	return e.text
}

// Set stores the text of the flag. It accepts any text, because package flag stops at the first error; Resolve parses the text.
func (e *entry) Set(text string) error {
	e.text, e.isSet = text, true

	return nil
}

// IsBoolFlag tells package flag that "-name" is short for "-name=true".
func (e *entry) IsBoolFlag() bool {
	return e.isBool
}

// environmentUsage returns the part of the usage text that names the environment variable. It leaves out the default, which
// package flag appends itself.
func (e *entry) environmentUsage() string {
	if e.required {
		return "environment " + Environment(e.name) + ", required"
	}

	return "environment " + Environment(e.name)
}

// resolve sets the value from the flag or the environment variable, validates it, and adds the errors to faults under the name of
// the source.
func (e *entry) resolve(lookup func(string) (string, bool), faults *fault.List) {
	path := "-" + e.name
	if !e.isSet {
		if text, ok := lookup(Environment(e.name)); ok && text != "" {
			e.text = text
			e.isSet = true
			path = Environment(e.name)
		}
	}
	if !e.isSet {
		if e.required {
			faults.Add(path, "must be set (environment: %s)", Environment(e.name))
		}

		return
	}
	if err := e.parse(e.text); err != nil {
		faults.Add(path, "%s", err)

		return
	}
	for _, check := range e.checks {
		if err := check(); err != nil {
			faults.Add(path, "%s", err)
		}
	}
}
