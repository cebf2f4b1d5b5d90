// Package overload tests the programs against clients that exceed what they may use: bodies that never end, headers that
// grow, connections that are only held open. Its tests measure the memory of processes and must run alone.
package overload
