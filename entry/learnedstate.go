package entry

import (
	"context"
	"strings"

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
	// objectTimeout bounds one use of the object store.
	objectTimeout = 10 * clock.Second
)

// learnedSeries returns the series of an entry's snapshots.
func (entry *Entry) learnedSeries(of ident.Entry) *objectstore.Series {
	return objectstore.NewSeries(entry.objects, objectstore.Name(entry.learnedRegion()+string(of)+"/"), learnedKept)
}

func (entry *Entry) learnedRegion() string {
	return learnedPrefix + string(entry.settings.Region) + "/"
}

// saveLearned writes the interference estimates to the object store, so that an entry that starts
// with nothing does not place work as if no pair disturbed another.
func (entry *Entry) saveLearned() {
	if entry.objects == nil || !entry.publisher.Ready() {
		return
	}
	message := &controlpb.ExchangeRequest{}
	entry.control.Call(func() { message.Pairs = entry.learned.pairs.Export(maxLearnedPairs, true) })
	if len(message.Pairs) == 0 {
		return
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		klog.ErrorS(err, "Estimates were not encoded", "Entry", entry.settings.ID)
		return
	}
	ctx, cancel := entry.call(objectTimeout)
	defer cancel()
	if _, err := entry.learnedSeries(entry.settings.ID).Write(ctx, payload); err != nil {
		klog.InfoS("Estimates were not saved", "Entry", entry.settings.ID, "Reason", err.Error())
	}
}

// maxLearnedPairs bounds the estimates in a snapshot.
const maxLearnedPairs = 4096

// loadLearned takes over the newest whole snapshot of each entry of the region. Torn ones are skipped
// by the series; without any, the entry learns anew.
func (entry *Entry) loadLearned() {
	if entry.objects == nil {
		return
	}
	ctx, cancel := entry.call(objectTimeout)
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
		entry.importLearned(ctx, author)
	}
}

func (entry *Entry) importLearned(ctx context.Context, author ident.Entry) {
	snapshot, err := entry.learnedSeries(author).Newest(ctx)
	if err != nil {
		klog.InfoS("Saved estimates were not read", "Author", author, "Reason", err.Error())
		return
	}
	message := &controlpb.ExchangeRequest{}
	if err := proto.Unmarshal(snapshot.Payload, message); err != nil {
		klog.ErrorS(err, "Saved estimates cannot be used", "Author", author)
		return
	}
	entry.control.Call(func() { entry.learned.pairs.Import(author, message.GetPairs()) })
	klog.InfoS("Saved estimates taken over", "Author", author, "Pairs", len(message.GetPairs()))
}
