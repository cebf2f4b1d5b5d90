package config

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/table"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

const (
	// maxEditAttempts limits the attempts to commit a change while changes of other documents move the
	// head.
	maxEditAttempts = 12
	// maxEdits and maxChangeBytes keep the history row of a change, which holds each document before
	// and after the change, below the table's limit for one row.
	maxEdits       = 64
	maxChangeBytes = 128 << 10
)

var (
	changesAccepted = metrics.NewCounter("hyssopjunction_config_changes_accepted_total")
	changesRefused  = metrics.NewCounter("hyssopjunction_config_changes_refused_total")
	changesRetried  = metrics.NewCounter("hyssopjunction_config_changes_retried_total")
)

// Edit writes or deletes one document.
type Edit struct {
	Document Name
	// Base is the version of the document that the operator changed, 0 if the document did not exist.
	Base   ident.Version
	Value  json.RawMessage
	Delete bool
	// source is the document of another region that the edit imports, or nil.
	source *Document
}

// Change is an operator's change of one or more documents. It is accepted as a whole or not at all.
type Change struct {
	// ID identifies the change, so that it is accepted only once when it is sent again. An empty ID is
	// replaced by a random one.
	ID       string
	Operator string
	// Time is the operator's wall-clock time in RFC 3339. It is only displayed.
	Time  string
	Edits []Edit
}

// Editor validates changes and commits them to the table. It is safe for concurrent use; the changes of
// one Editor are made one after the other.
type Editor struct {
	clock     clock.Clock
	publisher *Publisher
	region    ident.Region

	mu     sync.Mutex
	loader *loader
	random *rand.Rand
}

// NewEditor returns an Editor that publishes accepted changes to publisher at once. Random is used for
// jitter and for the ids of changes.
func NewEditor(store table.Store, source clock.Clock, random *rand.Rand, publisher *Publisher) *Editor {
	return &Editor{clock: source, publisher: publisher, loader: newLoader(store), random: random}
}

// SetRegion sets the home region of the documents that the Editor creates. It must be called before
// other methods, and only in systems with several regions.
func (editor *Editor) SetRegion(region ident.Region) {
	editor.region = region
}

// Apply commits the change and returns its version. Its errors are ErrConflict, ErrInvalid, ErrElsewhere,
// ErrBusy, ErrUnknownOutcome, table.ErrUnavailable, and ErrNotReady if the configuration cannot be read.
// After any of them but ErrUnknownOutcome nothing was changed.
func (editor *Editor) Apply(ctx context.Context, change Change) (ident.Version, error) {
	editor.mu.Lock()
	defer editor.mu.Unlock()
	if change.ID == "" {
		change.ID = fmt.Sprintf("%016x", editor.random.Uint64())
	}
	version, err := editor.apply(ctx, change)
	if err != nil {
		changesRefused.Inc()
		klog.InfoS("configuration change refused", "Operator", change.Operator, "Change", change.ID, "Reason", err.Error())
		return 0, err
	}
	changesAccepted.Inc()
	klog.InfoS("configuration change accepted", "Operator", change.Operator, "Change", change.ID, "Version", uint64(version))
	return version, editor.publisher.Publish(editor.loader.view)
}

// Bootstrap writes the default presets, with the ordinary one in force, into a table that has no
// configuration. Several daemons may call it at the same time.
func (editor *Editor) Bootstrap(ctx context.Context, operator string) error {
	editor.mu.Lock()
	err := editor.loader.refresh(ctx)
	exists := editor.loader.view.version > 0
	editor.mu.Unlock()
	if err != nil || exists {
		return err
	}
	change := Change{Operator: operator, Edits: []Edit{{Document: PresetInForce, Value: json.RawMessage(`{"Preset":"Ordinary"}`)}}}
	presets := DefaultPresets()
	for _, name := range set.SortedKeys(presets) {
		value, err := json.Marshal(presets[name])
		if err != nil {
			return ErrBadRow{Key: string(PresetName(name).Key()), Reason: err.Error()}
		}
		change.Edits = append(change.Edits, Edit{Document: PresetName(name), Value: value})
	}
	if _, err := editor.Apply(ctx, change); !IsErrConflict(err) {
		return err
	}
	return nil
}

