package entry

import (
	"context"

	"hyssopjunction/objectstore"
)

// bodies keeps large answers of keyed submissions in the object store.
type bodies struct {
	store objectstore.Store
}

// Put stores a body, replacing an older one of the same name.
func (bodies bodies) Put(ctx context.Context, name string, body []byte) error {
	return bodies.store.Put(ctx, objectstore.Name(name), body)
}

// Get returns a body.
func (bodies bodies) Get(ctx context.Context, name string) ([]byte, error) {
	return bodies.store.Get(ctx, objectstore.Name(name))
}

// Delete removes a body; a missing one is no error.
func (bodies bodies) Delete(ctx context.Context, name string) error {
	return bodies.store.Delete(ctx, objectstore.Name(name))
}
