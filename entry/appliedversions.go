package entry

import (
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
)

// appliedVersions holds the configuration versions that the daemons have applied. Agents report
// theirs to their home entry, and each entry sends the others the lowest version among its agents,
// because the states of single workers reach other entries late. It belongs to the control
// goroutine.
type appliedVersions struct {
	// agents holds the newest version that each agent homed here has reported.
	agents map[ident.Worker]agentVersion
	// homes holds the lowest version that each other entry has reported for its agents.
	homes map[ident.Entry]homeVersion
}

// agentVersion is the version that one incarnation of an agent has applied. A new incarnation
// starts without configuration.
type agentVersion struct {
	incarnation ident.Incarnation
	version     ident.Version
}

// homeVersion is the lowest version among the agents of an entry, and their number.
type homeVersion struct {
	lowest ident.Version
	agents int
}

func newAppliedVersions() *appliedVersions {
	return &appliedVersions{agents: map[ident.Worker]agentVersion{}, homes: map[ident.Entry]homeVersion{}}
}

// recordAgent stores the version that an incarnation of an agent reported. A lower version of the
// same incarnation comes from a late message and is ignored.
func (versions *appliedVersions) recordAgent(worker ident.Worker, incarnation ident.Incarnation, version ident.Version) {
	agent := versions.agents[worker]
	switch {
	case incarnation > agent.incarnation:
		versions.agents[worker] = agentVersion{incarnation: incarnation, version: version}
	case incarnation == agent.incarnation && version > agent.version:
		agent.version = version
		versions.agents[worker] = agent
	}
}

// lowest returns the lowest version among the given workers, 0 if there are none.
func (versions *appliedVersions) lowest(workers []ident.Worker) ident.Version {
	lowest := ident.Version(0)
	for index, worker := range workers {
		if version := versions.agents[worker].version; index == 0 || version < lowest {
			lowest = version
		}
	}
	return lowest
}

// ownState returns the state of this entry for other entries.
func (entry *Entry) ownState() *controlpb.EntryState {
	message := entry.entries.Self().Message()
	workers := entry.workers.Own()
	message.AgentsVersion, message.Agents = uint64(entry.versions.lowest(workers)), uint32(len(workers))
	return message
}

// ownStateFor returns the state of this entry for one peer. It leaves out the addresses and the
// place if the peer already has them for this incarnation, unless full is set.
func (entry *Entry) ownStateFor(full bool, knownIncarnation ident.Incarnation) *controlpb.EntryState {
	message := entry.ownState()
	if !full && knownIncarnation == entry.incarnation {
		message.ControlAddress, message.CallerAddress, message.Region, message.DataCentre = "", "", "", ""
	}
	return message
}

// lagging returns the names of the live daemons that have not reported the version as applied. For
// agents homed at other entries it names the entry.
//
// It is called while an operator waits, so it expedites the next exchange with entries that lag:
// their replies contain the versions that they and their agents have applied.
func (entry *Entry) lagging(version ident.Version) []string {
	var names []string
	entry.control.Call(func() {
		for _, peer := range entry.entries.Live(entry.time.Now()) {
			if peer.ID == entry.settings.ID {
				if entry.configPublisher.Current().Version() < version {
					names = append(names, string(peer.ID))
				}
				continue
			}
			home := entry.versions.homes[peer.ID]
			if peer.ConfigVersion < version || home.agents > 0 && home.lowest < version {
				entry.workers.ExpediteExchange(peer.ID)
			}
			if peer.ConfigVersion < version {
				names = append(names, string(peer.ID))
			}
			if home.agents > 0 && home.lowest < version {
				names = append(names, "agents of "+string(peer.ID))
			}
		}
		for _, worker := range entry.workers.Own() {
			if entry.versions.agents[worker].version < version {
				names = append(names, string(worker))
			}
		}
	})
	return names
}
