package mechanism

import "testing"

// A misspelt name must not be taken for a mechanism that is switched off.
func TestParse(t *testing.T) {
	tests := []struct {
		name  string
		names []string
		count int
		known bool
	}{
		{"none", nil, 0, true},
		{"all", []string{"Moves", "Relays", "Moves"}, 2, true},
		{"unknown", []string{"Moves", "moves"}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			parsed, err := Parse(test.names)
			if parsed.Len() != test.count || IsErrUnknownName(err) == test.known {
				t.Errorf("got %v, %v", parsed, err)
			}
		})
	}
}
