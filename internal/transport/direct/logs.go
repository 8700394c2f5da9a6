package direct

import (
	"math"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
)

// logCallerDepth is the number of stack frames between the caller of Node.log and the
// logger. It selects the code location that is logged.
const logCallerDepth = 4

// log writes a log message.
func (n *Node) log(severity func(log.Logger) log.Logger, op, msg string, keyvals ...any) {
	_ = severity(n.options.Logger).Log(append([]any{"op", op, "msg", msg}, keyvals...)...) // a log error cannot be reported anywhere else
}

// logDecision logs each decision about an opener and each packet that is not
// forwarded. Forwarded packets that are not openers are only counted.
func (n *Node) logDecision(p dsr.Packet, d dsr.Decision) {
	if d.Action == dsr.ActionForward && !p.Opener {
		return
	}
	keyvals := []any{"flow", p.Flow.Caller, "service", p.Flow.Service, "action", d.Action, "reason", d.Reason}
	if p.Opener {
		keyvals = append(keyvals, "copy", p.Retransmits, "running", d.InFlight)
	}
	if d.InFlightLimit > 0 {
		keyvals = append(keyvals, "limit", roundToHundredths(d.InFlightLimit))
	}
	if d.Route != nil {
		keyvals = append(keyvals, "route", d.Route.Name)
	}
	if d.Target.ID != "" {
		keyvals = append(keyvals, "target", d.Target.ID, "entry", d.Target.Revision)
	}
	keyvals = append(keyvals, failureKeyvals(d.Failures)...)
	keyvals = append(keyvals, "config", d.RoutesVersion, "listing_age_ms", d.ListingAge.Milliseconds())
	n.log(level.Info, "decide", "packet", keyvals...)
}

// logEvents logs and counts the events of the dispatcher: changes of the state of the
// targets, the routes and the load.
func (n *Node) logEvents() {
	now := n.options.Clock.Now()
	for _, e := range n.options.Dispatcher.PopEvents() {
		n.stats.count("belief", string(e.Kind))
		keyvals := []any{"change", e.Kind, "revision", e.Revision}
		if e.Era != 0 {
			keyvals = append(keyvals, "era", e.Era)
		}
		if e.RoutesDigest != 0 {
			keyvals = append(keyvals, "routes_digest", e.RoutesDigest)
		}
		if !e.PreviousAsOf.IsZero() {
			keyvals = append(keyvals, "data_age_ms", now.Sub(e.PreviousAsOf).Milliseconds())
		}
		if e.Target.ID != "" {
			keyvals = append(keyvals, "target", e.Target.ID, "address", e.Target.Endpoint, "pool", e.Target.Service)
		}
		if e.Place != "" {
			keyvals = append(keyvals, "target_place", e.Place)
		}
		if e.Sharing.Reason != "" {
			keyvals = append(keyvals, "pool", e.Service, "share", roundToHundredths(e.Sharing.Share), "load", roundToHundredths(e.Sharing.Load), "reason", e.Sharing.Reason)
		} else if e.Service != "" {
			keyvals = append(keyvals, "pool", e.Service, "slow", roundToHundredths(e.Load.SlowShare), "rate", roundToHundredths(e.Load.ResponseRate), "running", e.Load.InFlight, "limit", roundToHundredths(e.Load.Limit))
			if e.Load.Reason != "" {
				keyvals = append(keyvals, "why", e.Load.Reason, "rejected", roundToHundredths(e.Load.RejectedShare))
			}
		}
		keyvals = append(keyvals, failureKeyvals(e.Failures)...)
		n.log(level.Info, "belief", "changed", keyvals...)
	}
}

// roundToHundredths rounds a value to two decimals for the log.
func roundToHundredths(x float64) float64 { return math.Round(100*x) / 100 }

// failureKeyvals returns the log fields that describe the unanswered packets of a
// target, or nil if there are none.
func failureKeyvals(s dsr.FailureSummary) []any {
	if s.Unanswered == 0 {
		return nil
	}
	return []any{"silent_ms", s.SinceSuccess.Milliseconds(), "unanswered", s.Unanswered, "enough", s.Threshold}
}
