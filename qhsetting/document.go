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

// document is a settings file on its way into a struct.
type document struct {
	data []byte
	// lines has the line of each key that the file sets, by its path.
	lines    map[string]int
	problems []Problem
}

// decode sets what root holds into the struct that settings points to.
func (d *document) decode(root hujson.Value, settings any) {
	d.value("", root, reflect.ValueOf(settings).Elem())
}

func (d *document) value(path string, value hujson.Value, into reflect.Value) {
	if into.Kind() == reflect.Struct && !decodesItself(into) {
		d.object(path, value, into)
		return
	}
	if array, ok := value.Value.(*hujson.Array); ok && into.Kind() == reflect.Slice {
		d.array(path, array, into)
		return
	}
	d.leaf(path, value, into)
}

func (d *document) object(path string, value hujson.Value, into reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.add(path, "is not an object", "write an object in braces")
		return
	}
	fields := fieldsOf(into)
	seen := make(map[string]bool)
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		key := join(path, name)
		if seen[name] {
			d.mark(key, member.Name.StartOffset)
			d.add(key, "stands twice", "remove one of the two")
			continue
		}
		seen[name] = true
		d.mark(key, member.Name.StartOffset)
		field, ok := fields[name]
		if !ok {
			d.add(key, "is not a setting", "use one of "+names(fields))
			continue
		}
		d.value(key, member.Value, field)
	}
}

func (d *document) array(path string, array *hujson.Array, into reflect.Value) {
	list := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		key := fmt.Sprintf("%s[%d]", path, i)
		d.mark(key, element.StartOffset)
		d.value(key, element, list.Index(i))
	}
	into.Set(list)
}

func (d *document) leaf(path string, value hujson.Value, into reflect.Value) {
	standard := value.Clone()
	standard.Standardize()
	text := bytes.TrimSpace(standard.Pack())
	if string(text) == "null" {
		d.add(path, "is null", "write a value, or remove the key for the default")
		return
	}
	if err := json.Unmarshal(text, into.Addr().Interface()); err != nil {
		d.add(path, fmt.Sprintf("can't be %s", text), "write "+kindOf(into))
	}
}

func (d *document) mark(key string, offset int) {
	d.lines[key] = 1 + bytes.Count(d.data[:offset], []byte("\n"))
}

// line returns the line of the key or, where the file leaves it out, of the
// object that it belongs to.
func (d *document) line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 1
}

func (d *document) add(key, what, remedy string) {
	d.problems = append(d.problems, Problem{Key: key, What: what, Remedy: remedy})
}

// first returns the problem that stands first in the file.
func (d *document) first() (Problem, bool) {
	if len(d.problems) == 0 {
		return Problem{}, false
	}
	return slices.MinFunc(d.problems, func(a, b Problem) int { return d.line(a.Key) - d.line(b.Key) }), true
}

// fieldsOf returns the fields of a struct by their JSON names.
func fieldsOf(value reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range value.NumField() {
		if name := jsonName(value.Type().Field(i)); name != "" {
			fields[name] = value.Field(i)
		}
	}
	return fields
}

// jsonName returns the name of a field in JSON, empty where it has none.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func names(fields map[string]reflect.Value) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func decodesItself(value reflect.Value) bool {
	_, ok := value.Addr().Interface().(json.Unmarshaler)
	return ok
}

// kindOf describes the values that a setting takes.
func kindOf(value reflect.Value) string {
	if value.Kind() == reflect.Pointer {
		return kindOf(reflect.New(value.Type().Elem()).Elem())
	}
	if decodesItself(value) {
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

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
