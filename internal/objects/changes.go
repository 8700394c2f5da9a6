package objects

import (
	"fmt"
	"reflect"
)

// Changes describes the differences between two sets, one line for each added or
// removed object and for each changed field.
func Changes(before, after Set) []string {
	before, after = WithDefaults(before), WithDefaults(after)
	d := differ{before: ServicesByPool(before), after: ServicesByPool(after)}
	for _, kind := range Kinds {
		d.compareKind(kind, before.objectsOfKind(kind), after.objectsOfKind(kind))
	}
	return d.lines
}

type differ struct {
	before, after map[string]Service
	lines         []string
}

// compareKind describes the differences between two lists of objects of one kind.
// Both lists are sorted by name.
func (d *differ) compareKind(kind Kind, before, after reflect.Value) {
	i, j := 0, 0
	for i < before.Len() || j < after.Len() {
		switch {
		case j == after.Len() || i < before.Len() && nameAt(before, i) < nameAt(after, j):
			d.addLine(d.qualifiedName(kind, before.Index(i), d.before) + " removed")
			i++
		case i == before.Len() || nameAt(after, j) < nameAt(before, i):
			d.addLine(d.qualifiedName(kind, after.Index(j), d.after) + " added" + additionDetails(after.Index(j)))
			j++
		default:
			d.compareObject(kind, before.Index(i), after.Index(j))
			i++
			j++
		}
	}
}

func nameAt(list reflect.Value, index int) string {
	return fieldByJSONName(list.Index(index), "name").String()
}

func (d *differ) addLine(text string) { d.lines = append(d.lines, text) }

func (d *differ) compareObject(kind Kind, before, after reflect.Value) {
	subject := d.qualifiedName(kind, after, d.after)
	for _, f := range kind.Fields {
		oldValue, newValue := fieldByJSONName(before, f.Name), fieldByJSONName(after, f.Name)
		if reflect.DeepEqual(oldValue.Interface(), newValue.Interface()) {
			continue
		}
		switch {
		case f.Name == "drain" && newValue.Bool():
			d.addLine(subject + " drains")
		case f.Name == "drain":
			d.addLine(subject + " no longer drains")
		default:
			d.addLine(fmt.Sprintf("%s: %s from %s to %s", subject, f.Name, formatValue(oldValue), formatValue(newValue)))
		}
	}
}

// qualifiedName returns the kind and name of an object. For a pool or target, the
// name of its service precedes them.
func (d *differ) qualifiedName(kind Kind, object reflect.Value, services map[string]Service) string {
	text := kind.Name + " " + fieldByJSONName(object, "name").String()
	pool := ""
	switch kind.Name {
	case "pool":
		pool = fieldByJSONName(object, "name").String()
	case "target":
		pool = fieldByJSONName(object, "pool").String()
	}
	if service, ok := services[pool]; ok {
		return service.Name + ": " + text
	}
	return text
}

// additionDetails returns the main fields of an added object for its line.
func additionDetails(object reflect.Value) string {
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

func formatValue(value reflect.Value) string {
	if value.IsZero() && value.Kind() == reflect.String {
		return "none"
	}
	return fmt.Sprint(value.Interface())
}
