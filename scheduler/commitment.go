package scheduler

// isCommitted reports whether the job is one of those that get the room for filling tasks first.
func (record *jobRecord) isCommitted() bool { return !record.job.State.Final() }
