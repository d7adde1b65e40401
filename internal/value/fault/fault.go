// Package fault collects the faults of an input so that all of them are reported at once.
//
// A fault names the file, the path of the field and what is wrong:
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

// Fault is one thing that is wrong with an input.
type Fault struct {
	File    string
	Path    string
	Message string
}

// Error returns the fault as "file: path: message", without the parts that are empty.
func (f Fault) Error() string {
	parts := make([]string, 0, 3)
	for _, part := range []string{f.File, f.Path, f.Message} {
		if part != "" {
			parts = append(parts, part)
		}
	}

	return strings.Join(parts, ": ")
}

// List is a collection of faults. The zero value is empty.
type List struct {
	faults []Fault
}

// Add records a fault of the field at path.
func (l *List) Add(path, format string, args ...any) {
	l.faults = append(l.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Merge records all faults of other, with path put before their paths.
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

// In returns a copy of the list in which every fault without a file names this one.
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

// Faults returns the recorded faults in the order in which they were added.
func (l List) Faults() []Fault {
	return l.faults
}

// Err returns nil if the list is empty, and otherwise an error with one line for each fault.
func (l List) Err() error {
	errs := make([]error, 0, len(l.faults))
	for _, f := range l.faults {
		errs = append(errs, f)
	}

	return errors.Join(errs...)
}
