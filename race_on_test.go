//go:build race

package main

// raceDetector reports whether the race detector is on. It multiplies the memory of the processes.
const raceDetector = true
