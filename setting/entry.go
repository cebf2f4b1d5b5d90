package setting

import "hyssopjunction/keys"

// Entry holds the settings of an entry daemon.
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
	Log       EntryLog
	Metrics   Metrics
}

// check reports contradictions between the settings.
func (entry *Entry) check(reader *reader) {
	entry.Requests.check(reader)
	entry.Tasks.check(reader)
	entry.TLS.check(reader)
	entry.TLS.checkListen(reader, "Listen.Caller", entry.Listen.Caller, false)
	entry.TLS.checkListen(reader, "Listen.Operator", entry.Listen.Operator, false)
	entry.TLS.checkListen(reader, "Listen.Control", entry.Listen.Control, false)
	entry.TLS.checkListen(reader, "Metrics.Listen", entry.Metrics.Listen, true)
	reader.require(entry.Operators.TokensFile != "" || !keys.IsErrPlaintext(keys.CheckListen(entry.Listen.Operator, false, false)),
		[]string{"Operators.TokensFile"}, "is required when operators are served on other addresses than loopback")
	entry.Regions.check(reader, entry.Listen)
	checkDistinct(reader, map[string]string{
		"Listen.Caller": entry.Listen.Caller, "Listen.Operator": entry.Listen.Operator,
		"Listen.Control": entry.Listen.Control, "Metrics.Listen": entry.Metrics.Listen,
	})
}
