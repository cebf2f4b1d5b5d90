// Package admission decides which requests one endpoint runs, queues or refuses. Controller is the
// state of one endpoint, owned by the agent beside it; Limiter bounds the requests inside an entry.
// Controller is pure: every method takes the time and returns the actions to carry out.
package admission

import "hyssopjunction/clock"

// Settings bounds one endpoint. Zero values are replaced by those of Defaults.
type Settings struct {
	// Slots is the number of requests that run at the same time.
	Slots int
	// Connections bounds running requests and open streams together.
	Connections int
	// Queue bounds the waiting requests.
	Queue int
	// QueueBytes bounds the bodies of the waiting requests together.
	QueueBytes int
	// PriorService is the assumed service time before the first measurement.
	PriorService clock.Millis
	// AnswerRetention is how long answers of idempotent requests are kept for lost replies.
	AnswerRetention clock.Millis
	// KeyedRetention is how long ids and answers of other requests are kept.
	KeyedRetention clock.Millis
	// RefusedRetention is how long the ids of refused requests are kept at least.
	RefusedRetention clock.Millis
	// FencedRetention is how long ids refused by a query are kept at least. It must exceed any
	// pause of an entry between its claim and its send.
	FencedRetention clock.Millis
	// AnswerBytes bounds the bodies of all kept answers together.
	AnswerBytes int
	// RefusedIDs bounds each generation of remembered refusals. Above it a refusal is reported as
	// unknown, because a late copy could no longer be recognised.
	RefusedIDs int
}

// Defaults returns the settings of the current deployments.
func Defaults() Settings {
	return Settings{
		Slots:       8,
		Connections: 64,
		Queue:       128,
		QueueBytes:  16 << 20,
		// A guess that only the first requests of an endpoint depend on.
		PriorService:    10 * clock.Millisecond,
		AnswerRetention: 30 * clock.Second,
		KeyedRetention:  10 * clock.Minute,
		// At 5 times the capacity of 8 slots of 10 ms, 3,200 refusals a second fill 384,000 ids.
		RefusedRetention: 2 * clock.Minute,
		FencedRetention:  clock.Day,
		AnswerBytes:      16 << 20,
		RefusedIDs:       500_000,
	}
}

func (settings Settings) withDefaults() Settings {
	defaults := Defaults()
	fill(&settings.Slots, defaults.Slots)
	fill(&settings.Connections, defaults.Connections)
	fill(&settings.Queue, defaults.Queue)
	fill(&settings.QueueBytes, defaults.QueueBytes)
	fill(&settings.PriorService, defaults.PriorService)
	fill(&settings.AnswerRetention, defaults.AnswerRetention)
	fill(&settings.KeyedRetention, defaults.KeyedRetention)
	fill(&settings.RefusedRetention, defaults.RefusedRetention)
	fill(&settings.FencedRetention, defaults.FencedRetention)
	fill(&settings.AnswerBytes, defaults.AnswerBytes)
	fill(&settings.RefusedIDs, defaults.RefusedIDs)
	return settings
}

func fill[Value comparable](field *Value, fallback Value) {
	var zero Value
	if *field == zero {
		*field = fallback
	}
}
