package standin

import (
	"bytes"
	"context"
	"strings"
	"sync"

	"hyssopjunction/clock"
	"hyssopjunction/set"
)

// DefaultObjectBytes is the default limit of an object's size.
const DefaultObjectBytes = 64 << 20

// ObjectsOptions configure Objects.
type ObjectsOptions struct {
	Clock clock.Clock
	// Seed determines which calls fail or lose their answer.
	Seed uint64
	// ObjectBytes is the largest size of an object; 0 takes the default.
	ObjectBytes int
}

// ObjectsCounts count the calls of Objects.
type ObjectsCounts struct {
	Puts    int
	Gets    int
	Deletes int
	Lists   int
	Refused int
	Lost    int
}

// Objects is an in-memory object store. It is safe for concurrent use.
type Objects struct {
	options  ObjectsOptions
	injector *injector

	mu     sync.Mutex
	values map[string][]byte
	counts ObjectsCounts
}

// NewObjects returns an empty, healthy object store.
func NewObjects(options ObjectsOptions) *Objects {
	if options.ObjectBytes == 0 {
		options.ObjectBytes = DefaultObjectBytes
	}
	return &Objects{
		options:  options,
		injector: newInjector(options.Clock, options.Seed),
		values:   make(map[string][]byte),
	}
}

// Faults returns the faults in force.
func (objects *Objects) Faults() StoreFaults {
	return objects.injector.get()
}

// SetFaults replaces the faults in force. It returns ErrBadFault.
func (objects *Objects) SetFaults(faults StoreFaults) error {
	return objects.injector.update(replaceBy(faults))
}

// UpdateFaults changes the faults in force. If change returns an error or the result is out of
// range, the faults stay as they are.
func (objects *Objects) UpdateFaults(change func(faults *StoreFaults) error) error {
	return objects.injector.update(change)
}

// Put stores value under name, replacing an older value. Its errors are ErrObjectTooLarge and
// ErrObjectsUnavailable.
func (objects *Objects) Put(ctx context.Context, name string, value []byte) error {
	if len(value) > objects.options.ObjectBytes {
		return ErrObjectTooLarge{Name: name, Bytes: len(value), Limit: objects.options.ObjectBytes}
	}
	return objects.change(ctx, func() {
		objects.counts.Puts++
		objects.values[name] = bytes.Clone(value)
	})
}

// Get returns the value stored under name. Its errors are ErrNoSuchObject and
// ErrObjectsUnavailable.
func (objects *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := objects.admit(ctx); err != nil {
		return nil, err
	}
	objects.mu.Lock()
	defer objects.mu.Unlock()
	objects.counts.Gets++
	value, ok := objects.values[name]
	if !ok {
		return nil, ErrNoSuchObject{Name: name}
	}
	return bytes.Clone(value), nil
}

// Delete removes the object; a missing one is no error. Its error is ErrObjectsUnavailable.
func (objects *Objects) Delete(ctx context.Context, name string) error {
	return objects.change(ctx, func() {
		objects.counts.Deletes++
		delete(objects.values, name)
	})
}

// List returns the names that start with prefix in ascending order. Its error is
// ErrObjectsUnavailable.
func (objects *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	if err := objects.admit(ctx); err != nil {
		return nil, err
	}
	objects.mu.Lock()
	defer objects.mu.Unlock()
	objects.counts.Lists++
	names := []string{}
	for _, name := range set.SortedKeys(objects.values) {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	return names, nil
}

// Counts returns the number of calls so far.
func (objects *Objects) Counts() ObjectsCounts {
	objects.mu.Lock()
	defer objects.mu.Unlock()
	return objects.counts
}

// change applies a write under the faults in force.
func (objects *Objects) change(ctx context.Context, write func()) error {
	if err := objects.admit(ctx); err != nil {
		return err
	}
	objects.mu.Lock()
	write()
	objects.mu.Unlock()
	if !objects.injector.after(ctx, true) {
		return nil
	}
	objects.mu.Lock()
	defer objects.mu.Unlock()
	objects.counts.Lost++
	return ErrObjectsUnavailable{Reason: "answer lost", Unknown: true}
}

func (objects *Objects) admit(ctx context.Context) error {
	switch objects.injector.before(ctx) {
	case refused:
		objects.mu.Lock()
		defer objects.mu.Unlock()
		objects.counts.Refused++
		return ErrObjectsUnavailable{Reason: "stand-in refuses calls"}
	case abandoned:
		return ErrObjectsUnavailable{Reason: context.Cause(ctx).Error()}
	default:
		return nil
	}
}
