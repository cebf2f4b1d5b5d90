package objectstore

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// listPage is the number of names read by one List call.
const listPage = 200

var badSnapshots = metrics.NewCounter("hyssopjunction_objectstore_bad_snapshots_total")

// Series is a sequence of snapshots under increasing names with a common prefix. Several daemons
// may write to it: a sequence number that two of them use at the same time names one object, and
// the later one replaces the earlier.
type Series struct {
	store  Store
	prefix Name
	keep   int
}

// NewSeries returns the series with the prefix, as in "Snapshot/entry/". Write keeps the newest keep
// snapshots, at least 2, so that one torn write leaves a whole one.
func NewSeries(store Store, prefix Name, keep int) *Series {
	return &Series{store: store, prefix: prefix, keep: max(keep, 2)}
}

// name returns the name of a snapshot; names sort as their sequence numbers.
func (series *Series) name(sequence Sequence) Name {
	return series.prefix + Name(fmt.Sprintf("%020d", uint64(sequence)))
}

// sequence parses a name that name wrote.
func (series *Series) sequence(name Name) (Sequence, bool) {
	if len(name) != len(series.prefix)+20 {
		return 0, false
	}
	number, err := strconv.ParseUint(string(name[len(series.prefix):]), 10, 64)
	return Sequence(number), err == nil
}

// names returns the names of all snapshots in ascending order.
func (series *Series) names(ctx context.Context) ([]Name, error) {
	var names []Name
	after := Name("")
	for {
		page, err := series.store.List(ctx, series.prefix, after, listPage)
		if err != nil {
			return nil, err
		}
		for _, name := range page {
			if _, ok := series.sequence(name); ok {
				names = append(names, name)
			}
		}
		if len(page) < listPage {
			return names, nil
		}
		after = page[len(page)-1]
	}
}

// Newest returns the newest whole snapshot, or ErrNotFound. Torn, corrupted and stale ones, whose
// content does not belong to their name, are skipped and logged.
func (series *Series) Newest(ctx context.Context) (Snapshot, error) {
	names, err := series.names(ctx)
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

func (series *Series) read(ctx context.Context, name Name) (Snapshot, error) {
	data, err := series.store.Get(ctx, name)
	if err != nil {
		return Snapshot{}, err
	}
	snapshot, err := Decode(name, data)
	if err != nil {
		return Snapshot{}, err
	}
	if want, _ := series.sequence(name); snapshot.Sequence != want {
		return Snapshot{}, ErrBadSnapshot{Name: name, Reason: fmt.Sprintf("content is of snapshot %d", snapshot.Sequence)}
	}
	return snapshot, nil
}

// Write stores the payload under the next name, reads it back, and deletes snapshots that are
// older than the newest keep ones. The older ones are kept if the new one cannot be read back.
func (series *Series) Write(ctx context.Context, payload []byte) (Sequence, error) {
	names, err := series.names(ctx)
	if err != nil {
		return 0, err
	}
	next := Sequence(1)
	if len(names) > 0 {
		last, _ := series.sequence(names[len(names)-1])
		next = last + 1
	}
	name := series.name(next)
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
