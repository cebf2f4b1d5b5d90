package entry

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/objectstore"
	"hyssopjunction/set"
)

const (
	// snapshotsPrefix starts the names of the snapshots of learned models.
	snapshotsPrefix = "Learned/"
	// snapshotsPerEntry is the number of snapshots kept per entry.
	snapshotsPerEntry = 3
	// snapshotInterval is the interval of snapshots. Estimates change over minutes, so little is
	// lost with a snapshot.
	snapshotInterval = 5 * clock.Minute
	// maxSnapshotNames bounds the names that are listed at start.
	maxSnapshotNames = 1000
	// lastSnapshotTimeout bounds the last snapshot of an entry that shuts down, which must not wait
	// long for the object store.
	lastSnapshotTimeout = 2 * clock.Second
)

// snapshotSeries returns the series of an entry's snapshots.
func (entry *Entry) snapshotSeries(author ident.Entry) *objectstore.Series {
	return objectstore.NewSeries(entry.objects, objectstore.Name(entry.snapshotPrefix()+string(author)+"/"), snapshotsPerEntry)
}

// snapshotPrefix starts the names of all snapshots of the region.
func (entry *Entry) snapshotPrefix() string {
	return snapshotsPrefix + string(entry.settings.Region) + "/"
}

// saveSnapshot writes the learned models to the object store. A new entry that starts without them
// would place work as if there were no interference and all declared sizes were right.
func (entry *Entry) saveSnapshot(timeout clock.Millis) {
	if entry.objects == nil || !entry.configPublisher.Ready() {
		return
	}
	snapshot := &controlpb.Learned{Format: snapshotFormat, SavedUnixMillis: time.Now().UnixMilli()}
	entry.control.Call(func() { entry.models.export(snapshot, entry.time.Now()) })
	if len(snapshot.Pairs)+len(snapshot.Jobs)+len(snapshot.Floors)+len(snapshot.Health) == 0 {
		return
	}
	payload, err := proto.Marshal(snapshot)
	if err != nil {
		klog.ErrorS(err, "Estimates were not encoded", "Entry", entry.settings.ID)
		return
	}
	ctx, cancel := entry.callContext(timeout)
	defer cancel()
	if _, err := entry.snapshotSeries(entry.settings.ID).Write(ctx, payload); err != nil {
		klog.InfoS("Estimates were not saved", "Entry", entry.settings.ID, "Reason", err.Error())
	}
}

// export writes the models to a snapshot.
func (models *learnedModels) export(snapshot *controlpb.Learned, now clock.Time) {
	snapshot.Pairs = models.interference.Export(maxSavedPairs, true)
	models.sizes.Export(snapshot, maxSavedJobs, now)
	snapshot.Health, _ = models.health.Export(0, maxSavedSuspects, now)
}

const (
	// snapshotFormat is the version of the snapshots' format. Format 1 contains only interference
	// estimates.
	snapshotFormat = 2
	// maxSnapshotAge is the age from which a snapshot is ignored. By then the weights of its
	// estimates have halved six times.
	maxSnapshotAge = 3 * clock.Day
	// maxSavedPairs, maxSavedJobs and maxSavedSuspects bound a snapshot. At the design size an
	// entry is home of some 210 jobs a day.
	maxSavedPairs    = 4096
	maxSavedJobs     = 512
	maxSavedSuspects = 256
)

// snapshotAge returns the age of a snapshot by the wall clocks of the two processes. A difference
// between the clocks only makes estimates decay slightly more or less. Format 1 has no time and
// contains nothing that decays.
func snapshotAge(snapshot *controlpb.Learned) clock.Millis {
	if snapshot.GetFormat() == 0 {
		return 0
	}
	return clock.Millis(max(time.Now().UnixMilli()-snapshot.GetSavedUnixMillis(), 0))
}

// loadSnapshots imports the newest intact snapshot of each entry of the region. The series skips
// truncated snapshots; without any snapshot, the entry starts with empty models.
func (entry *Entry) loadSnapshots() {
	if entry.objects == nil {
		return
	}
	ctx, cancel := entry.callContext(entry.settings.ObjectTimeout)
	defer cancel()
	names, err := entry.objects.List(ctx, objectstore.Name(entry.snapshotPrefix()), "", maxSnapshotNames)
	if err != nil {
		klog.InfoS("Saved estimates were not listed", "Entry", entry.settings.ID, "Reason", err.Error())
		return
	}
	authors := set.New[ident.Entry]()
	for _, name := range names {
		author, _, _ := strings.Cut(strings.TrimPrefix(string(name), entry.snapshotPrefix()), "/")
		authors.Add(ident.Entry(author))
	}
	for _, author := range set.Sorted(authors) {
		entry.importSnapshot(ctx, author, entry.models.importSnapshot)
	}
}

// importSizesOf imports the sizes that ended entries learned of their jobs, because this entry may
// be the jobs' new home and has read its snapshots long before. The other estimates were received
// in exchanges.
func (entry *Entry) importSizesOf(gone []ident.Entry) {
	if entry.objects == nil || len(gone) == 0 {
		return
	}
	entry.spawn(func() {
		for _, author := range gone {
			ctx, cancel := entry.callContext(entry.settings.ObjectTimeout)
			entry.importSnapshot(ctx, author, func(_ ident.Entry, snapshot *controlpb.Learned, age clock.Millis, now clock.Time) {
				entry.models.sizes.Import(snapshot, age, now)
			})
			cancel()
		}
	})
}

// importSnapshot reads the newest intact snapshot of an entry and calls apply with it on the
// control goroutine.
func (entry *Entry) importSnapshot(ctx context.Context, author ident.Entry, apply func(ident.Entry, *controlpb.Learned, clock.Millis, clock.Time)) {
	snapshot, err := entry.snapshotSeries(author).Newest(ctx)
	if err != nil {
		klog.InfoS("Saved estimates were not read", "Author", author, "Reason", err.Error())
		return
	}
	message := &controlpb.Learned{}
	if err := proto.Unmarshal(snapshot.Payload, message); err != nil {
		klog.ErrorS(err, "Saved estimates cannot be used", "Author", author)
		return
	}
	age := snapshotAge(message)
	if message.GetFormat() > snapshotFormat || age >= maxSnapshotAge {
		klog.InfoS("Saved estimates are skipped", "Author", author, "Format", message.GetFormat(), "AgeMillis", age)
		return
	}
	entry.control.Call(func() { apply(author, message, age, entry.time.Now()) })
	klog.InfoS("Saved estimates imported", "Author", author, "Pairs", len(message.GetPairs()),
		"Jobs", len(message.GetJobs()), "Workers", len(message.GetHealth()), "AgeMillis", age)
}

// importSnapshot adds a snapshot to the models. It removes the trial tasks of quarantined workers,
// because their ends are reported to other entries and would never free their slots here.
func (models *learnedModels) importSnapshot(author ident.Entry, snapshot *controlpb.Learned, age clock.Millis, now clock.Time) {
	models.interference.Import(author, snapshot.GetPairs())
	models.sizes.Import(snapshot, age, now)
	for _, health := range snapshot.GetHealth() {
		health.Trials = 0
		health.LeftMillis -= int64(age)
		health.AgeMillis += int64(age)
	}
	models.health.Import(author, snapshot.GetHealth(), false, now)
}
