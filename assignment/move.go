package assignment

import (
	"math"

	"hyssopjunction/clock"
)

// Parameters of moves of active runs.
const (
	// moveWindow is the time in which a task moves at most maxMoves times, and not back to a worker that it left. Serving
	// loads rise and fall over about 20 s, so a worker that was too busy is usually still the worse one until half of that
	// has passed.
	moveWindow = 10 * clock.Second
	maxMoves   = 2
	// minPace is the lowest pace at which a paused run is expected to proceed, because the governor lets it go on when the
	// load of the serving tasks falls, within several seconds.
	minPace = 0.1
	// priorShare is the share of a task's work for which the estimate of its submitter counts as measured.
	priorShare = 0.1
)

// Course is what is known of an active run. Shares are from 0 to 1.
type Course struct {
	// Work is how long all of the task takes at full speed where its data is.
	Work clock.Millis
	// Done is the share of the task that is done, and Saved the share that its newest checkpoint holds.
	Done  float64
	Saved float64
	// Speed is the share of its full speed at which the run proceeds.
	Speed float64
}

// ExpectedWork returns how long all of a task takes at full speed, from the estimate of its submitter and the effective time
// in which a run did a share of it. A task that is longer than estimated is so on every worker.
func ExpectedWork(estimate, effective clock.Millis, share float64) clock.Millis {
	return clock.Millis((float64(effective) + priorShare*float64(estimate)) / (math.Max(0, share) + priorShare))
}

// Left returns in what time the run ends if it stays.
func (course Course) Left() clock.Millis {
	return clock.Millis((1 - course.Done) * float64(course.Work) / math.Max(course.Speed, minPace))
}

// Gain returns by how much sooner the task ends if the run is stopped and continued elsewhere at the given speed. The stop
// and the restore are counted, and the progress since the checkpoint is done again.
func (bounds Bounds) Gain(course Course, speed float64) clock.Millis {
	restart := bounds.StopTimeout
	if course.Saved > 0 {
		restart += bounds.Restore
	}
	elsewhere := restart + clock.Millis((1-course.Saved)*float64(course.Work)/math.Max(speed, minPace))
	return course.Left() - elsewhere
}

// MinGain is the gain that a move needs: as much as the stop and the restore take. A move that proves needless then costs no
// more than it was expected to gain.
func (bounds Bounds) MinGain() clock.Millis { return bounds.StopTimeout + bounds.Restore }

// Departure is the move of a task away from a worker.
type Departure struct {
	Worker string
	At     clock.Time
}

// History holds the latest moves of a task.
type History []Departure

// MayMove reports whether the task may move again.
func (history History) MayMove(now clock.Time) bool {
	return len(history.recent(now)) < maxMoves
}

// Left reports whether the task left the worker a short time ago and must not return yet.
func (history History) Left(worker string, now clock.Time) bool {
	for _, departure := range history.recent(now) {
		if departure.Worker == worker {
			return true
		}
	}
	return false
}

// Add returns the history with a departure, without those that no longer count.
func (history History) Add(worker string, now clock.Time) History {
	return append(history.recent(now), Departure{Worker: worker, At: now})
}

// recent returns the departures that count.
func (history History) recent(now clock.Time) History {
	for len(history) > 0 && now.Sub(history[0].At) >= moveWindow {
		history = history[1:]
	}
	return history
}
