package caller

import "sync"

// accountLoad counts the requests in flight of each client account. The zero value is ready to use. It holds no more accounts than there
// are requests in flight.
type accountLoad struct {
	mu       sync.Mutex
	inFlight map[string]int
}

// counts returns the number of requests in flight of an account, and the number of accounts with requests in flight, including this one.
func (l *accountLoad) counts(account string) (ofAccount, accounts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ofAccount, accounts = l.inFlight[account], len(l.inFlight)
	if ofAccount == 0 {
		accounts++
	}

	return ofAccount, accounts
}

// begin counts a request of an account until the returned function is called.
func (l *accountLoad) begin(account string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight == nil {
		l.inFlight = make(map[string]int)
	}
	l.inFlight[account]++

	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.inFlight[account]--; l.inFlight[account] <= 0 {
			delete(l.inFlight, account)
		}
	}
}
