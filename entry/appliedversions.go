package entry

import (
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
)

// inForce knows which configuration versions the daemons have applied. Agents tell their home, and
// each entry tells the others the lowest version among its agents, because the states of single
// workers reach other entries late. It belongs to the control goroutine.
type inForce struct {
	// applied are the newest versions told by agents homed here.
	applied map[ident.Worker]agentVersion
	// homes are what other entries told of their agents.
	homes map[ident.Entry]homeVersion
}

// agentVersion is the version that one incarnation of an agent has applied. A newer incarnation starts
// without configuration.
type agentVersion struct {
	incarnation ident.Incarnation
	version     ident.Version
}

// homeVersion is the lowest version among the agents of an entry.
type homeVersion struct {
	lowest ident.Version
	agents int
}

func newInForce() *inForce {
	return &inForce{applied: map[ident.Worker]agentVersion{}, homes: map[ident.Entry]homeVersion{}}
}

// agentApplied takes the version that an incarnation of an agent told. Versions of one incarnation only
// rise.
func (inForce *inForce) agentApplied(worker ident.Worker, incarnation ident.Incarnation, version ident.Version) {
	known := inForce.applied[worker]
	switch {
	case incarnation > known.incarnation:
		inForce.applied[worker] = agentVersion{incarnation: incarnation, version: version}
	case incarnation == known.incarnation && version > known.version:
		known.version = version
		inForce.applied[worker] = known
	}
}

// lowest returns the lowest version among the given workers, 0 if there are none.
func (inForce *inForce) lowest(workers []ident.Worker) ident.Version {
	lowest := ident.Version(0)
	for index, worker := range workers {
		if version := inForce.applied[worker].version; index == 0 || version < lowest {
			lowest = version
		}
	}
	return lowest
}

// selfMessage returns what this entry tells others of itself.
func (entry *Entry) selfMessage() *controlpb.EntryState {
	message := entry.entries.Self().Message()
	own := entry.workers.Own()
	message.AgentsVersion, message.Agents = uint64(entry.inForce.lowest(own)), uint32(len(own))
	return message
}

// selfMessageFor returns the state that heartbeats tell, without the addresses and the place if the
// peer knows them of this incarnation.
func (entry *Entry) selfMessageFor(whole bool, known ident.Incarnation) *controlpb.EntryState {
	message := entry.selfMessage()
	if !whole && known == entry.incarnation {
		message.ControlAddress, message.CallerAddress, message.Region, message.DataCentre = "", "", "", ""
	}
	return message
}

// lagging names the live daemons that have not told that they applied the version. Agents homed at
// other entries are named by their entry.
//
// It is called while an operator waits, so the other entries that lag are asked again soon: their
// replies tell what they and their agents have applied.
func (entry *Entry) lagging(version ident.Version) []string {
	var names []string
	entry.control.Call(func() {
		for _, known := range entry.entries.Live(entry.time.Now()) {
			if known.ID == entry.settings.ID {
				if entry.publisher.Current().Version() < version {
					names = append(names, string(known.ID))
				}
				continue
			}
			home := entry.inForce.homes[known.ID]
			if known.ConfigVersion < version || home.agents > 0 && home.lowest < version {
				entry.workers.ExpediteExchange(known.ID)
			}
			if known.ConfigVersion < version {
				names = append(names, string(known.ID))
			}
			if home.agents > 0 && home.lowest < version {
				names = append(names, "agents of "+string(known.ID))
			}
		}
		for _, worker := range entry.workers.Own() {
			if entry.inForce.applied[worker].version < version {
				names = append(names, string(worker))
			}
		}
	})
	return names
}
