package objects

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// validConfiguration is a small configuration without errors and warnings.
const validConfiguration = `{
 "places": [{"name": "pl-a"}, {"name": "pl-b"}],
 "services": [
  {"name": "quote-desk", "address": "10.1.0.1", "port": 443, "protocol": "quic", "pool": "quotes", "weight": "high"},
  {"name": "stock-registry", "address": "10.1.0.2", "port": 80, "protocol": "tcp", "pool": "stocks"}
 ],
 "pools": [{"name": "quotes", "slots": 2, "connections": 2000}, {"name": "stocks", "slots": 2, "connections": 2000}],
 "targets": [
  {"name": "q-01", "pool": "quotes", "place": "pl-a", "address": "10.2.0.1", "port": 8443},
  {"name": "q-02", "pool": "quotes", "place": "pl-b", "address": "10.2.0.2", "port": 8443, "weight": 50},
  {"name": "s-01", "pool": "stocks", "place": "pl-a", "address": "10.2.0.3", "port": 80},
  {"name": "s-02", "pool": "stocks", "place": "pl-b", "address": "10.2.0.4", "port": 80, "health": "10.2.0.4:81"}
 ]}`

func parse(t *testing.T, text string) (Set, []ValidationError) {
	t.Helper()
	return Parse([]File{{Name: "set.json", Data: []byte(text)}})
}

func joinErrors(validationErrors []ValidationError) string {
	var out []string
	for _, e := range validationErrors {
		out = append(out, e.Error())
	}
	return strings.Join(out, "\n")
}

// Guards against validation that accepts an invalid set, reports the wrong object or
// field, or reports more than one error for the same cause.
func TestParseReportsEachError(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"misspelled reference", `"pool": "quotes", "place": "pl-a"`, `"pool": "qoutes", "place": "pl-a"`,
			`target q-01: pool: pool "qoutes" does not exist; expected name of a pool; did you mean "quotes"?`},
		{"unknown field", `"weight": 50`, `"wieght": 50`,
			`target q-02: wieght: is not a field of a target; expected name, pool, place, address, port, weight, drain, health; did you mean "weight"?`},
		{"unknown list", `"pools": [`, `"targets": [], "pool": [`, ""},
		{"explicit zero", `"weight": 50`, `"weight": 0`, `target q-02: weight: 0 is not valid; expected integer, 1 to 10000`},
		{"out of bounds", `"weight": 50`, `"weight": 10001`, `target q-02: weight: 10001 is out of range; expected 1 to 10000`},
		{"negative", `"slots": 2, "connections": 2000}, {`, `"slots": -2, "connections": 2000}, {`,
			`pool quotes: slots: -2 is not valid; expected integer, 1 to 65535`},
		{"wrong type", `"port": 8443, "weight"`, `"port": "8443", "weight"`, `target q-02: port: "8443" is not valid; expected integer, 1 to 65535`},
		{"missing", `"port": 80, "protocol": "tcp", "pool"`, `"protocol": "tcp", "pool"`, `service stock-registry: port: is missing; expected integer, 1 to 65535`},
		{"IPv6", `"10.2.0.1"`, `"fd00::1"`, `target q-01: address: fd00::1 is not a unicast IPv4 address; expected unicast address`},
		{"multicast", `"10.2.0.1"`, `"224.0.0.1"`, `target q-01: address: 224.0.0.1 is not a unicast IPv4 address; expected unicast address`},
		{"not an address", `"10.2.0.1"`, `"10.2.0.256"`, `target q-01: address: "10.2.0.256" is not valid; expected IPv4 address, unicast address`},
		{"name twice", `"s-02"`, `"s-01"`, `target s-01: name: is used by more than one target; expected a unique name`},
		{"illegal name", `"s-02"`, `"S_02"`, `target S_02: name: "S_02" is not a valid name; expected 1 to 63 of a-z, 0-9 and -, not starting or ending with -`},
		{"no name", `"name": "s-02", `, ``, `targets[3]: name: is missing; expected name, 1 to 63 of a-z, 0-9 and -, not starting or ending with -`},
		{"target address of a service", `"10.2.0.1"`, `"10.1.0.2"`,
			`target q-01: address: 10.1.0.2 is the address of service stock-registry; expected an address that no service uses`},
		{"target endpoint twice", `"10.2.0.2", "port": 8443`, `"10.2.0.3", "port": 80`,
			`target s-01: address: 10.2.0.3:80 is already used by target q-02; expected a unique combination of address and port`},
		{"service endpoint twice", `"10.1.0.2", "port": 80, "protocol": "tcp"`, `"10.1.0.1", "port": 443, "protocol": "udp", "idempotent": true`,
			`service stock-registry: address: 10.1.0.1:443/udp is already used by service quote-desk; expected a unique combination of address, port and transport`},
		{"pool of two services", `"pool": "stocks"}`, `"pool": "quotes"}`,
			`service stock-registry: pool: pool quotes is already used by service quote-desk; expected a pool that no other service uses`},
		{"udp without idempotence", `"tcp"`, `"udp"`,
			`service stock-registry: protocol: udp cannot prevent a request from running twice, and the service is not idempotent; expected tcp, quic, or idempotent set to true`},
		{"unknown protocol", `"tcp"`, `"http"`, `service stock-registry: protocol: "http" is not an allowed value; expected tcp, udp, quic`},
		{"health endpoint", `"10.2.0.4:81"`, `"health.example:81"`,
			`target s-02: health: "health.example:81" is not an IPv4 address:port; expected unicast address, port 1 to 65535`},
		{"key twice", `"weight": 50`, `"weight": 50, "weight": 60`, `target q-02: weight: is a duplicate key; expected a single value`},
		{"not an object", `{"name": "pl-a"}`, `7`, ""},
		{"null", `"weight": 50`, `"weight": null`, `target q-02: weight: null is not valid; expected integer, 1 to 10000`},
		{"syntax", `"weight": 50`, `"weight": `, ""},
		{"trailing content", `]}`, `]} {}`, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(validConfiguration, c.old))
			_, validationErrors := parse(t, strings.Replace(validConfiguration, c.old, c.new, 1))
			if c.want == "" {
				assert.Assert(t, len(validationErrors) > 0)
				return
			}
			assert.Equal(t, joinErrors(validationErrors), c.want)
		})
	}
}

