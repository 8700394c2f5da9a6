package objects

// Publication describes one accepted publish.
type Publication struct {
	Generation uint64 `json:"generation"`
	// Digest is the lower-case hexadecimal SHA-256 of the canonical snapshot.
	Digest string `json:"digest"`
	// Parts is the number of chunks that hold the snapshot.
	Parts int `json:"parts"`
	// PublishID identifies the publish, so that a writer whose answer was lost can find it.
	PublishID string `json:"publish_id"`
	// Operator names who published; it may be empty.
	Operator string `json:"operator,omitempty"`
	// Summary says in words what changed; it is cut to a bounded length.
	Summary string `json:"summary,omitempty"`
	// UnixSeconds is the time of the publish by the operator's clock.
	UnixSeconds int64 `json:"unix_seconds"`
}

// Head returns a head that names the snapshot of the publication and lists nothing else.
func (p Publication) Head() Head {
	return Head{Generation: p.Generation, Digest: p.Digest, Parts: p.Parts}
}

// RetiredAddress is a target address that a generation removed from a service.
// It may not serve another service while a balancer could still hold the earlier generation.
type RetiredAddress struct {
	// Address is the target's address:port.
	Address string `json:"address"`
	// Service is the name of the service that used the address.
	Service string `json:"service"`
	// Frontend is the address:port/transport of that service.
	Frontend string `json:"frontend"`
	// Generation is the generation that removed the address.
	Generation uint64 `json:"generation"`
}

// Head is the record in the key-value service that names the snapshot in force.
// Its first publication is the one in force; earlier ones follow, newest first.
type Head struct {
	Generation uint64           `json:"generation"`
	Digest     string           `json:"digest"`
	Parts      int              `json:"parts"`
	Recent     []Publication    `json:"recent"`
	Retired    []RetiredAddress `json:"retired,omitempty"`
}

// Find returns the publication of a generation, if the head still lists it.
func (h Head) Find(generation uint64) (Publication, bool) {
	for _, p := range h.Recent {
		if p.Generation == generation {
			return p, true
		}
	}
	return Publication{}, false
}
