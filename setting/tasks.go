package setting

import "hyssopjunction/clock"

// Tasks configures the placement of tasks and their leases. ReservationTermMillis and LeaseTermMillis must be
// the same at all entries and agents: otherwise a task could be placed again while it still runs.
type Tasks struct {
	RoundMillis           clock.Millis `default:"250" min:"10" max:"10000" doc:"Time between two scheduling rounds"`
	ReservationTermMillis clock.Millis `default:"2000" min:"100" max:"10000" doc:"Time after which an agent drops a reservation that was not started"`
	HeartbeatMillis       clock.Millis `default:"4000" min:"100" max:"60000" doc:"Time between two heartbeats of an agent"`
	LeaseTermMillis       clock.Millis `default:"20000" min:"1000" max:"600000" doc:"Term of the lease that a heartbeat grants to an agent"`
	OutageGraceMillis     clock.Millis `default:"3700000" min:"1000" max:"86400000" doc:"Time after the last renewal of an entry's row during which it may still grant leases"`
}

func (tasks Tasks) check(reader *reader) {
	reader.require(tasks.RoundMillis < tasks.ReservationTermMillis,
		[]string{"Tasks.RoundMillis", "Tasks.ReservationTermMillis"},
		"must be below Tasks.ReservationTermMillis (%d), is %d", tasks.ReservationTermMillis, tasks.RoundMillis)
	// A lease must outlast two lost heartbeats.
	reader.require(3*tasks.HeartbeatMillis <= tasks.LeaseTermMillis,
		[]string{"Tasks.HeartbeatMillis", "Tasks.LeaseTermMillis"},
		"must be at most a third of Tasks.LeaseTermMillis (%d), is %d", tasks.LeaseTermMillis, tasks.HeartbeatMillis)
	reader.require(tasks.LeaseTermMillis <= tasks.OutageGraceMillis,
		[]string{"Tasks.OutageGraceMillis", "Tasks.LeaseTermMillis"},
		"must not be below Tasks.LeaseTermMillis (%d), is %d", tasks.LeaseTermMillis, tasks.OutageGraceMillis)
}
