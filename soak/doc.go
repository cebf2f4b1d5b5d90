// Package soak runs the real programs as separate processes against the stand-in of the platform, and
// injects faults from outside them while callers work. It consists of tests.
package soak
