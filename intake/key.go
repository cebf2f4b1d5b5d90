package intake

import (
	"fmt"
	"strings"

	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

const (
	// Table holds the submissions and cancellations of callers. Rows are written once.
	Table store.Table = "inbox"
	// StateTable holds the state of each job under its id. Only the leader writes it.
	StateTable store.Table = "run"
)

// Kind is the kind of a row of Table.
type Kind string

// Kinds of rows. The key of a row is its kind, a slash and the job's id.
const (
	Submission   Kind = "j"
	Cancellation Kind = "c"
)

// ErrBadKey reports a row of Table whose key cannot be parsed.
type ErrBadKey struct {
	Key string
}

// Error names the key.
func (err ErrBadKey) Error() string { return fmt.Sprintf("key %q of the inbox is not known", err.Key) }

// ParseKey returns the kind and the job of a row of Table from its key. Error: ErrBadKey.
func ParseKey(key string) (Kind, workflow.ID, error) {
	kind, id, ok := strings.Cut(key, "/")
	if !ok || id == "" || (Kind(kind) != Submission && Kind(kind) != Cancellation) {
		return "", "", ErrBadKey{Key: key}
	}
	return Kind(kind), workflow.ID(id), nil
}

// ref names the row of a job in Table.
func ref(kind Kind, id workflow.ID) store.Ref {
	return store.Ref{Table: Table, Key: string(kind) + "/" + string(id)}
}
