package objects

// Publication describes one accepted publish of a configuration.
type Publication struct {
	Generation uint64 `json:"generation"`
	// Digest is the lower-case hexadecimal SHA-256 of the canonical snapshot.
	Digest string `json:"digest"`
	// ChunkCount is the number of chunks in which the snapshot is stored.
	ChunkCount int `json:"parts"`
	// PublishID identifies the publish. If the response to its write is lost, the writer
	// searches the head for this ID to determine whether the write was accepted.
	PublishID string `json:"publish_id"`
	// Operator identifies who published; it may be empty.
	Operator string `json:"operator,omitempty"`
	// Summary describes the changes, truncated to a maximum length.
	Summary string `json:"summary,omitempty"`
	// UnixSeconds is the time of the publish according to the clock of the operator's machine.
	UnixSeconds int64 `json:"unix_seconds"`
}

// Head returns a head that refers to the snapshot of the publication, without a list of
// recent publications or retired addresses.
func (p Publication) Head() Head {
	return Head{Generation: p.Generation, Digest: p.Digest, ChunkCount: p.ChunkCount}
}

// RetiredAddress is a target address that a generation removed from a service. Another
// service must not use it as long as a balancer may still run an earlier generation,
// because that balancer would forward flows of the former service to it.
type RetiredAddress struct {
	// Address is the target's address:port.
	Address string `json:"address"`
	// Service is the name of the service that formerly used the address.
	Service string `json:"service"`
	// Frontend is the frontend of that service, as address:port/transport.
	Frontend string `json:"frontend"`
	// Generation is the generation that removed the address.
	Generation uint64 `json:"generation"`
}

// Head is the record in the key-value service that refers to the current snapshot.
// Recent lists publications, newest first; the first one is the current one.
type Head struct {
	Generation uint64           `json:"generation"`
	Digest     string           `json:"digest"`
	ChunkCount int              `json:"parts"`
	Recent     []Publication    `json:"recent"`
	Retired    []RetiredAddress `json:"retired,omitempty"`
}

// Find returns the publication with the given generation, if the head still lists it.
func (h Head) Find(generation uint64) (Publication, bool) {
	for _, p := range h.Recent {
		if p.Generation == generation {
			return p, true
		}
	}
	return Publication{}, false
}
