package coordination

// Variant selects the whole design or a reduced one that experiments compare it with.
type Variant string

// Variants of the decision code.
const (
	// VariantFull is the whole design, also selected by the empty string.
	VariantFull Variant = "full"
	// VariantNoLearn does not learn bindings from return packets at balancers that are neither owner nor backup.
	VariantNoLearn Variant = "nolearn"
	// VariantBounded has the owner choose by rendezvous with bounded load only;
	// bindings have no backup and are not learned from return packets.
	VariantBounded Variant = "bounded"
	// VariantHash forwards each packet to the rendezvous choice over the current pool and keeps no flows.
	VariantHash Variant = "hash"
)
