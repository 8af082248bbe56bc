package quota

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

// HandleMessage processes a message from a host.
func (n *Node) HandleMessage(now time.Time, from string, message *wirepb.ShareMessage) []Effect {
	n.dispatch(now, from, message)
	return n.flushEffects(now)
}

// dispatch passes a message on to its handler.
func (n *Node) dispatch(now time.Time, from string, message *wirepb.ShareMessage) {
	switch body := message.GetBody().(type) {
	case *wirepb.ShareMessage_Report:
		n.handleReport(now, from, body.Report)
	case *wirepb.ShareMessage_Grant:
		n.handleGrant(now, from, body.Grant)
	case *wirepb.ShareMessage_Ack:
		if n.coordinator != nil {
			n.coordinator.handleAck(now, from, body.Ack)
		}
	case *wirepb.ShareMessage_Witness:
		n.forwardWitness(now, from, body.Witness)
	}
}

// forwardWitness forwards an agent's query to the other agents, and an answer
// to the agent that sent the query.
func (n *Node) forwardWitness(now time.Time, from string, w *wirepb.ShareWitness) {
	message := &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Witness{Witness: w}}
	if w.GetAnswered() {
		n.sendMessage(now, w.GetAsker(), message)
		return
	}
	w.Asker = from
	for _, host := range slices.Sorted(maps.Keys(n.agents)) {
		if host != from && n.agents[host].connected {
			n.sendMessage(now, host, message)
		}
	}
}

// handleReport handles an entry's report, if this node is the coordinator of the
// report's term. A report of a higher term ends its own.
func (n *Node) handleReport(now time.Time, from string, r *wirepb.ShareReport) {
	c := n.coordinator
	if c == nil || r.GetTerm() < c.term {
		return
	}
	if r.GetTerm() > c.term {
		n.stepDown(now)
		return
	}
	switch c.handleReport(now, from, r) {
	case reportNeedsFull:
		n.requestFullReport(now, from)
	case reportFenced:
		n.sendGrant(now, from, &wirepb.ShareGrant{
			Term:        c.term,
			Incarnation: r.GetIncarnation(),
			Fenced:      true,
		})
	}
}

// handleGrant applies a coordinator's grant, unless its term is outdated.
func (n *Node) handleGrant(now time.Time, from string, g *wirepb.ShareGrant) {
	if g.GetTerm() < n.holder.term {
		return
	}
	n.followTerm(now, g.GetTerm(), from)
	if from != n.host {
		n.lostTerms = 0
	}
	if g.GetCensus() {
		n.sendReport(now, true)
		return
	}
	if g.GetIncarnation() != n.holder.incarnation {
		return
	}
	if g.GetFenced() {
		n.holder.rejoin(now)
		n.sendReport(now, true)
		return
	}
	returnedAny := n.holder.applyMoves(now, g.GetMoves())
	n.handleAnswers(now, g)
	if returnedAny {
		n.sendReport(now, false)
	}
}

// sendReport reports the node's shares to the coordinator.
func (n *Node) sendReport(now time.Time, full bool) {
	if n.coordinatorHost == "" {
		return
	}
	n.lastReportAt = now
	r := n.holder.report(now, full)
	r.Leaving = n.leaving
	n.sendMessage(now, n.coordinatorHost, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Report{Report: r}})
}

// sendGrant sends a grant to an entry.
func (n *Node) sendGrant(now time.Time, to string, g *wirepb.ShareGrant) {
	n.sendMessage(now, to, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Grant{Grant: g}})
}

// sendMessage sends a message; one to the node itself is processed at once.
func (n *Node) sendMessage(now time.Time, to string, m *wirepb.ShareMessage) {
	if to == n.host {
		n.dispatch(now, n.host, m)
		return
	}
	n.effects = append(n.effects, Send{
		Host:    to,
		Message: m,
	})
}
