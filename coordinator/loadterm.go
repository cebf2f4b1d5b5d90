package coordinator

import (
	"context"
	"fmt"

	"k8s.io/klog/v2"

	"hyssopjunction/election"
	"hyssopjunction/store"
)

// loadWithTerm loads the jobs and renews the term meanwhile, so that no other entry takes over and begins anew. It returns the
// version after which the inbox must be followed. Errors: that of load, or store.ErrConflict if another entry leads.
func (coordinator *Coordinator) loadWithTerm(ctx context.Context) (store.Version, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	loaded, renewed := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(renewed)
		for {
			select {
			case <-coordinator.deps.Clock.After(election.RenewalInterval):
			case <-loaded:
				return
			case <-ctx.Done():
				return
			}
			if err := coordinator.renewWhileLoading(ctx); store.IsErrConflict(err) {
				cancel(fmt.Errorf("renewing the term while the jobs are loaded: %w", err))
				return
			}
		}
	}()
	version, err := coordinator.load(ctx)
	close(loaded)
	<-renewed // The control loop, which renews the term from now on, must know the version of the heartbeat.
	if cause := context.Cause(ctx); cause != nil {
		return 0, cause
	}
	return version, err
}

// renewWhileLoading renews the term of a leader that has granted no lease yet. Errors: those of store.CommitUntilKnown.
func (coordinator *Coordinator) renewWhileLoading(ctx context.Context) error {
	sent := coordinator.deps.Clock.Now()
	heartbeat := coordinator.heartbeat
	heartbeat.Count++
	heartbeat.Grants = coordinator.leadership.Inherited.Compose(sent)
	tx, err := coordinator.renewalTx(heartbeat)
	if err != nil {
		return err
	}
	version, err := store.CommitUntilKnown(ctx, coordinator.deps.Store, coordinator.deps.Clock, tx)
	if err != nil {
		klog.InfoS("Term not renewed while the jobs are loaded", "Term", coordinator.leadership.Term.Number, "Reason", err.Error())
		return err
	}
	coordinator.heartbeat, coordinator.heartbeatVersion, coordinator.renewedAt = heartbeat, version, sent
	coordinator.validUntil.Store(int64(sent.Add(election.LeaderLease)))
	return nil
}
