package member

import (
	"fmt"
	"net/netip"
	"time"

	"lavenderdeal/schema/messages"
)

// Effect is what the caller does for the table: Send or Changed.
type Effect interface{ implementsEffect() }

// Send asks for a request to a peer. The caller hands it back with the answer or
// as lost.
type Send struct {
	To      netip.AddrPort
	Request Request
	// Timeout is the time after which the Send is lost.
	Timeout time.Duration

	purpose purpose
	// target is the member that is expected to answer, if any.
	target string
	// zone is the zone that is contacted.
	zone string
}

// Changed reports a change of state with its evidence.
type Changed struct {
	// Kind names the change in camel case.
	Kind string
	// Subject is the node or zone that changed.
	Subject string
	Detail  string
}

// Request is a message that wants an answer: Probe, ProbeFor, Sync or Join.
type Request interface{ implementsRequest() }

// Answer is the answer to a request: Ack, Reached, SyncAnswer or JoinAnswer.
type Answer interface{ implementsAnswer() }

type (
	// Probe asks whether a member is there and brings changes. Its answer is an
	// Ack.
	Probe messages.Gossip
	// ProbeFor asks for a probe of another member. Its answer is Reached.
	ProbeFor messages.ProbeFor
	// Sync compares members. Its answer is a SyncAnswer.
	Sync messages.Sync
	// Join asks for all members. Its answer is a JoinAnswer.
	Join messages.Join

	// Ack answers a Probe.
	Ack messages.Gossip
	// Reached answers a ProbeFor.
	Reached messages.Reached
	// SyncAnswer answers a Sync.
	SyncAnswer messages.SyncAnswer
	// JoinAnswer answers a Join.
	JoinAnswer messages.JoinAnswer
)

// purpose is why a request was sent.
type purpose uint8

const (
	purposeProbe purpose = iota
	purposeIndirect
	purposeRelay
	purposePush
	purposeZone
	purposeRetry
	purposeSync
	purposeJoin
)

func (Send) implementsEffect()    {}
func (Changed) implementsEffect() {}

func (Probe) implementsRequest()    {}
func (ProbeFor) implementsRequest() {}
func (Sync) implementsRequest()     {}
func (Join) implementsRequest()     {}

func (Ack) implementsAnswer()        {}
func (Reached) implementsAnswer()    {}
func (SyncAnswer) implementsAnswer() {}
func (JoinAnswer) implementsAnswer() {}

func (t *Table) send(s Send) { t.effects = append(t.effects, s) }

func (t *Table) changedf(kind, subject, format string, args ...any) {
	t.effects = append(t.effects, Changed{Kind: kind, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}
