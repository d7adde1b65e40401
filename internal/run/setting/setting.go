// Package setting reads the settings of a process from flags and environment variables and checks them together.
//
// Each setting has a flag and an environment variable with the prefix HICKORYNOTCH_ and the name in upper snake case. A flag
// takes precedence. Texts are parsed only in Resolve, so that all faults of both sources are reported at once:
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

// Prefix begins the name of each environment variable.
const Prefix = "HICKORYNOTCH_"

// Set is the settings of one command. It is declared before the flags are parsed and read after Resolve.
type Set struct {
	flags   *flag.FlagSet
	entries []*entry
	checks  []func(*fault.List)
}

// New returns a Set that declares its flags in flags.
func New(flags *flag.FlagSet) *Set {
	return &Set{flags: flags}
}

// Environment returns the environment variable of the setting with this flag name.
func Environment(name string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Check adds a check that concerns several settings. It runs in Resolve once every setting is valid by itself.
func (s *Set) Check(check func(faults *fault.List)) {
	s.checks = append(s.checks, check)
}

// Resolve takes each setting from its flag, else from the environment, else from its default, and returns all faults. An
// environment variable that is empty counts as not set, because deployment templates write empty values for absent ones.
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

// KeyValues returns the name and the value in force of each setting, for a log event.
func (s *Set) KeyValues() []any {
	keyvals := make([]any, 0, 2*len(s.entries))
	for _, e := range s.entries {
		keyvals = append(keyvals, pascal(e.name), e.text)
	}

	return keyvals
}

// Help returns the help of each setting, with its default and environment variable.
func (s *Set) Help() string {
	var b strings.Builder
	for _, e := range s.entries {
		fmt.Fprintf(&b, "  -%s\n    \t%s (%s)", e.name, e.usage, e.source())
		if e.standard != "" {
			fmt.Fprintf(&b, " (default %s)", e.standard)
		}
		b.WriteString("\n")
	}

	return b.String()
}

func pascal(name string) string {
	var b strings.Builder
	for word := range strings.SplitSeq(name, "-") {
		if word != "" {
			b.WriteString(strings.ToUpper(word[:1]) + word[1:])
		}
	}

	return b.String()
}
