package controlpb

import "hyssopjunction/keys"

// EntryCallers returns the roles that may call each method of service Entry. Report is called by agents
// and, for the tasks of unresponsive workers, by the entries that queried the worker runtime.
func EntryCallers() map[string][]keys.Role {
	return map[string][]keys.Role{
		Entry_Announce_FullMethodName: {keys.RoleAgent},
		Entry_Leave_FullMethodName:    {keys.RoleAgent},
		Entry_Report_FullMethodName:   {keys.RoleAgent, keys.RoleEntry},
		Entry_Exchange_FullMethodName: {keys.RoleEntry},
		Entry_Notify_FullMethodName:   {keys.RoleEntry},
		Entry_Explain_FullMethodName:  {keys.RoleEntry},
		Entry_Yield_FullMethodName:    {keys.RoleEntry},
		Entry_Pull_FullMethodName:     {keys.RoleEntry},
	}
}

// AgentCallers returns the roles that may call each method of service Agent: entries only.
func AgentCallers() map[string][]keys.Role {
	callers := map[string][]keys.Role{}
	for _, method := range Agent_ServiceDesc.Methods {
		callers["/"+Agent_ServiceDesc.ServiceName+"/"+method.MethodName] = []keys.Role{keys.RoleEntry}
	}
	for _, stream := range Agent_ServiceDesc.Streams {
		callers["/"+Agent_ServiceDesc.ServiceName+"/"+stream.StreamName] = []keys.Role{keys.RoleEntry}
	}
	return callers
}

// StatedSender returns the role and name that a request states of its sender, with keys.RoleNone if it
// states none.
func StatedSender(request any) keys.StatedSender {
	switch message := request.(type) {
	case *AnnounceRequest:
		return keys.StatedSender{Role: keys.RoleAgent, Name: message.GetState().GetWorker()}
	case *LeaveRequest:
		return keys.StatedSender{Role: keys.RoleAgent, Name: message.GetWorker()}
	case *ReportRequest:
		return keys.StatedSender{Role: keys.RoleAgent, Name: message.GetWorker()}
	case *ExchangeRequest:
		return keys.StatedSender{Role: keys.RoleEntry, Name: message.GetSender().GetEntry()}
	case *ReserveRequest:
		return keys.StatedSender{Role: keys.RoleEntry, Name: message.GetEntry()}
	default:
		return keys.StatedSender{}
	}
}
