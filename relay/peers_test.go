package relay

import (
	"slices"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/store"
)

// TestOrderOfPeers guards against calls that try entries that the store rejects too before one that reaches it, and against
// a call that tries none because all were rejected a moment ago.
func TestOrderOfPeers(t *testing.T) {
	now := clock.Time(clock.Minute)
	peers := newPeers("self", []string{"a", "b", "self", "c"})
	first := peers.order(now)
	if len(first) != 3 || slices.Contains(first, "self") {
		t.Fatalf("got %v, want the other entries", first)
	}
	peers.record("a", false, now)
	peers.record("b", true, now)
	if got := peers.order(now.Add(1)); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("got %v, want b before c without a", got)
	}
	peers.record("c", true, now.Add(2))
	if got := peers.order(now.Add(skipTime)); !slices.Equal(got, []string{"c", "b", "a"}) {
		t.Errorf("got %v, want the last to answer first, and a again", got)
	}
	for offset, address := range []string{"b", "a", "c"} {
		peers.record(address, false, now.Add(clock.Millis(offset)))
	}
	if got := peers.order(now.Add(10)); !slices.Equal(got, []string{"b", "a"}) {
		t.Errorf("got %v, want the two that were tried longest ago", got)
	}
}

// TestUnreachableEntryLeavesNothingOpen guards against the outcome "unknown", which callers see as 504, of a call through an
// entry that is gone, and against a commit that fails although the next entry reaches the store.
func TestUnreachableEntryLeavesNothingOpen(t *testing.T) {
	t.Parallel()
	relay, direct, remote := newRelay(t)
	direct.fail(errUnavailable)
	relay.peers.list = append([]*peer{{address: "127.0.0.1:1"}}, relay.peers.list...)
	if version, err := relay.Commit(t.Context(), store.Tx{}); err != nil || version != 7 {
		t.Errorf("got %d, %v; want 7", version, err)
	}
	if got := relay.peers.order(relay.clock.Now()); slices.Contains(got, "127.0.0.1:1") {
		t.Errorf("tries %v, want the entry that is gone to be skipped", got)
	}
	remote.fail(errUnavailable)
	if _, err := relay.Commit(t.Context(), store.Tx{}); !store.IsErrUnavailable(err) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}
