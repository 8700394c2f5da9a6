package coordination

// Reasons of decisions.
const (
	// Forwarded or returned.
	ReasonKnownFlow      Reason = "known-flow"
	ReasonAdmitted       Reason = "admitted"
	ReasonRepeated       Reason = "repeated-opener"
	ReasonRetried        Reason = "retried-opener"
	ReasonReopened       Reason = "reopened-flow"
	ReasonTableChoice    Reason = "table-choice"
	ReasonPreviousChoice Reason = "previous-table-choice"
	ReasonUncertain      Reason = "uncertain-binding"
	ReasonEnd            Reason = "end-of-flow"
	ReasonReturn         Reason = "return"
	ReasonHash           Reason = "hash"

	// Relayed.
	ReasonToOwner  Reason = "to-owner"
	ReasonToBackup Reason = "to-backup"
	ReasonToThird  Reason = "to-third"
	ReasonToHolder Reason = "to-former-owner"

	// Dropped.
	ReasonNoTable          Reason = "no-table"
	ReasonNoMembers        Reason = "no-members"
	ReasonUnknownAddress   Reason = "unknown-address"
	ReasonUnexpected       Reason = "unexpected-packet"
	ReasonServiceRemoved   Reason = "service-removed"
	ReasonSynData          Reason = "syn-data"
	ReasonZeroRTT          Reason = "zero-rtt"
	ReasonForeignTarget    Reason = "target-of-other-service"
	ReasonViewsDiffer      Reason = "views-differ"
	ReasonFrozen           Reason = "frozen"
	ReasonHoldOff          Reason = "hold-off"
	ReasonLeavingTarget    Reason = "opener-of-leaving-target"
	ReasonLateOpener       Reason = "late-opener"
	ReasonSecondConnection Reason = "second-connection-on-leaving-target"
	ReasonContradicted     Reason = "contradicted-binding"
	ReasonForeignAnswer    Reason = "answer-of-other-target"
	ReasonCancelled        Reason = "answer-of-cancelled-target"
	ReasonWrongGuess       Reason = "reset-of-guessed-target"
	ReasonOpenerReset      Reason = "opener-reset"
	ReasonTableFull        Reason = "flow-table-full"
	ReasonUnknownFlow      Reason = "unknown-flow"
	ReasonNoTargetUDP      Reason = "no-target-udp"

	// Refused.
	ReasonNoTarget Reason = "no-target"
	ReasonRefused  Reason = "refused-before"
)
