package objects

import (
	"fmt"
	"reflect"
	"strings"
)

// FieldType is the type of a field in a configuration file.
type FieldType string

// Types of fields.
const (
	TypeName      FieldType = "name"
	TypeReference FieldType = "reference"
	TypeAddress   FieldType = "IPv4 address"
	TypeEndpoint  FieldType = "IPv4 address:port"
	TypeInteger   FieldType = "integer"
	TypeChoice    FieldType = "choice"
	TypeBoolean   FieldType = "boolean"
)

// MaxNameLength is the maximum length of an object name in bytes. It equals that of a DNS label.
const MaxNameLength = 63

// Field describes one field of an object. Validation uses it, and a test compares
// docs/configuration.md with it.
type Field struct {
	Name     string
	Type     FieldType
	Required bool
	// Min and Max are the inclusive bounds of an integer.
	Min, Max uint64
	// Unit is the unit of an integer.
	Unit string
	// Values are the allowed values of a choice.
	Values []string
	// ReferencedKind is the kind of the object that a reference points to.
	ReferencedKind string
	// Default is the value of an omitted optional field.
	Default string
	// Description states the purpose of the field, as docs/configuration.md prints it.
	Description string
}

// Kind describes one kind of object.
type Kind struct {
	// Name is the singular name of the kind, as it appears in messages.
	Name string
	// ListKey is the JSON key of the list of these objects in a configuration file.
	ListKey string
	// MaxObjects is the maximum number of objects of this kind.
	MaxObjects int
	Fields     []Field
}

// AllowedValues describes the allowed values of the field.
func (f Field) AllowedValues() string {
	switch f.Type {
	case TypeName:
		return fmt.Sprintf("1 to %d of a-z, 0-9 and -, not starting or ending with -", MaxNameLength)
	case TypeReference:
		return "name of a " + f.ReferencedKind
	case TypeInteger:
		return fmt.Sprintf("%d to %d", f.Min, f.Max)
	case TypeChoice:
		return strings.Join(f.Values, ", ")
	case TypeBoolean:
		return "true, false"
	case TypeEndpoint:
		return "unicast address, port 1 to 65535"
	default:
		return "unicast address"
	}
}

// Kinds lists the kinds of objects in the order in which canonical JSON has them. The
// limits on the number of objects keep the canonical JSON of the largest valid set
// within the maximum size of a snapshot.
var Kinds = []Kind{
	{Name: "place", ListKey: "places", MaxObjects: 64, Fields: []Field{
		{Name: "name", Type: TypeName, Required: true, Description: "names the failure domain; VMs use it in their settings"},
	}},
	{Name: "service", ListKey: "services", MaxObjects: 2000, Fields: []Field{
		{Name: "name", Type: TypeName, Required: true, Description: "names the service"},
		{Name: "address", Type: TypeAddress, Required: true, Description: "address that callers use; never the address of a target"},
		{Name: "port", Type: TypeInteger, Required: true, Min: 1, Max: 65535, Description: "port that callers use; address, port and transport are unique (quic and udp share one transport)"},
		{Name: "protocol", Type: TypeChoice, Required: true, Values: []string{string(ProtocolTCP), string(ProtocolUDP), string(ProtocolQUIC)}, Description: "protocol of the callers; a service that is not idempotent uses tcp or quic"},
		{Name: "pool", Type: TypeReference, Required: true, ReferencedKind: "pool", Description: "pool of targets; a pool serves one service"},
		{Name: "weight", Type: TypeChoice, Values: []string{string(PriorityNormal), string(PriorityHigh)}, Default: string(DefaultPriority), Description: "priority of the service's traffic"},
		{Name: "preference", Type: TypeChoice, Values: []string{string(PreferenceAffinity), string(PreferenceEvenness)}, Default: string(DefaultPreference), Description: "what the choice of a target favours: few exceptions from the table, or an even spread"},
		{Name: "idempotent", Type: TypeBoolean, Default: "false", Description: "states that running a request twice does no harm; needed for udp, without effect on tcp and quic"},
		{Name: "open_timeout_ms", Type: TypeInteger, Min: 100, Max: 60000, Unit: "ms", Default: fmt.Sprint(DefaultOpenTimeoutMS), Description: "how long a target may leave an opener unanswered before the next target is tried"},
	}},
	{Name: "pool", ListKey: "pools", MaxObjects: 2000, Fields: []Field{
		{Name: "name", Type: TypeName, Required: true, Description: "names the pool"},
		{Name: "slots", Type: TypeInteger, Required: true, Min: 1, Max: 65535, Unit: "requests", Description: "requests that one target runs at a time"},
		{Name: "connections", Type: TypeInteger, Required: true, Min: 1, Max: 1000000, Unit: "flows", Description: "open flows that one target takes"},
		{Name: "ramp_seconds", Type: TypeInteger, Min: 1, Max: 3600, Unit: "s", Default: fmt.Sprint(DefaultRampSeconds), Description: "how long a target that starts takes to reach its full share"},
	}},
	{Name: "target", ListKey: "targets", MaxObjects: 16000, Fields: []Field{
		{Name: "name", Type: TypeName, Required: true, Description: "names the target"},
		{Name: "pool", Type: TypeReference, Required: true, ReferencedKind: "pool", Description: "pool that the target belongs to"},
		{Name: "place", Type: TypeReference, Required: true, ReferencedKind: "place", Description: "place of the target"},
		{Name: "address", Type: TypeAddress, Required: true, Description: "address of the target; never the address of a service"},
		{Name: "port", Type: TypeInteger, Required: true, Min: 1, Max: 65535, Description: "port of the target; address and port belong to one target"},
		{Name: "weight", Type: TypeInteger, Min: 1, Max: 10000, Unit: "percent of the usual share", Default: fmt.Sprint(DefaultTargetWeight), Description: "scales the share of new flows"},
		{Name: "drain", Type: TypeBoolean, Default: "false", Description: "stops new flows to the target; established flows go on"},
		{Name: "health", Type: TypeEndpoint, Description: "HTTP endpoint for health and load; without it the target is judged by its answers to openers alone"},
	}},
}

func kindByName(name string) Kind {
	for _, k := range Kinds {
		if k.Name == name {
			return k
		}
	}
	panic("unknown kind " + name) // callers pass only names that Kinds contains
}

// fieldByJSONName returns the field of a struct that has the given JSON name.
func fieldByJSONName(object reflect.Value, name string) reflect.Value {
	for i := range object.NumField() {
		tag, _, _ := strings.Cut(object.Type().Field(i).Tag.Get("json"), ",")
		if tag == name {
			return object.Field(i)
		}
	}
	panic("no field " + name + " in " + object.Type().Name()) // a test ensures that Kinds matches the struct types
}

// objectsOfKind returns the slice of the objects of one kind as an addressable value.
func (s *Set) objectsOfKind(kind Kind) reflect.Value {
	return fieldByJSONName(reflect.ValueOf(s).Elem(), kind.ListKey)
}
