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
	// learnedPrefix starts the names of the snapshots of what entries learned.
	learnedPrefix = "Learned/"
	// learnedKept is the number of snapshots kept per entry.
	learnedKept = 3
	// learnedInterval is the interval of snapshots. Estimates change over minutes, and a lost
	// snapshot costs only that much learning.
	learnedInterval = 5 * clock.Minute
	// learnedNames bounds the names read at start.
	learnedNames = 1000
	// leaveTimeout bounds the last snapshot of a leaving entry, which must not wait long for the store.
	leaveTimeout = 2 * clock.Second
)

// learnedSeries returns the series of an entry's snapshots.
func (entry *Entry) learnedSeries(of ident.Entry) *objectstore.Series {
	return objectstore.NewSeries(entry.objects, objectstore.Name(entry.learnedRegion()+string(of)+"/"), learnedKept)
}

func (entry *Entry) learnedRegion() string {
	return learnedPrefix + string(entry.settings.Region) + "/"
}

// saveLearned writes what the entry learned to the object store, so that an entry that starts with
// nothing does not place work as if no pair disturbed another and no declared size was wrong.
func (entry *Entry) saveLearned(bound clock.Millis) {
	if entry.objects == nil || !entry.publisher.Ready() {
		return
	}
	snapshot := &controlpb.Learned{Format: learnedFormat, SavedUnixMillis: time.Now().UnixMilli()}
	entry.control.Call(func() { entry.learned.export(snapshot, entry.time.Now()) })
	if len(snapshot.Pairs)+len(snapshot.Jobs)+len(snapshot.Floors)+len(snapshot.Health) == 0 {
		return
	}
	payload, err := proto.Marshal(snapshot)
	if err != nil {
		klog.ErrorS(err, "Estimates were not encoded", "Entry", entry.settings.ID)
		return
	}
	ctx, cancel := entry.call(bound)
	defer cancel()
	if _, err := entry.learnedSeries(entry.settings.ID).Write(ctx, payload); err != nil {
		klog.InfoS("Estimates were not saved", "Entry", entry.settings.ID, "Reason", err.Error())
	}
}

func (learned *learned) export(snapshot *controlpb.Learned, now clock.Time) {
	snapshot.Pairs = learned.pairs.Export(maxLearnedPairs, true)
	learned.sizes.Export(snapshot, maxLearnedJobs, now)
	snapshot.Health, _ = learned.health.Export(0, maxLearnedSuspects, now)
}

const (
	// learnedFormat is the version of the content of a snapshot. Format 1 had the pairs alone.
	learnedFormat = 2
	// learnedAge is the age from which a snapshot is not used. By then the weights of its estimates
	// have halved six times.
	learnedAge = 3 * clock.Day
	// maxLearnedPairs, maxLearnedJobs and maxLearnedSuspects bound a snapshot. At the design size a home
	// has some 210 jobs a day.
	maxLearnedPairs    = 4096
	maxLearnedJobs     = 512
	maxLearnedSuspects = 256
)

// ageOf returns the age of a snapshot by the wall clocks of the two processes. They can differ, which
// makes estimates decay a little more or less. Format 1 has no time and nothing that ages.
func ageOf(snapshot *controlpb.Learned) clock.Millis {
	if snapshot.GetFormat() == 0 {
		return 0
	}
	return clock.Millis(max(time.Now().UnixMilli()-snapshot.GetSavedUnixMillis(), 0))
}

// loadLearned takes over the newest whole snapshot of each entry of the region. Torn ones are skipped
// by the series; without any, the entry learns anew.
func (entry *Entry) loadLearned() {
	if entry.objects == nil {
		return
	}
	ctx, cancel := entry.call(entry.settings.ObjectTimeout)
	defer cancel()
	names, err := entry.objects.List(ctx, objectstore.Name(entry.learnedRegion()), "", learnedNames)
	if err != nil {
		klog.InfoS("Saved estimates were not listed", "Entry", entry.settings.ID, "Reason", err.Error())
		return
	}
	authors := set.New[ident.Entry]()
	for _, name := range names {
		author, _, _ := strings.Cut(strings.TrimPrefix(string(name), entry.learnedRegion()), "/")
		authors.Add(ident.Entry(author))
	}
	for _, author := range set.Sorted(authors) {
		entry.importLearned(ctx, author, entry.learned.take)
	}
}

// inheritLearned takes over the sizes that an entry which is gone has learned of its jobs, because
// their new homes run already. The rest was told in the exchanges.
func (entry *Entry) inheritLearned(gone []ident.Entry) {
	if entry.objects == nil || len(gone) == 0 {
		return
	}
	entry.spawn(func() {
		for _, author := range gone {
			ctx, cancel := entry.call(entry.settings.ObjectTimeout)
			entry.importLearned(ctx, author, func(_ ident.Entry, snapshot *controlpb.Learned, age clock.Millis, now clock.Time) {
				entry.learned.sizes.Import(snapshot, age, now)
			})
			cancel()
		}
	})
}

// importLearned reads the newest whole snapshot of an entry and passes it to take on the control
// goroutine.
func (entry *Entry) importLearned(ctx context.Context, author ident.Entry, take func(ident.Entry, *controlpb.Learned, clock.Millis, clock.Time)) {
	snapshot, err := entry.learnedSeries(author).Newest(ctx)
	if err != nil {
		klog.InfoS("Saved estimates were not read", "Author", author, "Reason", err.Error())
		return
	}
	message := &controlpb.Learned{}
	if err := proto.Unmarshal(snapshot.Payload, message); err != nil {
		klog.ErrorS(err, "Saved estimates cannot be used", "Author", author)
		return
	}
	age := ageOf(message)
	if message.GetFormat() > learnedFormat || age >= learnedAge {
		klog.InfoS("Saved estimates are skipped", "Author", author, "Format", message.GetFormat(), "AgeMillis", age)
		return
	}
	entry.control.Call(func() { take(author, message, age, entry.time.Now()) })
	klog.InfoS("Saved estimates taken over", "Author", author, "Pairs", len(message.GetPairs()),
		"Jobs", len(message.GetJobs()), "Workers", len(message.GetHealth()), "AgeMillis", age)
}

// take takes over a snapshot. Trial tasks of an ended process hold no place, because their ends are
// reported to other entries.
func (learned *learned) take(author ident.Entry, snapshot *controlpb.Learned, age clock.Millis, now clock.Time) {
	learned.pairs.Import(author, snapshot.GetPairs())
	learned.sizes.Import(snapshot, age, now)
	for _, health := range snapshot.GetHealth() {
		health.Trials = 0
		health.LeftMillis -= int64(age)
		health.AgeMillis += int64(age)
	}
	learned.health.Import(author, snapshot.GetHealth(), false, now)
}
