package setting

import "hyssopjunction/clock"

// Slots limits the requests at a worker's endpoint.
type Slots struct {
	Slots       int `default:"8" min:"1" max:"1024" doc:"Most requests an endpoint executes at the same time"`
	Connections int `default:"64" min:"1" max:"4096" doc:"Most connections to an endpoint"`
	Queue       int `default:"256" min:"0" max:"100000" doc:"Most requests that wait for a slot"`
}

func (slots Slots) check(reader *reader) {
	reader.require(slots.Slots <= slots.Connections,
		[]string{"Requests.Slots", "Requests.Connections"},
		"must not exceed Requests.Connections (%d), is %d", slots.Connections, slots.Slots)
}

// Requests limits the requests of callers.
type Requests struct {
	MinPatienceMillis     clock.Millis `default:"10" min:"1" max:"3600000" doc:"Least patience; shorter ones are raised to it"`
	DefaultPatienceMillis clock.Millis `default:"5000" min:"1" max:"3600000" doc:"Patience of a request that gives none"`
	MaxPatienceMillis     clock.Millis `default:"120000" min:"1" max:"3600000" doc:"Most patience; longer ones are refused"`
	BodyBytes             int64        `default:"1048576" min:"1" max:"67108864" doc:"Largest body of a request or response, in bytes"`
	RetryBudgetPercent    int          `default:"10" min:"0" max:"100" doc:"Most retries relative to requests"`
	RetentionMillis       clock.Millis `default:"86400000" min:"1000" max:"604800000" doc:"Time for which the result of a keyed submission is kept"`
}

func (requests Requests) check(reader *reader) {
	reader.require(requests.MinPatienceMillis <= requests.DefaultPatienceMillis,
		[]string{"Requests.MinPatienceMillis", "Requests.DefaultPatienceMillis"},
		"must not exceed Requests.DefaultPatienceMillis (%d), is %d", requests.DefaultPatienceMillis, requests.MinPatienceMillis)
	reader.require(requests.DefaultPatienceMillis <= requests.MaxPatienceMillis,
		[]string{"Requests.DefaultPatienceMillis", "Requests.MaxPatienceMillis"},
		"must not exceed Requests.MaxPatienceMillis (%d), is %d", requests.MaxPatienceMillis, requests.DefaultPatienceMillis)
	reader.require(requests.MaxPatienceMillis <= requests.RetentionMillis,
		[]string{"Requests.RetentionMillis", "Requests.MaxPatienceMillis"},
		"must not be below Requests.MaxPatienceMillis (%d), is %d", requests.MaxPatienceMillis, requests.RetentionMillis)
}
