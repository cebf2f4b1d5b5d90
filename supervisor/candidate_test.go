package supervisor

import (
	"strings"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/unit"
)

// strayAnnouncement returns an announcement that the worker's process did not send.
func strayAnnouncement(incarnation Incarnation) Announcement {
	return Announcement{Incarnation: incarnation, Sequence: 1, Capacity: unit.Resources{CPU: 4000, Memory: 4000}}
}

// TestStrayAnnouncementReplacesNoWorker guards against two runs of a task: an announcement of another writer took the place of
// the worker, whose runs counted as ended and were placed elsewhere while they went on.
func TestStrayAnnouncementReplacesNoWorker(t *testing.T) {
	for name, stray := range map[string]Incarnation{
		"other id":                      {ID: "i-stray", StartedAt: 11},
		"id of the worker, later start": {ID: "i-1", StartedAt: 11},
	} {
		t.Run(name, func(t *testing.T) {
			fake, directory := newRuntime(), &fakeDirectory{}
			fake.id, fake.startedAtMillis = "i-1", 10
			supervisor := newSupervisor(t, fake)
			supervisor.Follow(directory)
			await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
			supervisor.sendOrder(1, false)
			await(t, supervisor, "the run", func() bool { return len(supervisor.worker.listing.Active) == 1 })
			supervisor.Announce(strayAnnouncement(stray))
			await(t, supervisor, "the refutation", func() bool { return supervisor.candidate == nil })
			supervisor.loop.Call(func() {
				worker := supervisor.worker
				if worker.announcement.Incarnation.StartedAt != 10 || worker.isOver() || len(worker.listing.Active) != 1 {
					t.Errorf("got worker %s, over %t, with %d runs, want the first one with its run", worker.incarnation, worker.isOver(), len(worker.listing.Active))
				}
			})
			if got := directory.reports.Load(); got != 0 {
				t.Errorf("got %d reports of an end, want none", got)
			}
		})
	}
}

// TestWorkerReplacesStrayOne guards against a worker that is never used, because another writer announced one with a later
// start to an agent that had no worker yet.
func TestWorkerReplacesStrayOne(t *testing.T) {
	for name, stray := range map[string]Incarnation{
		"other id":                        {ID: "i-stray", StartedAt: 11},
		"other id, earlier start":         {ID: "i-stray", StartedAt: 9},
		"id of the worker, later start":   {ID: "i-1", StartedAt: 11},
		"id of the worker, earlier start": {ID: "i-1", StartedAt: 9},
	} {
		t.Run(name, func(t *testing.T) {
			fake := newRuntime()
			fake.id, fake.startedAtMillis = "i-1", 10
			supervisor := New(testClocks(clock.NewSystem()), fake, "node", testBounds(testLease))
			t.Cleanup(supervisor.Close)
			supervisor.Announce(strayAnnouncement(stray))
			if !supervisor.Announce(Announcement{Incarnation: Incarnation{ID: "i-1", StartedAt: 10}, Sequence: 1, Capacity: unit.Resources{CPU: 4000, Memory: 4000}}) {
				t.Error("the announcement of the worker was refused")
			}
			await(t, supervisor, "the worker", func() bool {
				worker := supervisor.worker
				return worker.announcement.Incarnation == Incarnation{ID: "i-1", StartedAt: 10} && worker.clockReadAt != 0 && !worker.isOver()
			})
		})
	}
}

// TestWorkerIsReplacedAfterClockStep guards against a worker that is never used again, because the time of day stepped back before its
// process was started again, and its incarnation seems to be an earlier one. Announcements of an earlier incarnation that arrive late
// must still change nothing.
func TestWorkerIsReplacedAfterClockStep(t *testing.T) {
	for name, test := range map[string]struct {
		announced  Incarnation
		isReplaced bool
	}{
		"next process with another id":                  {Incarnation{ID: "i-2", StartedAt: 8}, true},
		"next process with the same id":                 {Incarnation{ID: "i-1", StartedAt: 8}, true},
		"late announcement with another id":             {Incarnation{ID: "i-2", StartedAt: 8}, false},
		"late announcement with the same id":            {Incarnation{ID: "i-1", StartedAt: 8}, false},
		"late announcement while nothing listens there": {Incarnation{ID: "i-1", StartedAt: 8}, false},
	} {
		t.Run(name, func(t *testing.T) {
			fake, directory := newRuntime(), &fakeDirectory{}
			fake.id, fake.startedAtMillis = "i-1", 10
			supervisor := newSupervisor(t, fake)
			supervisor.Follow(directory)
			await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
			switch {
			case test.isReplaced:
				fake.update(func() { fake.id, fake.startedAtMillis = test.announced.ID, test.announced.StartedAt })
				await(t, supervisor, "the end of the first one", func() bool { return supervisor.worker.isOver() })
			case strings.HasSuffix(name, "listens there"):
				fake.update(func() { fake.refusedListings = 3 })
			}
			accepted := supervisor.Announce(strayAnnouncement(test.announced))
			if test.isReplaced && !accepted {
				t.Error("the announcement was refused")
			}
			want := Incarnation{ID: "i-1", StartedAt: 10}
			if test.isReplaced {
				want = test.announced
			}
			await(t, supervisor, "the worker", func() bool {
				worker := supervisor.worker
				return supervisor.candidate == nil && worker.announcement.Incarnation == want && !worker.isOver() && worker.unansweredListings == 0
			})
		})
	}
}
