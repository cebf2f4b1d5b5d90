// Package set provides a generic set.
package set

import (
	"cmp"
	"slices"
)

// Set is a set of comparable values. The zero value is an empty set that can be read, but Add panics on
// it.
type Set[Value comparable] map[Value]struct{}

// New returns a set of the given values.
func New[Value comparable](values ...Value) Set[Value] {
	members := make(Set[Value], len(values))
	for _, value := range values {
		members[value] = struct{}{}
	}
	return members
}

// Add inserts value and reports whether it was absent.
func (members Set[Value]) Add(value Value) bool {
	if members.Has(value) {
		return false
	}
	members[value] = struct{}{}
	return true
}

// Remove deletes value.
func (members Set[Value]) Remove(value Value) {
	delete(members, value)
}

// Has reports whether value is a member.
func (members Set[Value]) Has(value Value) bool {
	_, ok := members[value]
	return ok
}

// Len returns the number of members.
func (members Set[Value]) Len() int {
	return len(members)
}

// Sorted returns the members in ascending order.
func Sorted[Value cmp.Ordered](members Set[Value]) []Value {
	values := make([]Value, 0, len(members))
	for value := range members {
		values = append(values, value)
	}
	slices.Sort(values)
	return values
}

// SortedKeys returns the keys of a map in ascending order, for iteration in a deterministic order.
func SortedKeys[Key cmp.Ordered, Value any](values map[Key]Value) []Key {
	keys := make([]Key, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
