package dsr

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Token identifies a target. It is carried in a packet field that both ends of a
// flow repeat. Zero means no target.
type Token uint32

// Packet holds the fields of a caller's packet that decisions depend on.
type Packet struct {
	Flow protocol.FlowKey
	// Opener marks the first packet of a flow.
	Opener bool
	// Retransmits is the number of times that the caller sent the opener before this
	// packet, 0 for the first transmission.
	Retransmits uint32
	// Fin marks the end of the caller's data, Reset a reset by the caller.
	Fin   bool
	Reset bool
	// Token is the latest token that the caller received on this flow.
	Token Token
	// Seq is the sequence number of the first payload byte, Ack that of the next byte
	// that the caller expects.
	Seq uint32
	Ack uint32
	// Bytes is the length of the payload.
	Bytes int
}

// endSeq returns the sequence number that follows the packet.
func (p Packet) endSeq() uint32 {
	next := p.Seq + uint32(p.Bytes)
	if p.Fin {
		next++
	}
	return next
}

// seqAfter reports whether sequence number a is after b, modulo 2^32.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// Action is what the transport layer does with a packet.
type Action uint8

// Actions.
const (
	// ActionDrop discards the packet.
	ActionDrop Action = iota
	// ActionForward sends the packet to the target with its token.
	ActionForward
	// ActionReset sends a reset to the caller.
	ActionReset
)

// String returns the name of an action.
func (a Action) String() string {
	return [...]string{"drop", "forward", "reset"}[a]
}

// Reason identifies why a decision was made. Each reason has a counter.
type Reason string

// Reasons for decisions.
const (
	// Forwarded.
	ReasonAdmitted       Reason = "admitted"
	ReasonRepeatedOpener Reason = "repeated-opener"
	ReasonRetriedOpener  Reason = "retried-opener"
	ReasonToken          Reason = "token"

	// Reset.
	ReasonNoRoute      Reason = "no-route"
	ReasonRouteRemoved Reason = "route-removed"
	ReasonNoTarget     Reason = "no-target"
	ReasonOverload     Reason = "overload"
	ReasonTargetSilent Reason = "target-silent"
	ReasonTargetGone   Reason = "target-gone"

	// Dropped.
	ReasonNotReady        Reason = "not-ready"
	ReasonUnknownToken    Reason = "unknown-token"
	ReasonForeignToken    Reason = "token-of-other-service"
	ReasonUnknownRoute    Reason = "unknown-route"
	ReasonNoTargetForCopy Reason = "no-target-for-copy"
	// ReasonRemovalUnconfirmed means that the routes here lack a route that they had, and that the
	// flow may be newer than its removal.
	ReasonRemovalUnconfirmed Reason = "removal-unconfirmed"
	ReasonOpenerWithData     Reason = "opener-with-data"
)

// Decision says what to do with one packet, and why.
type Decision struct {
	Action Action
	Reason Reason
	// Target is the target that a packet is forwarded to, or whose failure caused a
	// reset, as announced at the time of the decision. Its ID is empty if there is none.
	Target Announcement
	Token  Token
	// Route is the packet's route, nil if there is none.
	Route *Route
	// InFlight is this balancer's number of in-flight requests at the target before an
	// opener was admitted, or those that counted against InFlightLimit when one was refused.
	InFlight int
	// InFlightLimit is the limit of in-flight requests of an overloaded service that
	// caused an opener to be refused, 0 otherwise.
	InFlightLimit float64
	// ResponseTime is the duration of the request whose answer the packet acknowledges,
	// 0 if it acknowledges none.
	ResponseTime time.Duration
	// RoutesVersion is the version of the routes and ListingAge the age of the target
	// data that the decision is based on.
	RoutesVersion uint64
	ListingAge    time.Duration
	// Failures describes the unanswered packets of the previous target of a retransmitted
	// opener, or of the target of a flow that is reset.
	Failures FailureSummary

	target *Target
}
