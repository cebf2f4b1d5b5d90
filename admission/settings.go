// Package admission decides which requests an endpoint runs, queues or refuses. The agent of an
// endpoint uses a Controller, which does no I/O: its methods take the current time and return the
// actions that the agent carries out. A Limiter bounds the number of requests inside an entry.
package admission

import "hyssopjunction/clock"

// Settings holds the limits of one endpoint. Zero values are replaced by those of Defaults.
type Settings struct {
	// Slots is the maximum number of running requests.
	Slots int
	// Connections is the maximum number of running requests and open streams together.
	Connections int
	// Queue is the maximum number of queued requests.
	Queue int
	// QueueBytes is the maximum total size of the bodies of queued requests.
	QueueBytes int
	// PriorService is the service time assumed before the first measurement.
	PriorService clock.Millis
	// AnswerRetention is how long the answer of an idempotent request is kept, in case the reply is lost
	// and the request arrives again.
	AnswerRetention clock.Millis
	// KeyedRetention is how long the id and the answer of any other request are kept.
	KeyedRetention clock.Millis
	// RefusedRetention is the minimum time for which the id of a refused request is kept.
	RefusedRetention clock.Millis
	// FencedRetention is the minimum time for which an id that a query refused is kept. It must exceed
	// any pause of an entry between claiming a request and sending it.
	FencedRetention clock.Millis
	// AnswerBytes is the maximum total size of the bodies of kept answers.
	AnswerBytes int
	// RefusedIDs is the maximum number of ids in each generation of an id set. Refusals beyond it get the
	// outcome Unknown, because a late copy of the request would not be recognised.
	RefusedIDs int
}

// Defaults returns the default settings, which the deployments use.
func Defaults() Settings {
	return Settings{
		Slots:       8,
		Connections: 64,
		Queue:       128,
		QueueBytes:  16 << 20,
		// Only the first requests of an endpoint depend on it.
		PriorService:    10 * clock.Millisecond,
		AnswerRetention: 30 * clock.Second,
		KeyedRetention:  10 * clock.Minute,
		// 8 slots at a service time of 10 ms serve 800 requests a second. At 5 times that load, the
		// 3,200 refusals a second add up to 384,000 ids in 2 minutes.
		RefusedRetention: 2 * clock.Minute,
		FencedRetention:  clock.Day,
		AnswerBytes:      16 << 20,
		RefusedIDs:       500_000,
	}
}

func (settings Settings) withDefaults() Settings {
	defaults := Defaults()
	setDefault(&settings.Slots, defaults.Slots)
	setDefault(&settings.Connections, defaults.Connections)
	setDefault(&settings.Queue, defaults.Queue)
	setDefault(&settings.QueueBytes, defaults.QueueBytes)
	setDefault(&settings.PriorService, defaults.PriorService)
	setDefault(&settings.AnswerRetention, defaults.AnswerRetention)
	setDefault(&settings.KeyedRetention, defaults.KeyedRetention)
	setDefault(&settings.RefusedRetention, defaults.RefusedRetention)
	setDefault(&settings.FencedRetention, defaults.FencedRetention)
	setDefault(&settings.AnswerBytes, defaults.AnswerBytes)
	setDefault(&settings.RefusedIDs, defaults.RefusedIDs)
	return settings
}

// setDefault sets a field that has the zero value.
func setDefault[Value comparable](field *Value, fallback Value) {
	var zero Value
	if *field == zero {
		*field = fallback
	}
}
