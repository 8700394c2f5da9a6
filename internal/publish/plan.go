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

// Request is a configuration that an operator wants to publish.
type Request struct {
	// Set is the validated configuration.
	Set objects.Set
	// BaseGeneration is the generation that the operator wants to replace. If nil, the
	// current generation is replaced.
	BaseGeneration *uint64
	// Operator identifies the operator. Without a base generation, operators may revert
	// their own changes but not those of others.
	Operator string
	// SummaryPrefix is the start of the summary in the history.
	SummaryPrefix string
}

// Plan is a publish that was compared with the current head but has not been written.
type Plan struct {
	// ID identifies the publish. It is derived from content and base generation, so that a
	// repeated command has the same ID.
	ID string
	// BaseGeneration is the generation that the plan replaces.
	BaseGeneration uint64
	// NextGeneration is the generation that the plan creates.
	NextGeneration uint64
	// Changes and Warnings are texts for the operator.
	Changes  []string
	Warnings []string
	// FinalResult is the result if there is nothing to write; otherwise it is nil.
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

// PublishID derives the ID of a publish from the digest of its content and the base
// generation.
func PublishID(digest string, base uint64) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", digest, base))
	return hex.EncodeToString(sum[:16])
}

// Plan reads the head and compares it with the request. It writes nothing. An error means
// that the head or a snapshot could not be read from the platform.
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

// resolveBeforeWrite returns the result of a request that needs no write, because it was
// accepted earlier or conflicts with another publish; otherwise nil. baseGiven reports
// whether the request specifies a base generation.
func (p *Publisher) resolveBeforeWrite(ctx context.Context, plan Plan, baseGiven bool) *Result {
	if baseGiven {
		if result := p.resolveFromHead(ctx, plan, plan.head); result != nil {
			result.AlreadyPublished = result.Outcome == OutcomeAccepted
			return result
		}
		if plan.BaseGeneration != plan.head.Generation {
			return unknownResult("the platform returned generation %d, which is older than the base generation %d; it lost data or returned a stale head", plan.head.Generation, plan.BaseGeneration)
		}
	}
	if len(plan.head.Recent) > 0 && plan.head.Digest == plan.digest {
		return acceptedResult(plan.head.Recent[0], plan.head, true)
	}
	return nil
}

// resolveFromHead determines the result of a plan from a head. It returns nil if the plan
// was not written and still can be.
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
		return unknownResult("base generation %d is no longer in the history; the head lists the last %d publishes up to generation %d", plan.BaseGeneration, len(head.Recent), head.Generation)
	}
	return &Result{
		Outcome:      OutcomeConflict,
		Generation:   head.Generation,
		Reasons:      []string{fmt.Sprintf("generation %d was published meanwhile; this configuration was not accepted", head.Generation)},
		OtherChanges: p.changesBetween(ctx, base, head),
	}
}

// changesBetween describes the changes from a publication to a head. If a snapshot cannot
// be read, it returns the summaries of the publishes in between.
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

// load reads the snapshot of a head. For generation 0 it returns the empty set.
func (p *Publisher) load(ctx context.Context, head objects.Head) (objects.Set, error) {
	if head.Generation == 0 {
		return objects.Set{}, nil
	}
	if p.loader == nil {
		p.loader = NewLoader(p.Store)
	}
	return p.loader.Load(ctx, head)
}

// computeChanges sets the next generation, the changes, the warnings and the retired
// addresses. It sets FinalResult if the plan exceeds a limit or reuses a target address too
// early.
func (plan *Plan) computeChanges(fleet Fleet) {
	plan.NextGeneration = max(plan.head.Generation, fleet.HighestGeneration()) + 1
	plan.Changes = objects.Changes(plan.before, plan.after)
	plan.Warnings = append(objects.ChangeWarnings(plan.before, plan.after), objects.Warnings(plan.after)...)
	if fleet.HighestGeneration() > plan.head.Generation {
		plan.Warnings = append(plan.Warnings, fmt.Sprintf("the platform returned generation %d, but balancers acknowledged generation %d: the platform lost data or returned a stale head; the changes are relative to generation %d",
			plan.head.Generation, fleet.HighestGeneration(), plan.head.Generation))
	}
	if size := len(plan.canonical); size > MaxSnapshotBytes || plan.chunkCount > MaxChunks {
		plan.FinalResult = failedResult("the configuration has %d bytes in %d chunks; the limit is %d bytes in %d chunks", size, plan.chunkCount, MaxSnapshotBytes, MaxChunks)
		return
	}
	plan.retired = nextRetired(plan.head.Retired, plan.before, plan.after, plan.NextGeneration, fleet)
	if reasons := checkAddressReuse(plan.head.Retired, plan.before, plan.after, fleet); len(reasons) > 0 {
		plan.FinalResult = &Result{Outcome: OutcomeFailed, Reasons: reasons}
	}
	if len(plan.retired) > MaxRetiredAddresses {
		plan.FinalResult = failedResult("%d removed target addresses may still be in use by balancers; the head can list at most %d. Reconnect the unreachable balancers or remove them from the VM list", len(plan.retired), MaxRetiredAddresses)
	}
}

// summary returns the description of the changes for the history. It counts the changes
// that do not fit into maxSummaryBytes.
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

// PlanRollback plans to publish the content of an earlier generation again. Of the request,
// only base generation and operator are used.
func (p *Publisher) PlanRollback(ctx context.Context, generation uint64, request Request, fleet Fleet) (Plan, error) {
	head, _, err := ReadHead(ctx, p.Store)
	if err != nil {
		return Plan{}, err
	}
	publication, listed := head.Find(generation)
	if !listed {
		return Plan{FinalResult: failedResult("generation %d is not in the history; kumquatworks history lists the available generations", generation)}, nil
	}
	request.Set, err = p.load(ctx, publication.Head())
	if err != nil {
		return Plan{}, errors.Wrapf(err, "read generation %d", generation)
	}
	if request.BaseGeneration == nil && !republishedLater(head, publication) {
		request.BaseGeneration = &head.Generation
	}
	request.SummaryPrefix = fmt.Sprintf("rollback to generation %d: ", generation)
	return p.Plan(ctx, request, fleet)
}

// republishedLater reports whether a later publication in the history has the same content.
func republishedLater(head objects.Head, publication objects.Publication) bool {
	for _, other := range head.Recent {
		if other.Digest == publication.Digest && other.Generation > publication.Generation {
			return true
		}
	}
	return false
}