// Guards against validation that stops at the first error.
func TestParseReportsAllErrorsAtOnce(t *testing.T) {
	text := strings.NewReplacer(`"tcp"`, `"udp"`, `"weight": 50`, `"weight": 0, "x": 1`, `"10.2.0.3"`, `"10.2.0.4"`, `"pl-a", "a`, `"pl-c", "a`).Replace(validConfiguration)
	_, validationErrors := parse(t, text)
	fields := map[string]bool{}
	for _, e := range validationErrors {
		fields[e.Object+" "+e.Field] = true
	}
	for _, want := range []string{"service stock-registry protocol", "target q-02 weight", "target q-02 x", "target s-02 address", "target q-01 place", "target s-01 place"} {
		assert.Assert(t, fields[want], "%s is missing in:\n%s", want, joinErrors(validationErrors))
	}
	assert.Equal(t, len(validationErrors), 6, joinErrors(validationErrors))
}

// Guards against a syntax error that is reported without line and column, and against
// false errors for references to objects in the file that could not be decoded.
func TestParseLocatesSyntaxError(t *testing.T) {
	_, validationErrors := Parse([]File{{"good.json", []byte(`{"targets": [{"name": "t", "pool": "p"}]}`)}, {"bad.json", []byte("{\n \"pools\": [}")}})
	assert.Equal(t, len(validationErrors), 1)
	assert.Equal(t, validationErrors[0].Object, "file bad.json")
	assert.Equal(t, validationErrors[0].Field, "line 2, column 12")
}

