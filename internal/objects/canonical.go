package objects

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// Canonical returns the canonical JSON of a set: defaults filled in, every list
// ordered by name. Equal configurations have equal canonical forms.
func Canonical(set Set) []byte {
	data, err := json.Marshal(WithDefaults(set))
	if err != nil {
		panic(err) // the types of a set always have a JSON form
	}
	return data
}

// Digest returns the lower-case hexadecimal SHA-256 of canonical JSON.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// WithDefaults returns a copy with defaults filled in and every list ordered by name.
func WithDefaults(set Set) Set {
	out := Set{
		Places:   slices.Clone(set.Places),
		Services: slices.Clone(set.Services),
		Pools:    slices.Clone(set.Pools),
		Targets:  slices.Clone(set.Targets),
	}
	for i := range out.Services {
		out.Services[i].fillDefaults()
	}
	for i := range out.Pools {
		out.Pools[i].fillDefaults()
	}
	for i := range out.Targets {
		out.Targets[i].fillDefaults()
	}
	slices.SortStableFunc(out.Places, func(a, b Place) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(out.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(out.Pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(out.Targets, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Defaults of optional fields.
const (
	DefaultWeight        = WeightNormal
	DefaultPreference    = PreferenceAffinity
	DefaultOpenTimeoutMS = 1000
	DefaultRampSeconds   = 10
	DefaultTargetWeight  = 100
)

func (s *Service) fillDefaults() {
	s.Weight = cmp.Or(s.Weight, DefaultWeight)
	s.Preference = cmp.Or(s.Preference, DefaultPreference)
	s.OpenTimeoutMS = cmp.Or(s.OpenTimeoutMS, DefaultOpenTimeoutMS)
}

func (p *Pool) fillDefaults() {
	p.RampSeconds = cmp.Or(p.RampSeconds, DefaultRampSeconds)
}

func (t *Target) fillDefaults() {
	t.Weight = cmp.Or(t.Weight, DefaultTargetWeight)
}
