package entry

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
)

const (
	// notifyTimeout bounds a message to the home of a job. An entry lost without notice does not
	// answer, and urgent work whose home it is must still start within 4.2 s.
	notifyTimeout = clock.Second
	// urgentCheckInterval is how often the entry that accepted an urgent job notifies its home
	// while a task of the job waits.
	urgentCheckInterval = clock.Second
	// substitutionPeriod is how long an entry schedules an urgent job in place of its home. Other
	// entries count a lost home as live for 8 s, so it has been replaced by then.
	substitutionPeriod = 15 * clock.Second
)

// jobSubmitted notifies the home of a new job. If the home of an urgent job does not answer, now or
// while a task of the job waits, this entry schedules the job. Two entries may schedule the same
// job: each claim is conditional on the job's row, so they only cause conflicts. This continues
// after an operator's client has given up on the call and turned to another entry.
func (entry *Entry) jobSubmitted(ctx context.Context, spec job.Spec) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), (2 * notifyTimeout).Duration())
	defer cancel()
	notified := entry.notifyHome(ctx, spec.Job)
	switch {
	case !spec.Urgent:
	case notified:
		entry.spawn(func() { entry.watchUrgentJob(spec.Job) })
	default:
		entry.substituteHome(ctx, spec.Job)
	}
}

// watchUrgentJob notifies the home of an urgent job again while a task of the job waits. It ends
// after substitutionPeriod, by when a lost home has been replaced and its successor has read the
// job.
func (entry *Entry) watchUrgentJob(name ident.Job) {
	for range substitutionPeriod / urgentCheckInterval {
		select {
		case <-entry.time.After(urgentCheckInterval):
		case <-entry.quit:
			return
		}
		if entry.checkUrgentJob(name) {
			return
		}
	}
}

// checkUrgentJob reports whether the job needs no further checks. If the home does not answer, this
// entry becomes its substitute.
func (entry *Entry) checkUrgentJob(name ident.Job) bool {
	ctx, cancel := entry.callContext(2 * notifyTimeout)
	defer cancel()
	row, err := entry.store.Get(ctx, job.Key(name))
	if err != nil {
		return false
	}
	if content, err := job.Decode(row.Value); err != nil || content.Count(job.Waiting) == 0 {
		return true
	}
	if entry.notifyHome(ctx, name) {
		return false
	}
	entry.substituteHome(ctx, name)
	return true
}

// substituteHome schedules the job here for substitutionPeriod.
func (entry *Entry) substituteHome(ctx context.Context, name ident.Job) {
	klog.InfoS("Urgent job is scheduled in place of its home", "Job", name)
	entry.control.Call(func() { entry.substitutions[name] = entry.time.Now().Add(substitutionPeriod) })
	if err := entry.loadJob(ctx, name); err != nil {
		klog.InfoS("Urgent job was not read", "Job", name, "Reason", err.Error())
	}
}

// endSubstitutions removes the jobs whose substitutionPeriod has passed. It runs on the control
// goroutine.
func (entry *Entry) endSubstitutions() {
	for name, until := range entry.substitutions {
		if entry.time.Now().Before(until) {
			continue
		}
		delete(entry.substitutions, name)
		if !entry.isHome(name) {
			entry.removeJob(name)
		}
	}
}
