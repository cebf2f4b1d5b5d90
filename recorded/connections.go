package recorded

import (
	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/dispatch"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
)

const (
	// freshReply is the age of the last reply up to which a connection is kept for a query.
	freshReply = clock.Second
	// pingBound is when the transport closes a connection without an answer, the sum of pingAfter and
	// pingTimeout in package controlpb.
	pingBound = 13 * clock.Second
)

// ends names the two daemons of a connection and which of them dialled it.
type ends struct {
	entry     ident.Entry
	agent     ident.Worker
	fromAgent bool
}

// connection carries messages between an entry and an agent. A silent one loses all of them for ever
// without an error.
type connection struct {
	ends       ends
	deployment *deployment
	silent     bool
	// replied is when it was dialled or the last reply arrived.
	replied clock.Time
}

// connection returns the open connection, and dials one if there is none.
func (deployment *deployment) connection(ends ends) *connection {
	open := deployment.connections[ends]
	if open == nil {
		open = &connection{ends: ends, deployment: deployment, replied: deployment.now()}
		deployment.connections[ends] = open
	}
	return open
}

// send delivers a message after a hop, unless the connection went silent before its arrival.
func (open *connection) send(deliver func()) {
	open.deployment.send(func() {
		if open.silent {
			open.deployment.checks.silenced++
			open.deployment.after(pingBound, open.replace)
			return
		}
		deliver()
	})
}

// reply delivers an answer over the connection of the request.
func (open *connection) reply(deliver func()) {
	open.send(func() {
		open.replied = open.deployment.now()
		deliver()
	})
}

// replace closes the connection, so that the next message dials another one.
func (open *connection) replace() {
	if open.deployment.connections[open.ends] == open {
		delete(open.deployment.connections, open.ends)
		open.deployment.checks.replaced++
	}
}

// fresh returns a connection for a query, without the use of one that may be silent.
func (deployment *deployment) fresh(ends ends) *connection {
	if open := deployment.connection(ends); deployment.now().Sub(open.replied) >= freshReply {
		open.replace()
	}
	return deployment.connection(ends)
}

// silence makes all open connections silent. Connections that are dialled later work.
func (deployment *deployment) silence() {
	for _, open := range deployment.connections {
		open.silent = true
	}
	deployment.checks.silentConnections += len(deployment.connections)
}

// suspect asks the agent for the request after a time without an answer.
func (entry *entry) suspect(next *attempt) {
	// A slow service is not asked about every request, as in package dispatch.
	silence := dispatch.Defaults().Silence
	if next.decision != nil {
		silence = max(silence, 4*next.decision.Report.Service)
	}
	entry.deployment.after(silence, func() {
		if next.over || next.dead() {
			return
		}
		entry.deployment.checks.queries++
		open := entry.deployment.fresh(ends{entry: entry.id, agent: next.agent.name})
		open.send(func() { next.agent.query(next, open) })
		entry.suspect(next)
	})
}

// query answers whether a request ran. An absent request is refused, also when a copy arrives later.
func (agent *agent) query(next *attempt, open *connection) {
	agent.receive(func() {
		if !agent.alive {
			return
		}
		deployment := agent.deployment
		if agent.incarnation != next.target.Incarnation {
			open.reply(func() {
				next.at.replied(next, admission.Action{Kind: admission.Refuse, Outcome: outcome.Unknown}, agent.load(agent.controller.Load()))
			})
			return
		}
		status := agent.controller.Query(deployment.now(), next.id, true)
		load := agent.load(agent.controller.Load())
		switch {
		case status.State == admission.Finished && status.Answer.Outcome == outcome.Ran:
			open.reply(func() { next.at.replied(next, admission.Action{Kind: admission.Deliver, Answer: status.Answer}, load) })
		case status.State == admission.Denied:
			deployment.checks.denied(next.id)
			open.reply(func() {
				next.at.replied(next, admission.Action{Kind: admission.Refuse, Outcome: outcome.NotRun}, load)
			})
		}
	})
}
