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
func Check(set Set) []Fault {
	// The order given is kept, because the labels of unnamed objects follow it.
	c := checker{set: set.clone(), names: map[string][]string{}}
	c.set.fillDefaults()
	for _, kind := range Kinds {
		c.collectNames(kind)
	}
	for _, kind := range Kinds {
		c.fields(kind)
	}
	c.services()
	c.targets()
	return c.faults
}

type checker struct {
	set    Set
	names  map[string][]string
	faults []Fault
}

func (c *checker) fault(object, field, problem, expected, near string) {
	c.faults = append(c.faults, Fault{Object: object, Field: field, Problem: problem, Expected: expected, Nearest: near})
}

// collectNames notes the names of one kind and reports names that are used twice.
func (c *checker) collectNames(kind Kind) {
	list := c.set.list(kind)
	if list.Len() > kind.Max {
		c.fault(kind.List, "", fmt.Sprintf("has %d objects", list.Len()), fmt.Sprintf("at most %d", kind.Max), "")
	}
	seen := map[string]int{}
	for i := range list.Len() {
		name := field(list.Index(i), "name").String()
		seen[name]++
		if seen[name] == 1 {
			c.names[kind.Name] = append(c.names[kind.Name], name)
		}
		if seen[name] == 2 && name != "" {
			c.fault(label(kind, list.Index(i), i), "name", "is used by more than one "+kind.Name, "a name of its own", "")
		}
	}
}

// fields checks each field of each object of one kind by itself.
func (c *checker) fields(kind Kind) {
	known := map[string]map[string]bool{}
	for _, f := range kind.Fields {
		if f.Type == TypeReference {
			known[f.Refers] = map[string]bool{}
			for _, name := range c.names[f.Refers] {
				known[f.Refers][name] = true
			}
		}
	}
	list := c.set.list(kind)
	for i := range list.Len() {
		object := label(kind, list.Index(i), i)
		for _, f := range kind.Fields {
			c.field(object, f, field(list.Index(i), f.Name), known[f.Refers])
		}
	}
}

func (c *checker) field(object string, f Field, value reflect.Value, known map[string]bool) {
	if value.IsZero() {
		if f.Required {
			c.fault(object, f.Name, "is missing", string(f.Type)+", "+f.Bound(), "")
		}
		return
	}
	if f.Type == TypeReference {
		if name := value.String(); !known[name] {
			c.fault(object, f.Name, fmt.Sprintf("there is no %s %q", f.Refers, shorten([]byte(name))), f.Bound(), nearest(name, c.names[f.Refers]))
		}
		return
	}
	if problem := problemWith(f, value); problem != "" {
		c.fault(object, f.Name, problem, f.Bound(), "")
	}
}

// problemWith checks one value by its type and bounds. It returns "" for a legal value.
func problemWith(f Field, value reflect.Value) string {
	switch f.Type {
	case TypeName:
		if len(value.String()) > MaxNameLength || !namePattern.MatchString(value.String()) {
			return fmt.Sprintf("%q is not a legal name", shorten([]byte(value.String())))
		}
	case TypeInteger:
		if v := value.Uint(); v < f.Min || v > f.Max {
			return fmt.Sprintf("%d is out of bounds", v)
		}
	case TypeChoice:
		if !slices.Contains(f.Values, value.String()) {
			return fmt.Sprintf("%q is not a known value", shorten([]byte(value.String())))
		}
	case TypeAddress:
		if address := value.Interface().(netip.Addr); !usable(address) {
			return fmt.Sprintf("%s is not a unicast IPv4 address", address)
		}
	case TypeEndpoint:
		ap, err := netip.ParseAddrPort(value.String())
		if err != nil || !usable(ap.Addr()) || ap.Port() == 0 {
			return fmt.Sprintf("%q is not an IPv4 address:port", shorten([]byte(value.String())))
		}
	}
	return ""
}

// usable reports whether an address can be the source and destination of unicast IPv4 packets.
func usable(a netip.Addr) bool {
	return a.Is4() && !a.IsUnspecified() && !a.IsMulticast() && a.As4()[0] < 240
}

// services checks the rules that connect services with each other and with pools.
func (c *checker) services() {
	frontends := map[string]string{}
	pools := map[string]string{}
	for i := range c.set.Services {
		s := &c.set.Services[i]
		object := label(kindNamed("service"), reflect.ValueOf(s).Elem(), i)
		if !s.Idempotent && s.Protocol == ProtocolUDP {
			c.fault(object, "protocol", "udp cannot keep a request that is not idempotent from running twice", "tcp or quic, or idempotent true", "")
		}
		if other, taken := pools[s.Pool]; taken && s.Pool != "" {
			c.fault(object, "pool", fmt.Sprintf("pool %s already serves %s", s.Pool, other), "a pool of its own", "")
		} else {
			pools[s.Pool] = object
		}
		if !s.Address.IsValid() || s.Port == 0 {
			continue
		}
		if other, taken := frontends[s.Frontend()]; taken {
			c.fault(object, "address", fmt.Sprintf("%s is already used by %s", s.Frontend(), other), "an address, port and transport of its own", "")
		} else {
			frontends[s.Frontend()] = object
		}
	}
}

// targets checks the rules that connect targets with each other and with services.
func (c *checker) targets() {
	serviceAt := map[netip.Addr]string{}
	for _, s := range c.set.Services {
		serviceAt[s.Address] = s.Name
	}
	used := map[netip.AddrPort]string{}
	for i := range c.set.Targets {
		t := &c.set.Targets[i]
		object := label(kindNamed("target"), reflect.ValueOf(t).Elem(), i)
		if !t.Address.IsValid() {
			continue
		}
		if service, taken := serviceAt[t.Address]; taken {
			c.fault(object, "address", fmt.Sprintf("%s is the address of service %s", t.Address, service), "an address that no service uses", "")
		}
		if other, taken := used[t.Endpoint()]; taken {
			c.fault(object, "address", fmt.Sprintf("%s already belongs to %s", t.Endpoint(), other), "an address and port of its own", "")
		} else {
			used[t.Endpoint()] = object
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
