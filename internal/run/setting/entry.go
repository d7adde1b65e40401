package setting

import (
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
)

// entry is one setting. It implements flag.Value and keeps the text of the flag until Resolve parses it.
type entry struct {
	name     string
	usage    string
	standard string
	text     string
	isSet    bool
	isBool   bool
	required bool
	parse    func(text string) error
	checks   []func() error
}

// Option adds a condition to a setting.
type Option func(*entry)

// Required makes it a fault if neither flag nor environment sets the setting.
func Required() Option {
	return func(e *entry) { e.required = true }
}

// Check adds a condition on the parsed value, which check reads through the pointer that declared the setting.
func Check(check func() error) Option {
	return func(e *entry) { e.checks = append(e.checks, check) }
}

// String returns the text in force. package flag calls it on a zero entry too.
func (e *entry) String() string {
	return e.text
}

// Set records the text of the flag. It accepts any text, because package flag stops at the first error.
func (e *entry) Set(text string) error {
	e.text, e.isSet = text, true

	return nil
}

// IsBoolFlag lets "-name" stand for "-name=true".
func (e *entry) IsBoolFlag() bool {
	return e.isBool
}

// source names the environment variable. Package flag prints it with the usage and adds the default by itself.
func (e *entry) source() string {
	if e.required {
		return "environment " + Environment(e.name) + ", required"
	}

	return "environment " + Environment(e.name)
}

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
