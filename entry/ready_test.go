package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"hyssopjunction/table"
	"hyssopjunction/table/tabletest"
)

// TestReadyOnlyWithServices guards against an entry that has loaded its configuration and refuses callers of each
// service with UnknownService, because it has not published the services yet.
func TestReadyOnlyWithServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{Memory: tabletest.New()}
		store.setHook(func(string, table.Key) { time.Sleep(time.Second) })
		entry := startEntry(t, "e1", Dependencies{Table: store, Control: noConnections{}})
		defer entry.Close()
		entry.control.Call(func() {
			time.Sleep(20 * time.Second)
			if !entry.configPublisher.Ready() {
				t.Error("the configuration is not loaded")
			}
			if entry.Ready() {
				t.Error("ready without services")
			}
		})
		time.Sleep(5 * time.Second)
		if !entry.Ready() {
			t.Error("not ready with services")
		}
	})
}
