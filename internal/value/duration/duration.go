// Package duration provides a duration type that is encoded as text, such as "170ms", in JSON and YAML.
//
// Duration is only for fields of encoded types. Function signatures use time.Duration.
package duration

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as text such as "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String formats d as time.Duration does.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It accepts the syntax of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 170ms", text)
	}
	*d = Duration(parsed)

	return nil
}
