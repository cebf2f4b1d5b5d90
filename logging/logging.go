// Package logging sets up klog to write JSON lines with Pascal-case keys.
package logging

import (
	"io"
	"log/slog"

	"k8s.io/klog/v2"
)

// New makes klog write JSON lines to writer and returns the logger that it uses. Messages below level are
// dropped.
func New(writer io.Writer, level slog.Level) *slog.Logger {
	handler := slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level, ReplaceAttr: rename})
	logger := slog.New(handler)
	klog.SetSlogLogger(logger)
	return logger
}

// rename replaces the names of the standard keys with Pascal-case ones, like those of all other keys.
func rename(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return attr
	}
	switch attr.Key {
	case slog.TimeKey:
		attr.Key = "Time"
	case slog.LevelKey:
		attr.Key = "Level"
	case slog.MessageKey:
		attr.Key = "Message"
	}
	return attr
}
