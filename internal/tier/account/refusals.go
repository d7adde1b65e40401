package account

// maxRefused is the number of accounts whose refusals are counted. A metric for each of thousands of accounts would be too large.
const maxRefused = 20

// refusals counts the refused requests of the accounts that are refused most. A new account replaces the one with the fewest refusals and
// goes on from its number (the space-saving algorithm), so that accounts with many refusals stay, and no count is too low. The zero value
// is ready to use.
type refusals struct {
	counts map[string]uint64
}

func (r *refusals) count(account string) {
	if r.counts == nil {
		r.counts = make(map[string]uint64, maxRefused)
	}
	if _, ok := r.counts[account]; !ok && len(r.counts) >= maxRefused {
		least := ""
		for name, n := range r.counts {
			if least == "" || n < r.counts[least] {
				least = name
			}
		}
		r.counts[account] = r.counts[least]
		delete(r.counts, least)
	}
	r.counts[account]++
}

// Refused calls yield with the accounts that are refused most and their numbers of refused requests.
func (s *Service) Refused(yield func(account string, requests float64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for account, n := range s.refusals.counts {
		yield(account, float64(n))
	}
}
