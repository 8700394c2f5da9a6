package dsr

// EventKind names a change of what a balancer believes.
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
	EventOverloadBegan   EventKind = "overload-began"
	EventOverloadEnded   EventKind = "overload-ended"
	EventListingIgnored  EventKind = "listing-ignored"
	EventRoutesAdopted   EventKind = "routes-adopted"
	EventRoutesIgnored   EventKind = "routes-ignored"
	EventFreeze          EventKind = "freeze"
)

// Event is one change of belief with the version of the data behind it.
type Event struct {
	Kind EventKind
	// About is the target of the event as it is announced; its ID is empty without one.
	Target Announcement
	// Revision is the store's revision, or the version of the routes.
	Revision uint64
	// Silence is set for events about a silent target.
	Failures Silence
	// Service and Load are set for events about an overloaded service.
	Service string
	Load    Load

	target *Target
}