// apply commits the change, planning it anew if the head moves. The caller holds the lock.
func (editor *Editor) apply(ctx context.Context, change Change) (ident.Version, error) {
	for attempt := range maxEditAttempts {
		if attempt > 0 {
			changesRetried.Inc()
			if err := editor.pause(ctx, attempt); err != nil {
				return 0, table.ErrUnavailable{Reason: err.Error()}
			}
		}
		if err := editor.loader.refresh(ctx); err != nil {
			return 0, err
		}
		view := editor.loader.view
		if version, done := acceptedVersion(view, change); done {
			return version, nil
		}
		if attempt < maxEditAttempts-1 && isBasedOnNewerVersion(view, change) {
			// The head was read from an outdated copy of the row.
			continue
		}
		plan, err := newPlan(view, editor.loader.headRevision, change, editor.region)
		if err != nil {
			return 0, err
		}
		done, err := editor.commit(ctx, plan)
		if err != nil {
			return 0, err
		}
		if done {
			return plan.record.Version, nil
		}
	}
	return 0, ErrBusy{Attempts: maxEditAttempts}
}

// commit sends the plan's transaction and reports whether it was accepted; false means that it
// certainly was not. If the response is lost, the outcome is read from the history row, which only one
// change can create.
func (editor *Editor) commit(ctx context.Context, plan plan) (bool, error) {
	outcomeUnknown := false
	var lastErr error
	for attempt := range maxEditAttempts {
		if attempt > 0 {
			if editor.pause(ctx, attempt) != nil {
				break
			}
		}
		_, err := editor.loader.store.Commit(ctx, plan.transaction)
		switch {
		case err == nil:
			editor.loader.view, editor.loader.headRevision = plan.next, plan.headRevision
			return true, nil
		case table.IsErrConflict(err) && !outcomeUnknown:
			return false, nil
		case table.IsErrUnavailable(err) && !outcomeUnknown, table.IsErrTooLarge(err) && !outcomeUnknown:
			return false, err
		}
		outcomeUnknown, lastErr = true, err
		row, err := editor.loader.store.Get(ctx, HistoryKey(plan.record.Version))
		if err != nil || !row.Exists() {
			// The row was not written or cannot be read. The same transaction is sent again; it cannot take
			// effect twice.
			continue
		}
		record, err := decodeRow[Record](row)
		if err != nil {
			return false, err
		}
		if record.Change != plan.record.Change {
			return false, nil
		}
		editor.loader.view, editor.loader.headRevision = plan.next, plan.headRevision
		return true, nil
	}
	return false, ErrUnknownOutcome{Change: plan.record.Change, Version: plan.record.Version, Reason: lastErr.Error()}
}

// pause waits before a retry for a random time. Its limit doubles with each attempt, from 10 to 320 ms.
func (editor *Editor) pause(ctx context.Context, attempt int) error {
	maxMillis := int64(10) << min(attempt, 5)
	select {
	case <-editor.clock.After(clock.Millis(1 + editor.random.Int64N(maxMillis))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isBasedOnNewerVersion reports whether an edit is based on a newer version than the view's.
func isBasedOnNewerVersion(view *View, change Change) bool {
	for _, edit := range change.Edits {
		if edit.Base > view.version {
			return true
		}
	}
	return false
}

// acceptedVersion returns the version of the change, and whether the view already has it by its id.
func acceptedVersion(view *View, change Change) (ident.Version, bool) {
	if len(change.Edits) == 0 {
		return 0, false
	}
	document, ok := view.Document(change.Edits[0].Document)
	return document.Version, ok && document.Change == change.ID
}
