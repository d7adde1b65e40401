// Package set provides a generic set of comparable values.
//
// The zero value is an empty set that is ready to use:
//
//	var seen set.Set[string]
//	seen.Add("a")
//	seen.Has("a") // true
//
// A Set is not safe for concurrent use.
package set

// Set is an unordered collection of distinct values.
type Set[T comparable] struct {
	items map[T]struct{}
}

// Of returns a set that contains the given values.
func Of[T comparable](values ...T) Set[T] {
	var s Set[T]
	for _, v := range values {
		s.Add(v)
	}

	return s
}

// Add adds v to the set and reports whether it was absent before.
func (s *Set[T]) Add(v T) bool {
	if s.items == nil {
		s.items = make(map[T]struct{})
	}
	if _, ok := s.items[v]; ok {
		return false
	}
	s.items[v] = struct{}{}

	return true
}

// Remove deletes v from the set, if present.
func (s *Set[T]) Remove(v T) {
	delete(s.items, v)
}

// Has reports whether the set contains v.
func (s *Set[T]) Has(v T) bool {
	_, ok := s.items[v]

	return ok
}

// Len returns the number of values in the set.
func (s *Set[T]) Len() int {
	return len(s.items)
}

// Values returns the values of the set in unspecified order.
func (s *Set[T]) Values() []T {
	values := make([]T, 0, len(s.items))
	for v := range s.items {
		values = append(values, v)
	}

	return values
}
