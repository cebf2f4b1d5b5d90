//go:build race

package main

// raceDetector tells that the processes carry the race detector's own memory, several times theirs.
const raceDetector = true
