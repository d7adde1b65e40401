// Package setting reads the settings of a process from flags and environment variables and validates them together.
//
// Each setting has a flag and an environment variable, whose name is HICKORYNOTCH_ and the flag name in upper snake case. The flag
// takes precedence. Values are parsed only in Resolve, so that the errors of all flags and variables are reported together:
//
//	settings := setting.New(flags)
//	peer := settings.AddrPort("peer-address", netip.AddrPort{}, "address for peers", setting.Required())
//	// flags.Parse, for example by google/subcommands
//	err := settings.Resolve(os.LookupEnv)
//	// -peer-address: must be set (environment: HICKORYNOTCH_PEER_ADDRESS)
package setting

import (
	"flag"
	"fmt"
	"strings"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/value/fault"
)

// Error is the class of the errors of this package.
var Error = errs.Class("setting")

// Prefix is the prefix of the names of all environment variables.
const Prefix = "HICKORYNOTCH_"

// Set contains the settings of one command. Settings are declared before the flags are parsed, and their values are valid after
// Resolve.
type Set struct {
	flags   *flag.FlagSet
	entries []*entry
	checks  []func(*fault.List)
}

// New returns an empty Set that defines its flags in flags.
func New(flags *flag.FlagSet) *Set {
	return &Set{flags: flags}
}

// Environment returns the name of the environment variable for the flag with the given name.
func Environment(name string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Check adds a validation across several settings. Resolve calls it only if each setting is valid by itself.
func (s *Set) Check(check func(faults *fault.List)) {
	s.checks = append(s.checks, check)
}

// Resolve sets each setting from its flag, or else from its environment variable, or else from its default, and returns an error
// that lists all faults. An empty environment variable is treated as not set, because deployment templates write empty values
// for settings that are absent.
func (s *Set) Resolve(lookup func(name string) (string, bool)) error {
	var faults fault.List
	for _, e := range s.entries {
		e.resolve(lookup, &faults)
	}
	if len(faults.Faults()) == 0 {
		for _, check := range s.checks {
			check(&faults)
		}
	}

	return Error.Wrap(faults.Err())
}

// KeyValues returns the name of each setting in Pascal case, followed by its value as text, as key-value pairs for a log event.
func (s *Set) KeyValues() []any {
	keyvals := make([]any, 0, 2*len(s.entries))
	for _, e := range s.entries {
		keyvals = append(keyvals, pascalCase(e.name), e.text)
	}

	return keyvals
}

// Help returns the usage text of all settings, with their environment variables and defaults.
func (s *Set) Help() string {
	var b strings.Builder
	for _, e := range s.entries {
		fmt.Fprintf(&b, "  -%s\n    \t%s (%s)", e.name, e.usage, e.environmentUsage())
		if e.defaultText != "" {
			fmt.Fprintf(&b, " (default %s)", e.defaultText)
		}
		b.WriteString("\n")
	}

	return b.String()
}

func pascalCase(name string) string {
	var b strings.Builder
	for word := range strings.SplitSeq(name, "-") {
		if word != "" {
			b.WriteString(strings.ToUpper(word[:1]) + word[1:])
		}
	}

	return b.String()
}
