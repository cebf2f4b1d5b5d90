package dedup

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"
)

// Sweeper deletes claim rows after their retention. Clocks of different processes cannot be compared, so
// the age of a row is the time for which this process has observed it unchanged. A restart therefore
// lengthens the retention.
type Sweeper struct {
	table      Table
	newWriteID func() ident.Write
	retention  func(ident.Service) clock.Millis
	// observations holds the rows seen in the previous pass over the table, nextObservations those seen in
	// the current one. Both are keyed by the hash of the row's key.
	observations     map[uint64]observation
	nextObservations map[uint64]observation
	// lastKey is the last key that the current pass has read.
	lastKey table.Key
	bodies  Bodies
}

// observation is the revision of a row and the time at which this process first read it.
type observation struct {
	revision table.Revision
	since    clock.Time
}

// NewSweeper returns a Sweeper. The function newWriteID returns a new write id with each call, and
// retention the time for which unchanged rows of a service are kept.
func NewSweeper(store Table, newWriteID func() ident.Write, retention func(ident.Service) clock.Millis) *Sweeper {
	return &Sweeper{
		table: store, newWriteID: newWriteID, retention: retention,
		observations: map[uint64]observation{}, nextObservations: map[uint64]observation{},
	}
}

// Step reads the next rows, at most limit, and deletes the expired ones. It starts again from the first
// row after the last one. It returns the number of deleted rows, and ErrUnavailable if the table cannot
// be read.
func (sweeper *Sweeper) Step(ctx context.Context, now clock.Time, limit int) (int, error) {
	rows, err := sweeper.table.Range(ctx, keyPrefix, sweeper.lastKey, limit)
	if err != nil {
		return 0, ErrUnavailable{Cause: err}
	}
	deleted := 0
	for _, row := range rows {
		sweeper.lastKey = row.Key
		hash := xxhash.Sum64String(string(row.Key))
		previous, ok := sweeper.observations[hash]
		if !ok || previous.revision != row.Revision {
			previous = observation{revision: row.Revision, since: now}
		}
		if now.Sub(previous.since) < sweeper.retention(serviceOf(row.Key)) {
			sweeper.nextObservations[hash] = previous
			continue
		}
		// If the outcome is unknown or the row was changed, the next pass handles it again.
		if _, err := sweeper.table.Commit(ctx, table.Transaction{
			Write:      sweeper.newWriteID(),
			Conditions: []table.Condition{{Key: row.Key, Revision: row.Revision}},
			Operations: []table.Operation{{Key: row.Key, Delete: true}},
		}); err != nil {
			sweeper.nextObservations[hash] = previous
			continue
		}
		deleted++
		sweeper.deleteBody(ctx, row)
	}
	if len(rows) < limit {
		sweeper.lastKey = ""
		sweeper.observations, sweeper.nextObservations = sweeper.nextObservations, map[uint64]observation{}
	}
	return deleted, nil
}

// deleteBody deletes the stored body of a deleted row. If that fails, the body stays in the object store.
func (sweeper *Sweeper) deleteBody(ctx context.Context, row table.Row) {
	record, err := decode(row)
	if err != nil || sweeper.bodies == nil || record.Answer == nil || record.Answer.Object == "" {
		return
	}
	if err := sweeper.bodies.Delete(ctx, record.Answer.Object); err != nil {
		klog.InfoS("Stored answer not deleted", "Object", record.Answer.Object, "Reason", err.Error())
	}
}

func serviceOf(key table.Key) ident.Service {
	rest := key[len(keyPrefix):]
	for index := range rest {
		if rest[index] == '/' {
			return ident.Service(rest[:index])
		}
	}
	return ident.Service(rest)
}
