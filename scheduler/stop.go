package scheduler

// StopReason is why a run is stopped.
type StopReason string

// The reasons, as log lines have them.
const (
	// StopUnknown is for a run that no job has.
	StopUnknown StopReason = "Unknown"
	// StopJobEnded is for runs of a job that was cancelled, or failed.
	StopJobEnded StopReason = "JobEnded"
	// StopSuperseded is for a run whose task is done because its other run finished.
	StopSuperseded StopReason = "Superseded"
	// StopDrain is for runs that can go on elsewhere when their worker leaves.
	StopDrain StopReason = "Drain"
	// StopStalled is for runs without progress on a worker where none makes any.
	StopStalled StopReason = "Stalled"
	// StopSlow is for a filling run that ends sooner on another worker.
	StopSlow StopReason = "Slow"
	// StopColocation is for a serving run that moves to others that are sensitive to the same images, and StopRoom for one that
	// makes room for a larger one.
	StopColocation StopReason = "Colocation"
	StopRoom       StopReason = "Room"
)

// reasonNotNeeded returns why a run that does not count for its job is stopped.
func (run *activeRun) reasonNotNeeded() StopReason {
	if run.job.State.Final() {
		return StopJobEnded
	}
	return StopSuperseded
}
