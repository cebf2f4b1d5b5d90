package recorded

import (
	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/dispatch"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
)

const (
	// maxReplyAge is the age of the last reply above which a query uses a new connection.
	maxReplyAge = clock.Second
	// keepaliveTimeout is the time after which the transport closes a connection without an answer:
	// the sum of keepaliveInterval and keepaliveTimeout in package controlpb.
	keepaliveTimeout = 13 * clock.Second
)

// connectionKey identifies a connection by its two daemons and by which of them dialled it.
type connectionKey struct {
	entry     ident.Entry
	agent     ident.Worker
	fromAgent bool
}

// connection carries messages between an entry and an agent. A silent connection loses all messages
// without an error.
type connection struct {
	key        connectionKey
	deployment *deployment
	silent     bool
	// lastReply is when the last reply arrived, or else when the connection was dialled.
	lastReply clock.Time
}

// connection returns the open connection, and dials one if there is none.
func (deployment *deployment) connection(key connectionKey) *connection {
	conn := deployment.connections[key]
	if conn == nil {
		conn = &connection{key: key, deployment: deployment, lastReply: deployment.now()}
		deployment.connections[key] = conn
	}
	return conn
}

// send delivers a message after a hop, unless the connection is silent when it arrives.
func (conn *connection) send(deliver func()) {
	conn.deployment.send(func() {
		if conn.silent {
			conn.deployment.checks.lostMessages++
			conn.deployment.after(keepaliveTimeout, conn.close)
			return
		}
		deliver()
	})
}

// reply delivers an answer over the connection of its request.
func (conn *connection) reply(deliver func()) {
	conn.send(func() {
		conn.lastReply = conn.deployment.now()
		deliver()
	})
}

// close closes the connection, so that the next message dials a new one.
func (conn *connection) close() {
	if conn.deployment.connections[conn.key] == conn {
		delete(conn.deployment.connections, conn.key)
		conn.deployment.checks.closedConnections++
	}
}

// freshConnection returns a connection for a query. It replaces an open one that may have become
// silent.
func (deployment *deployment) freshConnection(key connectionKey) *connection {
	if conn := deployment.connection(key); deployment.now().Sub(conn.lastReply) >= maxReplyAge {
		conn.close()
	}
	return deployment.connection(key)
}

// silenceConnections makes all open connections silent. Connections dialled later work.
func (deployment *deployment) silenceConnections() {
	for _, conn := range deployment.connections {
		conn.silent = true
	}
	deployment.checks.silentConnections += len(deployment.connections)
}

// scheduleQuery queries the agent about a request that has not been answered for some time, and
// repeats the query until an answer arrives.
func (entry *entry) scheduleQuery(attempt *attempt) {
	// A slow service has a longer delay, as in package dispatch, so that not every request causes a
	// query.
	delay := dispatch.Defaults().Silence
	if attempt.decision != nil {
		delay = max(delay, 4*attempt.decision.Report.ServiceTime)
	}
	entry.deployment.after(delay, func() {
		if attempt.done || attempt.abandoned() {
			return
		}
		entry.deployment.checks.queries++
		conn := entry.deployment.freshConnection(connectionKey{entry: entry.id, agent: attempt.agent.name})
		conn.send(func() { attempt.agent.query(attempt, conn) })
		entry.scheduleQuery(attempt)
	})
}

// query replies whether a request ran. A request that has not arrived is denied, so that it is also
// refused if it arrives later.
func (agent *agent) query(attempt *attempt, conn *connection) {
	agent.receive(func() {
		if !agent.alive {
			return
		}
		deployment := agent.deployment
		if agent.incarnation != attempt.target.Incarnation {
			conn.reply(func() {
				attempt.entry.replied(attempt, admission.Action{Kind: admission.Refuse, Outcome: outcome.Unknown}, agent.routingReport(agent.controller.Load()))
			})
			return
		}
		status := agent.controller.Query(deployment.now(), attempt.id, true)
		load := agent.routingReport(agent.controller.Load())
		switch {
		case status.State == admission.Finished && status.Answer.Outcome == outcome.Ran:
			conn.reply(func() {
				attempt.entry.replied(attempt, admission.Action{Kind: admission.Deliver, Answer: status.Answer}, load)
			})
		case status.State == admission.Denied:
			deployment.checks.attemptDenied(attempt.id)
			conn.reply(func() {
				attempt.entry.replied(attempt, admission.Action{Kind: admission.Refuse, Outcome: outcome.NotRun}, load)
			})
		}
	})
}
