package coordination

// Variant selects the full design or a reduced one for comparison in experiments.
type Variant string

// Variants of the decision code.
const (
	// VariantFull is the full design. It is the default for an empty string.
	VariantFull Variant = "full"
	// VariantNoLearn learns no bindings from return packets at balancers that are neither owner nor backup.
	VariantNoLearn Variant = "nolearn"
	// VariantBounded chooses targets at the owner by rendezvous hashing with bounded
	// loads only. Bindings have no backup and are not learned from return packets.
	VariantBounded Variant = "bounded"
	// VariantHash forwards each packet by rendezvous hashing over the current pool and keeps no flow state.
	VariantHash Variant = "hash"
)
