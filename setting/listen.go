package setting

// EntryListen holds the addresses on which an entry listens.
type EntryListen struct {
	Caller   string `kind:"address" default:"127.0.0.1:7010" doc:"Address of the HTTP API for callers"`
	Operator string `kind:"address" default:"127.0.0.1:7011" doc:"Address of the HTTP API for operators"`
	Control  string `kind:"address" default:"127.0.0.1:7012" doc:"Address of the gRPC service for agents and other entries"`
	// AdvertiseControl and AdvertiseCaller are needed when the daemon listens on all interfaces, whose
	// address other daemons cannot call.
	AdvertiseControl string `kind:"address" optional:"true" doc:"Control address given to other daemons; empty is Control"`
	AdvertiseCaller  string `kind:"address" optional:"true" doc:"Caller address given to other daemons; empty is Caller"`
}

// AgentListen holds the address on which an agent listens.
type AgentListen struct {
	Control          string `kind:"address" default:"127.0.0.1:7020" doc:"Address of the gRPC service for entries"`
	AdvertiseControl string `kind:"address" optional:"true" doc:"Control address given to entries; empty is Control"`
}

// StandInListen holds the address on which the stand-in listens.
type StandInListen struct {
	Platform string `kind:"address" default:"127.0.0.1:7000" doc:"Address of table, object store, worker runtimes, /faults and /records"`
}

// Peers holds the entries that a daemon calls first; they report the others to it.
type Peers struct {
	Entries []string `kind:"address" doc:"Control addresses of a few entries, best in different data centres"`
}
