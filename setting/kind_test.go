package setting

import "testing"

// TestURLsWithoutQuery guards against a URL whose query is silently dropped, because the daemon appends its own paths.
func TestURLsWithoutQuery(t *testing.T) {
	for text, want := range map[string]bool{
		"http://127.0.0.1:7000":       true,
		"http://127.0.0.1:7000/base":  true,
		"http://127.0.0.1:7000?a=1":   false,
		"http://127.0.0.1:7000/?a=1":  false,
		"http://127.0.0.1:7000?":      false,
		"http://127.0.0.1:7000/b?a=1": false,
		"http://name.example:7000":    false,
		"https://127.0.0.1:7000/":     true,
	} {
		if got := kindRequirement(kindURL, text) == ""; got != want {
			t.Errorf("%s: accepted %v, want %v", text, got, want)
		}
	}
}
