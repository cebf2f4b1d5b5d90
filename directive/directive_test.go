package directive

import "testing"

func config() *Config {
	return &Config{Version: 3, Queues: []Queue{
		{Name: "short", Host: "desk.example", Prefix: "/a/"},
		{Name: "long", Host: "desk.example", Prefix: "/a/b/"},
		{Name: "other", Host: "other.example", Prefix: "/a/"},
	}}
}

// TestMatch guards against requests that reach another queue than the one that the operators meant.
func TestMatch(t *testing.T) {
	cases := map[string]struct{ host, path, queue, rest string }{
		"prefix":         {"desk.example", "/a/1", "short", "1"},
		"longest prefix": {"desk.example", "/a/b/1", "long", "1"},
		"port and case":  {"DESK.example:8161", "/a/1", "short", "1"},
		"other host":     {"other.example", "/a/b/1", "other", "b/1"},
		"unknown host":   {"none.example", "/a/1", "", ""},
		"unknown path":   {"desk.example", "/b/1", "", ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			queue, rest, ok := config().Match(test.host, test.path)
			if string(queue.Name) != test.queue || rest != test.rest || ok != (test.queue != "") {
				t.Errorf("got %q, %q, %t; want %q, %q", queue.Name, rest, ok, test.queue, test.rest)
			}
		})
	}
}
