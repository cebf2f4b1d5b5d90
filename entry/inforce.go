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
	applied map[ident.Worker]ident.Version
	// homes are the lowest versions among the agents of other entries; 0 if one has none.
	homes map[ident.Entry]ident.Version
}

func newInForce() *inForce {
	return &inForce{applied: map[ident.Worker]ident.Version{}, homes: map[ident.Entry]ident.Version{}}
}

// agentApplied takes the version that an agent told.
func (inForce *inForce) agentApplied(worker ident.Worker, version ident.Version) {
	inForce.applied[worker] = max(inForce.applied[worker], version)
}

// lowest returns the lowest version among the given workers, 0 if there are none.
func (inForce *inForce) lowest(workers []ident.Worker) ident.Version {
	lowest := ident.Version(0)
	for index, worker := range workers {
		if version := inForce.applied[worker]; index == 0 || version < lowest {
			lowest = version
		}
	}
	return lowest
}

// selfMessage returns what this entry tells others of itself.
func (entry *Entry) selfMessage() *controlpb.EntryState {
	message := entry.entries.Self().Message()
	message.AgentsVersion = uint64(entry.inForce.lowest(entry.workers.Own()))
	return message
}

// lagging names the live daemons that have not told that they applied the version. Agents homed at
// other entries are named by their entry.
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
			if known.ConfigVersion < version {
				names = append(names, string(known.ID))
			}
			if lowest := entry.inForce.homes[known.ID]; lowest > 0 && lowest < version {
				names = append(names, "agents of "+string(known.ID))
			}
		}
		for _, worker := range entry.workers.Own() {
			if entry.inForce.applied[worker] < version {
				names = append(names, string(worker))
			}
		}
	})
	return names
}
