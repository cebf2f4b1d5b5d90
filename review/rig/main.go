// The program rig plays the cases of the second review: it holds the stand-ins of the platform, the runners and the
// consumers, and starts the project's own programs as separate processes.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit ends a case that hangs.
const limit = 115 * time.Second

var cases = map[string]func(w *world) error{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "cases:", sortedKeys(cases))
		os.Exit(2)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w, err := newWorld(root, os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	result := make(chan error, 1)
	go func() { result <- run(w) }()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case err = <-result:
	case <-ended:
		err = errors.New("ended by a signal")
	case <-time.After(limit):
		err = fmt.Errorf("the case took longer than %s", limit)
	}
	code := 0
	w.mu.Lock()
	broken := w.broken
	w.mu.Unlock()
	switch {
	case len(broken) > 0:
		code = 1
		fmt.Println("broken:", broken[0])
	case err != nil:
		code = 2
		fmt.Println("could not run:", err)
	default:
		fmt.Println("held")
	}
	w.record("exit %d", code)
	w.end()
	os.Exit(code)
}
