package objects

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Check checks a whole set and returns every fault, in the order of the kinds.
func Check(set Set) []ValidationError {
	// The order given is kept, because the labels of unnamed objects follow it.
	c := checker{set: set.clone(), names: map[string][]string{}}
	c.set.fillDefaults()
	for _, kind := range Kinds {
		c.collectNames(kind)
	}
	for _, kind := range Kinds {
		c.checkFields(kind)
	}
	c.checkServices()
	c.checkTargets()
	return c.errors
}

type checker struct {
	set    Set
	names  map[string][]string
	errors []ValidationError
}

func (c *checker) addError(object, field, problem, expected, suggestion string) {
	c.errors = append(c.errors, ValidationError{Object: object, Field: field, Problem: problem, Expected: expected, Suggestion: suggestion})
}

// collectNames notes the names of one kind and reports names that are used twice.
func (c *checker) collectNames(kind Kind) {
	list := c.set.objectsOfKind(kind)
	if list.Len() > kind.MaxObjects {
		c.addError(kind.ListKey, "", fmt.Sprintf("has %d objects", list.Len()), fmt.Sprintf("at most %d", kind.MaxObjects), "")
	}
	occurrences := map[string]int{}
	for i := range list.Len() {
		name := fieldByJSONName(list.Index(i), "name").String()
		occurrences[name]++
		if occurrences[name] == 1 {
			c.names[kind.Name] = append(c.names[kind.Name], name)
		}
		if occurrences[name] == 2 && name != "" {
			c.addError(objectLabel(kind, list.Index(i), i), "name", "is used by more than one "+kind.Name, "a name of its own", "")
		}
	}
}

// fields checks each field of each object of one kind by itself.
func (c *checker) checkFields(kind Kind) {
	existingNames := map[string]map[string]bool{}
	for _, f := range kind.Fields {
		if f.Type == TypeReference {
			existingNames[f.ReferencedKind] = map[string]bool{}
			for _, name := range c.names[f.ReferencedKind] {
				existingNames[f.ReferencedKind][name] = true
			}
		}
	}
	list := c.set.objectsOfKind(kind)
	for i := range list.Len() {
		object := objectLabel(kind, list.Index(i), i)
		for _, f := range kind.Fields {
			c.checkField(object, f, fieldByJSONName(list.Index(i), f.Name), existingNames[f.ReferencedKind])
		}
	}
}

func (c *checker) checkField(object string, f Field, value reflect.Value, existingNames map[string]bool) {
	if value.IsZero() {
		if f.Required {
			c.addError(object, f.Name, "is missing", string(f.Type)+", "+f.AllowedValues(), "")
		}
		return
	}
	if f.Type == TypeReference {
		if name := value.String(); !existingNames[name] {
			c.addError(object, f.Name, fmt.Sprintf("there is no %s %q", f.ReferencedKind, truncate([]byte(name))), f.AllowedValues(), nearestName(name, c.names[f.ReferencedKind]))
		}
		return
	}
	if problem := describeInvalidValue(f, value); problem != "" {
		c.addError(object, f.Name, problem, f.AllowedValues(), "")
	}
}

// problemWith checks one value by its type and bounds. It returns "" for a legal value.
func describeInvalidValue(f Field, value reflect.Value) string {
	switch f.Type {
	case TypeName:
		if len(value.String()) > MaxNameLength || !namePattern.MatchString(value.String()) {
			return fmt.Sprintf("%q is not a legal name", truncate([]byte(value.String())))
		}
	case TypeInteger:
		if v := value.Uint(); v < f.Min || v > f.Max {
			return fmt.Sprintf("%d is out of bounds", v)
		}
	case TypeChoice:
		if !slices.Contains(f.Values, value.String()) {
			return fmt.Sprintf("%q is not a known value", truncate([]byte(value.String())))
		}
	case TypeAddress:
		if address := value.Interface().(netip.Addr); !isUnicastIPv4(address) {
			return fmt.Sprintf("%s is not a unicast IPv4 address", address)
		}
	case TypeEndpoint:
		ap, err := netip.ParseAddrPort(value.String())
		if err != nil || !isUnicastIPv4(ap.Addr()) || ap.Port() == 0 {
			return fmt.Sprintf("%q is not an IPv4 address:port", truncate([]byte(value.String())))
		}
	}
	return ""
}

// usable reports whether an address can be the source and destination of unicast IPv4 packets.
func isUnicastIPv4(address netip.Addr) bool {
	return address.Is4() && !address.IsUnspecified() && !address.IsMulticast() && address.As4()[0] < 240
}

// services checks the rules that connect services with each other and with pools.
func (c *checker) checkServices() {
	serviceByFrontend := map[string]string{}
	serviceByPool := map[string]string{}
	for i := range c.set.Services {
		s := &c.set.Services[i]
		object := objectLabel(kindByName("service"), reflect.ValueOf(s).Elem(), i)
		if !s.Idempotent && s.Protocol == ProtocolUDP {
			c.addError(object, "protocol", "udp cannot keep a request that is not idempotent from running twice", "tcp or quic, or idempotent true", "")
		}
		if other, taken := serviceByPool[s.Pool]; taken && s.Pool != "" {
			c.addError(object, "pool", fmt.Sprintf("pool %s already serves %s", s.Pool, other), "a pool of its own", "")
		} else {
			serviceByPool[s.Pool] = object
		}
		if !s.Address.IsValid() || s.Port == 0 {
			continue
		}
		if other, taken := serviceByFrontend[s.Frontend()]; taken {
			c.addError(object, "address", fmt.Sprintf("%s is already used by %s", s.Frontend(), other), "an address, port and transport of its own", "")
		} else {
			serviceByFrontend[s.Frontend()] = object
		}
	}
}

// targets checks the rules that connect targets with each other and with services.
func (c *checker) checkTargets() {
	serviceByAddress := map[netip.Addr]string{}
	for _, s := range c.set.Services {
		serviceByAddress[s.Address] = s.Name
	}
	targetByEndpoint := map[netip.AddrPort]string{}
	for i := range c.set.Targets {
		t := &c.set.Targets[i]
		object := objectLabel(kindByName("target"), reflect.ValueOf(t).Elem(), i)
		if !t.Address.IsValid() {
			continue
		}
		if service, taken := serviceByAddress[t.Address]; taken {
			c.addError(object, "address", fmt.Sprintf("%s is the address of service %s", t.Address, service), "an address that no service uses", "")
		}
		if other, taken := targetByEndpoint[t.Endpoint()]; taken {
			c.addError(object, "address", fmt.Sprintf("%s already belongs to %s", t.Endpoint(), other), "an address and port of its own", "")
		} else {
			targetByEndpoint[t.Endpoint()] = object
		}
	}
}

// Frontend returns address:port/transport, which identifies a service towards callers.
func (s Service) Frontend() string {
	transport := "udp"
	if s.Protocol == ProtocolTCP {
		transport = "tcp"
	}
	return netip.AddrPortFrom(s.Address, s.Port).String() + "/" + transport
}

// Endpoint returns the address and port of the target.
func (t Target) Endpoint() netip.AddrPort { return netip.AddrPortFrom(t.Address, t.Port) }
