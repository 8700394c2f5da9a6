package objects

import (
	"fmt"
	"reflect"
)

// Changes lists the differences between two sets in words, one line each.
func Changes(before, after Set) []string {
	before, after = WithDefaults(before), WithDefaults(after)
	d := differ{before: ServiceOfPool(before), after: ServiceOfPool(after)}
	for _, kind := range Kinds {
		d.kind(kind, before.list(kind), after.list(kind))
	}
	return d.lines
}

type differ struct {
	before, after map[string]Service
	lines         []string
}

// kind merges two lists that are ordered by name.
func (d *differ) kind(kind Kind, before, after reflect.Value) {
	i, j := 0, 0
	for i < before.Len() || j < after.Len() {
		switch {
		case j == after.Len() || i < before.Len() && name(before, i) < name(after, j):
			d.line(d.subject(kind, before.Index(i), d.before) + " removed")
			i++
		case i == before.Len() || name(after, j) < name(before, i):
			d.line(d.subject(kind, after.Index(j), d.after) + " added" + details(after.Index(j)))
			j++
		default:
			d.object(kind, before.Index(i), after.Index(j))
			i++
			j++
		}
	}
}

func name(list reflect.Value, index int) string { return field(list.Index(index), "name").String() }

func (d *differ) line(text string) { d.lines = append(d.lines, text) }

func (d *differ) object(kind Kind, before, after reflect.Value) {
	subject := d.subject(kind, after, d.after)
	for _, f := range kind.Fields {
		was, is := field(before, f.Name), field(after, f.Name)
		if reflect.DeepEqual(was.Interface(), is.Interface()) {
			continue
		}
		switch {
		case f.Name == "drain" && is.Bool():
			d.line(subject + " drains")
		case f.Name == "drain":
			d.line(subject + " no longer drains")
		default:
			d.line(fmt.Sprintf("%s: %s from %s to %s", subject, f.Name, inWords(was), inWords(is)))
		}
	}
}

// subject names an object; pools and targets are named with their service.
func (d *differ) subject(kind Kind, object reflect.Value, services map[string]Service) string {
	text := kind.Name + " " + field(object, "name").String()
	pool := ""
	switch kind.Name {
	case "pool":
		pool = field(object, "name").String()
	case "target":
		pool = field(object, "pool").String()
	}
	if service, ok := services[pool]; ok {
		return service.Name + ": " + text
	}
	return text
}

// details describes an added object.
func details(object reflect.Value) string {
	switch o := object.Interface().(type) {
	case Service:
		return fmt.Sprintf(" at %s, pool %s", o.Frontend(), o.Pool)
	case Pool:
		return fmt.Sprintf(" with %d slots and %d connections for each target", o.Slots, o.Connections)
	case Target:
		text := fmt.Sprintf(" at %s in %s", o.Endpoint(), o.Place)
		if o.Drain {
			text += ", draining"
		}
		return text
	}
	return ""
}

func inWords(value reflect.Value) string {
	if value.IsZero() && value.Kind() == reflect.String {
		return "none"
	}
	return fmt.Sprint(value.Interface())
}
