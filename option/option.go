// Package option provides a type for values that may be absent.
package option

// Option holds a value or is empty. The zero value is empty.
type Option[Value any] struct {
	value   Value
	present bool
}

// Some returns an option that holds value.
func Some[Value any](value Value) Option[Value] {
	return Option[Value]{value: value, present: true}
}

// None returns an option without a value.
func None[Value any]() Option[Value] {
	return Option[Value]{}
}

// Get returns the value and whether there is one. Without a value it returns the zero value.
func (option Option[Value]) Get() (Value, bool) {
	return option.value, option.present
}

// Or returns the value, or fallback if there is none.
func (option Option[Value]) Or(fallback Value) Value {
	if option.present {
		return option.value
	}
	return fallback
}

// Present reports whether there is a value.
func (option Option[Value]) Present() bool {
	return option.present
}
