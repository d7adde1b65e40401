// Package zone defines the names of availability zones.
//
// An availability zone is a failure domain with its own instances and targets. The settings of a process state the zone that it
// runs in. Each overlay of the configuration applies to one zone.
package zone

import (
	"fmt"
	"regexp"
)

// Zone is the name of an availability zone, such as "Kochi" or "Logroño".
type Zone string

// namePattern accepts letters of any script, so that place names need no transliteration. Punctuation is limited to - and _,
// because zone names appear in file names and URLs.
var namePattern = regexp.MustCompile(`^\p{L}[\p{L}\p{N}_-]{0,62}$`)

// Check returns an error if z is not a valid availability zone name.
func (z Zone) Check() error {
	if !namePattern.MatchString(string(z)) {
		return fmt.Errorf("%q is not an availability zone name (a letter, then up to 62 letters, digits, - or _)", string(z))
	}

	return nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error if text is not a valid availability zone name.
func (z *Zone) UnmarshalText(text []byte) error {
	*z = Zone(text)

	return z.Check()
}
