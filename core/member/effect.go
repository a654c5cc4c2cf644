package member

import (
	"fmt"
	"net/netip"
	"time"

	"lavenderdeal/schema/messages"
)

// Effect is an action for the caller to carry out: Send or Changed.
type Effect interface{ implementsEffect() }

// Send is a request to be sent to a peer. The caller passes it to
// [Table.HandleAnswer] with the answer, or to [Table.HandleTimeout].
type Send struct {
	To      netip.AddrPort
	Request Request
	// Timeout is how long to wait for the answer.
	Timeout time.Duration

	purpose purpose
	// target is the id of the member that is probed, or "" if it is not known.
	target string
	// zone is the zone that a representative probes.
	zone string
}

// Changed reports a change of state and its cause.
type Changed struct {
	// Kind is joined, noPeer, refuted, superseded, resumedAfterPause, memberAlive,
	// memberSuspect, memberFailed, zoneCutOff or zoneReached.
	Kind string
	// Subject is the id of the node, or the name of the zone, that changed.
	Subject string
	// Detail is a human-readable cause.
	Detail string
}

// Request is a message that expects an answer: Probe, ProbeFor, Sync or Join.
type Request interface{ implementsRequest() }

// Answer is the answer to a request: Ack, Reached, SyncAnswer or JoinAnswer.
type Answer interface{ implementsAnswer() }

type (
	// Probe checks that a member is alive and carries changed records. Its answer
	// is an Ack.
	Probe messages.Gossip
	// ProbeFor requests a probe of another member. Its answer is Reached.
	ProbeFor messages.ProbeFor
	// Sync is one step of a comparison of records. Its answer is a SyncAnswer.
	Sync messages.Sync
	// Join requests a page of all members. Its answer is a JoinAnswer.
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

// purpose determines how the answer to a request, or its timeout, is processed.
type purpose uint8

const (
	// purposeProbe is the periodic probe of a member of the zone.
	purposeProbe purpose = iota
	// purposeIndirect is a ProbeFor, and purposeRelay the probe sent for one.
	purposeIndirect
	purposeRelay
	// purposePush is a probe that carries new records. Its timeout is ignored.
	purposePush
	// purposeZone is a representative's probe of another zone.
	purposeZone
	// purposeRetry is a probe of a failed member or a seed. Its timeout is ignored.
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

// changedf reports a Changed.
func (t *Table) changedf(kind, subject, format string, args ...any) {
	t.effects = append(t.effects, Changed{Kind: kind, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}
