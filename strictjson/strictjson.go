package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"github.com/dottereltiller/dottereltiller/exitcode"
)

// FieldError reports the first invalid field of a JSON text.
type FieldError struct {
	// Path is the JSON path of the field, such as "listen.callers". It is empty
	// when the error concerns the whole text.
	Path string
	// Value is the field's value as it stands in the text.
	Value string
	// Message describes the error or the expected value.
	Message string
}

// maxQuotedBytes bounds how much of an invalid value an error message quotes.
const maxQuotedBytes = 64

// Error returns the path, the message and the value on one line.
func (e *FieldError) Error() string {
	path := e.Path
	if path == "" {
		path = "(top level)"
	}
	value := strings.Join(strings.Fields(e.Value), " ")
	if len(value) > maxQuotedBytes {
		value = value[:maxQuotedBytes] + "..."
	}
	if value == "" {
		return path + ": " + e.Message
	}
	return fmt.Sprintf("%s: %s (got %s)", path, e.Message, value)
}

// ExitCode returns the exit code for invalid input.
func (e *FieldError) ExitCode() int { return exitcode.Usage }

// Unmarshal decodes data into the value that v points to. Fields that data does
// not contain keep their value, so v may hold defaults. Errors are of type
// *FieldError.
func Unmarshal(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		return &FieldError{Message: syntaxMessage(data, err)}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &FieldError{Message: "more data after the JSON value"}
	}
	return decodeValue("", raw, reflect.ValueOf(v).Elem())
}

// syntaxMessage returns the message for data that is not JSON. It contains the line
// number if err is a *json.SyntaxError.
func syntaxMessage(data []byte, err error) string {
	var syntaxErr *json.SyntaxError
	if !errors.As(err, &syntaxErr) {
		return "not JSON: " + err.Error()
	}
	line := 1 + bytes.Count(data[:min(int(syntaxErr.Offset), len(data))], []byte("\n"))
	return fmt.Sprintf("not JSON: line %d: %s", line, syntaxErr.Error())
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// decodeValue decodes raw, the JSON value at path, into v. It decodes structs and
// lists of structs field by field, so that it finds unknown and duplicate fields in
// them. It decodes all other values as a whole, also those of a type with an
// UnmarshalJSON method.
func decodeValue(path string, raw json.RawMessage, v reflect.Value) error {
	hasUnmarshaler := reflect.PointerTo(v.Type()).Implements(unmarshalerType)
	switch {
	case hasUnmarshaler:
		return decodeLeaf(path, raw, v)
	case v.Kind() == reflect.Struct:
		return decodeStruct(path, raw, v)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		return decodeSlice(path, raw, v)
	default:
		return decodeLeaf(path, raw, v)
	}
}

// decodeLeaf decodes a value as a whole with json.Unmarshal. It rejects null.
func decodeLeaf(path string, raw json.RawMessage, v reflect.Value) error {
	if string(raw) == "null" {
		return &FieldError{Path: path, Value: "null", Message: "want " + describeType(v.Type())}
	}
	err := json.Unmarshal(raw, v.Addr().Interface())
	if err == nil {
		return nil
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &FieldError{Path: path, Value: string(raw), Message: "want " + describeType(v.Type())}
	}
	return &FieldError{Path: path, Value: string(raw), Message: err.Error()}
}

// decodeStruct decodes a JSON object into the struct v. It rejects unknown and
// duplicate fields.
func decodeStruct(path string, raw json.RawMessage, v reflect.Value) error {
	fields := fieldsByName(v)
	seen := make(map[string]bool)
	dec := json.NewDecoder(bytes.NewReader(raw))
	if delim, err := dec.Token(); err != nil || delim != json.Delim('{') {
		return &FieldError{Path: path, Value: string(raw), Message: "want an object"}
	}
	for dec.More() {
		var value json.RawMessage
		token, err := dec.Token()
		if err == nil {
			err = dec.Decode(&value)
		}
		if err != nil {
			return &FieldError{Path: path, Message: err.Error()}
		}
		name, _ := token.(string)
		fieldPath := joinPath(path, name)
		field, ok := fields[name]
		if !ok {
			return &FieldError{Path: fieldPath, Value: string(value), Message: "no such field"}
		}
		if seen[name] {
			return &FieldError{Path: fieldPath, Value: string(value), Message: "field given twice"}
		}
		seen[name] = true
		if err := decodeValue(fieldPath, value, field); err != nil {
			return err
		}
	}
	return nil
}

// decodeSlice decodes a JSON list into v, a slice of structs.
func decodeSlice(path string, raw json.RawMessage, v reflect.Value) error {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		return &FieldError{Path: path, Value: string(raw), Message: "want a list"}
	}
	out := reflect.MakeSlice(v.Type(), len(items), len(items))
	for i, item := range items {
		itemPath := path + "[" + strconv.Itoa(i) + "]"
		if err := decodeValue(itemPath, item, out.Index(i)); err != nil {
			return err
		}
	}
	v.Set(out)
	return nil
}

// fieldsByName returns the fields of the struct v, keyed by JSON name.
func fieldsByName(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.IsExported() && name != "" && name != "-" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// describeType describes the JSON values that a Go type accepts, for error
// messages.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return describeType(t.Elem())
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	case reflect.Map, reflect.Struct:
		return "an object"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number, not negative"
	default:
		return "a whole number"
	}
}
