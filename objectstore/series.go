package objectstore

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// listPageSize is the largest number of names that one List call returns.
const listPageSize = 200

var badSnapshots = metrics.NewCounter("hyssopjunction_objectstore_bad_snapshots_total")

// Series is a sequence of snapshots whose names have a common prefix and increasing numbers. Several
// daemons may write to it: if two of them use the same number at the same time, the later write replaces
// the earlier one.
type Series struct {
	store  Store
	prefix Name
	keep   int
}

// NewSeries returns the series with the prefix, as in "Snapshot/entry/". Write keeps the newest keep
// snapshots, at least 2, so that an intact one remains after an interrupted write.
func NewSeries(store Store, prefix Name, keep int) *Series {
	return &Series{store: store, prefix: prefix, keep: max(keep, 2)}
}

// nameOf returns the name of a snapshot. Names sort in the order of their sequence numbers.
func (series *Series) nameOf(sequence Sequence) Name {
	return series.prefix + Name(fmt.Sprintf("%020d", uint64(sequence)))
}

// parseSequence returns the sequence number, the last 20 characters, of a name that nameOf returned, and false for
// other names.
func (series *Series) parseSequence(name Name) (Sequence, bool) {
	if len(name) != len(series.prefix)+20 {
		return 0, false
	}
	number, err := strconv.ParseUint(string(name[len(series.prefix):]), 10, 64)
	return Sequence(number), err == nil
}

// listNames returns the names of all snapshots in ascending order.
func (series *Series) listNames(ctx context.Context) ([]Name, error) {
	var names []Name
	after := Name("")
	for {
		page, err := series.store.List(ctx, series.prefix, after, listPageSize)
		if err != nil {
			return nil, err
		}
		for _, name := range page {
			if _, ok := series.parseSequence(name); ok {
				names = append(names, name)
			}
		}
		if len(page) < listPageSize {
			return names, nil
		}
		after = page[len(page)-1]
	}
}

// Newest returns the newest intact snapshot, or ErrNotFound. Truncated and corrupted snapshots are skipped
// and logged, and so are stale ones, which are stored under the name of another.
func (series *Series) Newest(ctx context.Context) (Snapshot, error) {
	names, err := series.listNames(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	for _, name := range slices.Backward(names) {
		snapshot, err := series.read(ctx, name)
		switch {
		case err == nil:
			return snapshot, nil
		case IsErrBadSnapshot(err):
			badSnapshots.Inc()
			klog.InfoS("snapshot skipped", "Name", name, "Reason", err.Error())
		case IsErrNotFound(err):
		default:
			return Snapshot{}, err
		}
	}
	return Snapshot{}, ErrNotFound{Name: series.prefix}
}

// read reads and decodes a snapshot. It returns ErrBadSnapshot if the content has another sequence number
// than the name.
func (series *Series) read(ctx context.Context, name Name) (Snapshot, error) {
	data, err := series.store.Get(ctx, name)
	if err != nil {
		return Snapshot{}, err
	}
	snapshot, err := Decode(name, data)
	if err != nil {
		return Snapshot{}, err
	}
	if want, _ := series.parseSequence(name); snapshot.Sequence != want {
		return Snapshot{}, ErrBadSnapshot{Name: name, Reason: fmt.Sprintf("content is of snapshot %d", snapshot.Sequence)}
	}
	return snapshot, nil
}

// Write stores the payload under the next name, reads it back, and deletes the snapshots that are older
// than the newest keep ones. If the new snapshot cannot be read back, none is deleted.
func (series *Series) Write(ctx context.Context, payload []byte) (Sequence, error) {
	names, err := series.listNames(ctx)
	if err != nil {
		return 0, err
	}
	next := Sequence(1)
	if len(names) > 0 {
		last, _ := series.parseSequence(names[len(names)-1])
		next = last + 1
	}
	name := series.nameOf(next)
	if err := series.store.Put(ctx, name, Encode(Snapshot{Sequence: next, Payload: payload})); err != nil {
		return 0, err
	}
	if _, err := series.read(ctx, name); err != nil {
		return 0, err
	}
	for len(names)+1 > series.keep {
		if err := series.store.Delete(ctx, names[0]); err != nil {
			klog.InfoS("old snapshot not deleted", "Name", names[0], "Reason", err.Error())
			break
		}
		names = names[1:]
	}
	return next, nil
}
