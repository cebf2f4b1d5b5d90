// Package soak contains tests only. They run the real programs as separate processes against the stand-in of the
// platform and inject faults while callers submit and cancel jobs.
package soak
