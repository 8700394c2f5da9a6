package coordination

// Reasons of decisions.
const (
	ReasonNoTable        Reason = "no-table"
	ReasonNoMembers      Reason = "no-members"
	ReasonUnknownAddress Reason = "unknown-address"
	ReasonSynData        Reason = "syn-data"
	ReasonKnownFlow      Reason = "known-flow"
	ReasonToOwner        Reason = "to-owner"
	ReasonAdmitted       Reason = "admitted"
	ReasonNoTarget       Reason = "no-target"
	ReasonReturn         Reason = "return"
)
