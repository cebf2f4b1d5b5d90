// Package objectstore is a client of the platform's object store, which holds checkpoints, large responses
// and snapshots.
package objectstore

import "context"

// Name is the name of an object, as in "Snapshot/entry/00000000000000000042".
type Name string

// Store is the object store. Its errors are ErrNotFound, ErrUnavailable and ErrTooLarge. Put and
// Delete may have taken effect when they return ErrUnavailable; both can be repeated.
type Store interface {
	// Put writes the object, replacing an older one of the same name.
	Put(ctx context.Context, name Name, data []byte) error
	// Get returns the object's content.
	Get(ctx context.Context, name Name) ([]byte, error)
	// Delete removes the object. Deleting a missing object is no error.
	Delete(ctx context.Context, name Name) error
	// List returns up to limit names that start with prefix and are greater than after, in ascending
	// order.
	List(ctx context.Context, prefix, after Name, limit int) ([]Name, error)
}
