package coordination

// Reasons for decisions, grouped by action.
const (
	// Forwarded or returned.
	ReasonKnownFlow           Reason = "known-flow"
	ReasonAdmitted            Reason = "admitted"
	ReasonRepeatedOpener      Reason = "repeated-opener"
	ReasonRetriedOpener       Reason = "retried-opener"
	ReasonReopenedFlow        Reason = "reopened-flow"
	ReasonTableChoice         Reason = "table-choice"
	ReasonPreviousTableChoice Reason = "previous-table-choice"
	ReasonUncertainBinding    Reason = "uncertain-binding"
	ReasonEndOfFlow           Reason = "end-of-flow"
	ReasonReturn              Reason = "return"
	ReasonHash                Reason = "hash"

	// Relayed.
	ReasonToOwner       Reason = "to-owner"
	ReasonToBackup      Reason = "to-backup"
	ReasonToThird       Reason = "to-third"
	ReasonToFormerOwner Reason = "to-former-owner"

	// Dropped.
	ReasonNoTable             Reason = "no-table"
	ReasonNoMembers           Reason = "no-members"
	ReasonUnknownAddress      Reason = "unknown-address"
	ReasonUnexpectedPacket    Reason = "unexpected-packet"
	ReasonServiceRemoved      Reason = "service-removed"
	ReasonSynData             Reason = "syn-data"
	ReasonZeroRTT             Reason = "zero-rtt"
	ReasonOtherServiceTarget  Reason = "target-of-other-service"
	ReasonViewsDiffer         Reason = "views-differ"
	ReasonFrozen              Reason = "frozen"
	ReasonHoldOff             Reason = "hold-off"
	ReasonLeavingTarget       Reason = "opener-of-leaving-target"
	ReasonLateOpener          Reason = "late-opener"
	ReasonSecondConnection    Reason = "second-connection-on-leaving-target"
	ReasonContradictedBinding Reason = "contradicted-binding"
	ReasonOtherTargetAnswer   Reason = "answer-of-other-target"
	ReasonCancelledTarget     Reason = "answer-of-cancelled-target"
	ReasonStrayReset          Reason = "reset-of-guessed-target"
	ReasonOpenerReset         Reason = "opener-reset"
	ReasonFlowTableFull       Reason = "flow-table-full"
	ReasonUnknownFlow         Reason = "unknown-flow"
	ReasonNoTargetUDP         Reason = "no-target-udp"

	// Refused.
	ReasonNoTarget      Reason = "no-target"
	ReasonRefusedBefore Reason = "refused-before"
)
