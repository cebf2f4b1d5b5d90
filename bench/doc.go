// Package bench measures how processor time, bytes, messages and heap of the daemons grow with the
// size of the system. It contains benchmarks only; docs/CAPACITY.md is worked out from their figures.
package bench
