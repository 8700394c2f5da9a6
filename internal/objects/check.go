package objects

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Check validates a whole set and returns every error: duplicate names and oversized
// lists first, then invalid fields, each ordered by kind, then conflicts between objects.
func Check(set Set) []ValidationError {
	// The lists are not sorted, because an unnamed object is identified by its index in the input.
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

// collectNames records the names of the objects of one kind. It reports duplicate
// names and a list with too many objects.
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
			c.addError(objectLabel(kind, list.Index(i), i), "name", "is used by more than one "+kind.Name, "a unique name", "")
		}
	}
}

// checkFields validates the fields of all objects of one kind, each field on its own.
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
			c.addError(object, f.Name, fmt.Sprintf("%s %q does not exist", f.ReferencedKind, truncate([]byte(name))), f.AllowedValues(), nearestName(name, c.names[f.ReferencedKind]))
		}
		return
	}
	if problem := describeInvalidValue(f, value); problem != "" {
		c.addError(object, f.Name, problem, f.AllowedValues(), "")
	}
}

// describeInvalidValue returns what is wrong with a value of a field, or "" if its
// type and range are valid.
func describeInvalidValue(f Field, value reflect.Value) string {
	switch f.Type {
	case TypeName:
		if len(value.String()) > MaxNameLength || !namePattern.MatchString(value.String()) {
			return fmt.Sprintf("%q is not a valid name", truncate([]byte(value.String())))
		}
	case TypeInteger:
		if v := value.Uint(); v < f.Min || v > f.Max {
			return fmt.Sprintf("%d is out of range", v)
		}
	case TypeChoice:
		if !slices.Contains(f.Values, value.String()) {
			return fmt.Sprintf("%q is not an allowed value", truncate([]byte(value.String())))
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

// isUnicastIPv4 reports whether an address can be the source and destination of
// unicast IPv4 packets.
func isUnicastIPv4(address netip.Addr) bool {
	return address.Is4() && !address.IsUnspecified() && !address.IsMulticast() && address.As4()[0] < 240
}

// checkServices reports services that share a frontend or a pool, and services over
// UDP that are not idempotent.
func (c *checker) checkServices() {
	serviceByFrontend := map[string]string{}
	serviceByPool := map[string]string{}
	for i := range c.set.Services {
		s := &c.set.Services[i]
		object := objectLabel(kindByName("service"), reflect.ValueOf(s).Elem(), i)
		if !s.Idempotent && s.Protocol == ProtocolUDP {
			c.addError(object, "protocol", "udp cannot prevent a request from running twice, and the service is not idempotent", "tcp, quic, or idempotent set to true", "")
		}
		if other, taken := serviceByPool[s.Pool]; taken && s.Pool != "" {
			c.addError(object, "pool", fmt.Sprintf("pool %s is already used by %s", s.Pool, other), "a pool that no other service uses", "")
		} else {
			serviceByPool[s.Pool] = object
		}
		if !s.Address.IsValid() || s.Port == 0 {
			continue
		}
		if other, taken := serviceByFrontend[s.Frontend()]; taken {
			c.addError(object, "address", fmt.Sprintf("%s is already used by %s", s.Frontend(), other), "a unique combination of address, port and transport", "")
		} else {
			serviceByFrontend[s.Frontend()] = object
		}
	}
}

// checkTargets reports targets that share an address and port with another target,
// or an address with a service.
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
			c.addError(object, "address", fmt.Sprintf("%s is already used by %s", t.Endpoint(), other), "a unique combination of address and port", "")
		} else {
			targetByEndpoint[t.Endpoint()] = object
		}
	}
}

// Frontend returns address:port/transport, which callers use to reach the service and
// which is unique among the services.
func (s Service) Frontend() string {
	transport := "udp"
	if s.Protocol == ProtocolTCP {
		transport = "tcp"
	}
	return netip.AddrPortFrom(s.Address, s.Port).String() + "/" + transport
}

// Endpoint returns the address and port at which the target receives flows.
func (t Target) Endpoint() netip.AddrPort { return netip.AddrPortFrom(t.Address, t.Port) }
