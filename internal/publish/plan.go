package publish

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Request is a configuration that an operator wants in force.
type Request struct {
	// Set is a checked configuration.
	Set objects.Set
	// Base, unless nil, is the generation that the operator wants to replace.
	// Without it the head in force is replaced.
	BaseGeneration *uint64
	// Operator names who publishes. An operator may take back own changes
	// without naming the base, but not those of others.
	Operator string
	// Prefix starts the summary in the history.
	SummaryPrefix string
}

// Plan is a publish that was compared with the head and not written yet.
type Plan struct {
	// ID identifies the publish. It follows from content and base generation,
	// so the same command has the same id when it is repeated.
	ID string
	// Base is the generation that the plan replaces.
	BaseGeneration uint64
	// Next is the generation that the plan gets.
	NextGeneration uint64
	// Changes and Warnings are in words, for the operator.
	Changes  []string
	Warnings []string
	// Settled is set when nothing is left to write.
	FinalResult *Result

	canonical    []byte
	digest       string
	chunkCount   int
	head         objects.Head
	headRevision uint64
	before       objects.Set
	after        objects.Set
	request      Request
	retired      []objects.RetiredAddress
}

// ID derives the publish id from content and base generation.
func PublishID(digest string, base uint64) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", digest, base))
	return hex.EncodeToString(sum[:16])
}

// Plan reads the head and compares it with the request. An error means that the
// platform could not be read; nothing was written then.
func (p *Publisher) Plan(ctx context.Context, request Request, fleet Fleet) (Plan, error) {
	head, revision, err := ReadHead(ctx, p.Store)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{
		BaseGeneration: head.Generation,
		canonical:      objects.Canonical(request.Set),
		head:           head,
		headRevision:   revision,
		after:          objects.WithDefaults(request.Set),
		request:        request,
	}
	plan.digest = objects.Digest(plan.canonical)
	plan.chunkCount = len(splitChunks(plan.canonical))
	if request.BaseGeneration != nil {
		plan.BaseGeneration = *request.BaseGeneration
	}
	plan.ID = PublishID(plan.digest, plan.BaseGeneration)
	if plan.FinalResult = p.resolveBeforeWrite(ctx, plan, request.BaseGeneration != nil); plan.FinalResult != nil {
		return plan, nil
	}
	if plan.before, err = p.load(ctx, head); err != nil {
		return Plan{}, err
	}
	plan.computeChanges(fleet)
	if request.BaseGeneration == nil && plan.FinalResult == nil {
		plan.FinalResult, err = p.checkRevert(ctx, plan)
	}
	return plan, err
}

// settled returns the result of a request that has nothing left to write: it
// was accepted before, or another publish came in between.
func (p *Publisher) resolveBeforeWrite(ctx context.Context, plan Plan, baseGiven bool) *Result {
	if baseGiven {
		if result := p.resolveFromHead(ctx, plan, plan.head); result != nil {
			result.AlreadyPublished = result.Outcome == OutcomeAccepted
			return result
		}
		if plan.BaseGeneration != plan.head.Generation {
			return unknownResult("the platform shows generation %d, older than generation %d that was to be replaced; it lost a head or shows an old one", plan.head.Generation, plan.BaseGeneration)
		}
	}
	if len(plan.head.Recent) > 0 && plan.head.Digest == plan.digest {
		return acceptedResult(plan.head.Recent[0], plan.head, true)
	}
	return nil
}

// judge tells from a head what became of a plan; nil means that it may still be written.
func (p *Publisher) resolveFromHead(ctx context.Context, plan Plan, head objects.Head) *Result {
	for _, publication := range head.Recent {
		if publication.PublishID == plan.ID {
			return acceptedResult(publication, head, false)
		}
	}
	if head.Generation <= plan.BaseGeneration {
		return nil
	}
	base, listed := head.Find(plan.BaseGeneration)
	if !listed && (plan.BaseGeneration != 0 || len(head.Recent) >= MaxRecentPublications) {
		return unknownResult("generation %d is too old to tell; the head lists %d publishes up to generation %d", plan.BaseGeneration, len(head.Recent), head.Generation)
	}
	return &Result{
		Outcome:      OutcomeConflict,
		Generation:   head.Generation,
		Reasons:      []string{fmt.Sprintf("generation %d was published meanwhile; this configuration was not accepted", head.Generation)},
		OtherChanges: p.changesBetween(ctx, base, head),
	}
}

