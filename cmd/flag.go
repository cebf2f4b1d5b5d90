package cmd

import "sync/atomic"

// flag is a condition that becomes true once.
type flag struct {
	value atomic.Bool
}

func newFlag() *flag { return &flag{} }

func (flag *flag) set() { flag.value.Store(true) }

func (flag *flag) isSet() bool { return flag.value.Load() }
