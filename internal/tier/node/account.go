package node

import (
	"slices"
	"strings"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/admission"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/tier/caller"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

const (
	// defaultRevokeBound replaces Settings.RevokeBound if neither it nor ApplyBound is set. It is the usual time within which a
	// configuration has to be in force.
	defaultRevokeBound = 5 * time.Second
	// maxLoggedAccounts limits the accounts that one line names.
	maxLoggedAccounts = 10
)

// callerOptions returns the options of the handler for callers.
func (n *Node) callerOptions() []caller.Option {
	options := []caller.Option{
		caller.WithLog(n.log), caller.WithMetrics(n.metrics), caller.WithLimit(admission.Limit(n.settings.Processor)),
		caller.WithCharge(n.accounts.Charge),
	}
	if n.settings.StrictRevocation {
		options = append(options, caller.WithStrictRevocation(n.configuration.Age, revokeBound(&n.settings)))
	}

	return options
}

// revokeBound returns the time within which the configuration has to be confirmed for its keys to be trusted, if the settings ask for strict
// revocation.
func revokeBound(s *Settings) time.Duration {
	switch {
	case s.RevokeBound > 0:
		return s.RevokeBound
	case s.ApplyBound > 0:
		return s.ApplyBound
	}

	return defaultRevokeBound
}

// logAccounts logs how the client accounts of a configuration that comes into force differ from those before.
func (n *Node) logAccounts(t *route.Table) {
	before := n.loggedTable.Swap(t)
	if before == nil && len(t.Accounts()) == 0 {
		return
	}
	added, newAccounts := keysOnlyIn(t, before)
	withdrawn, oldAccounts := keysOnlyIn(before, t)
	if added+withdrawn == 0 {
		return
	}
	names := slices.Compact(slices.Sorted(slices.Values(slices.Concat(newAccounts, oldAccounts))))
	n.log.Log(event.AccountsChanged, "Version", t.Version(), "Accounts", len(t.Accounts()), "Added", added, "Withdrawn", withdrawn,
		"Names", strings.Join(names[:min(len(names), maxLoggedAccounts)], ","))
}

// keysOnlyIn returns the number of keys that an account has in table, and not in other, and the first few accounts with such keys. Both
// tables may be nil.
func keysOnlyIn(table, other *route.Table) (keys int, accounts []string) {
	if table == nil {
		return 0, nil
	}
	for _, account := range table.Accounts() {
		count := 0
		for _, key := range account.Keys {
			if other != nil {
				if owner, ok := other.AccountOf(key); ok && owner.Name == account.Name {
					continue
				}
			}
			count++
		}
		keys += count
		if count > 0 && len(accounts) < maxLoggedAccounts {
			accounts = append(accounts, account.Name)
		}
	}

	return keys, accounts
}
