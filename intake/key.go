package intake

import (
	"fmt"
	"strings"

	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

const (
	// Table holds what callers asked for: submissions and cancellations. Rows are written once.
	Table store.Table = "inbox"
	// StateTable holds the state of each job under its id. Only the leader writes it.
	StateTable store.Table = "run"
)

// Kind tells what a row of Table is.
type Kind string

// Kinds of rows. They precede the job's id in the key.
const (
	Submission   Kind = "j"
	Cancellation Kind = "c"
)

// ErrBadKey reports a row of Table whose key has another form.
type ErrBadKey struct {
	Key string
}

// Error describes the key.
func (err ErrBadKey) Error() string { return fmt.Sprintf("key %q of the inbox is not known", err.Key) }

// ParseKey returns the kind and the job of a row of Table. Error: ErrBadKey.
func ParseKey(key string) (Kind, workflow.ID, error) {
	kind, id, ok := strings.Cut(key, "/")
	if !ok || id == "" || (Kind(kind) != Submission && Kind(kind) != Cancellation) {
		return "", "", ErrBadKey{Key: key}
	}
	return Kind(kind), workflow.ID(id), nil
}

func ref(kind Kind, id workflow.ID) store.Ref {
	return store.Ref{Table: Table, Key: string(kind) + "/" + string(id)}
}
