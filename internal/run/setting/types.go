package setting

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// MaxAddresses is the maximum number of addresses in a list.
const MaxAddresses = 1024

// declare adds a setting and its flag. Resolve calls parse with the text of the flag or of the environment variable.
func (s *Set) declare(name, defaultText, usage string, parse func(string) error, options []Option) *entry {
	e := &entry{name: name, usage: usage, defaultText: defaultText, text: defaultText, parse: parse}
	for _, option := range options {
		option(e)
	}
	s.entries = append(s.entries, e)
	s.flags.Var(e, name, fmt.Sprintf("%s (%s)", usage, e.environmentUsage()))

	return e
}

// String declares a setting that accepts any text.
func (s *Set) String(name, defaultValue, usage string, options ...Option) *string {
	value := defaultValue
	s.declare(name, defaultValue, usage, func(text string) error {
		value = text

		return nil
	}, options)

	return &value
}

// Bool declares a setting that is true or false.
func (s *Set) Bool(name string, defaultValue bool, usage string, options ...Option) *bool {
	value := defaultValue
	e := s.declare(name, strconv.FormatBool(defaultValue), usage, func(text string) (err error) {
		if value, err = strconv.ParseBool(text); err != nil {
			return fmt.Errorf("%q is not true or false", text)
		}

		return nil
	}, options)
	e.isBool = true

	return &value
}

// Int declares a setting that is an integer from minimum to maximum.
func (s *Set) Int(name string, defaultValue, minimum, maximum int, usage string, options ...Option) *int {
	value := defaultValue
	s.declare(name, strconv.Itoa(defaultValue), usage, func(text string) (err error) {
		if value, err = strconv.Atoi(text); err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		if value < minimum || value > maximum {
			return fmt.Errorf("%d is not within %d to %d", value, minimum, maximum)
		}

		return nil
	}, options)

	return &value
}

// Duration declares a setting that is a duration from minimum to maximum.
func (s *Set) Duration(name string, defaultValue, minimum, maximum time.Duration, usage string, options ...Option) *time.Duration {
	value := defaultValue
	s.declare(name, defaultValue.String(), usage, func(text string) (err error) {
		if value, err = time.ParseDuration(text); err != nil {
			return fmt.Errorf("%q is not a duration such as 170ms", text)
		}
		if value < minimum || value > maximum {
			return fmt.Errorf("%s is not within %s to %s", value, minimum, maximum)
		}

		return nil
	}, options)

	return &value
}

// Zone declares a setting that is the name of an availability zone.
func (s *Set) Zone(name string, defaultValue zone.Zone, usage string, options ...Option) *zone.Zone {
	value := defaultValue
	s.declare(name, string(defaultValue), usage, func(text string) error {
		return value.UnmarshalText([]byte(text))
	}, options)

	return &value
}

// AddrPort declares a setting that is an IP address and port. If defaultValue is the zero value, the setting has no default.
func (s *Set) AddrPort(name string, defaultValue netip.AddrPort, usage string, options ...Option) *netip.AddrPort {
	value := defaultValue
	s.declare(name, formatAddrPort(defaultValue), usage, func(text string) (err error) {
		value, err = parseAddrPort(text)

		return err
	}, options)

	return &value
}

// AddrPorts declares a setting that is a comma-separated list of distinct IP addresses with ports.
func (s *Set) AddrPorts(name string, defaultValue []netip.AddrPort, usage string, options ...Option) *[]netip.AddrPort {
	value := defaultValue
	texts := make([]string, 0, len(defaultValue))
	for _, address := range defaultValue {
		texts = append(texts, formatAddrPort(address))
	}
	s.declare(name, strings.Join(texts, ","), usage, func(text string) error {
		value = nil
		if text == "" {
			return nil
		}
		parts := strings.Split(text, ",")
		if len(parts) > MaxAddresses {
			return fmt.Errorf("has %d entries, at most %d are accepted", len(parts), MaxAddresses)
		}
		seen := make(map[netip.AddrPort]bool, len(parts))
		for _, part := range parts {
			address, err := parseAddrPort(strings.TrimSpace(part))
			if err != nil {
				return err
			}
			if seen[address] {
				return fmt.Errorf("%s is listed twice", address)
			}
			seen[address] = true
			value = append(value, address)
		}

		return nil
	}, options)

	return &value
}

func formatAddrPort(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}

	return address.String()
}

func parseAddrPort(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("%q is not an address such as 127.0.0.1:7000", text)
	}

	return address, nil
}
