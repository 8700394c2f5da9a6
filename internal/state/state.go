// Package state holds the flow table, the service table of each configuration
// generation, the load of the targets, and target selection.
package state

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// Strength is the level of confirmation of a binding of a flow to a target.
type Strength uint8

// Strengths of a binding, weakest first.
const (
	// StrengthWeak marks a binding that a balancer other than owner and backup created
	// from a return packet.
	StrengthWeak Strength = iota
	// StrengthTentative marks a binding made by the owner that no caller packet has
	// confirmed yet.
	StrengthTentative
	// StrengthConfirmed marks a binding for which a caller packet echoed the answer tag
	// of the target.
	StrengthConfirmed
)

// String returns the name of the strength.
func (s Strength) String() string {
	switch s {
	case StrengthTentative:
		return "tentative"
	case StrengthConfirmed:
		return "confirmed"
	}
	return "weak"
}

// Binding is the form of a flow table entry that is sent to another balancer.
type Binding struct {
	Flow      protocol.FlowKey
	Target    protocol.Endpoint
	Strength  Strength
	OpenerTag uint32
	AnswerTag uint32
	Idle      time.Duration
}
