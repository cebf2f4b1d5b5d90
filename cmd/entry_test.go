package cmd

import (
	"net"
	"testing"

	"hyssopjunction/setting"
)

// TestListenersOfOneAddress guards against a listener that is missing because two settings hold the same address, as
// with a port that the system chooses.
func TestListenersOfOneAddress(t *testing.T) {
	var settings setting.Entry
	const address = "127.0.0.1:0"
	settings.Listen.Control, settings.Listen.Caller, settings.Listen.Operator, settings.Metrics.Listen = address, address, address, address
	listeners, err := entryListeners(settings, nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, listener := range map[string]net.Listener{
		"control": listeners.Control, "caller": listeners.Caller, "operator": listeners.Operator, "metrics": listeners.Metrics,
	} {
		if listener == nil {
			t.Errorf("no listener for %s", name)
			continue
		}
		_ = listener.Close()
	}
}
