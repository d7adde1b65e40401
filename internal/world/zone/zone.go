// Package zone names availability zones.
//
// An availability zone is a failure domain with its own instances and targets. A process learns its zone from its
// settings; a zone is also the site that a configuration overlay applies to.
package zone

import (
	"fmt"
	"regexp"
)

// Zone is the name of an availability zone, such as "Kochi" or "Logroño".
type Zone string

// nameShape admits letters of any script, so that place names need no transcription. Zone names appear in file names and URLs.
var nameShape = regexp.MustCompile(`^\p{L}[\p{L}\p{N}_-]{0,62}$`)

// Check returns an error if z is not a valid name.
func (z Zone) Check() error {
	if !nameShape.MatchString(string(z)) {
		return fmt.Errorf("%q is not an availability zone name (a letter, then up to 62 letters, digits, - or _)", string(z))
	}

	return nil
}

// UnmarshalText implements encoding.TextUnmarshaler and checks the name.
func (z *Zone) UnmarshalText(text []byte) error {
	*z = Zone(text)

	return z.Check()
}
