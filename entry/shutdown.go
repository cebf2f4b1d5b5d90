package entry

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/table"
)

// handoverPeriod is how long an entry that shuts down continues to answer, so that agents and other
// entries learn from its heartbeats that it leaves and turn to their next home.
const handoverPeriod = 3 * clock.Second

// Shutdown stops the entry gracefully: it reports not ready, refuses new requests as not run, waits
// for those in flight, hands agents and jobs over, and marks its row as Left. It returns the
// context's error if requests were still in flight when ctx ended.
func (entry *Entry) Shutdown(ctx context.Context) error {
	entry.shuttingDown.Store(true)
	klog.InfoS("Entry is leaving", "Entry", entry.settings.ID)
	// The new homes of the jobs read the snapshot when they see that this entry leaves.
	entry.saveSnapshot(lastSnapshotTimeout)
	var exchanges []func()
	entry.control.Call(func() {
		entry.entries.Drain()
		entry.refresh()
		exchanges = entry.startExchanges()
	})
	for _, send := range exchanges {
		entry.spawn(send)
	}
	err := entry.dispatcher.Stop(ctx)
	entry.dispatcher.Flush(ctx)
	select {
	case <-entry.time.After(handoverPeriod):
	case <-ctx.Done():
	}
	entry.writeLeft(ctx)
	entry.Close()
	klog.InfoS("Entry left", "Entry", entry.settings.ID)
	return err
}

// writeLeft marks the entry's row as Left. Entries.Leave ends the granting of leases before the row
// is written.
func (entry *Entry) writeLeft(parent context.Context) {
	var transaction table.Transaction
	entry.control.Call(func() { transaction = entry.entries.Leave() })
	ctx, cancel := context.WithTimeout(context.WithoutCancel(parent), entry.settings.CallTimeout.Duration())
	defer cancel()
	if _, err := entry.store.Commit(ctx, transaction); err != nil {
		klog.ErrorS(err, "Row was not marked as left; successors wait for the outage grace", "Entry", entry.settings.ID)
	}
}
