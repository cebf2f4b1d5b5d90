package setting

// Entry is the root of the settings of an entry daemon.
type Entry struct {
	Identity  Identity
	Listen    EntryListen
	Table     Table
	Objects   Objects
	Requests  Requests
	Tasks     Tasks
	Config    Config
	Regions   Regions
	Shutdown  Shutdown
	TLS       TLS
	Operators Operators
	Log       Log
	Metrics   Metrics
}

func (entry *Entry) check(reader *reader) {
	entry.Requests.check(reader)
	entry.Tasks.check(reader)
	entry.TLS.check(reader)
	entry.Regions.check(reader, entry.Listen)
	checkDistinct(reader, map[string]string{
		"Listen.Caller": entry.Listen.Caller, "Listen.Operator": entry.Listen.Operator,
		"Listen.Control": entry.Listen.Control, "Metrics.Listen": entry.Metrics.Listen,
	})
}
