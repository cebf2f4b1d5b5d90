package entry

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
)

const (
	// notifyTimeout bounds a message to the home of a job. A home that is lost without a sign does not
	// answer, and urgent work that it is home of must still start within 4.2 s.
	notifyTimeout = clock.Second
	// overseeInterval is how often the entry that accepted an urgent job asks its home while a task of
	// the job waits.
	overseeInterval = clock.Second
	// substituteTerm is how long an urgent job is scheduled in place of its home. A lost home is replaced
	// within it, because other entries count it as live for 8 s.
	substituteTerm = 15 * clock.Second
)

// submitted notifies the home of a new job. An urgent job is scheduled here as soon as its home does
// not answer, now or while a task of the job waits. Two entries that schedule a job cause only a
// conflict, because each claim is conditional on the job's row. An operator's client that turns to
// another entry while the home does not answer does not end this.
func (entry *Entry) submitted(ctx context.Context, spec job.Spec) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), (2 * notifyTimeout).Duration())
	defer cancel()
	notified := entry.notifyHome(ctx, spec.Job)
	switch {
	case !spec.Urgent:
	case notified:
		entry.spawn(func() { entry.oversee(spec.Job) })
	default:
		entry.substitute(ctx, spec.Job)
	}
}

// oversee asks the home of an urgent job again while a task of the job waits. It ends when a lost home
// was replaced for certain, because the next home then knows the job.
func (entry *Entry) oversee(name ident.Job) {
	for range substituteTerm / overseeInterval {
		select {
		case <-entry.time.After(overseeInterval):
		case <-entry.quit:
			return
		}
		if entry.overseen(name) {
			return
		}
	}
}

// overseen reports whether the job needs no further look.
func (entry *Entry) overseen(name ident.Job) bool {
	ctx, cancel := entry.call(2 * notifyTimeout)
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
	entry.substitute(ctx, name)
	return true
}

// substitute schedules the job here for a bounded time.
func (entry *Entry) substitute(ctx context.Context, name ident.Job) {
	klog.InfoS("Urgent job is scheduled in place of its home", "Job", name)
	entry.control.Call(func() { entry.substituted[name] = entry.time.Now().Add(substituteTerm) })
	if err := entry.loadJob(ctx, name); err != nil {
		klog.InfoS("Urgent job was not read", "Job", name, "Reason", err.Error())
	}
}

// endSubstitutes drops the jobs that were scheduled long enough in place of their home. It runs on the
// control goroutine.
func (entry *Entry) endSubstitutes() {
	for name, until := range entry.substituted {
		if entry.time.Now().Before(until) {
			continue
		}
		delete(entry.substituted, name)
		if !entry.isHome(name) {
			entry.dropJob(name)
		}
	}
}
