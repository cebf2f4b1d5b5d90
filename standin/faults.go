package standin

import (
	"context"
	"math/rand/v2"
	"sync"

	"hyssopjunction/clock"
)

// StoreFaults are the faults of the table or the object store. The zero value is a healthy store.
type StoreFaults struct {
	// Outage refuses every call. Refused calls have no effect.
	Outage bool
	// DelayMillis is the time before a call takes effect.
	DelayMillis clock.Millis
	// AnswerDelayMillis is the time between the effect and the answer.
	AnswerDelayMillis clock.Millis
	// LoseNext is the number of further writes that take effect without an answer.
	LoseNext int
	// LoseRate is the probability, from 0 to 1, that the answer to a write is lost.
	LoseRate float64
	// ErrorRate is the probability, from 0 to 1, that a call is refused without effect.
	ErrorRate float64
	// ReadsPerSecond and WritesPerSecond are the rates above which the table refuses calls; 0 means
	// no limit. The object store ignores them.
	ReadsPerSecond  int
	WritesPerSecond int
}

// Valid returns ErrBadFault if a value is out of range.
func (faults StoreFaults) Valid() error {
	switch {
	case faults.DelayMillis < 0 || faults.AnswerDelayMillis < 0:
		return ErrBadFault{Reason: "delays must not be negative"}
	case faults.LoseNext < 0 || faults.ReadsPerSecond < 0 || faults.WritesPerSecond < 0:
		return ErrBadFault{Reason: "LoseNext and rates per second must not be negative"}
	case !isRate(faults.LoseRate) || !isRate(faults.ErrorRate):
		return ErrBadFault{Reason: "rates must be from 0 to 1"}
	}
	return nil
}

func isRate(rate float64) bool {
	return rate >= 0 && rate <= 1
}

// admission is the result of applying the faults to a call before its effect.
type admission int

const (
	admitted admission = iota
	refused
	cancelled // the caller's context ended before the call took effect
)

// injector applies StoreFaults to calls. It is safe for concurrent use.
type injector struct {
	clock clock.Clock

	mu     sync.Mutex
	faults StoreFaults
	random *rand.Rand
}

func newInjector(source clock.Clock, seed uint64) *injector {
	return &injector{clock: source, random: newRandom(seed)}
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 0))
}

func (injector *injector) get() StoreFaults {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	return injector.faults
}

// update changes the faults in force. If the result is out of range, the faults stay as they are.
func (injector *injector) update(change func(faults *StoreFaults) error) error {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	faults := injector.faults
	if err := change(&faults); err != nil {
		return err
	}
	if err := faults.Valid(); err != nil {
		return err
	}
	injector.faults = faults
	return nil
}

// replaceWith returns a change that replaces all faults.
func replaceWith[Faults any](faults Faults) func(*Faults) error {
	return func(current *Faults) error {
		*current = faults
		return nil
	}
}

// beforeCall delays the call and decides whether it may take effect. It checks for an outage after
// the delay, so that a call that was waiting when the outage began has no effect.
func (injector *injector) beforeCall(ctx context.Context) admission {
	if !wait(ctx, injector.clock, injector.get().DelayMillis) {
		return cancelled
	}
	injector.mu.Lock()
	defer injector.mu.Unlock()
	if injector.faults.Outage || injector.chance(injector.faults.ErrorRate) {
		return refused
	}
	return admitted
}

// afterCall delays the answer and decides whether it is lost. Only a call with an effect counts
// against LoseNext.
func (injector *injector) afterCall(ctx context.Context, effect bool) (lost bool) {
	if !wait(ctx, injector.clock, injector.get().AnswerDelayMillis) {
		return true
	}
	injector.mu.Lock()
	defer injector.mu.Unlock()
	if effect && injector.faults.LoseNext > 0 {
		injector.faults.LoseNext--
		return true
	}
	return injector.chance(injector.faults.LoseRate)
}

// chance draws a random number only for rates above zero. A healthy store therefore draws none, and
// a seed gives the same faults whenever they are enabled.
func (injector *injector) chance(rate float64) bool {
	return rate > 0 && injector.random.Float64() < rate
}

// wait waits for millis. It returns false if ctx ended before.
func wait(ctx context.Context, source clock.Clock, millis clock.Millis) bool {
	if ctx.Err() != nil {
		return false
	}
	if millis <= 0 {
		return true
	}
	select {
	case <-source.After(millis):
		return true
	case <-ctx.Done():
		return false
	}
}
