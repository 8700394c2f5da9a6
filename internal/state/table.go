package state

import "github.com/kumquatworks/kumquatworks/internal/objects"

// Table is the service table of one configuration generation. It is immutable.
type Table struct {
	Generation uint64
	Digest     string
	Set        objects.Set
}

// NewTable builds the service table of a checked configuration.
func NewTable(generation uint64, digest string, set objects.Set) (*Table, error) {
	return &Table{Generation: generation, Digest: digest, Set: set}, nil
}
