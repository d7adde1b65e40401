// Package duration provides a time.Duration that is written as text ("170ms") in JSON and YAML.
//
// Signatures use time.Duration; Duration is for the fields of wire types only.
package duration

import (
	"fmt"
	"time"
)

// Duration is a time.Duration with a text form such as "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the text form of d.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It accepts what time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 170ms", text)
	}
	*d = Duration(parsed)

	return nil
}
