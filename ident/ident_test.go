package ident

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestTaskRoundTrip guards against a task name that is parsed as another task.
func TestTaskRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		task := Task{
			Job:   Job(rapid.StringMatching(`[A-Za-z0-9][A-Za-z0-9._/-]{0,20}`).Draw(t, "job")),
			Index: rapid.IntRange(0, 1<<20).Draw(t, "index"),
		}
		parsed, err := ParseTask(task.String())
		if err != nil || parsed != task {
			t.Fatalf("have %v, %v; want %v", parsed, err, task)
		}
	})
}

// TestParseTaskRefuses guards against malformed names that are parsed as tasks.
func TestParseTaskRefuses(t *testing.T) {
	for _, name := range []string{"", "job", "/1", "job/", "job/-1", "job/x"} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseTask(name); !IsErrBadTask(err) {
				t.Fatalf("have %v, want ErrBadTask", err)
			}
		})
	}
}

// TestValidRefusesSeparators guards against identifiers that would corrupt row keys, log lines or URL paths.
func TestValidRefusesSeparators(t *testing.T) {
	for name, want := range map[string]bool{
		"a": true, "A-1.b_c": true, strings.Repeat("x", 64): true,
		"": false, ".a": false, "a/b": false, "a b": false, "a\n": false, strings.Repeat("x", 65): false,
	} {
		t.Run(name, func(t *testing.T) {
			if have := Valid(Job(name)); have != want {
				t.Fatalf("have %v, want %v", have, want)
			}
		})
	}
}
