package standin

import (
	"bytes"
	"context"
	"strings"
	"sync"

	"hyssopjunction/clock"
	"hyssopjunction/objectstore"
	"hyssopjunction/set"
)

// DefaultObjectBytes is the default limit of an object's size.
const DefaultObjectBytes = 64 << 20

// ObjectsOptions configures Objects.
type ObjectsOptions struct {
	Clock clock.Clock
	// Seed determines which calls fail or lose their answer.
	Seed uint64
	// ObjectBytes is the largest size of an object; 0 takes the default.
	ObjectBytes int
}

// ObjectsCounts counts the calls of Objects.
type ObjectsCounts struct {
	Puts    int
	Gets    int
	Deletes int
	Lists   int
	Refused int
	Lost    int
}

// Objects is an in-memory objectstore.Store. It is safe for concurrent use.
type Objects struct {
	options  ObjectsOptions
	injector *injector

	mu     sync.Mutex
	values map[objectstore.Name][]byte
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
		values:   make(map[objectstore.Name][]byte),
	}
}

// Faults returns the faults in force.
func (objects *Objects) Faults() StoreFaults {
	return objects.injector.get()
}

// SetFaults replaces the faults in force. It returns ErrBadFault.
func (objects *Objects) SetFaults(faults StoreFaults) error {
	return objects.injector.update(replaceWith(faults))
}

// UpdateFaults changes the faults in force. If change returns an error or the result is out of
// range, the faults stay as they are.
func (objects *Objects) UpdateFaults(change func(faults *StoreFaults) error) error {
	return objects.injector.update(change)
}

// Put writes the object, replacing an older one of the same name.
func (objects *Objects) Put(ctx context.Context, name objectstore.Name, value []byte) error {
	if len(value) > objects.options.ObjectBytes {
		return objectstore.ErrTooLarge{Name: name, Bytes: len(value), Limit: objects.options.ObjectBytes}
	}
	return objects.applyWrite(ctx, func() {
		objects.counts.Puts++
		objects.values[name] = bytes.Clone(value)
	})
}

// Get returns the object's content.
func (objects *Objects) Get(ctx context.Context, name objectstore.Name) ([]byte, error) {
	if err := objects.admit(ctx); err != nil {
		return nil, err
	}
	objects.mu.Lock()
	defer objects.mu.Unlock()
	objects.counts.Gets++
	value, ok := objects.values[name]
	if !ok {
		return nil, objectstore.ErrNotFound{Name: name}
	}
	return bytes.Clone(value), nil
}

// Delete removes the object. Deleting a missing object is no error.
func (objects *Objects) Delete(ctx context.Context, name objectstore.Name) error {
	return objects.applyWrite(ctx, func() {
		objects.counts.Deletes++
		delete(objects.values, name)
	})
}

// List returns up to limit names that start with prefix and are greater than after, in ascending
// order. A limit of zero or less returns no names.
func (objects *Objects) List(ctx context.Context, prefix, after objectstore.Name, limit int) ([]objectstore.Name, error) {
	if err := objects.admit(ctx); err != nil {
		return nil, err
	}
	objects.mu.Lock()
	defer objects.mu.Unlock()
	objects.counts.Lists++
	names := []objectstore.Name{}
	for _, name := range set.SortedKeys(objects.values) {
		if len(names) >= limit {
			break
		}
		if name > after && strings.HasPrefix(string(name), string(prefix)) {
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

// applyWrite applies a write under the faults in force.
func (objects *Objects) applyWrite(ctx context.Context, write func()) error {
	if err := objects.admit(ctx); err != nil {
		return err
	}
	objects.mu.Lock()
	write()
	objects.mu.Unlock()
	if !objects.injector.afterCall(ctx, true) {
		return nil
	}
	objects.mu.Lock()
	defer objects.mu.Unlock()
	objects.counts.Lost++
	return errAnswerLost{cause: objectstore.ErrUnavailable{Reason: "answer lost", RetryAfter: outageRetry}}
}

func (objects *Objects) admit(ctx context.Context) error {
	switch objects.injector.beforeCall(ctx) {
	case refused:
		objects.mu.Lock()
		defer objects.mu.Unlock()
		objects.counts.Refused++
		return objectstore.ErrUnavailable{Reason: "stand-in refuses calls", RetryAfter: outageRetry}
	case cancelled:
		return objectstore.ErrUnavailable{Reason: context.Cause(ctx).Error(), RetryAfter: outageRetry}
	default:
		return nil
	}
}
