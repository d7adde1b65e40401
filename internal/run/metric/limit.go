package metric

import "sync"

// maxLabelValues is the maximum number of values of a label whose values are not known here. There are about 20 reasons for refusals.
const maxLabelValues = 48

// otherLabel replaces further values.
const otherLabel = "Other"

// labelLimit limits the number of values of a label, because each value takes memory for as long as the process lives. The zero value is
// ready to use.
type labelLimit struct {
	mu    sync.Mutex
	known map[string]bool
}

// limited returns value if it is one of the first maxLabelValues, otherwise otherLabel.
func (l *labelLimit) limited(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[value] {
		return value
	}
	if len(l.known) >= maxLabelValues {
		return otherLabel
	}
	if l.known == nil {
		l.known = make(map[string]bool)
	}
	l.known[value] = true

	return value
}
