package dsr

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Token names a target in the field of a packet that both ends of a flow repeat.
// Zero stands for no target.
type Token uint32

// Packet is a caller's packet as the decision code sees it.
type Packet struct {
	Flow protocol.FlowKey
	// Opener marks the first packet of a flow.
	Opener bool
	// Copy is how many copies of the opener the caller sent before this one.
	Retransmits uint32
	// Fin marks the end of the caller's data, Abort a reset by the caller.
	Fin   bool
	Reset bool
	// Token is the token that the caller received last on this flow.
	Token Token
	// Seq is the number of the first byte, Ack the number of the next byte that the caller expects.
	Seq uint32
	Ack uint32
	// Bytes is the length of the payload.
	Bytes int
}

// end is the sequence number after the packet.
func (p Packet) endSeq() uint32 {
	next := p.Seq + uint32(p.Bytes)
	if p.Fin {
		next++
	}
	return next
}

// after reports whether sequence number a follows b, modulo 2^32.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// Action is what the transport layer does with a packet.
type Action uint8

// Actions of a decision.
const (
	// ActionDrop discards the packet.
	ActionDrop Action = iota
	// ActionForward sends the packet to the target with its token.
	ActionForward
	// ActionReset answers the caller with a reset.
	ActionReset
)

// String returns the name of an action.
func (a Action) String() string {
	return [...]string{"drop", "forward", "reset"}[a]
}

// Reason names why a decision was taken. Each reason has a counter.
type Reason string

// Reasons of decisions.
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
	ReasonOpenerWithData  Reason = "opener-with-data"
)

// Decision is the outcome for one packet.
type Decision struct {
	Action Action
	Reason Reason
	// To is where a forwarded packet goes, and the target that a reset is about,
	// as it was announced at the time; its ID is empty without one.
	Target Announcement
	Token  Token
	// Route is the route of the packet, nil when it has none.
	Route *Route
	// Running is the number of requests in progress at the target before an opener
	// was admitted, as this balancer counts them.
	InFlight int
	// Limit is the bound of the requests in progress at an overloaded service that an
	// opener met, Running their number; 0 for none.
	InFlightLimit float64
	// Answered is how long a request took whose answer the packet acknowledges; 0 for none.
	ResponseTime time.Duration
	// Version is the version of the routes, ListingAge the age of the reading of the targets that decided.
	RoutesVersion uint64
	ListingAge    time.Duration
	// Silence is what spoke against the target of a copy or a reset.
	Failures Silence

	target *Target
}
