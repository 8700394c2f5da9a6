// Package agent combines membership, configuration follower and target health
// into the control plane of one balancer. It does no I/O and reads no clock:
// transport/control passes in the time and the messages received, and executes
// the Output.
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
	// exchangeInterval is the time between two state exchanges with a random peer.
	exchangeInterval = 10 * time.Second
	// seedExchangeInterval is the time between two exchanges with a seed, listed VM or dead
	// member while no other live member is known.
	seedExchangeInterval = time.Second
	// reportInterval is the time after which the target reports are output again although none
	// changed, because the ages of the loads in them did.
	reportInterval = 5 * time.Second
	// probeDigestBytes is the length of the digest prefix in a probe. The prefix
	// distinguishes two configurations of one generation; a fetch uses the whole digest.
	probeDigestBytes = 8
)

// Alarm describes a condition that needs an operator's attention.
type Alarm = follower.Alarm

// Alarms of the control plane in addition to those of the follower.
const (
	// AlarmRemoved is raised when the VM list lacks this VM.
	AlarmRemoved Alarm = "the other balancers left this VM out because the VM list lacks it"
	// AlarmNoPeers is raised when no other live member is known although seeds, the VM list or dead
	// members give addresses to contact.
	AlarmNoPeers Alarm = "no other balancer answers"
)

// Config holds the identity and the parameters of the control plane.
type Config struct {
	Membership membership.Config
	Follower   follower.Config
	Health     health.Config
}

// NewConfig returns the configuration of a balancer whose process started at the
// given time. The start in seconds is the incarnation.
func NewConfig(identity membership.Config, started time.Time, validate func(objects.Set) error) Config {
	startSeconds := uint64(max(1, started.Unix()))
	identity.Incarnation = startSeconds
	return Config{
		Membership: identity,
		Follower: follower.Config{
			VM: identity.VM, Place: identity.Place, RandomSeed: identity.RandomSeed, Validate: validate,
		},
		// The shift leaves room for 2^16 report versions per second of uptime, so that
		// the versions of a later process are higher.
		Health: health.Config{VM: identity.VM, Place: identity.Place, FirstVersion: startSeconds << 16},
	}
}

// Output holds the actions and changes that the caller of Tick has to execute or apply.
type Output struct {
	Messages      []membership.Outgoing
	Commands      []follower.Command
	Checks        []health.Check
	ExchangeAddrs []netip.AddrPort

	View     *coordination.View
	Snapshot *follower.Snapshot
	Reports  []coordination.TargetReport // valid if NewReports is set
	// NewReports is set when Reports replaces the earlier ones.
	NewReports bool
	// Joined is set in one Output only: the first after this balancer knows enough members
	// to accept packets.
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
	// events holds the recent changes of members, configuration and alarms;
	// recordedView and recordedAlarms are the states of its latest entries.
	events         journal.Log
	recordedView   coordination.View
	recordedAlarms []Alarm
}

// New returns a control plane whose only known member is the balancer itself.
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

// Tick advances the control plane to now. Call it about every 50 ms.
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

// HandleProbe processes a probe message of another balancer and returns the
// replies. Changes are output by the next Tick, so that a burst of messages
// causes one update.
func (a *Agent) HandleProbe(now time.Time, from netip.AddrPort, p *wire.Probe) []membership.Outgoing {
	out := a.detector.HandleProbe(now, from, p)
	a.handlePeerHead(now, p.GetSource(), p.GetHead())
	a.health.HandleReports(now, p.GetHealth())
	a.attachHeadAndReports(now, out)
	return out
}

// HandleCommandResult processes the result of a command.
func (a *Agent) HandleCommandResult(now time.Time, r follower.Result) {
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

// HandleWatchEnded processes the end of a watch that saw no change.
func (a *Agent) HandleWatchEnded(now time.Time) { a.follower.HandleWatchEnded(now) }

// HandleVMs processes a VM list, or the error of the read.
func (a *Agent) HandleVMs(now time.Time, list []platform.VM, err error) {
	a.follower.HandleVMs(now, len(list), err)
	if err == nil {
		a.join.vmListRead = true
		a.detector.SetVMs(now, list)
	}
}

// HandleCheckResult processes the result of a target's health check.
func (a *Agent) HandleCheckResult(now time.Time, target string, r health.Result) {
	a.health.HandleResult(now, target, r)
}

// AnnounceLeaving marks this balancer as leaving, ahead of a planned shutdown.
func (a *Agent) AnnounceLeaving() { a.detector.AnnounceLeaving() }

// AnnounceLeft marks this balancer as having left and returns the last messages to send.
func (a *Agent) AnnounceLeft(now time.Time) []membership.Outgoing {
	messages := a.detector.AnnounceLeft(now)
	a.attachHeadAndReports(now, messages)
	return messages
}

// updateView distributes a changed view to the follower, the health monitor and the output.
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

// collectChanges moves pending exchanges, snapshot and reports to the output.
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

// attachHeadAndReports adds the head in force and target reports to outgoing
// messages. Pushes are copies of one message: they carry the same reports, which
// count as sent once.
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

// probeHead returns the head in force with a shortened digest, or nil without a configuration.
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
