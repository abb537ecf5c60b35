package qhsetting

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// document is a settings file that is being decoded into a struct.
type document struct {
	data []byte
	// lines maps the path of each key in the file to its line.
	lines    map[string]int
	problems []Problem
}

// decode decodes root into the struct that settings points to and collects the
// problems.
func (d *document) decode(root hujson.Value, settings any) {
	d.decodeValue("", root, reflect.ValueOf(settings).Elem())
}

func (d *document) decodeValue(path string, value hujson.Value, into reflect.Value) {
	if into.Kind() == reflect.Struct && !isUnmarshaler(into) {
		d.decodeObject(path, value, into)
		return
	}
	if array, ok := value.Value.(*hujson.Array); ok && into.Kind() == reflect.Slice {
		d.decodeArray(path, array, into)
		return
	}
	d.decodeLeaf(path, value, into)
}

func (d *document) decodeObject(path string, value hujson.Value, into reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.addProblem(path, "is not an object", "write an object in braces")
		return
	}
	fields := fieldsByName(into)
	seen := make(map[string]bool)
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		key := joinKey(path, name)
		if seen[name] {
			d.recordLine(key, member.Name.StartOffset)
			d.addProblem(key, "is set twice", "remove one of the two")
			continue
		}
		seen[name] = true
		d.recordLine(key, member.Name.StartOffset)
		field, ok := fields[name]
		if !ok {
			d.addProblem(key, "is not a setting", "use one of "+sortedNames(fields))
			continue
		}
		d.decodeValue(key, member.Value, field)
	}
}

func (d *document) decodeArray(path string, array *hujson.Array, into reflect.Value) {
	list := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		key := fmt.Sprintf("%s[%d]", path, i)
		d.recordLine(key, element.StartOffset)
		d.decodeValue(key, element, list.Index(i))
	}
	into.Set(list)
}

func (d *document) decodeLeaf(path string, value hujson.Value, into reflect.Value) {
	standard := value.Clone()
	standard.Standardize()
	text := bytes.TrimSpace(standard.Pack())
	if string(text) == "null" {
		d.addProblem(path, "is null", "write a value, or remove the key for the default")
		return
	}
	if err := json.Unmarshal(text, into.Addr().Interface()); err != nil {
		d.addProblem(path, fmt.Sprintf("cannot be %s", text), "write "+describeValues(into))
	}
}

func (d *document) recordLine(key string, offset int) {
	d.lines[key] = 1 + bytes.Count(d.data[:offset], []byte("\n"))
}

// lineOf returns the line of the key or, if the file does not set it, of the
// closest enclosing object.
func (d *document) lineOf(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 1
}

func (d *document) addProblem(key, message, remedy string) {
	d.problems = append(d.problems, Problem{Key: key, Message: message, Remedy: remedy})
}

// firstProblem returns the problem with the lowest line, and whether there is one.
func (d *document) firstProblem() (Problem, bool) {
	if len(d.problems) == 0 {
		return Problem{}, false
	}
	return slices.MinFunc(d.problems, func(a, b Problem) int { return d.lineOf(a.Key) - d.lineOf(b.Key) }), true
}

// fieldsByName returns the fields of a struct by their JSON names.
func fieldsByName(value reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range value.NumField() {
		if name := jsonName(value.Type().Field(i)); name != "" {
			fields[name] = value.Field(i)
		}
	}
	return fields
}

// jsonName returns the JSON name of a field, or "" if it is not encoded.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func sortedNames(fields map[string]reflect.Value) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func isUnmarshaler(value reflect.Value) bool {
	_, ok := value.Addr().Interface().(json.Unmarshaler)
	return ok
}

// describeValues describes the values that a setting accepts.
func describeValues(value reflect.Value) string {
	if value.Kind() == reflect.Pointer {
		return describeValues(reflect.New(value.Type().Elem()).Elem())
	}
	if isUnmarshaler(value) {
		return `a duration such as "1.5s"`
	}
	switch value.Kind() {
	case reflect.String:
		return "a string in double quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list in brackets"
	default:
		return "a whole number"
	}
}

func joinKey(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
