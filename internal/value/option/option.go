// Package option provides a value that may be absent.
//
// The zero value holds nothing:
//
//	first := option.Some(3)
//	v, ok := first.Value() // 3, true
package option

// Option holds a value of type T or nothing.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an Option that holds v.
func Some[T any](v T) Option[T] {
	return Option[T]{value: v, present: true}
}

// Value returns the held value and whether there is one.
func (o Option[T]) Value() (T, bool) {
	return o.value, o.present
}

// Or returns the held value, or fallback when there is none.
func (o Option[T]) Or(fallback T) T {
	if o.present {
		return o.value
	}

	return fallback
}
