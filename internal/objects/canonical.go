package objects

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// Canonical returns the canonical JSON of a set: optional fields have their defaults
// and each list is sorted by name. Equivalent configurations have the same canonical JSON.
func Canonical(set Set) []byte {
	data, err := json.Marshal(WithDefaults(set))
	if err != nil {
		panic(err) // every Set can be encoded as JSON
	}
	return data
}

// Digest returns the lower-case hexadecimal SHA-256 of canonical JSON.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// WithDefaults returns a copy of a set in which omitted optional fields have their
// defaults and each list is sorted by name.
func WithDefaults(set Set) Set {
	out := set.clone()
	out.fillDefaults()
	slices.SortStableFunc(out.Places, func(a, b Place) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(out.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(out.Pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(out.Targets, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Default values of optional fields.
const (
	DefaultPriority      = PriorityNormal
	DefaultPreference    = PreferenceAffinity
	DefaultOpenTimeoutMS = 1000
	DefaultRampSeconds   = 10
	DefaultTargetWeight  = 100
)

func (s Set) clone() Set {
	return Set{
		Places:   slices.Clone(s.Places),
		Services: slices.Clone(s.Services),
		Pools:    slices.Clone(s.Pools),
		Targets:  slices.Clone(s.Targets),
	}
}

func (s *Set) fillDefaults() {
	for i := range s.Services {
		s.Services[i].fillDefaults()
	}
	for i := range s.Pools {
		s.Pools[i].fillDefaults()
	}
	for i := range s.Targets {
		s.Targets[i].fillDefaults()
	}
}

func (s *Service) fillDefaults() {
	s.Priority = cmp.Or(s.Priority, DefaultPriority)
	s.Preference = cmp.Or(s.Preference, DefaultPreference)
	s.OpenTimeoutMS = cmp.Or(s.OpenTimeoutMS, DefaultOpenTimeoutMS)
}

func (p *Pool) fillDefaults() {
	p.RampSeconds = cmp.Or(p.RampSeconds, DefaultRampSeconds)
}

func (t *Target) fillDefaults() {
	t.Weight = cmp.Or(t.Weight, DefaultTargetWeight)
}
