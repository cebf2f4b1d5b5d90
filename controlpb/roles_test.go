package controlpb

import (
	"testing"

	"hyssopjunction/keys"
)

// TestEveryMethodHasCallers guards against a method that works without certificates and is denied to all
// peers with them, because it is missing from EntryCallers.
func TestEveryMethodHasCallers(t *testing.T) {
	callers := EntryCallers()
	for _, method := range Entry_ServiceDesc.Methods {
		if len(callers["/"+Entry_ServiceDesc.ServiceName+"/"+method.MethodName]) == 0 {
			t.Errorf("no role may call %s", method.MethodName)
		}
	}
}

// TestClaimedNamesSender guards against a message whose stated sender is not compared with the name in its
// certificate.
func TestClaimedNamesSender(t *testing.T) {
	for want, message := range map[keys.StatedSender]any{
		{Role: keys.RoleAgent, Name: "w1"}: &AnnounceRequest{State: &WorkerState{Worker: "w1"}},
		{Role: keys.RoleAgent, Name: "w2"}: &LeaveRequest{Worker: "w2"},
		{Role: keys.RoleAgent, Name: "w3"}: &ReportRequest{Worker: "w3"},
		{Role: keys.RoleEntry, Name: "e1"}: &ExchangeRequest{Sender: &EntryState{Entry: "e1"}},
		{Role: keys.RoleEntry, Name: "e2"}: &ReserveRequest{Entry: "e2"},
		{}:                                 &NotifyRequest{},
	} {
		if sender := StatedSender(message); sender != want {
			t.Errorf("%T: %+v", message, sender)
		}
	}
}
