// Package bench measures how processor time, traffic, messages and heap of the daemons grow with the
// size of the system. It contains only benchmarks; docs/CAPACITY.md is based on their results.
package bench
