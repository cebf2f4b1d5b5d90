package dedup

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"
)

// Sweeper deletes claim rows whose retention has passed. Clocks of different processes cannot be
// compared, so a row's age is the time for which this process has seen it unchanged; a restart
// only lengthens the retention.
type Sweeper struct {
	table     Table
	writes    func() ident.Write
	retention func(ident.Service) clock.Millis
	seen      map[uint64]sighting
	next      map[uint64]sighting
	after     table.Key
	bodies    Bodies
}

type sighting struct {
	revision table.Revision
	since    clock.Time
}

// NewSweeper returns a sweeper. The function retention returns how long rows of a service are kept.
func NewSweeper(store Table, writes func() ident.Write, retention func(ident.Service) clock.Millis) *Sweeper {
	return &Sweeper{
		table: store, writes: writes, retention: retention,
		seen: map[uint64]sighting{}, next: map[uint64]sighting{},
	}
}

// Step looks at the next rows, at most limit, and deletes the expired ones. It returns the number
// of deleted rows, and ErrUnavailable if the table cannot be used.
func (sweeper *Sweeper) Step(ctx context.Context, now clock.Time, limit int) (int, error) {
	rows, err := sweeper.table.Range(ctx, prefix, sweeper.after, limit)
	if err != nil {
		return 0, ErrUnavailable{Cause: err}
	}
	deleted := 0
	for _, row := range rows {
		sweeper.after = row.Key
		hash := xxhash.Sum64String(string(row.Key))
		last, ok := sweeper.seen[hash]
		if !ok || last.revision != row.Revision {
			last = sighting{revision: row.Revision, since: now}
		}
		if now.Sub(last.since) < sweeper.retention(serviceOf(row.Key)) {
			sweeper.next[hash] = last
			continue
		}
		// A lost answer or a conflict leaves the row to the next round.
		if _, err := sweeper.table.Commit(ctx, table.Transaction{
			Write:      sweeper.writes(),
			Conditions: []table.Condition{{Key: row.Key, Revision: row.Revision}},
			Operations: []table.Operation{{Key: row.Key, Delete: true}},
		}); err != nil {
			sweeper.next[hash] = last
			continue
		}
		deleted++
		sweeper.deleteBody(ctx, row)
	}
	if len(rows) < limit {
		sweeper.after = ""
		sweeper.seen, sweeper.next = sweeper.next, map[uint64]sighting{}
	}
	return deleted, nil
}

// deleteBody deletes the body of a deleted row. If that fails, the body stays in the object store.
func (sweeper *Sweeper) deleteBody(ctx context.Context, row table.Row) {
	record, err := decode(row)
	if err != nil || sweeper.bodies == nil || record.Answer == nil || record.Answer.Object == "" {
		return
	}
	if err := sweeper.bodies.Delete(ctx, record.Answer.Object); err != nil {
		klog.InfoS("Kept answer not deleted", "Object", record.Answer.Object, "Reason", err.Error())
	}
}

func serviceOf(key table.Key) ident.Service {
	rest := key[len(prefix):]
	for index := range rest {
		if rest[index] == '/' {
			return ident.Service(rest[:index])
		}
	}
	return ident.Service(rest)
}
