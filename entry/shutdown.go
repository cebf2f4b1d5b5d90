package entry

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/table"
)

// handOverWait is how long a leaving entry goes on answering, so that agents and other entries
// learn from its heartbeats that it leaves and move to their next home.
const handOverWait = 3 * clock.Second

// Shutdown ends the entry gracefully: it reports not ready, refuses new requests as not run, lets
// those in flight finish, hands agents and jobs over, and writes its row as Left. It returns the
// context's error if requests were still in flight when ctx ended.
func (entry *Entry) Shutdown(ctx context.Context) error {
	entry.shuttingDown.Store(true)
	klog.InfoS("Entry is leaving", "Entry", entry.settings.ID)
	// The new homes of the jobs read it when they see that this entry leaves.
	entry.saveLearned(leaveTimeout)
	var exchanges []func()
	entry.control.Call(func() {
		entry.entries.Drain()
		entry.refresh()
		exchanges = entry.exchange()
	})
	for _, send := range exchanges {
		entry.spawn(send)
	}
	err := entry.dispatcher.Stop(ctx)
	entry.dispatcher.Flush(ctx)
	select {
	case <-entry.time.After(handOverWait):
	case <-ctx.Done():
	}
	entry.writeLeft(ctx)
	entry.Close()
	klog.InfoS("Entry left", "Entry", entry.settings.ID)
	return err
}

// writeLeft writes the row as Left. From the control goroutine's call on, no lease is granted.
func (entry *Entry) writeLeft(parent context.Context) {
	var leaving table.Transaction
	entry.control.Call(func() { leaving = entry.entries.Leave() })
	ctx, cancel := context.WithTimeout(context.WithoutCancel(parent), entry.settings.CallTimeout.Duration())
	defer cancel()
	if _, err := entry.store.Commit(ctx, leaving); err != nil {
		klog.ErrorS(err, "Row was not marked as left; successors wait for the outage grace", "Entry", entry.settings.ID)
	}
}
