package objects

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// File is the name and content of a configuration file.
type File struct {
	Name string
	Data []byte
}

// maxFileBytes is the maximum size of a file. The largest valid set takes less than 16 MB.
const maxFileBytes = 64 << 20

// ReadPaths reads files and folders. It reads the *.json files of a folder in the order
// of their names, without hidden files and subfolders.
func ReadPaths(paths []string) ([]File, error) {
	var files []File
	for _, path := range paths {
		names, err := configFilesAt(path)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			data, err := readFile(name)
			if err != nil {
				return nil, err
			}
			files = append(files, File{Name: name, Data: data})
		}
	}
	return files, nil
}

func configFilesAt(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() && strings.HasSuffix(e.Name(), ".json") && !strings.HasPrefix(e.Name(), ".") {
			names = append(names, filepath.Join(path, e.Name()))
		}
	}
	if len(names) == 0 {
		return nil, errors.Errorf("folder %s: contains no .json file", path)
	}
	sort.Strings(names)
	return names, nil
}

func readFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if info.Size() > maxFileBytes {
		return nil, errors.Errorf("file %s: has %d bytes, which exceeds the limit of %d", name, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(name)
	return data, errors.WithStack(err)
}

// Parse decodes files into one set and validates the whole set. It returns the set
// with defaults and all errors.
func Parse(files []File) (Set, []ValidationError) {
	p := parser{}
	for _, f := range files {
		p.parseFile(f)
	}
	if p.hasUnreadableInput {
		return p.set, p.errors // Check would report references to objects in the unreadable input as errors
	}
	reported := map[[2]string]bool{}
	for _, e := range p.errors {
		reported[[2]string{e.Object, e.Field}] = true
	}
	for _, e := range Check(p.set) {
		if !reported[[2]string{e.Object, e.Field}] {
			p.errors = append(p.errors, e)
		}
	}
	return WithDefaults(p.set), p.errors
}

type parser struct {
	set                Set
	errors             []ValidationError
	hasUnreadableInput bool
}

// member is a key of a JSON object and its value.
type member struct {
	key   string
	value json.RawMessage
}

func (p *parser) addError(object, field, problem, expected, suggestion string) {
	p.errors = append(p.errors, ValidationError{Object: object, Field: field, Problem: problem, Expected: expected, Suggestion: suggestion})
}

func (p *parser) parseFile(f File) {
	object := "file " + f.Name
	members, err := decodeMembers(f.Data)
	if err != nil {
		p.hasUnreadableInput = true
		p.addError(object, syntaxErrorPosition(f.Data), "is not a valid JSON object: "+err.Error(), "a JSON object with the lists places, services, pools and targets", "")
		return
	}
	listKeys := make([]string, len(Kinds))
	for i, k := range Kinds {
		listKeys[i] = k.ListKey
	}
	seen := map[string]bool{}
	for _, m := range members {
		if seen[m.key] {
			p.addError(object, m.key, "is a duplicate key", "a single list", "")
			continue
		}
		seen[m.key] = true
		p.parseList(object, m, listKeys)
	}
}

func (p *parser) parseList(object string, m member, listKeys []string) {
	for _, kind := range Kinds {
		if kind.ListKey != m.key {
			continue
		}
		var values []json.RawMessage
		if err := json.Unmarshal(m.value, &values); err != nil || values == nil {
			p.hasUnreadableInput = true
			p.addError(object, m.key, "is not a list", "a JSON array of objects", "")
			return
		}
		for _, v := range values {
			p.parseObject(kind, v)
		}
		return
	}
	p.addError(object, m.key, "is not a known list", strings.Join(listKeys, ", "), nearestName(m.key, listKeys))
}

// parseObject adds an object to the set, with the fields that were decoded without error.
func (p *parser) parseObject(kind Kind, raw json.RawMessage) {
	list := p.set.objectsOfKind(kind)
	value := reflect.New(list.Type().Elem()).Elem()
	members, err := decodeMembers(raw)
	for _, m := range members {
		if m.key == "name" {
			_ = json.Unmarshal(m.value, fieldByJSONName(value, "name").Addr().Interface()) // an invalid name is reported with the other fields
		}
	}
	object := objectLabel(kind, value, list.Len())
	list.Set(reflect.Append(list, value))
	value = list.Index(list.Len() - 1)
	if err != nil {
		p.addError(object, "", "is not a JSON object", "an object with the fields "+strings.Join(fieldNames(kind), ", "), "")
		return
	}
	seen := map[string]bool{}
	for _, m := range members {
		if seen[m.key] {
			p.addError(object, m.key, "is a duplicate key", "a single value", "")
			continue
		}
		seen[m.key] = true
		p.parseField(kind, object, value, m)
	}
}

func (p *parser) parseField(kind Kind, object string, value reflect.Value, m member) {
	for _, f := range kind.Fields {
		if f.Name != m.key {
			continue
		}
		destination := fieldByJSONName(value, f.Name)
		problem := ""
		if err := json.Unmarshal(m.value, destination.Addr().Interface()); err != nil || string(m.value) == "null" {
			problem = fmt.Sprintf("%s is not valid", truncate(m.value))
		} else if destination.IsZero() && f.Type != TypeBoolean {
			// An explicit zero value is rejected, because it would count as an omitted field and be
			// replaced by the default.
			problem = fmt.Sprintf("%s is not valid", truncate(m.value))
		}
		if problem != "" {
			p.addError(object, f.Name, problem, string(f.Type)+", "+f.AllowedValues(), "")
		}
		return
	}
	names := fieldNames(kind)
	p.addError(object, m.key, "is not a field of a "+kind.Name, strings.Join(names, ", "), nearestName(m.key, names))
}

func fieldNames(kind Kind) []string {
	names := make([]string, len(kind.Fields))
	for i, f := range kind.Fields {
		names[i] = f.Name
	}
	return names
}

// objectLabel returns the identification of an object in messages: its kind and name, or
// its index in the list if it has no name.
func objectLabel(kind Kind, object reflect.Value, index int) string {
	if name := fieldByJSONName(object, "name").String(); name != "" {
		return kind.Name + " " + truncate([]byte(name))
	}
	return fmt.Sprintf("%s[%d]", kind.ListKey, index)
}

// truncate limits the length of a value in a message.
func truncate(value []byte) string {
	const limit = 80
	if len(value) <= limit {
		return string(value)
	}
	return string(value[:limit]) + "..."
}

// decodeMembers decodes a JSON object into its members. Unlike a map, the result keeps
// the order of the keys and duplicate keys.
func decodeMembers(data []byte) ([]member, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	start, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	if start != json.Delim('{') {
		return nil, errors.New("does not start with a { character")
	}
	var members []member
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		var m member
		m.key, _ = key.(string)
		if err := decoder.Decode(&m.value); err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	if _, err := decoder.Token(); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("has content after the closing } character")
	}
	return members, nil
}

// syntaxErrorPosition returns the line and column of the first syntax error, or "" if
// there is none. It decodes the data again, because json.Decoder does not report the
// position within a value.
func syntaxErrorPosition(data []byte) string {
	var syntaxError *json.SyntaxError
	if err := json.Unmarshal(data, &json.RawMessage{}); !errors.As(err, &syntaxError) || syntaxError.Offset < 1 || syntaxError.Offset > int64(len(data)) {
		return ""
	}
	before := data[:syntaxError.Offset-1]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}
