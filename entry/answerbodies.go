package entry

import (
	"context"

	"hyssopjunction/objectstore"
)

// answerBodies stores large answers of keyed submissions in the object store.
type answerBodies struct {
	store objectstore.Store
}

// Put stores a body, replacing an older one of the same name.
func (bodies answerBodies) Put(ctx context.Context, name string, body []byte) error {
	return bodies.store.Put(ctx, objectstore.Name(name), body)
}

// Get returns a body.
func (bodies answerBodies) Get(ctx context.Context, name string) ([]byte, error) {
	return bodies.store.Get(ctx, objectstore.Name(name))
}

// Delete removes a body. It is no error if there is none.
func (bodies answerBodies) Delete(ctx context.Context, name string) error {
	return bodies.store.Delete(ctx, objectstore.Name(name))
}
