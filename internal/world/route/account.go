package route

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/world/region"
)

// KeyHash is the SHA-256 hash of an API key. Only hashes are kept, so that no log, error or dump of the memory shows a key, and looking
// one up takes no time that depends on how much of a key a caller has guessed.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash in hexadecimal digits.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Account is a client account: a customer whose requests carry one of its keys.
type Account struct {
	Name string
	Keys []KeyHash
	// Priority replaces the priority of routes if HasPriority is set.
	Priority    int
	HasPriority bool
	// PerSecond is the number of requests a second that the account may send to all instances together, 0 for no limit, and Burst the
	// number that it may send beyond that at once.
	PerSecond float64
	Burst     float64
	// Regions are the regions in which requests of the account may be served.
	Regions region.Scope
}

// Limited reports whether the account has a quota.
func (a *Account) Limited() bool { return a != nil && a.PerSecond > 0 }

// WithAccounts sets the client accounts. If there are any, requests need a key, except on public routes.
func WithAccounts(accounts []*Account) TableOption {
	return func(t *Table) { t.accounts = accounts }
}

// Accounts returns the client accounts in the order of the configuration.
func (t *Table) Accounts() []*Account { return t.accounts }

// NeedsKey reports whether requests on a route need a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.accounts) > 0 && !r.Public }

// AccountOf returns the account that holds a key, and whether there is one.
func (t *Table) AccountOf(key KeyHash) (*Account, bool) {
	a, ok := t.byKey[key]

	return a, ok
}

// PriorityOf returns the priority of a request of an account, which may be nil, on the route.
func (r *Route) PriorityOf(a *Account) int {
	if a != nil && a.HasPriority {
		return a.Priority
	}

	return r.Priority
}

// ScopeOf returns the regions in which a request of an account, which may be nil, may be served.
func (r *Route) ScopeOf(a *Account) region.Scope {
	if a == nil {
		return r.Regions
	}

	return r.Regions.Intersect(a.Regions)
}

// indexAccounts fills the index of keys and checks the accounts.
func (t *Table) indexAccounts(faults *fault.List) {
	keyCount := 0
	for _, a := range t.accounts {
		keyCount += len(a.Keys)
	}
	t.byKey = make(map[KeyHash]*Account, keyCount)
	names := make(map[string]bool, len(t.accounts))
	for _, a := range t.accounts {
		path := func() string { return "Accounts." + a.Name }
		if a.Name == "" || names[a.Name] {
			faults.Add(path()+".Name", "%q is empty or the name of another account", a.Name)
		}
		names[a.Name] = true
		if !(a.PerSecond >= 0) || !(a.Burst >= 0) {
			faults.Add(path(), "the rate %v or the burst %v is not a number that is at least 0", a.PerSecond, a.Burst)
		}
		for _, key := range a.Keys {
			if other := t.byKey[key]; other != nil && other != a {
				faults.Add(path()+".Keys", "one of the keys is also a key of %q", other.Name)
			}
			t.byKey[key] = a
		}
	}
}