// changesBetween tells what changed from a publication to a head. Where a
// snapshot cannot be read, the summaries of the publishes stand in.
func (p *Publisher) changesBetween(ctx context.Context, from objects.Publication, head objects.Head) []string {
	before, errBefore := p.load(ctx, from.Head())
	after, errAfter := p.load(ctx, head)
	if errBefore == nil && errAfter == nil {
		return objects.Changes(before, after)
	}
	var summaries []string
	for _, publication := range head.Recent {
		if publication.Generation > from.Generation {
			summaries = append(summaries, publication.Summary)
		}
	}
	return summaries
}

// load loads the snapshot of a head; generation 0 is the empty set.
func (p *Publisher) load(ctx context.Context, head objects.Head) (objects.Set, error) {
	if head.Generation == 0 {
		return objects.Set{}, nil
	}
	if p.loader == nil {
		p.loader = NewLoader(p.Store)
	}
	return p.loader.Load(ctx, head)
}

// compare fills in what the operator is shown and refuses address reuse.
func (plan *Plan) computeChanges(fleet Fleet) {
	plan.NextGeneration = max(plan.head.Generation, fleet.HighestGeneration()) + 1
	plan.Changes = objects.Changes(plan.before, plan.after)
	plan.Warnings = append(objects.ChangeWarnings(plan.before, plan.after), objects.Warnings(plan.after)...)
	if fleet.HighestGeneration() > plan.head.Generation {
		plan.Warnings = append(plan.Warnings, fmt.Sprintf("the platform shows generation %d, the fleet holds %d: the platform lost a head or shows an old one; the differences are against generation %d",
			plan.head.Generation, fleet.HighestGeneration(), plan.head.Generation))
	}
	if size := len(plan.canonical); size > MaxSnapshotBytes || plan.chunkCount > MaxChunks {
		plan.FinalResult = failedResult("the configuration has %d bytes in %d parts; at most %d bytes in %d parts fit", size, plan.chunkCount, MaxSnapshotBytes, MaxChunks)
		return
	}
	plan.retired = nextRetired(plan.head.Retired, plan.before, plan.after, plan.NextGeneration, fleet)
	if reasons := checkAddressReuse(plan.head.Retired, plan.before, plan.after, fleet); len(reasons) > 0 {
		plan.FinalResult = &Result{Outcome: OutcomeFailed, Reasons: reasons}
	}
	if len(plan.retired) > MaxRetiredAddresses {
		plan.FinalResult = failedResult("%d removed target addresses still wait for balancers; at most %d are remembered. Bring the cut-off balancers back or take them from the VM list", len(plan.retired), MaxRetiredAddresses)
	}
}

// summary describes the changes in the history, in at most summaryBytes.
func (plan Plan) summary() string {
	text := plan.request.SummaryPrefix
	for i, change := range plan.Changes {
		if len(text)+len(change) > maxSummaryBytes {
			return text + fmt.Sprintf("and %d more", len(plan.Changes)-i)
		}
		text += change + "; "
	}
	return strings.TrimSuffix(text, "; ")
}

// PlanRollback plans to publish an earlier generation again. The request has
// base and operator only.
func (p *Publisher) PlanRollback(ctx context.Context, generation uint64, request Request, fleet Fleet) (Plan, error) {
	head, _, err := ReadHead(ctx, p.Store)
	if err != nil {
		return Plan{}, err
	}
	publication, listed := head.Find(generation)
	if !listed {
		return Plan{FinalResult: failedResult("generation %d is not in the history; kumquatworks history lists what is", generation)}, nil
	}
	request.Set, err = p.load(ctx, publication.Head())
	if err != nil {
		return Plan{}, errors.Wrapf(err, "generation %d", generation)
	}
	if request.BaseGeneration == nil && !republishedLater(head, publication) {
		request.BaseGeneration = &head.Generation
	}
	request.SummaryPrefix = fmt.Sprintf("rollback to generation %d: ", generation)
	return p.Plan(ctx, request, fleet)
}

// rolledBackBefore reports whether the content of a publication was published again later.
func republishedLater(head objects.Head, publication objects.Publication) bool {
	for _, other := range head.Recent {
		if other.Digest == publication.Digest && other.Generation > publication.Generation {
			return true
		}
	}
	return false
}
