package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// countingWriter records what is written and in how many calls.
type countingWriter struct {
	mu    sync.Mutex
	data  bytes.Buffer
	calls int
}

func (counting *countingWriter) Write(data []byte) (int, error) {
	counting.mu.Lock()
	defer counting.mu.Unlock()
	counting.calls++
	return counting.data.Write(data)
}

func (counting *countingWriter) result() (lines, calls int) {
	counting.mu.Lock()
	defer counting.mu.Unlock()
	return strings.Count(counting.data.String(), "\n"), counting.calls
}

// TestBurstOfLinesIsJoined guards against a system call for each line of a burst, and against lines that are lost, out
// of order, or held back without a further line.
func TestBurstOfLinesIsJoined(t *testing.T) {
	t.Parallel()
	counting := &countingWriter{}
	buffer := NewBuffer(counting)
	const lines = 5000
	var want strings.Builder
	for number := range lines {
		line := fmt.Sprintf("line %d\n", number)
		want.WriteString(line)
		if _, err := buffer.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	for written := 0; written < lines; written, _ = counting.result() {
		time.Sleep(flushDelay / 4)
	}
	if got := counting.data.String(); got != want.String() {
		t.Error("the lines are not written in order")
	}
	if _, calls := counting.result(); calls > lines/10 {
		t.Errorf("%d calls for %d lines", calls, lines)
	}
}

// TestFlush guards against the last lines of a process that are lost when it ends.
func TestFlush(t *testing.T) {
	t.Parallel()
	counting := &countingWriter{}
	buffer := NewBuffer(counting)
	if _, err := buffer.Write([]byte("last\n")); err != nil {
		t.Fatal(err)
	}
	if err := buffer.Flush(); err != nil {
		t.Fatal(err)
	}
	if lines, _ := counting.result(); lines != 1 {
		t.Errorf("%d lines are written, want 1", lines)
	}
}
