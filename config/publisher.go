package config

import (
	"sync"
	"sync/atomic"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

var (
	versionsApplied = metrics.NewCounter("hyssopjunction_config_versions_applied_total")
	versionInForce  = metrics.NewGauge("hyssopjunction_config_version", nil)
)

// Publisher holds the configuration in force in this process. The version of its View never falls. It
// is safe for concurrent use.
type Publisher struct {
	mu      sync.Mutex
	current atomic.Pointer[View]
	ready   atomic.Bool
	changed chan struct{}
}

// NewPublisher returns a Publisher with the empty configuration, which is not ready.
func NewPublisher() *Publisher {
	publisher := &Publisher{changed: make(chan struct{})}
	publisher.current.Store(NewView())
	return publisher
}

// Current returns the View in force.
func (publisher *Publisher) Current() *View {
	return publisher.current.Load()
}

// Ready reports whether a configuration was loaded. A daemon must not serve before that.
func (publisher *Publisher) Ready() bool {
	return publisher.ready.Load()
}

// Changed returns a channel that is closed when the View in force changes next or the Publisher
// becomes ready.
func (publisher *Publisher) Changed() <-chan struct{} {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	return publisher.changed
}

// Apply puts a delta from another daemon in force, see View.Apply. A delta to version 0 comes from a
// daemon without a configuration and is ignored.
func (publisher *Publisher) Apply(delta *controlpb.ConfigDelta) error {
	if delta.GetToVersion() == 0 {
		return nil
	}
	return publisher.update(func(view *View) (*View, error) { return view.Apply(delta) })
}

// Publish puts a View in force and makes the Publisher ready. A View whose version is not higher than
// that of the one in force does not replace it; one that would lower the version of a document returns
// ErrRevert.
func (publisher *Publisher) Publish(next *View) error {
	return publisher.update(func(view *View) (*View, error) {
		if next.version < view.version {
			return view, nil
		}
		return next, nil
	})
}

// update replaces the View in force by the result of change, and wakes the waiters of Changed.
func (publisher *Publisher) update(change func(*View) (*View, error)) error {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	view := publisher.current.Load()
	next, err := change(view)
	if err != nil {
		return err
	}
	if err := checkNoRevert(view, next); err != nil {
		klog.ErrorS(err, "configuration refused because it would lower a version")
		return err
	}
	if next.version == view.version && publisher.ready.Load() {
		return nil
	}
	publisher.current.Store(next)
	publisher.ready.Store(true)
	versionsApplied.Inc()
	versionInForce.Set(float64(next.version))
	klog.InfoS("configuration in force", "Version", uint64(next.version), "Before", uint64(view.version))
	close(publisher.changed)
	publisher.changed = make(chan struct{})
	return nil
}

// checkNoRevert returns ErrRevert if a version falls, a document disappears, or a document changes while the
// version of the configuration stays the same (invariant I10).
func checkNoRevert(view, next *View) error {
	if next.version < view.version {
		return ErrRevert{Have: view.version, Got: next.version}
	}
	for name, current := range view.documents {
		document, ok := next.documents[name]
		if !ok || document.Version < current.Version {
			return ErrRevert{Document: name, Have: current.Version, Got: document.Version}
		}
		if next.version == view.version && document.Version != current.Version {
			return ErrRevert{Document: name, Have: current.Version, Got: document.Version}
		}
	}
	return nil
}

// Version returns the version of the View in force.
func (publisher *Publisher) Version() ident.Version {
	return publisher.Current().Version()
}
