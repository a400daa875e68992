package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// strictChecker compares JSON with the Go type that it will be decoded into.
type strictChecker struct {
	// report is called for every unknown field and every value of the wrong type.
	// path is the JSON path of the field or value.
	report func(path, value, message string)
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// check compares the JSON value at path with type t. It accepts any value for the
// type json.RawMessage.
func (s strictChecker) check(path string, raw json.RawMessage, t reflect.Type) {
	switch {
	case t == reflect.TypeFor[json.RawMessage]():
	case reflect.PointerTo(t).Implements(unmarshalerType):
		s.checkScalar(path, raw, t)
	case t.Kind() == reflect.Pointer:
		s.check(path, raw, t.Elem())
	case t.Kind() == reflect.Struct:
		s.checkObject(path, raw, t)
	case t.Kind() == reflect.Slice:
		s.checkList(path, raw, t)
	case t.Kind() == reflect.Map:
		s.checkMap(path, raw, t)
	default:
		s.checkScalar(path, raw, t)
	}
}

// checkScalar reports the value at path when it cannot be decoded into type t.
func (s strictChecker) checkScalar(path string, raw json.RawMessage, t reflect.Type) {
	err := json.Unmarshal(raw, reflect.New(t).Interface())
	if err == nil {
		return
	}
	message := err.Error()
	if _, ok := err.(*json.UnmarshalTypeError); ok {
		message = "want a " + typeName(t.Kind())
	}
	s.report(path, oneLine(raw), message)
}

func (s strictChecker) checkObject(path string, raw json.RawMessage, t reflect.Type) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) != nil {
		s.report(path, oneLine(raw), "want an object")
		return
	}
	knownFields := jsonFields(t)
	for _, name := range sortedKeys(fields) {
		fieldType, ok := knownFields[name]
		if !ok {
			s.report(joinPath(path, name), oneLine(fields[name]), "unknown field, want one of "+strings.Join(sortedKeys(knownFields), ", "))
			continue
		}
		s.check(joinPath(path, name), fields[name], fieldType)
	}
}

func (s strictChecker) checkList(path string, raw json.RawMessage, t reflect.Type) {
	var items []json.RawMessage
	if json.Unmarshal(raw, &items) != nil {
		s.report(path, oneLine(raw), "want a list")
		return
	}
	for i, item := range items {
		s.check(fmt.Sprintf("%s[%d]", path, i), item, t.Elem())
	}
}

func (s strictChecker) checkMap(path string, raw json.RawMessage, t reflect.Type) {
	var values map[string]json.RawMessage
	if json.Unmarshal(raw, &values) != nil {
		s.report(path, oneLine(raw), "want an object")
		return
	}
	for _, name := range sortedKeys(values) {
		s.check(joinPath(path, name), values[name], t.Elem())
	}
}

// jsonFields returns the type of each field of the struct type t by JSON name.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field.Type
	}
	return fields
}

// typeName returns the name of a scalar JSON type for an error message.
func typeName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Int, reflect.Int64:
		return "whole number"
	default:
		return "number"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// maxOneLine is the length in bytes at which oneLine truncates a value.
const maxOneLine = 80

// oneLine returns a JSON value on one line for an error message. A value longer than
// maxOneLine is truncated.
func oneLine(raw json.RawMessage) string {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		b.Reset()
		b.Write(raw)
	}
	if b.Len() > maxOneLine {
		return b.String()[:maxOneLine] + "..."
	}
	return b.String()
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
