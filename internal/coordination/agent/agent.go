// Package agent joins membership, configuration follower and health into the
// control plane of one balancer. It is pure code: the shell in
// transport/control passes in time and messages and carries out what comes out.
package agent

import (
	"net/netip"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/coordination/follower"
	"github.com/kumquatworks/kumquatworks/internal/coordination/health"
	"github.com/kumquatworks/kumquatworks/internal/coordination/journal"
	"github.com/kumquatworks/kumquatworks/internal/coordination/membership"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

const (
	// exchangeInterval is the mean time between two exchanges with a random peer.
	exchangeInterval = 10 * time.Second
	// seedInterval is the time between two exchanges with a seed while this balancer is alone.
	seedExchangeInterval = time.Second
	// reportInterval is the time between two calls of OnReports without news; ages of loads change meanwhile.
	reportInterval = 5 * time.Second
	// probeDigestBytes is the part of the digest in a probe. It tells two
	// configurations of one generation apart; the fetch uses the whole digest.
	probeDigestBytes = 8
)

// Alarm tells an operator that something needs attention.
type Alarm = follower.Alarm

// Alarms of the control plane besides those of the follower.
const (
	// AlarmRemoved: the VM list lacks this VM.
	AlarmRemoved Alarm = "the other balancers left this VM out because the VM list lacks it"
	// AlarmAlone: no other balancer is known although seeds or a VM list name some.
	AlarmNoPeers Alarm = "no other balancer answers"
)

// Config holds the identity and the parameters of the control plane.
type Config struct {
	Membership membership.Config
	Follower   follower.Config
	Health     health.Config
}

// NewConfig returns the configuration of a balancer that starts at a time.
func NewConfig(identity membership.Config, started time.Time, validate func(objects.Set) error) Config {
	startSeconds := uint64(max(1, started.Unix()))
	identity.Incarnation = startSeconds
	return Config{
		Membership: identity,
		Follower: follower.Config{
			VM: identity.VM, Place: identity.Place, RandomSeed: identity.RandomSeed, Validate: validate,
		},
		// A report version leaves room for 2^16 reports in each second.
		Health: health.Config{VM: identity.VM, Place: identity.Place, FirstVersion: startSeconds << 16},
	}
}

// Output is what the shell carries out.
type Output struct {
	Messages      []membership.Outgoing
	Commands      []follower.Command
	Checks        []health.Check
	ExchangeAddrs []netip.AddrPort

	View     *coordination.View
	Snapshot *follower.Snapshot
	Reports  []coordination.TargetReport // when NewReports
	// NewReports tells that Reports replaces the earlier ones.
	NewReports bool
	// Joined is set once, when this balancer knows the others well enough to take packets.
	Joined bool
}

// Agent is the control plane of one balancer. It is not safe for concurrent use.
type Agent struct {
	cfg      Config
	detector *membership.Detector
	follower *follower.Follower
	health   *health.Monitor

	nextExchangeAt   time.Time
	nextReportsAt    time.Time
	pendingExchanges []netip.AddrPort
	pendingSnapshot  *follower.Snapshot
	join             joinState
	// events are the recent changes of members, configuration and alarms.
	events         journal.Log
	recordedView   coordination.View
	recordedAlarms []Alarm
}

// New returns a control plane that knows only itself.
func New(cfg Config, now time.Time) *Agent {
	return &Agent{
		cfg:            cfg,
		detector:       membership.New(cfg.Membership, now),
		follower:       follower.New(cfg.Follower),
		health:         health.New(cfg.Health),
		nextExchangeAt: now,
		join:           joinState{startedAt: now},
	}
}

// Tick advances the control plane. Call it about every 50 ms.
func (a *Agent) Tick(now time.Time) Output {
	out := Output{Messages: a.detector.Tick(now)}
	a.updateView(now, &out)
	_, hasReconnectAddr := a.detector.RandomReconnectAddr()
	out.Joined = a.join.update(now, a.detector.LiveCount(), hasReconnectAddr)
	a.recordAlarmChanges(now)
	out.Commands = a.follower.Tick(now)
	out.Checks = a.health.Tick(now)
	a.scheduleExchanges(now)
	a.collectChanges(now, &out)
	a.attachHeadAndReports(now, out.Messages)
	return out
}

// HandleProbe takes a message of another balancer and returns the answers. The
// next Tick tells what changed, so that a burst of news costs one update.
func (a *Agent) HandleProbe(now time.Time, from netip.AddrPort, p *wire.Probe) []membership.Outgoing {
	out := a.detector.HandleProbe(now, from, p)
	a.handlePeerHead(now, p.GetSource(), p.GetHead())
	a.health.HandleReports(now, p.GetHealth())
	a.attachHeadAndReports(now, out)
	return out
}

// HandleResult takes the answer to a command.
func (a *Agent) HandleResult(now time.Time, r follower.Result) {
	s, ok := a.follower.HandleResult(now, r)
	if !ok {
		return
	}
	a.pendingSnapshot = &s
	a.recordAdoption(now, r, s)
	a.detector.SetGeneration(s.Head.Generation)
	a.detector.RequestPush()
	a.health.SetTargets(now, s.Set.Targets)
}

// HandleWatchEnded takes the end of a watch without a change.
func (a *Agent) HandleWatchEnded(now time.Time) { a.follower.HandleWatchEnded(now) }

// HandleVMs takes a VM list, or the error instead of one.
func (a *Agent) HandleVMs(now time.Time, list []platform.VM, err error) {
	a.follower.HandleVMs(now, len(list), err)
	if err == nil {
		a.join.vmListRead = true
		a.detector.SetVMs(now, list)
	}
}

// HandleCheck takes the result of the probe of a target.
func (a *Agent) HandleCheck(now time.Time, target string, r health.Result) {
	a.health.HandleResult(now, target, r)
}

// Leave announces the planned leave of this balancer.
func (a *Agent) AnnounceLeaving() { a.detector.AnnounceLeaving() }

// Left announces the end of this balancer and returns the last messages.
func (a *Agent) AnnounceLeft(now time.Time) []membership.Outgoing {
	messages := a.detector.AnnounceLeft(now)
	a.attachHeadAndReports(now, messages)
	return messages
}

// updateView passes a changed view on to the other parts.
func (a *Agent) updateView(now time.Time, out *Output) {
	if !a.detector.ConsumeViewChanged() {
		return
	}
	view := a.detector.View()
	a.join.viewChangedAt = now
	a.recordViewChanges(now, view)
	a.follower.SetView(view)
	a.health.SetView(now, view)
	out.View = &view
}

func (a *Agent) collectChanges(now time.Time, out *Output) {
	out.ExchangeAddrs, a.pendingExchanges = a.pendingExchanges, nil
	out.Snapshot, a.pendingSnapshot = a.pendingSnapshot, nil
	if a.health.ConsumePushNeeded() {
		a.detector.RequestPush()
	}
	if a.health.ConsumeReportsChanged() || !now.Before(a.nextReportsAt) {
		a.nextReportsAt = now.Add(reportInterval)
		out.NewReports = true
		out.Reports = a.health.Reports(now)
	}
}

// decorate adds head and reports. Pushes are copies of one message and count as one.
func (a *Agent) attachHeadAndReports(now time.Time, messages []membership.Outgoing) {
	head := a.probeHead()
	var pushed []*wire.TargetHealth
	first := true
	for _, msg := range messages {
		msg.Probe.Head = head
		if msg.Probe.Kind != wire.ProbeKind_PROBE_KIND_PUSH {
			msg.Probe.Health = a.health.Updates(now)
			continue
		}
		if first {
			pushed, first = a.health.Updates(now), false
		}
		msg.Probe.Health = pushed
	}
}

func (a *Agent) probeHead() *wire.Head {
	inForce := a.follower.InForce()
	if inForce.Generation == 0 {
		return nil
	}
	head := inForce.Wire()
	head.Digest = head.Digest[:min(len(head.Digest), probeDigestBytes)]
	return head
}

func (a *Agent) handlePeerHead(now time.Time, peer string, head *wire.Head) {
	if head.GetGeneration() > 0 && peer != "" {
		a.follower.HandlePeerHead(now, peer, follower.HeadFromWire(head))
	}
}
