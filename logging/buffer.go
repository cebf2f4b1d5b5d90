package logging

import (
	"io"
	"sync"
	"time"
)

const (
	// flushDelay is how long a line may wait to be written with others. A process that is killed loses the lines of
	// that time.
	flushDelay = 20 * time.Millisecond
	// maxBufferedBytes is the size from which the buffer is written at once.
	maxBufferedBytes = 32 << 10
)

// Buffer joins the writes of several log lines, each of which would cost a system call of its own. It is safe for
// concurrent use. Create it with NewBuffer.
type Buffer struct {
	writer io.Writer

	mu      sync.Mutex
	pending []byte
	// timerSet reports that a flush will follow.
	timerSet bool
}

// NewBuffer returns a Buffer that writes to writer.
func NewBuffer(writer io.Writer) *Buffer { return &Buffer{writer: writer} }

// Write keeps a copy of the line and writes it within flushDelay. Its error is that of a write that the line makes at
// once.
func (buffer *Buffer) Write(line []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	buffer.pending = append(buffer.pending, line...)
	if len(buffer.pending) >= maxBufferedBytes {
		return len(line), buffer.flush()
	}
	if !buffer.timerSet {
		buffer.timerSet = true
		time.AfterFunc(flushDelay, func() {
			buffer.mu.Lock()
			defer buffer.mu.Unlock()
			buffer.timerSet = false
			_ = buffer.flush() // There is no other place to report that the log cannot be written.
		})
	}
	return len(line), nil
}

// Flush writes the lines that wait.
func (buffer *Buffer) Flush() error {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.flush()
}

func (buffer *Buffer) flush() error {
	if len(buffer.pending) == 0 {
		return nil
	}
	_, err := buffer.writer.Write(buffer.pending)
	buffer.pending = buffer.pending[:0]
	return err
}