// Guards against input that makes the parser panic, and against canonical JSON of a
// valid set that is rejected or decodes to a different set.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfiguration))
	f.Add([]byte(`{"targets": [{"name": 1}, [], null], "x": {}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, validationErrors := Parse([]File{{Name: "f", Data: data}})
		if len(validationErrors) > 0 {
			return
		}
		canonical := Canonical(set)
		reparsed, validationErrors := Parse([]File{{Name: "f", Data: canonical}})
		assert.Equal(t, joinErrors(validationErrors), "")
		assert.Equal(t, string(Canonical(reparsed)), string(canonical))
		assert.Equal(t, len(Changes(set, reparsed)), 0)
	})
}

// Guards against a digest that depends on the order of objects, or on whether a default
// is written out or omitted.
func TestCanonicalIgnoresOrderAndDefaults(t *testing.T) {
	set, validationErrors := parse(t, validConfiguration)
	assert.Equal(t, joinErrors(validationErrors), "")
	shuffled := WithDefaults(set)
	shuffled.Targets[0], shuffled.Targets[3] = shuffled.Targets[3], shuffled.Targets[0]
	shuffled.Targets[1].Weight = 0 // q-02 has weight 50; 0 means the default of 100
	assert.Assert(t, Digest(Canonical(shuffled)) != Digest(Canonical(set)))
	shuffled.Targets[1].Weight = 50
	shuffled.Pools[0].RampSeconds = 0
	assert.Equal(t, Digest(Canonical(shuffled)), Digest(Canonical(set)))
}

// Guards against missing warnings, and against false warnings about a safe configuration.
func TestWarnings(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Set)
		want   string
	}{
		{"sound", func(*Set) {}, ""},
		{"no target in a place", func(s *Set) { s.Targets = s.Targets[1:] }, "pool quotes: has no target in pl-a"},
		{"last target of a place drains", func(s *Set) { s.Targets[0].Drain = true }, "pool quotes: all targets in pl-a are draining"},
		{"last target drains", func(s *Set) { s.Targets[0].Drain, s.Targets[1].Drain = true, true }, "pool quotes: all targets are draining; service quote-desk rejects"},
		{"no target", func(s *Set) { s.Targets = s.Targets[2:] }, "pool quotes: has no target; service quote-desk rejects"},
		{"unused pool", func(s *Set) { s.Pools = append(s.Pools, Pool{Name: "spare", Slots: 1, Connections: 1}) }, "pool spare: is not used by any service"},
	}
	for _, c := range cases {
		set, _ := parse(t, validConfiguration)
		c.change(&set)
		got := strings.Join(Warnings(set), "\n")
		assert.Assert(t, cmp.Contains(got, c.want), c.name)
		assert.Equal(t, got == "", c.want == "", c.name)
	}
}

// Guards against a difference between two sets that is missing in the list of changes, or
// described incorrectly.
func TestChangesDescribesDifferences(t *testing.T) {
	before, _ := parse(t, validConfiguration)
	after := before.clone()
	after.Targets[0].Drain = true
	after.Targets[1].Weight = 100
	after.Targets = append(after.Targets[:3], Target{Name: "s-03", Pool: "stocks", Place: "pl-b", Address: after.Targets[3].Address, Port: 82})
	after.Services[0].Preference = PreferenceEvenness
	after.Services[0].Port, after.Services[1].Name = 444, "registry"
	assert.DeepEqual(t, Changes(before, after), []string{
		"service quote-desk: port from 443 to 444",
		"service quote-desk: preference from affinity to evenness",
		"service registry added at 10.1.0.2:80/tcp, pool stocks",
		"service stock-registry removed",
		"quote-desk: target q-01 drains",
		"quote-desk: target q-02: weight from 50 to 100",
		"stock-registry: target s-02 removed",
		"registry: target s-03 added at 10.2.0.4:82 in pl-b",
	})
	assert.DeepEqual(t, Changes(before, before), []string(nil))
	assert.Equal(t, len(ChangeWarnings(before, after)), 1)
}

// Guards against a struct field that Kinds does not contain, which would not be validated.
func TestKindsMatchStructTypes(t *testing.T) {
	var set Set
	for _, kind := range Kinds {
		object := set.objectsOfKind(kind).Type().Elem()
		assert.Equal(t, object.NumField(), len(kind.Fields), kind.Name)
		for i, f := range kind.Fields {
			tag, _, _ := strings.Cut(object.Field(i).Tag.Get("json"), ",")
			assert.Equal(t, tag, f.Name)
			assert.Equal(t, object.Field(i).Type.Kind() == reflect.Bool, f.Type == TypeBoolean, f.Name)
		}
	}
}

// Guards against limits on the number of objects under which the snapshot of the largest
// valid set exceeds the maximum size of 8 MiB.
func TestLargestSetFitsSnapshot(t *testing.T) {
	totalBytes := 0
	for _, kind := range Kinds {
		object := reflect.New(reflect.ValueOf(&Set{}).Elem().FieldByName(strings.ToUpper(kind.ListKey[:1]) + kind.ListKey[1:]).Type().Elem()).Elem()
		for _, f := range kind.Fields {
			switch v := fieldByJSONName(object, f.Name); f.Type {
			case TypeInteger:
				v.SetUint(f.Max)
			case TypeBoolean:
				v.SetBool(true)
			case TypeAddress:
				assert.NilError(t, json.Unmarshal([]byte(`"223.255.255.255"`), v.Addr().Interface()))
			default:
				v.SetString(strings.Repeat("x", MaxNameLength))
			}
		}
		encoded, err := json.Marshal(object.Interface())
		assert.NilError(t, err)
		totalBytes += kind.MaxObjects * (len(encoded) + 1)
	}
	assert.Assert(t, totalBytes < 8<<20, "%d bytes", totalBytes)
}

// Guards against skipped or misordered files of a folder, and against a folder without
// *.json files that is read as an empty configuration.
func TestReadPaths(t *testing.T) {
	folder := t.TempDir()
	_, err := ReadPaths([]string{folder})
	assert.ErrorContains(t, err, "contains no .json file")
	for i, name := range []string{"b.json", "a.json", ".hidden.json", "notes.txt"} {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name), []byte(fmt.Sprint(i)), 0o600))
	}
	files, err := ReadPaths([]string{folder, filepath.Join(folder, "notes.txt")})
	assert.NilError(t, err)
	var got []string
	for _, f := range files {
		got = append(got, string(f.Data))
	}
	assert.DeepEqual(t, got, []string{"1", "0", "3"})
}
