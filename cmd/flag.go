package cmd

import "sync/atomic"

// onceFlag is a boolean that is false at first, can be set to true and is never reset. It is safe for
// concurrent use.
type onceFlag struct {
	value atomic.Bool
}

func newOnceFlag() *onceFlag { return &onceFlag{} }

func (flag *onceFlag) set() { flag.value.Store(true) }

func (flag *onceFlag) isSet() bool { return flag.value.Load() }
