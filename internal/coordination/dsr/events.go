package dsr

import "time"

// EventKind identifies the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventTargetAdded     EventKind = "target-added"
	EventTargetRestarted EventKind = "target-restarted"
	EventTargetDraining  EventKind = "target-draining"
	EventTargetGone      EventKind = "target-gone"
	EventTargetSuspected EventKind = "target-suspected"
	EventTargetAlive     EventKind = "target-alive"
	EventTargetFull      EventKind = "target-full"
	EventPlaceEvacuated  EventKind = "place-evacuated"
	EventPlaceReturned   EventKind = "place-returned"
	EventOverloadBegan   EventKind = "overload-began"
	EventOverloadEnded   EventKind = "overload-ended"
	// EventSharingBegan and EventSharingEnded mean that flows of a service leave the place, or no
	// longer do.
	EventSharingBegan   EventKind = "sharing-began"
	EventSharingEnded   EventKind = "sharing-ended"
	EventListingIgnored EventKind = "listing-ignored"
	EventRoutesAdopted  EventKind = "routes-adopted"
	EventRoutesIgnored  EventKind = "routes-ignored"
	// EventRoutesCorrected means that the store had other routes of the same version than
	// another balancer had sent.
	EventRoutesCorrected EventKind = "routes-corrected"
	// EventRoutesMismatch means that a delta of another balancer did not yield its routes, or
	// that it has other routes of the same version.
	EventRoutesMismatch EventKind = "routes-mismatch"
	// EventTargetsMismatch means that another balancer has other targets after the same changes.
	EventTargetsMismatch EventKind = "targets-mismatch"
	EventFreeze          EventKind = "freeze"
	// EventRevisionReset means that another balancer had sent a revision, or a version of the
	// routes, that the store never had.
	EventRevisionReset EventKind = "revision-reset"
	// EventStoreReturned means that the data are of a later era of the store than those before: it
	// returned from an older copy.
	EventStoreReturned EventKind = "store-returned"
)

// Event is a change of a balancer's view of the targets, the routes or the load, with
// the version of the data that caused it.
type Event struct {
	Kind EventKind
	// Target is the announcement of the target that the event concerns. Its ID is empty
	// if there is none.
	Target Announcement
	// Revision is the revision of the store or, for events about routes, their version.
	Revision uint64
	// Era is the era of the store for events about data of another one than before, 0 for others.
	Era uint64
	// RoutesDigest is the digest of the routes in force after an event about routes, 0 for
	// other events.
	RoutesDigest Digest
	// PreviousAsOf is the time at which the data were last known to match the store before
	// the change, zero if they never were.
	PreviousAsOf time.Time
	// Failures is set for events about a target that left packets unanswered.
	Failures FailureSummary
	// Place is set for events about an evacuated place.
	Place string
	// Service and Load are set for events about an overloaded service.
	Service string
	Load    Load
	// Sharing is set for events about flows that leave the place.
	Sharing PlaceShare

	target *Target
}

// addDataEvents records events that came with new data, before which the data were known to
// match the store at previousAsOf. The caller holds mu.
func (d *Dispatcher) addDataEvents(previousAsOf time.Time, events ...Event) {
	for _, e := range events {
		e.PreviousAsOf = previousAsOf
		d.events = append(d.events, e)
	}
}
