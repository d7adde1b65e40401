// Package fault collects the validation errors of an input, so that all of them are reported and not only the first.
//
// A fault consists of the file name, the path of the invalid field, and a message:
//
//	var faults fault.List
//	faults.Add("Services.catalogue.Deadline", "must be positive")
//	err := faults.In("base.yaml").Err()
//	// base.yaml: Services.catalogue.Deadline: must be positive
package fault

import (
	"errors"
	"fmt"
	"strings"
)

// Fault is one validation error. File and Path are empty if they are not known or do not apply.
type Fault struct {
	File    string
	Path    string
	Message string
}

// Error formats the fault as "file: path: message" and omits empty parts.
func (f Fault) Error() string {
	parts := make([]string, 0, 3)
	for _, part := range []string{f.File, f.Path, f.Message} {
		if part != "" {
			parts = append(parts, part)
		}
	}

	return strings.Join(parts, ": ")
}

// List is an ordered list of faults. The zero value is an empty list.
type List struct {
	faults []Fault
}

// Add appends a fault of the field at path. The message is formatted with fmt.Sprintf.
func (l *List) Add(path, format string, args ...any) {
	l.faults = append(l.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Merge appends the faults of other, each with path as a prefix of its own path. An empty path adds no prefix.
func (l *List) Merge(path string, other List) {
	for _, f := range other.faults {
		switch {
		case path == "":
		case f.Path == "":
			f.Path = path
		default:
			f.Path = path + "." + f.Path
		}
		l.faults = append(l.faults, f)
	}
}

// In returns a copy of the list in which File is set to file for every fault that has no file yet.
func (l List) In(file string) List {
	named := List{faults: make([]Fault, 0, len(l.faults))}
	for _, f := range l.faults {
		if f.File == "" {
			f.File = file
		}
		named.faults = append(named.faults, f)
	}

	return named
}

// Faults returns the faults in the order in which they were added.
func (l List) Faults() []Fault {
	return l.faults
}

// Err returns an error with one line for each fault, or nil if the list is empty.
func (l List) Err() error {
	errs := make([]error, 0, len(l.faults))
	for _, f := range l.faults {
		errs = append(errs, f)
	}

	return errors.Join(errs...)
}
