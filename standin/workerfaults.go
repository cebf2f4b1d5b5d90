package standin

import (
	"context"

	"hyssopjunction/clock"
	"hyssopjunction/worker"
)

// WorkerFaults are the faults of a worker. The zero value is a healthy worker.
type WorkerFaults struct {
	// Unavailable makes every call fail while tasks continue to run.
	Unavailable bool
	// Paused stops the worker: calls wait and tasks make no progress, while its clock advances.
	Paused bool
	// DelayMillis is the time before a call takes effect.
	DelayMillis clock.Millis
	// LoseNext is the number of further calls that take effect without an answer.
	LoseNext int
	// UsageLagMillis is added to the lag of reported usage.
	UsageLagMillis clock.Millis
	// StartFailNext is the number of further starts that fail.
	StartFailNext int
	// StartFailRate is the probability, from 0 to 1, that a start fails.
	StartFailRate float64
	// FailEverything makes every task fail as soon as it has started.
	FailEverything bool
}

// Valid returns ErrBadFault if a value is out of range.
func (faults WorkerFaults) Valid() error {
	switch {
	case faults.DelayMillis < 0 || faults.UsageLagMillis < 0:
		return ErrBadFault{Reason: "delays and lags must not be negative"}
	case faults.StartFailNext < 0 || faults.LoseNext < 0:
		return ErrBadFault{Reason: "StartFailNext and LoseNext must not be negative"}
	case !isRate(faults.StartFailRate):
		return ErrBadFault{Reason: "rates must be from 0 to 1"}
	}
	return nil
}

// Faults returns the faults in force.
func (runtime *Worker) Faults() WorkerFaults {
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	return runtime.faults
}

// SetFaults replaces the faults in force. It returns ErrBadFault.
func (runtime *Worker) SetFaults(faults WorkerFaults) error {
	return runtime.UpdateFaults(replaceWith(faults))
}

// UpdateFaults changes the faults in force. If change returns an error or the result is out of
// range, the faults stay as they are.
func (runtime *Worker) UpdateFaults(change func(faults *WorkerFaults) error) error {
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	faults := runtime.faults
	if err := change(&faults); err != nil {
		return err
	}
	if err := faults.Valid(); err != nil {
		return err
	}
	runtime.advance()
	if faults.Paused != runtime.faults.Paused {
		if faults.Paused {
			runtime.resume = make(chan struct{})
		} else {
			close(runtime.resume)
		}
	}
	runtime.faults = faults
	return nil
}

// beforeCall delays a call, or fails it, according to the faults in force.
func (runtime *Worker) beforeCall(ctx context.Context) error {
	if !wait(ctx, runtime.options.Clock, runtime.Faults().DelayMillis) {
		return worker.ErrUnavailable{Reason: context.Cause(ctx).Error()}
	}
	runtime.mu.Lock()
	resume := runtime.resume
	runtime.mu.Unlock()
	select {
	case <-resume:
	case <-ctx.Done():
		return worker.ErrUnavailable{Reason: context.Cause(ctx).Error()}
	}
	if runtime.Faults().Unavailable {
		return worker.ErrUnavailable{Reason: "stand-in refuses calls"}
	}
	return nil
}

// afterCall fails a call that took effect, if the faults in force lose its answer. The caller holds
// mu.
func (runtime *Worker) afterCall() error {
	if runtime.faults.LoseNext == 0 {
		return nil
	}
	runtime.faults.LoseNext--
	return worker.ErrUnavailable{Reason: "answer lost"}
}

func (runtime *Worker) startFails() bool {
	if runtime.faults.StartFailNext > 0 {
		runtime.faults.StartFailNext--
		return true
	}
	return runtime.faults.StartFailRate > 0 && runtime.random.Float64() < runtime.faults.StartFailRate
}
